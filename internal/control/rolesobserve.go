package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/roles"
)

// lastReport identifies the newest report of an engine, and when it was first
// seen.
type lastReport struct {
	boot string
	seq  int64
	at   time.Duration
}

// observeEngines reads the load report of each engine. A report that has not
// been replaced by a newer one within stale_after is ignored.
func (r *rolePolicy) observeEngines(ctx context.Context, state *poolRoles, engines []*config.Engine) []roles.Engine {
	views := make([]roles.Engine, len(engines))
	reports := make([]*engine.Report, len(engines))
	var work sync.WaitGroup
	for i, e := range engines {
		work.Go(func() {
			if report, err := r.daemon.engineAt(e.Address).Report(ctx); err == nil {
				reports[i] = &report
			}
		})
	}
	work.Wait()
	draining := r.daemon.members.drainingUpstreams()
	for i, e := range engines {
		views[i] = roles.Engine{
			ID: e.ID, Role: e.Loaded.Role, Changing: e.Loaded.Role != e.Want.Role,
			Serving: e.Routing == config.RoutingServing && !e.Leave && !slices.Contains(draining, e.ID),
		}
		if reports[i] != nil && state.isRecent(e.ID, *reports[i], bootclock.Now(), r.daemon.settings.Roles.StaleAfter) {
			copyReport(&views[i], *reports[i])
		}
	}
	return views
}

// isRecent reports whether a report is newer than the last one, or the last one
// was first seen within staleAfter.
func (p *poolRoles) isRecent(id string, report engine.Report, now, staleAfter time.Duration) bool {
	last, ok := p.reports[id]
	if !ok || last.boot != report.Boot || last.seq < report.Seq {
		p.reports[id] = lastReport{boot: report.Boot, seq: report.Seq, at: now}
		return true
	}
	return now-last.at <= staleAfter
}

func copyReport(view *roles.Engine, report engine.Report) {
	view.Reported = true
	view.PrefillRate, view.DecodeRate = report.PrefillRate, report.DecodeRate
	view.PrefillQueue = report.PrefillTokens
	view.Running, view.Waiting = report.Running, report.Waiting
}

// demandRound is the result of querying the instances once.
type demandRound struct {
	instances, queried, answered int
	pools                        map[string]*sfv1.PoolDemand
}

// forPool returns the demand of one pool.
func (d demandRound) forPool(pool string) roles.Demand {
	sum := d.pools[pool]
	return roles.Demand{
		Prefill: sum.GetPrefillTokens(), Decode: sum.GetDecodeTokens(),
		Instances: d.instances, Asked: d.queried, Answered: d.answered,
	}
}

// observeDemand queries the instances for their measured demand: all of them, or
// a random sample of ask_at_most instances.
func (d *Daemon) observeDemand(ctx context.Context) demandRound {
	own := d.members.own()
	round := demandRound{instances: len(own), pools: map[string]*sfv1.PoolDemand{}}
	queried := sampleInstances(own, d.settings.Roles.AskAtMost)
	round.queried = len(queried)
	answers := make([]*sfv1.InForceResponse, len(queried))
	var work sync.WaitGroup
	for i, instance := range queried {
		work.Go(func() {
			response, err := d.peer(instance.Control).InForce(ctx, connect.NewRequest(&sfv1.InForceRequest{}))
			if err == nil && response.Msg.EntryKnown {
				answers[i] = response.Msg
			}
		})
	}
	work.Wait()
	for _, answer := range answers {
		if answer != nil {
			round.add(answer)
		}
	}
	return round
}

func (d *demandRound) add(answer *sfv1.InForceResponse) {
	d.answered++
	for _, demand := range answer.Demand {
		sum, ok := d.pools[demand.Pool]
		if !ok {
			sum = &sfv1.PoolDemand{Pool: demand.Pool}
			d.pools[demand.Pool] = sum
		}
		sum.PrefillTokens += demand.PrefillTokens
		sum.DecodeTokens += demand.DecodeTokens
	}
}

// sampleInstances returns all instances, or a random sample if there are more
// than limit.
func sampleInstances(instances []platform.Instance, limit int) []platform.Instance {
	if len(instances) <= limit {
		return instances
	}
	chosen := make([]platform.Instance, 0, limit)
	for _, i := range rand.Perm(len(instances))[:limit] {
		chosen = append(chosen, instances[i])
	}
	return chosen
}
