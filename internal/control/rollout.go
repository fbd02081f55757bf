package control

import (
	"context"
	"fmt"
	"sync"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/order"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/rollout"
	"sassafrasfield/internal/versions"
)

// rolloutLoop brings the pools whose lease is held to the confirmed state.
func (d *Daemon) rolloutLoop(ctx context.Context) {
	every(ctx, d.settings.Rollout.StepEvery, func(ctx context.Context) {
		for _, pool := range d.leases.heldPools() {
			if err := d.stepPool(ctx, pool); err != nil {
				d.log.Info("rollout: a step did not succeed", "pool", pool, "error", err)
			}
		}
	})
}

// stepPool looks at one pool and carries out what may be done now.
func (d *Daemon) stepPool(ctx context.Context, pool string) error {
	auth, held := d.leases.held(pool)
	if !held || settled(d.holder.Current(), pool) {
		return nil
	}
	if err := d.poll(ctx); err != nil {
		return err
	}
	view, err := d.observe(ctx, pool)
	if err != nil {
		return err
	}
	for _, action := range rollout.Next(view) {
		if err := d.carryOut(ctx, pool, auth, view, action); err != nil {
			return err
		}
	}
	return nil
}

// settled tells whether the configuration has nothing left to do for a pool.
func settled(doc *config.Config, pool string) bool {
	for _, e := range doc.PoolEngines(pool) {
		arrived := e.Routing == config.RoutingServing && e.Loaded.Equal(e.Want)
		gone := e.Leave && e.Routing == config.RoutingOut
		if !arrived && !gone {
			return false
		}
	}
	return true
}

// observe asks the instances first and the engines after them, so that an
// engine's answer is newer than the instances'.
func (d *Daemon) observe(ctx context.Context, pool string) (rollout.View, error) {
	doc := d.holder.Current()
	orders, err := d.readOrders(ctx, pool)
	if err != nil {
		return rollout.View{}, err
	}
	view := rollout.View{Config: doc, Pool: pool, Orders: orders}
	view.Instances = d.observeInstances(ctx)
	view.Engines = d.observeEngines(ctx, doc.PoolEngines(pool))
	return view, nil
}

func (d *Daemon) observeInstances(ctx context.Context) []rollout.InstanceView {
	own := d.members.own()
	views := make([]rollout.InstanceView, len(own))
	var work sync.WaitGroup
	for i, instance := range own {
		work.Go(func() { views[i] = d.observeInstance(ctx, instance) })
	}
	work.Wait()
	return views
}

func (d *Daemon) observeInstance(ctx context.Context, instance platform.Instance) rollout.InstanceView {
	view := rollout.InstanceView{ID: instance.ID, Streams: map[string]int{}}
	response, err := d.peer(instance.Control).InForce(ctx, connect.NewRequest(&sfv1.InForceRequest{}))
	if err != nil || !response.Msg.EntryKnown {
		return view
	}
	view.Known = true
	view.Version = response.Msg.EntryVersion
	for _, s := range response.Msg.Streams {
		view.Streams[s.Engine] = int(s.Streams)
	}
	return view
}

func (d *Daemon) observeEngines(ctx context.Context, engines []*config.Engine) map[string]rollout.EngineView {
	views := map[string]rollout.EngineView{}
	var mu sync.Mutex // protects views
	var work sync.WaitGroup
	for _, e := range engines {
		work.Go(func() {
			status, err := d.engineAt(e.Address).Status(ctx)
			mu.Lock()
			defer mu.Unlock()
			views[e.ID] = rollout.EngineView{Reachable: err == nil, Status: status}
		})
	}
	work.Wait()
	return views
}

func (d *Daemon) carryOut(ctx context.Context, pool string, auth authority, view rollout.View, action rollout.Action) error {
	switch a := action.(type) {
	case rollout.Mark:
		return d.mark(ctx, pool, auth, a)
	case rollout.SendOrder:
		return d.sendOrder(ctx, pool, auth, view, a)
	case rollout.CloseOrder:
		row := view.Orders[a.Engine]
		row.State = order.StateDone
		return d.writeOrder(ctx, pool, auth, row)
	}
	return errors.Errorf("rollout: unknown action %T", action)
}

// mark appends a version that changes one engine's routing.
func (d *Daemon) mark(ctx context.Context, pool string, auth authority, mark rollout.Mark) error {
	head, doc, err := d.versions.Newest(ctx)
	if err != nil {
		return err
	}
	next := doc.Clone()
	next.Version = head.Version + 1
	next.SetRouting(mark.Engine, mark.Routing)
	if mark.Loaded != nil {
		next.Engine(mark.Engine).Loaded = *mark.Loaded
	}
	entry := versions.Entry{
		Author:  d.settings.Instance,
		Summary: fmt.Sprintf("engine %s is %s", mark.Engine, mark.Routing),
	}
	ctx, cancel, err := d.mayAccept(ctx, next.Version)
	defer cancel()
	if err != nil {
		return err
	}
	extra := platform.Txn{Checks: []platform.Check{auth.check(pool)}}
	if err := d.versions.Append(ctx, head, next, entry, extra); err != nil {
		return err
	}
	d.log.Info("rollout: marked", "engine", mark.Engine, "routing", mark.Routing, "version", next.Version)
	d.learn(next, "self")
	return nil
}
