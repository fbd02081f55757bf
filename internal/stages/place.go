package stages

import (
	"time"

	"sassafrasfield/internal/config"
)

// Engine is what placement knows of one engine.
type Engine struct {
	ID, Zone string
	Role     config.Role
	// Ahead is the predicted time of the prompt work that waits there.
	Ahead time.Duration
	// Requests that run or wait there.
	Requests int
	// Doubtful engines failed lately; they are taken when no other is left.
	Doubtful bool
}

// Settings of placement. The defaults were chosen by the runs that
// docs/measurements/platform.md names.
type Settings struct {
	// DirectBelow is the number of prompt tokens below which a decode
	// engine processes the prompt itself. Default 2500.
	DirectBelow int
	// Choices is how many engines of a part's ranking are weighed. Default 3.
	Choices int
	// TokenTime is the time that a prefill engine takes for a prompt token, in
	// nanoseconds.
	TokenTime float64
	// PairTime is the time that it takes for attention over one pair of tokens,
	// in nanoseconds.
	PairTime float64
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		DirectBelow: 2500, Choices: 3,
		TokenTime: 16300, // 61.4 tokens a millisecond, by the engines' sheet
		PairTime:  0.525, // measured; see docs/measurements/platform.md
	}
}

// Direct tells whether a decode engine should process the prompt itself: the
// transfer and a second send would cost more than the slower prefill.
func (s Settings) Direct(p Prompt) bool {
	return p.Tokens < s.DirectBelow
}

// Work is the time that a prefill engine takes for a prompt of which it has the
// first cached tokens.
func (s Settings) Work(p Prompt, cached int) time.Duration {
	fresh := max(0, p.Tokens-cached)
	pairs := float64(fresh) * (float64(cached) + float64(fresh)/2)
	return time.Duration(float64(fresh)*s.TokenTime + pairs*s.PairTime)
}

// Prefill picks the engine that processes a prompt: the first choice by the
// shared part, or one of the next when the work that waits there costs more
// than to process the shared part anew. False means that there is none.
func (s Settings) Prefill(p Prompt, engines []Engine) (Engine, bool) {
	choices := s.choices(p, engines)
	if len(choices) == 0 {
		return Engine{}, false
	}
	best, bestCost := choices[0], time.Duration(0)
	for i, e := range choices {
		cost := e.Ahead
		if i > 0 {
			cost += s.Work(p, 0) - s.Work(p, p.SharedTokens())
		}
		if i == 0 || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best, true
}

func (s Settings) choices(p Prompt, engines []Engine) []Engine {
	sound := sounder(engines)
	ordered := Rank(p.SharedKey(), sound)
	return ordered[:min(s.Choices, len(ordered))]
}

// sounder drops the doubtful engines, unless there are no others.
func sounder(engines []Engine) []Engine {
	var sound []Engine
	for _, e := range engines {
		if !e.Doubtful {
			sound = append(sound, e)
		}
	}
	if len(sound) == 0 {
		return engines
	}
	return sound
}

// Costs of a decode engine, in requests that run there.
const (
	// farCosts is for the transfer of the KV cache from another zone, which
	// takes twice as long and is paid for.
	farCosts = 1
	// strangeCosts is for the transfer of the shared part, which the engine
	// that ranks first for it has already.
	strangeCosts = 1
)

// Decode picks the engine that generates: the least busy one, where a little
// more work is accepted in the zone that the KV cache comes from, and on the
// engine that ranks first for the shared part.
func (s Settings) Decode(p Prompt, zone string, engines []Engine) (Engine, bool) {
	ordered := Rank(p.SharedKey(), sounder(engines))
	if len(ordered) == 0 {
		return Engine{}, false
	}
	best, bestCost := ordered[0], 0
	for i, e := range ordered {
		cost := e.Requests
		if e.Zone != zone {
			cost += farCosts
		}
		if i > 0 {
			cost += strangeCosts
		}
		if i == 0 || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best, true
}
