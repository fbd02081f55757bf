package entry

import (
	"time"

	"sassafrasfield/internal/attempt"
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

func newRetries(s RetrySettings, meters attempt.Meters) *attempt.Budget {
	rules := retry.Rules{Share: s.BudgetShare, Floor: s.BudgetFloor, Max: s.BudgetMax}
	return attempt.NewBudget(rules, retry.Backoff{Base: s.BackoffBase, Max: s.BackoffMax}, meters, nil, 0)
}

// noBudget tells that a request was not tried again for want of budget.
func (s *Server) noBudget(tries *attempt.Attempts) {
	s.log.Info("retry: no budget left", "error", tries.LastError())
}
