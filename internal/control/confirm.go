package control

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/failpoint"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/intent"
	"sassafrasfield/internal/plan"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/versions"
)

// Outcomes that operators receive.
const (
	outcomeAccepted = "accepted"
	outcomeRefused  = "refused"
	outcomeUnknown  = "unknown"
)

// A confirmation is retried if a version that the system itself wrote, or a
// stale read of the table, prevented it.
const (
	confirmAttempts = 10
	confirmPause    = 50 * time.Millisecond
	maxConfirmPause = time.Second
)

// verdict is the answer to a confirmation or a cancellation. The zero value
// requests a retry.
type verdict struct {
	outcome string
	reason  string
	version int64
	changed []*sfv1.VersionEntry
}

func refused(format string, args ...any) verdict {
	return verdict{outcome: outcomeRefused, reason: fmt.Sprintf(format, args...)}
}

// retryUntilDecided calls try until it returns an outcome or an error, with an
// exponential delay, and refuses after confirmAttempts.
func retryUntilDecided(ctx context.Context, try func(context.Context) (verdict, error)) (verdict, error) {
	pause := confirmPause
	for range confirmAttempts {
		v, err := try(ctx)
		if err != nil || v.outcome != "" {
			return v, err
		}
		wait(ctx, pause, nil)
		pause = min(2*pause, maxConfirmPause)
	}
	return refused("the configuration kept changing; nothing was changed by this call, so try again"), nil
}

// Confirm implements the OperatorService.
func (o *operatorService) Confirm(ctx context.Context, req *connect.Request[sfv1.ConfirmRequest]) (*connect.Response[sfv1.ConfirmResponse], error) {
	v, err := retryUntilDecided(ctx, func(ctx context.Context) (verdict, error) { return o.tryConfirm(ctx, req.Msg) })
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&sfv1.ConfirmResponse{
		Outcome: v.outcome, Reason: v.reason, Version: v.version, Changed: v.changed,
	}), nil
}

// Cancel implements the OperatorService.
func (o *operatorService) Cancel(ctx context.Context, req *connect.Request[sfv1.CancelRequest]) (*connect.Response[sfv1.CancelResponse], error) {
	v, err := retryUntilDecided(ctx, func(ctx context.Context) (verdict, error) { return o.tryCancel(ctx, req.Msg) })
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&sfv1.CancelResponse{Outcome: v.outcome, Reason: v.reason}), nil
}

// tryConfirm makes one attempt to confirm a plan. It requests a retry if the
// head moved only by versions that the system itself wrote, or if the table's
// answer was stale.
func (o *operatorService) tryConfirm(ctx context.Context, req *sfv1.ConfirmRequest) (verdict, error) {
	p, revision, err := o.loadPlan(ctx, req.PlanId)
	if err != nil {
		return verdict{}, err
	}
	if v, decided := verdictIfNotDeclared(p, req.Operator); decided {
		return v, nil
	}
	head, base, err := o.daemon.versions.NewestFrom(ctx, o.daemon.holder.Current())
	if errors.Is(err, versions.ErrStaleRead) {
		return verdict{}, nil
	}
	if err != nil {
		return tableErrorVerdict(err)
	}
	if base.Intent != p.BuiltFrom {
		return o.refuseOutdated(ctx, p, revision)
	}
	target, v := o.rebuildTarget(ctx, p, base)
	if target == nil {
		return o.verdictIfNewest(ctx, v, head, p, revision)
	}
	target.Version, target.Intent = head.Version+1, base.Intent+1
	p.ClaimEngines(target)
	accepted := *p
	accepted.State, accepted.Version, accepted.ConfirmedBy = plan.StateConfirmed, target.Version, req.Operator
	entry := versions.Entry{Author: req.Operator, Summary: p.Name, PlanID: p.ID}
	return o.appendVersion(ctx, head, target, &accepted, revision, entry)
}

// verdictIfNotDeclared returns the verdict on a plan that is no longer in the
// state declared. If the same operator confirms again, the answer is the same
// as before, since the first one may have been lost.
func verdictIfNotDeclared(p *plan.Plan, operator string) (v verdict, decided bool) {
	switch {
	case p.State == plan.StateDeclared:
		return verdict{}, false
	case p.State == plan.StateConfirmed && p.ConfirmedBy == operator:
		return verdict{outcome: outcomeAccepted, version: p.Version, reason: "it was accepted before"}, true
	case p.State == plan.StateConfirmed:
		v = refused("%s confirmed the plan before, as version %d", p.ConfirmedBy, p.Version)
		v.version = p.Version
		return v, true
	default:
		return refused("the plan is %s: %s", p.State, p.Reason), true
	}
}

// rebuildTarget applies the plan's intent to the newest configuration, and
// checks that the resulting steps are still those that the operator read.
func (o *operatorService) rebuildTarget(ctx context.Context, p *plan.Plan, base *config.Config) (*config.Config, verdict) {
	target, _, findings := intent.Apply(p.File, p.Source, base)
	if target == nil {
		return nil, refused("%s", findings.Error())
	}
	rebuilt := plan.Build(base, target, o.costs(ctx))
	if len(rebuilt.Refusals) > 0 {
		return nil, refused("%s", strings.Join(rebuilt.Refusals, "; "))
	}
	if !rebuilt.SameSteps(p) {
		return nil, refused("the engines' state has changed since the plan was built, and its steps with it; declare the intent again")
	}
	return target, verdict{}
}

