package control

import (
	"context"
	"encoding/json"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sassafrasfield/internal/finding"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/intent"
	"sassafrasfield/internal/leaserows"
	"sassafrasfield/internal/plan"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/versions"
)

// Expected durations of changes in seconds, as plans show them.
const (
	changeSeconds = 5
	loadSeconds   = 1
)

// readAttempts and readPause bound the retries of a read that did not find a
// row, since a stale copy of the table may not have the row yet.
const (
	readAttempts = 5
	readPause    = 100 * time.Millisecond
)

// operatorService serves sfctl.
type operatorService struct {
	daemon *Daemon
}

// Declare implements the OperatorService.
func (o *operatorService) Declare(ctx context.Context, req *connect.Request[sfv1.DeclareRequest]) (*connect.Response[sfv1.DeclareResponse], error) {
	_, base, err := o.daemon.versions.NewestFrom(ctx, o.daemon.holder.Current())
	if err != nil {
		return nil, platformError(err)
	}
	target, in, findings := intent.Apply(req.Msg.File, req.Msg.Intent, base)
	response := &sfv1.DeclareResponse{Findings: findingsMessage(findings)}
	if target == nil {
		return connect.NewResponse(response), nil
	}
	p := plan.Build(base, target, o.costs(ctx))
	p.ID = uuid.NewString()[:8]
	p.Name = in.Name
	p.Operator = req.Msg.Operator
	p.File, p.Source = req.Msg.File, req.Msg.Intent
	if err := o.savePlan(ctx, p); err != nil {
		return nil, platformError(err)
	}
	response.PlanId = p.ID
	response.Plan = planMessage(p, base, nil)
	return connect.NewResponse(response), nil
}

// costs returns the expected times of changes, with the weight store's rate if
// the platform reports it.
func (o *operatorService) costs(ctx context.Context) plan.Costs {
	rate, _ := o.daemon.weightRate(ctx) // 0 if unknown
	return plan.Costs{
		ChangeSeconds: changeSeconds, LoadSeconds: loadSeconds,
		WeightRate: rate, TargetLoadTime: o.daemon.settings.Rollout.LoadTime,
	}
}

// savePlan writes a declared plan. Its ID is unique, so the write is
// idempotent.
func (o *operatorService) savePlan(ctx context.Context, p *plan.Plan) error {
	_, err := o.daemon.platform.Commit(ctx, platform.Txn{
		Writes: []platform.Write{{Key: plan.Key(p.ID), Value: p.Encode()}},
	})
	return err
}

// loadPlan returns a plan and the revision of its row. It returns a not-found
// error only if a transaction proves that the row does not exist.
func (o *operatorService) loadPlan(ctx context.Context, id string) (*plan.Plan, int64, error) {
	for range readAttempts {
		row, err := o.daemon.platform.Get(ctx, plan.Key(id))
		if err == nil {
			p, err := plan.Decode(row.Value)
			return p, row.Revision, err
		}
		if !errors.Is(err, platform.ErrNotFound) {
			return nil, 0, platformError(err)
		}
		absent, err := versions.CheckRevisions(ctx, o.daemon.platform, platform.Check{Key: plan.Key(id), Revision: 0})
		if err != nil {
			return nil, 0, platformError(err)
		}
		if absent {
			return nil, 0, connect.NewError(connect.CodeNotFound, errors.Errorf("no plan %q", id))
		}
		wait(ctx, readPause, nil)
	}
	return nil, 0, platformError(platform.ErrUnavailable)
}

// GetPlan implements the OperatorService.
func (o *operatorService) GetPlan(ctx context.Context, req *connect.Request[sfv1.GetPlanRequest]) (*connect.Response[sfv1.GetPlanResponse], error) {
	p, _, err := o.loadPlan(ctx, req.Msg.PlanId)
	if err != nil {
		return nil, err
	}
	doc := o.daemon.holder.Current()
	return connect.NewResponse(&sfv1.GetPlanResponse{Plan: planMessage(p, doc, o.daemon.waitReasons(ctx, p, doc))}), nil
}

// SystemStatus implements the OperatorService.
func (o *operatorService) SystemStatus(ctx context.Context, _ *connect.Request[sfv1.SystemStatusRequest]) (*connect.Response[sfv1.SystemStatusResponse], error) {
	local := o.daemon.holder.Current()
	response := &sfv1.SystemStatusResponse{
		LocalVersion: local.Version, HeadVersion: local.Version, IntentVersion: local.Intent,
	}
	head, doc, err := o.daemon.versions.NewestFrom(ctx, local)
	if err != nil && !errors.Is(err, versions.ErrStaleRead) {
		return connect.NewResponse(response), nil
	}
	response.TableReachable = true
	if err != nil {
		doc = local
	} else {
		response.HeadVersion, response.IntentVersion = head.Version, head.Intent
	}
	for _, id := range plan.RunningIDs(doc) {
		p, _, err := o.loadPlan(ctx, id)
		if err != nil {
			return nil, err
		}
		response.Running = append(response.Running, planMessage(p, doc, nil))
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
			response.Engines = append(response.Engines, engineMessage(e, views[e.ID].Status, views[e.ID].Reachable, o.leaseHolder(ctx, pool.Name)))
		}
	}
	return connect.NewResponse(response), nil
}

// leaseHolder returns the holder of a pool's lease according to the table.
func (o *operatorService) leaseHolder(ctx context.Context, pool string) string {
	row, err := o.daemon.platform.Get(ctx, leaserows.Key(pool))
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

// stateNotListed is shown as the state of an instance that sent requests but is
// not in the platform's list.
const stateNotListed = "not listed"

// Instances implements the OperatorService. The platform's list may not contain
// the newest instances yet, so it also shows those that sent requests to this
// instance.
func (o *operatorService) Instances(ctx context.Context, _ *connect.Request[sfv1.InstancesRequest]) (*connect.Response[sfv1.InstancesResponse], error) {
	response := &sfv1.InstancesResponse{HeadVersion: o.daemon.holder.Current().Version}
	for _, instance := range o.daemon.members.withUnlisted() {
		row := &sfv1.InstanceRow{Id: instance.ID, Zone: instance.Zone, PlatformState: string(instance.State)}
		if instance.State == "" {
			row.PlatformState = stateNotListed
		}
		inForce, err := o.daemon.peer(instance.Control).InForce(ctx, connect.NewRequest(&sfv1.InForceRequest{}))
		if err == nil {
			row.Reachable = true
			row.EntryVersion, row.ControlVersion = inForce.Msg.EntryVersion, inForce.Msg.ControlVersion
			row.Ready, row.Leases = inForce.Msg.EntryReady, inForce.Msg.Leases
		}
		response.Instances = append(response.Instances, row)
	}
	return connect.NewResponse(response), nil
}

func platformError(err error) error {
	if errors.Is(err, platform.ErrUnknown) || errors.Is(err, platform.ErrUnavailable) || errors.Is(err, versions.ErrStaleRead) {
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
