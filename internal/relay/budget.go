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
	shareUsed = 0.9
	slackUsed = 0.9
	// ownSaved is what each instance may save up for itself, without which it could
	// make no further send by itself. The rest of the slack is pooled by zone, where
	// it goes to whoever needs it: failures come to few instances at a time.
	ownSaved = 1
)

// unknown is the number of instances while it is not known, as after a start.
const unknown = 0

// rules are one instance's own part of the bounds: its requests pay for its sends.
func (s BudgetSettings) rules() retry.Rules {
	return retry.Rules{Share: shareUsed * s.Share, Max: ownSaved}
}

// poolRules are the part of the bounds that is pooled by so many of all instances.
// Half of what the instances' own parts leave of the slack may be saved up, half is
// earned in each window without requests.
func (s BudgetSettings) poolRules(members, instances int) retry.Rules {
	if instances == unknown {
		return retry.Rules{}
	}
	left := max(0, slackUsed*s.Slack-ownSaved*float64(instances))
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
	meters attempt.Meters
	ask    func(ctx context.Context, service uint32) bool

	mu       sync.Mutex // protects all below
	settings BudgetSettings
	all      map[string]*attempt.Budget
}

func newBudgets(s BudgetSettings, meters attempt.Meters, ask func(context.Context, uint32) bool) *budgets {
	return &budgets{settings: s, meters: meters, ask: ask, all: map[string]*attempt.Budget{}}
}

// set takes other settings.
func (b *budgets) set(s BudgetSettings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s == b.settings {
		return
	}
	b.settings = s
	for _, budget := range b.all {
		budget.SetRules(s.rules())
	}
}

// spilled is what the requests to each service paid for beyond what this instance can
// save up, by a hash of the service.
func (b *budgets) spilled() map[uint32]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[uint32]float64, len(b.all))
	for service, budget := range b.all {
		if spilled := budget.Overflow(); spilled > 0 {
			all[hashOf(service)] = spilled
		}
	}
	return all
}

// hashOf names a service in what instances tell one another.
func hashOf(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// pooled asks the zone's pool for a send to a service.
type pooled struct {
	service uint32
	ask     func(ctx context.Context, service uint32) bool
}

// Acquire implements attempt.Pool.
func (p pooled) Acquire(ctx context.Context) bool { return p.ask(ctx, p.service) }

// of returns a service's budget. A new one has nothing saved up: the process whose
// place this one took may have spent the window's.
func (b *budgets) of(service string, now time.Duration) *attempt.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.all[service]
	if !ok {
		budget = attempt.NewBudget(b.settings.rules(), backoff, b.meters, pooled{service: hashOf(service), ask: b.ask}, now)
		b.all[service] = budget
	}
	return budget
}

// jittered spreads a time that is told to callers, up to half of it again.
func jittered(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*float64(d)/2)
}
