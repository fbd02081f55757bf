package control

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/config"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/order"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/rollout"
)

// observe reads the orders of a pool and returns the view for a decision on the
// pool. See buildView.
func (d *Daemon) observe(ctx context.Context, doc *config.Config, pool string) (rollout.View, error) {
	orders, err := d.readOrdersForHolder(ctx, pool)
	if err != nil {
		return rollout.View{}, err
	}
	return d.buildView(ctx, doc, pool, orders), nil
}

// buildView queries the engines of a pool, and the instances if the decision on
// an engine depends on them. It does not query the instances for pools that are
// only watched for faults, or for engines that don't answer. After the
// instances, it queries the engines again, so that their answers are newer than
// those of the instances.
func (d *Daemon) buildView(ctx context.Context, doc *config.Config, pool string, orders map[string]order.Row) rollout.View {
	view := rollout.View{
		Config: doc, Pool: pool, Orders: orders,
		Limits: d.limits(ctx, doc, pool), ShuttingDown: d.shuttingDownEngines(),
	}
	engines := doc.PoolEngines(pool)
	view.Engines = d.observeEngines(ctx, engines)
	if rollout.Decide(view).QueryInstances {
		view.Instances = d.observeInstances(ctx)
		view.Engines = d.observeEngines(ctx, engines)
	}
	return view
}

// shuttingDownEngines returns the upstreams that the platform lists as
// draining.
func (d *Daemon) shuttingDownEngines() map[string]bool {
	draining := map[string]bool{}
	for _, id := range d.members.drainingUpstreams() {
		draining[id] = true
	}
	return draining
}

func (d *Daemon) observeInstances(ctx context.Context) []rollout.InstanceView {
	instances := d.history.instancesToQuery(bootclock.Now())
	views := make([]rollout.InstanceView, len(instances))
	var work sync.WaitGroup
	for i, instance := range instances {
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
	view.Answered = true
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
			view := d.observeEngine(ctx, e)
			mu.Lock()
			defer mu.Unlock()
			views[e.ID] = view
		})
	}
	work.Wait()
	return views
}

func (d *Daemon) observeEngine(ctx context.Context, e *config.Engine) rollout.EngineView {
	status, err := d.engineAt(e.Address).Status(ctx)
	return d.history.engineView(e, status, err == nil, bootclock.Now())
}
