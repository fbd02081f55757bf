package model

import (
	"time"

	"sassafrasfield/internal/estimate"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/roles"
)

// Policy configures the decisions of the instances. Zero values select the defaults.
type Policy struct {
	Name string `toml:"name"`
	// Prefill is the number of engines out of 18 that start in the prefill role; 0 for the default.
	Prefill int `toml:"prefill_of_18"`
	// AdaptSplit adjusts the split between the roles to the workload.
	AdaptSplit bool `toml:"follows"`
	// InOrder processes prompts in the order of their arrival, without deferring any.
	InOrder bool `toml:"in_order"`
	// KnownTimes starts the instances with the actual times of the engines instead of the default prior.
	KnownTimes bool `toml:"exact"`
	// Choice is the way in which the engine of a prompt is chosen.
	Choice Choice `toml:"choice"`
	// MaxCopyShare bounds the cost of another copy of a shared part in reservations to a share of the time to
	// process its missing tokens; 0 for no bound.
	MaxCopyShare float64 `toml:"max_copy_share"`
	// PriceByWait lets the ledger bound the price of a copy by the waits of the candidates.
	PriceByWait bool `toml:"price_by_wait"`
	// RepeatMessages sends each request to a hub again that isn't answered after repeatAfter, and the end of each
	// prompt twice.
	RepeatMessages bool `toml:"repeat_messages"`
	// SecondZoneAbove is the predicted wait above which the hub of the next best zone is asked as well; 0 for never.
	SecondZoneAbove time.Duration `toml:"second_zone_above"`
	// ReportEvery is the interval of reports within a zone; 0 for the default. Zones report to each other at
	// twice the interval.
	ReportEvery time.Duration `toml:"report_every"`
	// MemoryPrice is the price of an engine's entire KV cache, as in placement.Settings; 0 for the default.
	MemoryPrice time.Duration `toml:"memory_price"`
	// KVAcrossVersions lets engines use the KV cache of another software version, as in placement.Settings.
	KVAcrossVersions bool `toml:"kv_across_versions"`
}

func (p Policy) settings() placement.Settings {
	s := placement.DefaultSettings()
	s.KVAcrossVersions = p.KVAcrossVersions
	if p.MemoryPrice > 0 {
		s.MemoryPrice = p.MemoryPrice
	}
	if p.InOrder {
		s.DeferredShare = 0
	}
	return s
}

// reportEvery returns the interval of reports within a zone.
func (p Policy) reportEvery() time.Duration {
	if p.ReportEvery > 0 {
		return p.ReportEvery
	}
	return defaultReportEvery
}

func (p Policy) target() roles.Target {
	t := roles.DefaultTarget()
	if p.Prefill > 0 {
		t.PrefillShare = float64(p.Prefill) / 18
	}
	return t
}

func (p Policy) prior(spec EngineSpec) estimate.Prior {
	prior := estimate.DefaultPrior()
	if p.KnownTimes {
		prior.TokenTime, prior.PairTime, prior.Overhead = spec.TokenTime, spec.PairTime, spec.Overhead
		prior.Step, prior.StepPerRequest = spec.Step, spec.StepPerRequest
	}
	return prior
}
