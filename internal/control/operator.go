package control

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/finding"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/intent"
	"sassafrasfield/internal/plan"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/versions"
)

// Outcomes told to operators.
const (
	outcomeAccepted = "accepted"
	outcomeRefused  = "refused"
	outcomeUnknown  = "unknown"
)

// planCosts are the expected times of changes until engines report their own.
var planCosts = plan.Costs{ChangeSeconds: 5, LoadSeconds: 1}

// confirmAttempts bounds the tries of a confirmation that the system's own
// steps got in the way of.
const confirmAttempts = 10

// operatorService answers sfctl.
type operatorService struct {
	daemon *Daemon
}

// Declare implements the OperatorService.
func (o *operatorService) Declare(ctx context.Context, req *connect.Request[sfv1.DeclareRequest]) (*connect.Response[sfv1.DeclareResponse], error) {
	_, base, err := o.daemon.versions.Newest(ctx)
	if err != nil {
		return nil, platformError(err)
	}
	target, in, findings := intent.Apply(req.Msg.File, req.Msg.Intent, base)
	response := &sfv1.DeclareResponse{Findings: findingsMessage(findings)}
	if target == nil {
		return connect.NewResponse(response), nil
	}
	p := plan.Build(base, target, planCosts)
	p.ID = uuid.NewString()[:8]
	p.Name = in.Name
	p.Operator = req.Msg.Operator
	p.File, p.Source = req.Msg.File, req.Msg.Intent
	if err := o.keep(ctx, p); err != nil {
		return nil, platformError(err)
	}
	response.PlanId = p.ID
	response.Plan = planMessage(p, base)
	return connect.NewResponse(response), nil
}

// keep writes a declared plan. The id is fresh, so writing it twice is the
// same as once.
func (o *operatorService) keep(ctx context.Context, p *plan.Plan) error {
	_, err := o.daemon.platform.Commit(ctx, platform.Txn{
		Writes: []platform.Write{{Key: plan.Key(p.ID), Value: p.Encode()}},
	})
	return err
}

// load reads a plan with the revision of its row.
func (o *operatorService) load(ctx context.Context, id string) (*plan.Plan, int64, error) {
	row, err := o.daemon.platform.Get(ctx, plan.Key(id))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, connect.NewError(connect.CodeNotFound, errors.Errorf("no plan %q", id))
	}
	if err != nil {
		return nil, 0, platformError(err)
	}
	p, err := plan.Decode(row.Value)
	return p, row.Revision, err
}

// GetPlan implements the OperatorService.
func (o *operatorService) GetPlan(ctx context.Context, req *connect.Request[sfv1.GetPlanRequest]) (*connect.Response[sfv1.GetPlanResponse], error) {
	p, _, err := o.load(ctx, req.Msg.PlanId)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&sfv1.GetPlanResponse{Plan: planMessage(p, o.daemon.holder.Current())}), nil
}

// Confirm implements the OperatorService.
func (o *operatorService) Confirm(ctx context.Context, req *connect.Request[sfv1.ConfirmRequest]) (*connect.Response[sfv1.ConfirmResponse], error) {
	for range confirmAttempts {
		response, retry, err := o.tryConfirm(ctx, req.Msg)
		if err != nil {
			return nil, err
		}
		if !retry {
			return connect.NewResponse(response), nil
		}
	}
	return nil, connect.NewError(connect.CodeAborted, errors.New("the configuration kept changing; confirm again"))
}

