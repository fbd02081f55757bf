package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrasfield/internal/attempt"
	"sassafrasfield/internal/retry"
)

// BudgetSettings bound the sends beyond the first of each request, for each
// service, over all instances.
type BudgetSettings struct {
	// Share of further sends that each request pays for.
	Share float64
	// Slack is how many further sends are allowed besides in each window.
	Slack  float64
	Window time.Duration
}

// Parts of the bounds that are used. The window is counted over all instances
// together, and it slides: what was saved up and what is earned in one window must
// both fit.
const (
	usedShare = 0.9
	usedSlack = 0.9
	// instanceReserve is what each instance may save up for itself, without which it could
	// make no further send by itself. The rest of the slack is pooled by zone, where
	// it goes to whoever needs it: failures come to few instances at a time.
	instanceReserve = 1
)

// instancesUnknown is the number of instances while it is not known, as after a start.
const instancesUnknown = 0

// instanceRules are one instance's own part of the bounds: its requests pay for its sends.
func (s BudgetSettings) instanceRules() retry.Rules {
	return retry.Rules{Share: usedShare * s.Share, Max: instanceReserve}
}

// poolRules are the part of the bounds that is pooled by so many of all instances.
// Half of what the instances' own parts leave of the slack may be saved up, half is
// earned in each window without requests.
func (s BudgetSettings) poolRules(members, instances int) retry.Rules {
	if instances == instancesUnknown {
		return retry.Rules{}
	}
	left := max(0, usedSlack*s.Slack-instanceReserve*float64(instances))
	part := float64(members) / float64(max(members, instances))
	return retry.Rules{
		Floor: part * left / 2 / max(1, s.Window.Seconds()),
		Max:   part * left / 2,
	}
}

// backoff bounds the wait before a further send. Another upstream is asked, so
// it only has to keep requests that failed together apart.
var backoff = retry.Backoff{Base: 2 * time.Millisecond, Max: 20 * time.Millisecond}

// budgets has one retry budget a service.
type budgets struct {
	meters       attempt.Meters
	requestRetry func(ctx context.Context, service uint32) bool

	mu        sync.Mutex // protects all below
	settings  BudgetSettings
	byService map[string]*attempt.Budget
}

func newBudgets(s BudgetSettings, meters attempt.Meters, ask func(context.Context, uint32) bool) *budgets {
	return &budgets{settings: s, meters: meters, requestRetry: ask, byService: map[string]*attempt.Budget{}}
}

// set takes other settings.
func (b *budgets) set(s BudgetSettings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s == b.settings {
		return
	}
	b.settings = s
	for _, budget := range b.byService {
		budget.SetRules(s.instanceRules())
	}
}

// overflow is what the requests to each service paid for beyond what this instance can
// save up, by a hash of the service.
func (b *budgets) overflow() map[uint32]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[uint32]float64, len(b.byService))
	for service, budget := range b.byService {
		if spilled := budget.Overflow(); spilled > 0 {
			all[serviceHash(service)] = spilled
		}
	}
	return all
}

// serviceHash names a service in what instances tell one another.
func serviceHash(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// poolClient asks the zone's pool for a send to a service.
type poolClient struct {
	service uint32
	request func(ctx context.Context, service uint32) bool
}

// Acquire implements attempt.Pool.
func (p poolClient) Acquire(ctx context.Context) bool { return p.request(ctx, p.service) }

// forService returns a service's budget. A new one has nothing saved up: the process whose
// place this one took may have spent the window's.
func (b *budgets) forService(service string, now time.Duration) *attempt.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.byService[service]
	if !ok {
		budget = attempt.NewBudget(b.settings.instanceRules(), backoff, b.meters, poolClient{service: serviceHash(service), request: b.requestRetry}, now)
		b.byService[service] = budget
	}
	return budget
}

// jittered spreads a time that is told to callers, up to half of it again.
func jittered(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*float64(d)/2)
}
