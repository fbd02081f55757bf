package control

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/failpoint"
	"sassafrasfield/internal/order"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/rollout"
	"sassafrasfield/internal/versions"
)

// rolloutLoop brings the pools whose lease is held to the confirmed state. Each
// pool is stepped independently, so that slow engines of one pool do not delay
// another.
func (d *Daemon) rolloutLoop(ctx context.Context) {
	paces := map[string]*pace{}
	var work sync.WaitGroup
	runPeriodically(ctx, d.settings.Rollout.StepEvery, func(ctx context.Context) {
		d.history.noteListed(d.members.own(), bootclock.Now())
		for _, pool := range d.leases.heldPools() {
			p, ok := paces[pool]
			if !ok {
				p = &pace{minPeriod: d.settings.Rollout.StepEvery}
				paces[pool] = p
			}
			doc := d.holder.Current()
			if p.begin(bootclock.Now(), doc.Version, d.maxStepPeriod(doc, pool)) {
				work.Go(func() { p.end(bootclock.Now(), d.stepAndLog(ctx, pool)) })
			}
		}
	})
	work.Wait()
}

// maxStepPeriod returns the longest time between steps of a pool.
func (d *Daemon) maxStepPeriod(doc *config.Config, pool string) time.Duration {
	if poolConverged(doc, pool) {
		return d.settings.Rollout.WatchEvery
	}
	return d.settings.Rollout.WaitEvery
}

// stepAndLog steps a pool, logs an error, and reports whether anything was
// done.
func (d *Daemon) stepAndLog(ctx context.Context, pool string) bool {
	acted, err := d.stepPool(ctx, pool)
	if err != nil {
		d.log.Info("rollout: step failed", "pool", pool, "error", err)
	}
	return acted
}

// stepPool observes one pool and carries out the actions that are allowed now.
func (d *Daemon) stepPool(ctx context.Context, pool string) (acted bool, err error) {
	auth, held := d.leases.held(pool)
	if !held {
		return false, nil
	}
	ctx, span := startStepSpan(ctx, pool, auth)
	defer span.End()
	if !poolConverged(d.holder.Current(), pool) {
		if err := d.pollTable(ctx); err != nil {
			return false, err
		}
	}
	doc := d.holder.Current()
	if doc.Pool(pool) == nil {
		return false, nil // removed; syncPools releases its lease
	}
	view, err := d.observe(ctx, doc, pool)
	if err != nil {
		return false, err
	}
	actions := rollout.Next(view)
	for _, action := range actions {
		if err := d.carryOut(ctx, pool, auth, view, action); err != nil {
			return true, err
		}
	}
	return len(actions) > 0, nil
}

// poolConverged reports whether all engines of a pool have the state that the
// configuration wants.
func poolConverged(doc *config.Config, pool string) bool {
	for _, e := range doc.PoolEngines(pool) {
		if !rollout.Converged(e) {
			return false
		}
	}
	return true
}

func (d *Daemon) carryOut(ctx context.Context, pool string, auth authority, view rollout.View, action rollout.Action) error {
	switch a := action.(type) {
	case rollout.UpdateRouting:
		return d.updateRouting(ctx, pool, auth, view, a)
	case rollout.SendOrder:
		return d.sendCurrentOrder(ctx, pool, auth, view, a)
	case rollout.CloseOrder:
		row := view.Orders[a.Engine]
		row.State = order.StateDone
		failpoint.Hit("control.rollout.before_close")
		err := d.writeOrder(ctx, pool, auth, row)
		failpoint.Hit("control.rollout.after_close")
		return err
	}
	return errors.Errorf("rollout: unknown action %T", action)
}

// sendCurrentOrder sends an order if a transaction proves that the view is the
// newest. Reads may have been stale, and a holder that has just acquired the
// lease may not know of versions that the last one wrote. An order that was
// based on such a view could reach an engine that has returned to routing.
func (d *Daemon) sendCurrentOrder(ctx context.Context, pool string, auth authority, view rollout.View, send rollout.SendOrder) error {
	head, doc, err := d.versions.NewestFrom(ctx, d.holder.Current())
	if err != nil {
		return err
	}
	unchanged, err := d.versions.HeadUnchanged(ctx, head)
	if err != nil {
		return err
	}
	if !unchanged || !sameEngine(view.Config, doc, send.Engine) {
		return errors.Errorf("rollout: the view of engine %s is stale", send.Engine)
	}
	failpoint.Hit("control.rollout.before_order")
	d.history.noteOrder(send.Engine, bootclock.Now())
	err = d.sendOrder(ctx, pool, auth, view, send)
	failpoint.Hit("control.rollout.after_order")
	return err
}

// updateRouting appends a version with those changes whose engine is unchanged
// since the decision.
func (d *Daemon) updateRouting(ctx context.Context, pool string, auth authority, view rollout.View, update rollout.UpdateRouting) error {
	head, doc, err := d.versions.NewestFrom(ctx, d.holder.Current())
	if err != nil {
		return err
	}
	doc.Version = head.Version + 1
	var applied []rollout.Change
	for _, change := range update.Changes {
		if sameEngine(view.Config, doc, change.Engine) {
			change.Apply(doc)
			applied = append(applied, change)
		}
	}
	if len(applied) == 0 {
		return nil
	}
	entry := versions.Entry{Author: d.settings.Instance, Summary: routingSummary(applied), Accepted: time.Now().UnixMilli()}
	ctx, cancel, err := d.prepareAccept(ctx, doc.Version)
	defer cancel()
	if err != nil {
		return err
	}
	extra := platform.Txn{Checks: []platform.Check{auth.epochCheck(pool)}}
	failpoint.Hit("control.rollout.before_" + string(applied[0].Reason))
	if err := d.versions.Append(ctx, head, doc, entry, extra); err != nil {
		return err
	}
	failpoint.Hit("control.rollout.after_" + string(applied[0].Reason))
	d.log.Info("rollout: routing updated", "what", entry.Summary, "version", doc.Version)
	d.adoptConfig(doc, "self")
	return nil
}

// sameEngine reports whether an engine is the same in two documents.
func sameEngine(a, b *config.Config, id string) bool {
	return reflect.DeepEqual(a.Engine(id), b.Engine(id))
}

// routingSummary describes changes of routing for the history.
func routingSummary(changes []rollout.Change) string {
	parts := make([]string, 0, len(changes))
	for _, c := range changes {
		parts = append(parts, fmt.Sprintf("engine %s is %s (%s)", c.Engine, c.Routing, c.Reason))
	}
	return strings.Join(parts, ", ")
}
