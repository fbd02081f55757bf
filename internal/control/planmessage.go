package control

import (
	"context"
	"sync"
	"time"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/config"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/plan"
	"sassafrasfield/internal/rollout"
)

// planMessage returns a plan with its progress in a configuration. waits maps
// the ID of each engine to what it waits for, and is nil if that was not
// queried.
func planMessage(p *plan.Plan, current *config.Config, waits map[string]string) *sfv1.Plan {
	progress := p.ProgressIn(current)
	out := &sfv1.Plan{
		Id: p.ID, IntentName: p.Name, BuiltFrom: p.BuiltFrom, Operator: p.Operator, ConfirmedBy: p.ConfirmedBy,
		Warnings: p.Warnings, Refusals: p.Refusals, State: progress.State, Version: p.Version,
		Reason: p.Reason, ExpectedSeconds: p.Seconds,
	}
	for i, s := range p.Steps {
		step := &sfv1.Step{
			Number: int32(s.Number), Kind: string(s.Kind), Pool: s.Pool, Engine: s.Engine,
			Text: s.Text, OutSeconds: s.OutSeconds, State: string(progress.Steps[i]),
		}
		if isUnfinished(progress.Steps[i]) {
			step.Detail = waits[s.Engine]
		}
		out.Steps = append(out.Steps, step)
	}
	for _, e := range p.Effects {
		out.Effects = append(out.Effects, &sfv1.CapacityEffect{
			Model: e.Model, EnginesBefore: int32(e.Before), EnginesLowest: int32(e.Lowest), EnginesAfter: int32(e.After),
		})
	}
	return out
}

func isUnfinished(s plan.StepState) bool {
	return s == plan.StepWaiting || s == plan.StepRunning
}

// waitReasonTTL is how long wait reasons are cached.
const waitReasonTTL = time.Second

// waitReasonCache caches what the engines of a pool wait for, so that operators
// who follow a plan don't cause a round of queries each time.
type waitReasonCache struct {
	mu    sync.Mutex // protects pools
	pools map[string]cachedWaitReasons
}

type cachedWaitReasons struct {
	at      time.Duration
	reasons map[string]string
}

// waitReasons returns what the unfinished engines of a confirmed plan wait for,
// as seen by this process.
func (d *Daemon) waitReasons(ctx context.Context, p *plan.Plan, doc *config.Config) map[string]string {
	all := map[string]string{}
	if p.Version == 0 || doc.Version < p.Version {
		return all
	}
	seen := map[string]bool{}
	for i, state := range p.ProgressIn(doc).Steps {
		pool := p.Steps[i].Pool
		if !isUnfinished(state) || pool == "" || seen[pool] || doc.Pool(pool) == nil {
			continue
		}
		seen[pool] = true
		for id, text := range d.poolWaitReasons(ctx, doc, pool) {
			all[id] = text
		}
	}
	return all
}

// poolWaitReasons returns the wait reasons of a pool's engines, cached for
// waitReasonTTL.
func (d *Daemon) poolWaitReasons(ctx context.Context, doc *config.Config, pool string) map[string]string {
	c := &d.waitReasonCache
	c.mu.Lock()
	cached, ok := c.pools[pool]
	c.mu.Unlock()
	if ok && bootclock.Now()-cached.at < waitReasonTTL {
		return cached.reasons
	}
	orders, err := d.readJournal(ctx, pool)
	if err != nil {
		return map[string]string{}
	}
	updated := cachedWaitReasons{reasons: rollout.Decide(d.buildView(ctx, doc, pool, orders)).Waits, at: bootclock.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools == nil {
		c.pools = map[string]cachedWaitReasons{}
	}
	c.pools[pool] = updated
	return updated.reasons
}
