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

// BudgetSettings bounds the retries, which are the sends beyond the first of each request. The
// bounds hold for each service, over all instances together.
type BudgetSettings struct {
	// Share is how much of one retry each request adds to the budget.
	Share float64
	// Slack is the number of further retries that are allowed in each window.
	Slack  float64
	Window time.Duration
}

// Fractions of the bounds that are used. The bounds apply to the retries of all instances in any
// sliding window. The retries saved up before a window and those earned during it must together stay
// within them.
const (
	usedShare = 0.9
	usedSlack = 0.9
	// instanceReserve is the number of retries that each instance may save up for itself.
	// Without it an instance could make no retry on its own. The rest of the slack is pooled by zone and
	// goes to whichever instance needs it, because failures hit few instances at a time.
	instanceReserve = 1
)

// instancesUnknown stands for a number of instances that is not known, as after a start.
const instancesUnknown = 0

// instanceRules returns the rules of an instance's own budget, which its requests earn.
func (s BudgetSettings) instanceRules() retry.Rules {
	return retry.Rules{Share: usedShare * s.Share, Max: instanceReserve}
}

// poolRules returns the rules of a pool that the given number of members share, out of the given
// number of instances. The pool gets their share of the slack that the instances' own budgets leave.
// Half of it may be saved up, and half is earned in each window regardless of requests.
func (s BudgetSettings) poolRules(members, instances int) retry.Rules {
	if instances == instancesUnknown {
		return retry.Rules{}
	}
	slackLeft := max(0, usedSlack*s.Slack-instanceReserve*float64(instances))
	fraction := float64(members) / float64(max(members, instances))
	return retry.Rules{
		Floor: fraction * slackLeft / 2 / max(1, s.Window.Seconds()),
		Max:   fraction * slackLeft / 2,
	}
}

// backoff bounds the wait before a retry. A retry goes to another upstream, so the wait only
// has to spread out requests that failed at the same time.
var backoff = retry.Backoff{Base: 2 * time.Millisecond, Max: 20 * time.Millisecond}

// budgets holds one retry budget per service.
type budgets struct {
	meters       attempt.Meters
	requestRetry func(ctx context.Context, service uint32) bool

	mu        sync.Mutex // protects the fields below
	settings  BudgetSettings
	byService map[string]*attempt.Budget
}

func newBudgets(s BudgetSettings, meters attempt.Meters, requestRetry func(context.Context, uint32) bool) *budgets {
	return &budgets{settings: s, meters: meters, requestRetry: requestRetry, byService: map[string]*attempt.Budget{}}
}

// set replaces the settings.
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

// overflow returns what the requests to each service earned beyond this instance's maximum balance,
// by a hash of the service.
func (b *budgets) overflow() map[uint32]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	byService := make(map[uint32]float64, len(b.byService))
	for service, budget := range b.byService {
		if overflow := budget.Overflow(); overflow > 0 {
			byService[serviceHash(service)] = overflow
		}
	}
	return byService
}

// serviceHash identifies a service in messages between instances.
func serviceHash(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// poolClient requests retries for a service from the zone's pool.
type poolClient struct {
	service uint32
	request func(ctx context.Context, service uint32) bool
}

// Acquire implements attempt.Pool.
func (p poolClient) Acquire(ctx context.Context) bool { return p.request(ctx, p.service) }

// forService returns a service's budget. A new budget starts empty, because the process that this
// one replaced may have exhausted the window's.
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

// jittered extends a retry delay for callers at random, by up to half of it.
func jittered(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*float64(d)/2)
}
