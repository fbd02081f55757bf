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
	// Cached is how many leading tokens of the prompt it is believed to have.
	Cached int
	// Doubtful engines failed lately; they are taken when no other is left.
	Doubtful bool
}

// Settings of placement. The defaults were chosen by the runs that
// docs/measurements/platform.md names.
type Settings struct {
	// DirectBelow is the number of prompt tokens below which a decode
	// engine processes the prompt itself. Default 2500.
	DirectBelow int
	// CopyWeight is what a further copy of a shared part costs, in times of
	// processing it. Default 1.
	CopyWeight float64
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
		DirectBelow: 2500, CopyWeight: 1,
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

// Prefill picks the engine that processes a prompt: the one that will have done
// so first. An engine that lacks the shared part counts as slower by what a
// further copy of it costs, but for the engine that ranks first for the part.
// False means that there is none.
func (s Settings) Prefill(p Prompt, engines []Engine) (Engine, bool) {
	ordered := Rank(p.SharedKey(), sounder(engines))
	if len(ordered) == 0 {
		return Engine{}, false
	}
	best, bestCost := ordered[0], time.Duration(0)
	for i, e := range ordered {
		cost := e.Ahead + s.Work(p, e.Cached)
		if i > 0 {
			cost += s.copyCost(p, e)
		}
		if i == 0 || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best, true
}

// copyCost is what another copy of the shared part costs beyond the work: the
// memory that it takes has other parts processed again.
func (s Settings) copyCost(p Prompt, e Engine) time.Duration {
	lacking := s.Work(p, e.Cached) - s.Work(p, p.SharedTokens())
	return time.Duration(s.CopyWeight * float64(max(0, lacking)))
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
