package control

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/roles"
	"sassafrasfield/internal/versions"
)

// errPoolChanged reports that the pool changed between the observation and the
// decision.
var errPoolChanged = errors.New("roles: the pool changed since it was observed")

// rolePolicy runs the role policy for each pool whose lease this process holds.
// A decision becomes a version that changes only the wanted role of an engine.
// The rollout then carries it out.
type rolePolicy struct {
	daemon  *Daemon
	log     *slog.Logger
	changes metrics.Counter
	// pools is used only by the loop.
	pools map[string]*poolRoles
}

// poolRoles is the state of one pool.
type poolRoles struct {
	// changeVersion is the version of the newest role change. changeSeenAt is when
	// this process first saw it, so that clocks of different processes are never
	// compared.
	changeVersion int64
	changeSeenAt  time.Duration
	// epoch is the epoch of the lease, or 0 if this process does not hold it. The
	// fields below belong to that epoch.
	epoch       int64
	policyState roles.State
	reason      roles.Reason
	reports     map[string]lastReport
}

func newRolePolicy(d *Daemon, log *slog.Logger) *rolePolicy {
	return &rolePolicy{
		daemon: d, log: log, pools: map[string]*poolRoles{},
		changes: metrics.GetOrRegisterCounter("control.role_changes", metrics.DefaultRegistry),
	}
}

func (r *rolePolicy) loop(ctx context.Context) {
	runPeriodically(ctx, r.daemon.settings.Roles.Every, r.tick)
}

// tick runs a step for each pool whose lease is held and whose bounds allow
// role changes.
func (r *rolePolicy) tick(ctx context.Context) {
	doc := r.daemon.holder.Current()
	var due []*config.Pool
	for i := range doc.Pools {
		pool := &doc.Pools[i]
		state := r.poolState(pool)
		auth, held := r.daemon.leases.held(pool.Name)
		if !held || roles.BoundsOf(pool).ForbidsChanges() {
			state.epoch = 0
			continue
		}
		if state.epoch != auth.epoch {
			state.startEpoch(auth.epoch, pool)
		}
		due = append(due, pool)
	}
	if len(due) == 0 {
		return
	}
	observedAt := bootclock.Now()
	demand := r.daemon.observeDemand(ctx)
	for _, pool := range due {
		if err := r.step(ctx, doc, pool, observedAt, demand.forPool(pool.Name)); err != nil {
			r.log.Info("roles: role change failed", "pool", pool.Name, "error", err)
		}
	}
}

// poolState returns the state of a pool, and records when a role change is seen
// for the first time. It does so whether or not this process holds the lease.
func (r *rolePolicy) poolState(pool *config.Pool) *poolRoles {
	state, ok := r.pools[pool.Name]
	if !ok {
		state = &poolRoles{}
		r.pools[pool.Name] = state
	}
	if last := pool.LastRoleChange; last != nil && last.Version != state.changeVersion {
		state.changeVersion, state.changeSeenAt = last.Version, bootclock.Now()
	}
	return state
}

// startEpoch resets the state for a new epoch. It keeps the time out of service
// that the last holder measured.
func (p *poolRoles) startEpoch(epoch int64, pool *config.Pool) {
	p.epoch, p.policyState, p.reason, p.reports = epoch, roles.State{}, "", map[string]lastReport{}
	if last := pool.LastRoleChange; last != nil {
		p.policyState = p.policyState.WithOutOfService(time.Duration(last.OutSeconds * float64(time.Second)))
	}
}

// step runs the policy for one pool and carries out its decision.
func (r *rolePolicy) step(ctx context.Context, doc *config.Config, pool *config.Pool, observedAt time.Duration, demand roles.Demand) error {
	auth, held := r.daemon.leases.held(pool.Name)
	if !held {
		return nil
	}
	state := r.pools[pool.Name]
	obs := roles.Observation{
		At: observedAt, Demand: demand, Bounds: roles.BoundsOf(pool), Busy: !poolConverged(doc, pool.Name),
		Engines:   r.observeEngines(ctx, state, doc.PoolEngines(pool.Name)),
		ChangedAt: state.changeSeenAt, Changed: state.changeVersion > 0,
	}
	var decision roles.Decision
	state.policyState, decision = roles.Decide(r.daemon.settings.Roles, state.policyState, obs, bootclock.Now())
	if decision.Reason != state.reason {
		r.log.Info("roles: decided", "pool", pool.Name, "reason", decision.Reason,
			"gain", decision.Gain, "cost", decision.Cost, "prefill", decision.ForecastPrefill, "decode", decision.ForecastDecode)
		state.reason = decision.Reason
	}
	if decision.Change == nil {
		return nil
	}
	return r.change(ctx, pool, auth, doc, decision)
}

// change appends the version with a decision, if the pool has not changed since
// it was observed.
func (r *rolePolicy) change(ctx context.Context, pool *config.Pool, auth authority, observed *config.Config, decision roles.Decision) error {
	head, doc, err := r.daemon.versions.Newest(ctx)
	if err != nil {
		return err
	}
	next, err := withRole(observed, doc, pool.Name, decision)
	if err != nil {
		return err
	}
	entry := versions.Entry{
		Author:   "role policy on " + r.daemon.settings.Instance,
		Summary:  changeSummary(decision, pool.RoleChangeWeight, r.daemon.settings.Roles.Horizon),
		Accepted: time.Now().UnixMilli(),
	}
	ctx, cancel, err := r.daemon.prepareAccept(ctx, next.Version)
	defer cancel()
	if err != nil {
		return err
	}
	extra := platform.Txn{Checks: []platform.Check{auth.epochCheck(pool.Name)}}
	if err := r.daemon.versions.Append(ctx, head, next, entry, extra); err != nil {
		return err
	}
	r.changes.Inc(1)
	r.log.Info("roles: change decided", "pool", pool.Name, "version", next.Version, "why", entry.Summary)
	r.daemon.adoptConfig(next, "self")
	return nil
}

// withRole returns the newest document with the decision applied. It returns
// errPoolChanged if an operator's change or another step was accepted since the
// observation.
func withRole(observed, newest *config.Config, pool string, decision roles.Decision) (*config.Config, error) {
	c := decision.Change
	e := newest.Engine(c.Engine)
	if newest.Intent != observed.Intent || !poolConverged(newest, pool) || e == nil || e.Loaded.Role != c.From {
		return nil, errPoolChanged
	}
	next := newest.Clone()
	next.Version = newest.Version + 1
	next.Engine(c.Engine).Want.Role = c.To
	next.Pool(pool).LastRoleChange = &config.RoleChange{
		Version: next.Version, Engine: c.Engine, From: c.From, To: c.To, OutSeconds: decision.OutOfService.Seconds(),
	}
	return next, nil
}

// changeSummary returns the reason for a change, as the history shows it to
// operators.
func changeSummary(d roles.Decision, weight float64, horizon time.Duration) string {
	return fmt.Sprintf("engine %s from %s to %s: forecast %.0f prefill and %.0f decode tokens/s, gain %.2f s of goodput over %s, cost %.2f s (%.1f s out of service, weight %g)",
		d.Change.Engine, d.Change.From, d.Change.To, d.ForecastPrefill, d.ForecastDecode, d.Gain, horizon, d.Cost, d.OutOfService.Seconds(), weight)
}
