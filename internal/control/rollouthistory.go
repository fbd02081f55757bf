package control

import (
	"context"
	"sync"
	"time"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/rollout"
)

// weightRateTTL is how long the weight store's rate is cached.
const weightRateTTL = time.Minute

// rolloutHistory holds the observations that the rollout needs from earlier
// steps: how long an engine has not answered, which instances were listed
// recently, since when the routing of an engine is known, and when an order was
// last sent.
type rolloutHistory struct {
	settings RolloutSettings

	mu               sync.Mutex // protects the fields below
	unreachableTimer rollout.UnreachableTimer
	listed           map[string]listedInstance
	routings         map[string]seenRouting
	lastOrders       map[string]time.Duration
	rate             float64
	rateAt           time.Duration
}

// listedInstance is an own instance and when the platform last listed it.
type listedInstance struct {
	instance platform.Instance
	at       time.Duration
}

// seenRouting is the version that set an engine's routing, and when this
// process first saw it.
type seenRouting struct {
	since int64
	at    time.Duration
}

func newRolloutHistory(s RolloutSettings) *rolloutHistory {
	maxGap := 4*s.WatchEvery + s.EngineTimeout
	return &rolloutHistory{
		settings:         s,
		routings:         map[string]seenRouting{},
		unreachableTimer: rollout.UnreachableTimer{MaxGap: maxGap},
		listed:           map[string]listedInstance{},
		lastOrders:       map[string]time.Duration{},
	}
}

// noteListed records the newest instance list. An instance that is no longer
// listed may still run, so it is queried for another 2*silent_after.
func (w *rolloutHistory) noteListed(own []platform.Instance, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, instance := range own {
		w.listed[instance.ID] = listedInstance{instance: instance, at: now}
	}
	for id, l := range w.listed {
		if now-l.at > 2*w.settings.SilentAfter {
			delete(w.listed, id)
		}
	}
}

// instancesToQuery returns the instances that may route to engines.
func (w *rolloutHistory) instancesToQuery(now time.Duration) []platform.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []platform.Instance
	for _, l := range w.listed {
		if now-l.at <= 2*w.settings.SilentAfter {
			all = append(all, l.instance)
		}
	}
	return all
}

// engineView records an engine's answer and returns it together with the
// earlier observations.
func (w *rolloutHistory) engineView(e *config.Engine, status engine.Status, reachable bool, now time.Duration) rollout.EngineView {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := e.ID
	if w.routings[id].since != e.RoutingSince {
		w.routings[id] = seenRouting{since: e.RoutingSince, at: now}
	}
	view := rollout.EngineView{Reachable: reachable, Status: status, RoutingAge: now - w.routings[id].at}
	if reachable {
		w.unreachableTimer.Answered(id)
	} else {
		view.UnansweredFor = w.unreachableTimer.Missed(id, now)
	}
	at, sent := w.lastOrders[id]
	view.RecentlyOrdered = sent && now-at < w.settings.ResendAfter
	return view
}

// noteOrder records that an order is about to be sent.
func (w *rolloutHistory) noteOrder(id string, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastOrders[id] = now
}

// limits returns the limits of a pool's rollout.
func (d *Daemon) limits(ctx context.Context, doc *config.Config, pool string) rollout.Limits {
	s := d.settings.Rollout
	return rollout.Limits{
		InstanceTimeout:  s.SilentAfter,
		UnreachableAfter: s.UnreachableAfter,
		MaxLoads:         d.maxLoads(ctx, doc, pool),
	}
}

// maxLoads returns a pool's share of the loads that the weight store can serve
// concurrently. The lease holders of the pools divide the rate without
// communicating: each sees in the configuration which pools have weights to
// load.
func (d *Daemon) maxLoads(ctx context.Context, doc *config.Config, pool string) int {
	s := d.settings.Rollout
	model := doc.Model(doc.Pool(pool).Model)
	if poolConverged(doc, pool) || model == nil || model.WeightBytes == 0 {
		return s.MaxLoads
	}
	rate, known := d.weightRate(ctx)
	if !known {
		return s.MaxLoads
	}
	return rollout.ParallelLoads(rate, model.WeightBytes, s.LoadTime, loadingPools(doc))
}

// loadingPools returns the number of pools with engines that still need
// weights.
func loadingPools(doc *config.Config) int {
	pools := map[string]bool{}
	for i := range doc.Engines {
		if e := &doc.Engines[i]; rollout.NeedsWeights(e.Loaded, e.Want) {
			pools[e.Pool] = true
		}
	}
	return len(pools)
}

// weightRate returns the weight store's rate in bytes per second. It is known
// once the platform has reported it.
func (d *Daemon) weightRate(ctx context.Context) (rate float64, known bool) {
	w, now := d.history, bootclock.Now()
	w.mu.Lock()
	rate, at := w.rate, w.rateAt
	w.mu.Unlock()
	if rate > 0 && now-at < weightRateTTL {
		return rate, true
	}
	newRate, err := d.platform.WeightRate(ctx)
	if err != nil {
		return rate, rate > 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rate, w.rateAt = newRate, now
	return newRate, newRate > 0
}