// tryConfirm asks to be called again when only the system's own steps moved
// the head.
func (o *operatorService) tryConfirm(ctx context.Context, req *sfv1.ConfirmRequest) (response *sfv1.ConfirmResponse, retry bool, err error) {
	p, revision, err := o.load(ctx, req.PlanId)
	if err != nil {
		return nil, false, err
	}
	if p.State != plan.StateDeclared {
		return &sfv1.ConfirmResponse{Outcome: outcomeRefused, Version: p.Version, Reason: fmt.Sprintf("the plan is %s already", p.State)}, false, nil
	}
	head, base, err := o.daemon.versions.Newest(ctx)
	if err != nil {
		return nil, false, platformError(err)
	}
	if base.Intent != p.BuiltFrom {
		return o.refuseMoved(ctx, p)
	}
	if len(p.Refusals) > 0 {
		return &sfv1.ConfirmResponse{Outcome: outcomeRefused, Reason: p.Refusals[0]}, false, nil
	}
	target, _, findings := intent.Apply(p.File, p.Source, base)
	if target == nil {
		return &sfv1.ConfirmResponse{Outcome: outcomeRefused, Reason: findings.Error()}, false, nil
	}
	target.Version, target.Intent = head.Version+1, base.Intent+1
	ctx, cancel, err := o.daemon.mayAccept(ctx, target.Version)
	defer cancel()
	if err != nil {
		return &sfv1.ConfirmResponse{Outcome: outcomeRefused, Reason: err.Error()}, false, nil
	}
	err = o.accept(ctx, head, target, p, revision, req.Operator)
	switch {
	case err == nil:
		o.daemon.learn(target, "self")
		return &sfv1.ConfirmResponse{Outcome: outcomeAccepted, Version: target.Version}, false, nil
	case errors.Is(err, versions.ErrMoved), errors.Is(err, platform.ErrConflict):
		return nil, true, nil
	case errors.Is(err, platform.ErrUnknown):
		return &sfv1.ConfirmResponse{Outcome: outcomeUnknown, Reason: "the table did not tell; ask with sfctl plan"}, false, nil
	default:
		return nil, false, platformError(err)
	}
}

// accept appends the version and marks the plan, in one transaction.
func (o *operatorService) accept(ctx context.Context, head versions.Head, target *config.Config, p *plan.Plan, revision int64, operator string) error {
	accepted := *p
	accepted.State = plan.StateConfirmed
	accepted.Version = target.Version
	entry := versions.Entry{
		Author: operator, Summary: p.Name, PlanID: p.ID, Accepted: time.Now().UnixMilli(),
	}
	extra := platform.Txn{
		Checks: []platform.Check{{Key: plan.Key(p.ID), Revision: revision}},
		Writes: []platform.Write{{Key: plan.Key(p.ID), Value: accepted.Encode()}},
	}
	return o.daemon.versions.Append(ctx, head, target, entry, extra)
}

// refuseMoved tells which accepted changes a plan does not know of.
func (o *operatorService) refuseMoved(ctx context.Context, p *plan.Plan) (*sfv1.ConfirmResponse, bool, error) {
	entries, err := o.daemon.versions.List(ctx, versions.MaxListed)
	if err != nil {
		return nil, false, platformError(err)
	}
	response := &sfv1.ConfirmResponse{
		Outcome: outcomeRefused,
		Reason:  "another change was accepted since the plan was built; declare the intent again",
	}
	for _, e := range entries {
		if e.Intent > p.BuiltFrom && e.PlanID != "" {
			response.Changed = append(response.Changed, versionMessage(e))
		}
	}
	return response, false, nil
}

// Cancel implements the OperatorService.
func (o *operatorService) Cancel(ctx context.Context, req *connect.Request[sfv1.CancelRequest]) (*connect.Response[sfv1.CancelResponse], error) {
	p, revision, err := o.load(ctx, req.Msg.PlanId)
	if err != nil {
		return nil, err
	}
	if p.State != plan.StateDeclared {
		return connect.NewResponse(&sfv1.CancelResponse{Outcome: outcomeRefused, Reason: fmt.Sprintf("the plan is %s", p.State)}), nil
	}
	p.State = plan.StateCancelled
	_, err = o.daemon.platform.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: plan.Key(p.ID), Revision: revision}},
		Writes: []platform.Write{{Key: plan.Key(p.ID), Value: p.Encode()}},
	})
	if err != nil {
		return nil, platformError(err)
	}
	return connect.NewResponse(&sfv1.CancelResponse{Outcome: outcomeAccepted}), nil
}

// SystemStatus implements the OperatorService.
func (o *operatorService) SystemStatus(ctx context.Context, _ *connect.Request[sfv1.SystemStatusRequest]) (*connect.Response[sfv1.SystemStatusResponse], error) {
	local := o.daemon.holder.Current()
	response := &sfv1.SystemStatusResponse{
		LocalVersion: local.Version, HeadVersion: local.Version, IntentVersion: local.Intent,
	}
	head, err := o.daemon.versions.Head(ctx)
	if err == nil {
		response.TableReachable = true
		response.HeadVersion, response.IntentVersion = head.Version, head.Intent
	}
	return connect.NewResponse(response), nil
}

