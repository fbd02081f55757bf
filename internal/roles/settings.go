package roles

import (
	"time"

	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/tomlfile"
)

// Settings of the policy. The bounds and the weight of a pool are in the
// operators' intent.
type Settings struct {
	// Every is the time between observations of a pool. Default 2s.
	Every time.Duration `toml:"every"`
	// Horizon is how far ahead a change must pay. Default 1m.
	Horizon time.Duration `toml:"horizon"`
	// Dwell is the shortest time between two changes of a pool. Default 30s.
	Dwell time.Duration `toml:"dwell"`
	// StaleAfter is the age at which an observation is no longer used, and the
	// gap between two after which the forecast starts anew. Default 10s.
	StaleAfter time.Duration `toml:"stale_after"`
	// MinAnswered is the share of instances, and of serving engines, that must
	// have answered. Default 0.75.
	MinAnswered float64 `toml:"min_answered"`
	// AskAtMost bounds the instances asked for their demand in one round; the
	// rest is scaled up. Default 64.
	AskAtMost int `toml:"ask_at_most"`
	// Samples is how many observations a forecast needs. Default 4.
	Samples int `toml:"samples"`
	// Confirm is how many observations on end must call for the same change.
	// Default 2.
	Confirm int `toml:"confirm"`
	// TargetLoad is the share of an engine's rate that is planned with; above
	// it, waiting times grow. Default 0.85.
	TargetLoad float64 `toml:"target_load"`
	// MixedShare is the share of its time that a mixed engine has for work
	// that keeps its token pace. Default 0.85.
	MixedShare float64 `toml:"mixed_share"`
	// OutOfService is the time out of service that a change is expected to
	// cost before one was measured. Default 5s.
	OutOfService time.Duration `toml:"out_of_service"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Every: 2 * time.Second, Horizon: time.Minute, Dwell: 30 * time.Second, StaleAfter: 10 * time.Second,
		MinAnswered: 0.75, AskAtMost: 64, Samples: 4, Confirm: 2,
		TargetLoad: 0.85, MixedShare: 0.85, OutOfService: 5 * time.Second,
	}
}

// Check records faults under the key.
func (s Settings) Check(file *tomlfile.File, key string) {
	settings.Between(file, key+".every", s.Every, 10*time.Millisecond, time.Minute)
	settings.Between(file, key+".horizon", s.Horizon, time.Second, time.Hour)
	settings.Between(file, key+".dwell", s.Dwell, 0, 24*time.Hour)
	settings.Between(file, key+".stale_after", s.StaleAfter, s.Every, time.Hour)
	settings.IntBetween(file, key+".ask_at_most", s.AskAtMost, 1, 10_000)
	settings.IntBetween(file, key+".samples", s.Samples, 1, 1000)
	settings.IntBetween(file, key+".confirm", s.Confirm, 1, 1000)
	settings.Between(file, key+".out_of_service", s.OutOfService, 0, time.Hour)
	share(file, key+".min_answered", s.MinAnswered)
	share(file, key+".target_load", s.TargetLoad)
	share(file, key+".mixed_share", s.MixedShare)
}

// share checks that a number is above 0 and at most 1.
func share(file *tomlfile.File, key string, value float64) {
	if !(value > 0 && value <= 1) {
		file.Add(key, "want more than 0 and at most 1, not %v", value)
	}
}
