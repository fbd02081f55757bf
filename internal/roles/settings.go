package roles

import (
	"time"

	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/tomlfile"
)

// Settings are the settings of the role change policy. The bounds and the weight of
// a pool are part of the operators' intent.
type Settings struct {
	// Every is the time between observations of a pool. Default 2s.
	Every time.Duration `toml:"every"`
	// Horizon is the time within which a change must gain more than it costs.
	// Default 1m.
	Horizon time.Duration `toml:"horizon"`
	// Dwell is the minimum time between two changes in a pool. Default 30s.
	Dwell time.Duration `toml:"dwell"`
	// StaleAfter is the maximum age of an observation. After a longer gap between
	// observations the forecast restarts. Default 10s.
	StaleAfter time.Duration `toml:"stale_after"`
	// MinAnswered is the minimum share of the queried instances, and of the serving
	// engines, that must have responded. Default 0.75.
	MinAnswered float64 `toml:"min_answered"`
	// AskAtMost is the maximum number of instances queried for their demand in one
	// round. The total is extrapolated from them. Default 64.
	AskAtMost int `toml:"ask_at_most"`
	// Samples is the number of observations that a forecast needs. Default 4.
	Samples int `toml:"samples"`
	// Confirm is the number of consecutive observations that must result in the
	// same change. Default 2.
	Confirm int `toml:"confirm"`
	// TargetLoad is the share of an engine's rate that is used for planning. Above
	// it, waiting times grow. Default 0.85.
	TargetLoad float64 `toml:"target_load"`
	// MixedShare is the share of a mixed engine's time for work that keeps the
	// pace of its tokens. Default 0.85.
	MixedShare float64 `toml:"mixed_share"`
	// OutOfService is how long a change is expected to take an engine out of
	// service, until that has been measured. Default 5s.
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

// Check adds a finding to the file for each invalid value. key is the settings' table.
func (s Settings) Check(file *tomlfile.File, key string) {
	settings.Between(file, key+".every", s.Every, 10*time.Millisecond, time.Minute)
	settings.Between(file, key+".horizon", s.Horizon, time.Second, time.Hour)
	settings.Between(file, key+".dwell", s.Dwell, 0, 24*time.Hour)
	settings.Between(file, key+".stale_after", s.StaleAfter, s.Every, time.Hour)
	settings.IntBetween(file, key+".ask_at_most", s.AskAtMost, 1, 10_000)
	settings.IntBetween(file, key+".samples", s.Samples, 1, 1000)
	settings.IntBetween(file, key+".confirm", s.Confirm, 1, 1000)
	settings.Between(file, key+".out_of_service", s.OutOfService, 0, time.Hour)
	checkShare(file, key+".min_answered", s.MinAnswered)
	checkShare(file, key+".target_load", s.TargetLoad)
	checkShare(file, key+".mixed_share", s.MixedShare)
}

// checkShare checks that a value is above 0 and at most 1.
func checkShare(file *tomlfile.File, key string, value float64) {
	if !(value > 0 && value <= 1) {
		file.Add(key, "want more than 0 and at most 1, not %v", value)
	}
}
