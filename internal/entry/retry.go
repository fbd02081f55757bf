package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sassafrasfield/internal/retry"
	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/tomlfile"
)

// RetrySettings bound the retries of an entry.
type RetrySettings struct {
	// BudgetShare is how many retries each success pays for. Default 0.1.
	BudgetShare float64 `toml:"budget_share"`
	// BudgetFloor is how many retries a second are allowed without any
	// success. Default 1.
	BudgetFloor float64 `toml:"budget_floor"`
	// BudgetMax is how many retries can be saved up. Default 20.
	BudgetMax float64 `toml:"budget_max"`
	// BackoffBase bounds the random wait before the first retry; the bound
	// doubles with each. Default 25ms.
	BackoffBase time.Duration `toml:"backoff_base"`
	// BackoffMax bounds each wait. Default 500ms.
	BackoffMax time.Duration `toml:"backoff_max"`
}

func defaultRetry() RetrySettings {
	return RetrySettings{
		BudgetShare: 0.1, BudgetFloor: 1, BudgetMax: 20,
		BackoffBase: 25 * time.Millisecond, BackoffMax: 500 * time.Millisecond,
	}
}

// mostRetries bounds the settings of the budget; it stands for no budget.
const mostRetries = 1e9

func (r *RetrySettings) check(file *tomlfile.File) {
	floatBetween(file, "retry.budget_share", r.BudgetShare, 0, mostRetries)
	floatBetween(file, "retry.budget_floor", r.BudgetFloor, 0, mostRetries)
	floatBetween(file, "retry.budget_max", r.BudgetMax, 1, mostRetries)
	settings.Between(file, "retry.backoff_base", r.BackoffBase, 0, time.Minute)
	settings.Between(file, "retry.backoff_max", r.BackoffMax, r.BackoffBase, time.Minute)
}

func floatBetween(file *tomlfile.File, key string, value, low, high float64) {
	if value < low || value > high {
		file.Add(key, "want %g to %g, not %g", low, high, value)
	}
}

// retries is the entry's budget. It is safe for use by several goroutines.
type retries struct {
	backoff retry.Backoff

	mu     sync.Mutex // protects budget and rng
	budget *retry.Budget
	rng    *rand.Rand
}

func newRetries(s RetrySettings) *retries {
	rules := retry.Rules{Share: s.BudgetShare, Floor: s.BudgetFloor, Max: s.BudgetMax}
	return &retries{
		backoff: retry.Backoff{Base: s.BackoffBase, Max: s.BackoffMax},
		budget:  retry.NewBudget(rules, 0),
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

func (r *retries) succeeded(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Succeeded(now)
}

// take spends one retry and returns the wait before it. An answer that has
// begun is always gone on with.
func (r *retries) take(n int, begun bool, now time.Duration) (wait time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if begun {
		r.budget.Force(now)
	} else if !r.budget.Take(now) {
		return 0, false
	}
	return r.backoff.Delay(n, r.rng), true
}

// jittered spreads a time that is told to callers.
func (r *retries) jittered(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return retry.Jittered(d, r.rng)
}

// mayRetry waits before the nth retry; false means that it must not be made.
func (s *Server) mayRetry(ctx context.Context, n int, last error, begun bool) bool {
	wait, ok := s.retries.take(n, begun, s.now())
	if !ok {
		s.metrics.unretried.Inc(1)
		s.log.Info("retry: no budget left", "error", last)
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
	}
	s.metrics.retries.Inc(1)
	return true
}