// History implements the OperatorService.
func (o *operatorService) History(ctx context.Context, req *connect.Request[sfv1.HistoryRequest]) (*connect.Response[sfv1.HistoryResponse], error) {
	entries, err := o.daemon.versions.List(ctx, int(req.Msg.Limit))
	if err != nil {
		return nil, platformError(err)
	}
	response := &sfv1.HistoryResponse{}
	for _, e := range entries {
		response.Versions = append(response.Versions, versionMessage(e))
	}
	return connect.NewResponse(response), nil
}

// Engines implements the OperatorService.
func (o *operatorService) Engines(ctx context.Context, _ *connect.Request[sfv1.EnginesRequest]) (*connect.Response[sfv1.EnginesResponse], error) {
	doc := o.daemon.holder.Current()
	response := &sfv1.EnginesResponse{}
	for _, pool := range doc.Pools {
		engines := doc.PoolEngines(pool.Name)
		views := o.daemon.observeEngines(ctx, engines)
		for _, e := range engines {
			response.Engines = append(response.Engines, engineMessage(e, views[e.ID].Status, views[e.ID].Reachable, o.holderOf(ctx, pool.Name)))
		}
	}
	return connect.NewResponse(response), nil
}

// holderOf names the holder of a pool's lease, as the table has it.
func (o *operatorService) holderOf(ctx context.Context, pool string) string {
	row, err := o.daemon.platform.Get(ctx, leaseKey(pool))
	if err != nil {
		return ""
	}
	var content struct {
		Holder string `json:"holder"`
	}
	if err := json.Unmarshal(row.Value, &content); err != nil {
		return ""
	}
	return content.Holder
}

// Instances implements the OperatorService.
func (o *operatorService) Instances(ctx context.Context, _ *connect.Request[sfv1.InstancesRequest]) (*connect.Response[sfv1.InstancesResponse], error) {
	response := &sfv1.InstancesResponse{HeadVersion: o.daemon.holder.Current().Version}
	for _, instance := range o.daemon.members.own() {
		row := &sfv1.InstanceRow{Id: instance.ID, Zone: instance.Zone, PlatformState: string(instance.State)}
		seen, err := o.daemon.peer(instance.Control).InForce(ctx, connect.NewRequest(&sfv1.InForceRequest{}))
		if err == nil {
			row.Reachable = true
			row.EntryVersion, row.ControlVersion = seen.Msg.EntryVersion, seen.Msg.ControlVersion
			row.Ready, row.Leases = seen.Msg.EntryReady, seen.Msg.Leases
		}
		response.Instances = append(response.Instances, row)
	}
	return connect.NewResponse(response), nil
}

func platformError(err error) error {
	if errors.Is(err, platform.ErrUnknown) || errors.Is(err, platform.ErrUnavailable) {
		return connect.NewError(connect.CodeUnavailable, errors.New("the platform's table did not answer; nothing was changed by this call unless plan or history shows it"))
	}
	return err
}

func findingsMessage(list finding.List) []*sfv1.Finding {
	var out []*sfv1.Finding
	for _, f := range list {
		out = append(out, &sfv1.Finding{
			File: f.File, Line: int32(f.Line), Column: int32(f.Column),
			Key: f.Key, Message: f.Message, Warning: f.Warning,
		})
	}
	return out
}

func planMessage(p *plan.Plan, now *config.Config) *sfv1.Plan {
	out := &sfv1.Plan{
		Id: p.ID, IntentName: p.Name, BuiltFrom: p.BuiltFrom, Operator: p.Operator,
		Warnings: p.Warnings, Refusals: p.Refusals, State: string(p.State), Version: p.Version,
	}
	done := true
	for _, s := range p.Steps {
		state := plan.StepWaiting
		if p.State == plan.StateConfirmed && now.Version >= p.Version {
			state = s.Progress(now)
		}
		done = done && state == plan.StepDone
		out.Steps = append(out.Steps, &sfv1.Step{
			Number: int32(s.Number), Kind: string(s.Kind), Pool: s.Pool, Engine: s.Engine,
			Text: s.Text, OutSeconds: s.OutSeconds, State: string(state),
		})
	}
	if p.State == plan.StateConfirmed && done {
		out.State = "done"
	}
	for _, e := range p.Effects {
		out.Effects = append(out.Effects, &sfv1.CapacityEffect{
			Model: e.Model, EnginesBefore: int32(e.Before), EnginesLowest: int32(e.Lowest), EnginesAfter: int32(e.After),
		})
	}
	return out
}
