package relay

import (
	"math/rand/v2"
	"sync"
	"time"

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
// together, and it slides; what an instance saved up and what it earns in one
// window must both fit.
const (
	shareUsed = 0.9
	savedUsed = 0.55
	floorUsed = 0.35
)

// unknown is the number of instances while it is not known, as after a start.
const unknown = 0

// rules are one instance's part of the bounds, when so many share them. While
// the number is not known, a send is paid for by requests alone: that part of the
// bounds needs no division. Each instance may save up one send at least; what that
// takes beyond savedUsed is taken off the floor.
func (s BudgetSettings) rules(instances int) retry.Rules {
	if instances == unknown {
		return retry.Rules{Share: shareUsed * s.Share, Max: 1}
	}
	saved := max(float64(instances), savedUsed*s.Slack)
	floor := max(0, min(floorUsed*s.Slack, (savedUsed+floorUsed)*s.Slack-saved))
	return retry.Rules{
		Share: shareUsed * s.Share,
		Floor: floor / float64(instances) / max(1, s.Window.Seconds()),
		Max:   saved / float64(instances),
	}
}

// backoff bounds the wait before a further send. Another upstream is asked, so
// it only has to keep requests that failed together apart.
var backoff = retry.Backoff{Base: 2 * time.Millisecond, Max: 20 * time.Millisecond}

// budgets has one retry budget a service.
type budgets struct {
	meters attempt.Meters

	mu        sync.Mutex // protects all below
	settings  BudgetSettings
	instances int
	all       map[string]*attempt.Budget
}

func newBudgets(s BudgetSettings, meters attempt.Meters) *budgets {
	return &budgets{settings: s, meters: meters, instances: unknown, all: map[string]*attempt.Budget{}}
}

// set takes other settings, or another number of instances that share them.
func (b *budgets) set(s BudgetSettings, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s == b.settings && instances == b.instances {
		return
	}
	b.settings, b.instances = s, instances
	for _, budget := range b.all {
		budget.SetRules(s.rules(instances))
	}
}

// of returns a service's budget. A new one has nothing saved up: the process whose
// place this one took may have spent the window's.
func (b *budgets) of(service string, now time.Duration) *attempt.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.all[service]
	if !ok {
		budget = attempt.NewBudget(b.settings.rules(b.instances), backoff, b.meters, now)
		b.all[service] = budget
	}
	return budget
}

// jittered spreads a time that is told to callers, up to half of it again.
func jittered(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*float64(d)/2)
}
