package model

import (
	"time"

	"sassafrasfield/internal/estimate"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/roles"
)

// Policy is what the instances decide by. What is left out has the default.
type Policy struct {
	Name string `toml:"name"`
	// Prefill is how many of 18 engines begin in prefill; 0 for the default.
	Prefill int `toml:"prefill_of_18"`
	// AdaptSplit tells that the split follows the use.
	AdaptSplit bool `toml:"follows"`
	// InOrder has prompts processed in the order in which they come.
	InOrder bool `toml:"in_order"`
	// KnownTimes has the instances know what the engines take from the start.
	KnownTimes bool `toml:"exact"`
	// MemoryPrice is what all of an engine's memory is worth; 0 for the default.
	MemoryPrice time.Duration `toml:"memory_price"`
}

func (p Policy) settings() placement.Settings {
	s := placement.DefaultSettings()
	if p.MemoryPrice > 0 {
		s.MemoryPrice = p.MemoryPrice
	}
	if p.InOrder {
		s.DeferredShare = 0
	}
	return s
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