// verdictIfNewest returns the verdict if a transaction proves that the head and
// the plan that it depends on are the newest. Otherwise it requests a retry.
func (o *operatorService) verdictIfNewest(ctx context.Context, v verdict, head versions.Head, p *plan.Plan, revision int64) (verdict, error) {
	newest, err := versions.CheckRevisions(ctx, o.daemon.platform,
		platform.Check{Key: versions.HeadKey, Revision: head.Revision},
		platform.Check{Key: plan.Key(p.ID), Revision: revision})
	if err != nil {
		return tableErrorVerdict(err)
	}
	if !newest {
		return verdict{}, nil
	}
	return v, nil
}

// appendVersion appends the version and writes the plan, in one transaction.
func (o *operatorService) appendVersion(ctx context.Context, head versions.Head, target *config.Config, p *plan.Plan, revision int64, entry versions.Entry) (verdict, error) {
	ctx, cancel, err := o.daemon.prepareAccept(ctx, target.Version)
	defer cancel()
	if err != nil {
		return refused("%v", err), nil
	}
	entry.Accepted = time.Now().UnixMilli()
	extra := platform.Txn{
		Checks: []platform.Check{{Key: plan.Key(p.ID), Revision: revision}},
		Writes: []platform.Write{{Key: plan.Key(p.ID), Value: p.Encode()}},
	}
	failpoint.Hit("control.operator.before_accept")
	err = o.daemon.versions.Append(ctx, head, target, entry, extra)
	failpoint.Hit("control.operator.after_accept")
	switch {
	case err == nil:
		o.daemon.adoptConfig(target, "self")
		return verdict{outcome: outcomeAccepted, version: target.Version}, nil
	case errors.Is(err, versions.ErrHeadMoved), errors.Is(err, platform.ErrConflict):
		return verdict{}, nil
	default:
		return tableErrorVerdict(err)
	}
}

// tableErrorVerdict returns the verdict for an error of the table.
func tableErrorVerdict(err error) (verdict, error) {
	switch {
	case errors.Is(err, platform.ErrUnknown):
		return verdict{outcome: outcomeUnknown, reason: "the table did not tell; sfctl plan shows what came of it, and to ask again is safe"}, nil
	case errors.Is(err, platform.ErrUnavailable):
		return refused("the platform's table does not answer; nothing was changed by this call"), nil
	default:
		return verdict{}, err
	}
}

// refuseOutdated refuses a plan that was built before other changes were
// accepted, and lists those changes. It records in the plan's row that the plan
// can't be confirmed any more.
func (o *operatorService) refuseOutdated(ctx context.Context, p *plan.Plan, revision int64) (verdict, error) {
	v := refused("another change was accepted since the plan was built; declare the intent again")
	entries, err := o.daemon.versions.List(ctx, versions.MaxListed)
	if err != nil {
		return tableErrorVerdict(err)
	}
	for _, e := range entries {
		if e.Intent > p.BuiltFrom && e.PlanID != "" {
			v.changed = append(v.changed, versionMessage(e))
		}
	}
	outdated := *p
	outdated.State, outdated.Reason = plan.StateRefused, v.reason
	_, err = o.daemon.platform.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: plan.Key(p.ID), Revision: revision}},
		Writes: []platform.Write{{Key: plan.Key(p.ID), Value: outdated.Encode()}},
	})
	if errors.Is(err, platform.ErrConflict) {
		return verdict{}, nil // the row changed since it was read; retry
	}
	if err != nil {
		return tableErrorVerdict(err)
	}
	return v, nil
}

// tryCancel cancels a declared plan, or the steps of a running plan that have
// not started.
func (o *operatorService) tryCancel(ctx context.Context, req *sfv1.CancelRequest) (verdict, error) {
	p, revision, err := o.loadPlan(ctx, req.PlanId)
	if err != nil {
		return verdict{}, err
	}
	switch p.State {
	case plan.StateDeclared:
		return o.cancelDeclared(ctx, p, revision, req.Operator)
	case plan.StateConfirmed:
		return o.cancelRunning(ctx, p, revision, req.Operator)
	default:
		return refused("the plan is %s already", p.State), nil
	}
}

func (o *operatorService) cancelDeclared(ctx context.Context, p *plan.Plan, revision int64, operator string) (verdict, error) {
	p.State, p.Reason = plan.StateCancelled, "cancelled by "+operator+" before it was confirmed"
	_, err := o.daemon.platform.Commit(ctx, platform.Txn{
		Checks: []platform.Check{{Key: plan.Key(p.ID), Revision: revision}},
		Writes: []platform.Write{{Key: plan.Key(p.ID), Value: p.Encode()}},
	})
	switch {
	case err == nil:
		return verdict{outcome: outcomeAccepted, reason: "the plan was not confirmed yet; nothing changes"}, nil
	case errors.Is(err, platform.ErrConflict):
		return verdict{}, nil
	default:
		return tableErrorVerdict(err)
	}
}

// cancelRunning appends a version that keeps the current state of everything
// that the plan has not started to change.
func (o *operatorService) cancelRunning(ctx context.Context, p *plan.Plan, revision int64, operator string) (verdict, error) {
	head, doc, err := o.daemon.versions.NewestFrom(ctx, o.daemon.holder.Current())
	if errors.Is(err, versions.ErrStaleRead) {
		return verdict{}, nil
	}
	if err != nil {
		return tableErrorVerdict(err)
	}
	if !p.Cancel(doc) {
		return refused("the plan is done already"), nil
	}
	doc.Version, doc.Intent = head.Version+1, doc.Intent+1
	p.Reason = "cancelled by " + operator + "; steps that had started are finished"
	entry := versions.Entry{Author: operator, Summary: "cancel " + p.Name, PlanID: p.ID}
	v, err := o.appendVersion(ctx, head, doc, p, revision, entry)
	if v.outcome == outcomeAccepted {
		v.reason = "steps that had started are finished, the others are cancelled"
	}
	return v, err
}
