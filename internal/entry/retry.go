package entry

import (
	"time"

	"sassafrasfield/internal/attempt"
	"sassafrasfield/internal/retry"
	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/tomlfile"
)

// RetrySettings limit the retries of an entry.
type RetrySettings struct {
	// BudgetShare is the number of retries that each success adds to the budget. Default 0.1.
	BudgetShare float64 `toml:"budget_share"`
	// BudgetFloor is the number of retries per second that are allowed without any success. Default 1.
	BudgetFloor float64 `toml:"budget_floor"`
	// BudgetMax is the maximum number of retries in the budget. Default 20.
	BudgetMax float64 `toml:"budget_max"`
	// BackoffBase is the upper bound of the random delay before the first retry; it doubles with each
	// further retry. Default 25ms.
	BackoffBase time.Duration `toml:"backoff_base"`
	// BackoffMax is the upper bound of each delay. Default 500ms.
	BackoffMax time.Duration `toml:"backoff_max"`
}

func defaultRetry() RetrySettings {
	return RetrySettings{
		BudgetShare: 0.1, BudgetFloor: 1, BudgetMax: 20,
		BackoffBase: 25 * time.Millisecond, BackoffMax: 500 * time.Millisecond,
	}
}

// maxRetrySetting is the maximum of the budget settings; with it, retries are unlimited in practice.
const maxRetrySetting = 1e9

func (r *RetrySettings) check(file *tomlfile.File) {
	floatBetween(file, "retry.budget_share", r.BudgetShare, 0, maxRetrySetting)
	floatBetween(file, "retry.budget_floor", r.BudgetFloor, 0, maxRetrySetting)
	floatBetween(file, "retry.budget_max", r.BudgetMax, 1, maxRetrySetting)
	settings.Between(file, "retry.backoff_base", r.BackoffBase, 0, time.Minute)
	settings.Between(file, "retry.backoff_max", r.BackoffMax, r.BackoffBase, time.Minute)
}

func floatBetween(file *tomlfile.File, key string, value, low, high float64) {
	if value < low || value > high {
		file.Add(key, "want %g to %g, not %g", low, high, value)
	}
}

func newRetries(s RetrySettings, meters attempt.Meters) *attempt.Budget {
	rules := retry.Rules{Share: s.BudgetShare, Floor: s.BudgetFloor, Max: s.BudgetMax}
	return attempt.NewBudget(rules, retry.Backoff{Base: s.BackoffBase, Max: s.BackoffMax}, meters, nil, 0)
}

// logBudgetExhausted logs that a request was not retried because the retry budget is exhausted.
func (s *Server) logBudgetExhausted(attempts *attempt.Attempts) {
	s.log.Info("retry: budget exhausted", "error", attempts.LastError())
}
