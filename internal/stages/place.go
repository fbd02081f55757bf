package stages

import (
	"time"

	"sassafrasfield/internal/config"
)

// Engine is what placement knows of one engine.
type Engine struct {
	ID, Zone string
	Role     config.Role
	// Ahead is the predicted time of the prompts that wait there.
	Ahead time.Duration
	// Requests that run or wait there.
	Requests int
	// Cached is how many leading tokens of the prompt it is believed to have.
	Cached int
	// Doubtful engines failed lately; they are taken when no other is left.
	Doubtful bool
}

// Settings of placement: the times that an engine takes. Those without a
// source in their comment were chosen by the runs that
// docs/measurements/platform.md names.
type Settings struct {
	// TokenTime is the time that a prefill engine takes for a prompt token, in
	// nanoseconds. The engines' sheet says 61.4 tokens a millisecond.
	TokenTime float64
	// PairTime is the time that it takes for attention over one pair of
	// tokens, in nanoseconds.
	PairTime float64
	// MixedFactor is how much slower a decode engine processes a prompt: at
	// half the speed, between the tokens of its other requests.
	MixedFactor float64
	// DirectBelow is the number of prompt tokens below which the engine that
	// generates processes the prompt too, and no other one does.
	DirectBelow int
	// FetchTime is the time to fetch a token's KV cache from another engine of
	// the zone, in nanoseconds: 35,136 bytes over 370 Gbit/s.
	FetchTime float64
	// FarFactor is how much longer a transfer from another zone takes.
	FarFactor float64
	// FetchFrom is the fewest tokens that a fetch is asked for; below it, the
	// engine has processed them as soon.
	FetchFrom int
	// HandOver is the time from the end of the prefill to the first token at
	// the decode engine.
	HandOver time.Duration
	// CopyWeight is what a further copy of a shared part costs besides its
	// fetch, in times of processing it: the memory that it takes has other
	// parts processed again.
	CopyWeight float64
	// RequestTime is what a running request costs one that joins it.
	RequestTime time.Duration
	// Zone is this instance's. FarSend is what it costs to send a request to an
	// engine of another zone, and to have its answer back from there: bytes
	// between zones are paid for.
	Zone    string
	FarSend time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		TokenTime: 16300, PairTime: 0.525, MixedFactor: 2.4, DirectBelow: 2500,
		FetchTime: 760, FarFactor: 2, FetchFrom: 500,
		HandOver: 50 * time.Millisecond, CopyWeight: 8,
		RequestTime: 3 * time.Millisecond, FarSend: 25 * time.Millisecond,
	}
}

// work is the time that a prefill engine takes for a prompt of which it has the
// first cached tokens.
func (s Settings) work(p Prompt, cached int) time.Duration {
	fresh := max(0, p.Tokens-cached)
	pairs := float64(fresh) * (float64(cached) + float64(fresh)/2)
	return time.Duration(float64(fresh)*s.TokenTime + pairs*s.PairTime)
}

// fetch is the time to bring tokens from an engine's KV cache to another one.
func (s Settings) fetch(tokens int, from, to string) time.Duration {
	t := float64(max(0, tokens)) * s.FetchTime
	if from != to {
		t *= s.FarFactor
	}
	return time.Duration(t)
}

// Start is where a generation begins.
type Start struct {
	Engine Engine
	// Source is the engine to fetch the shared part from; its ID is empty when
	// nothing is to be fetched.
	Source Engine
	// Work is the predicted time that the prompt keeps the engine busy.
	Work time.Duration
}

// Direct tells whether the engine generates too.
func (s Start) Direct() bool { return s.Engine.Role != config.RolePrefill }

// Begin picks the engine that processes a prompt: the one that is predicted to
// bring the first token soonest. False means that there is no engine at all.
func (s Settings) Begin(p Prompt, engines []Engine) (Start, bool) {
	var best Start
	var bestCost time.Duration
	found := false
	leading := map[config.Role]bool{}
	for _, e := range Rank(p.SharedKey(), sounder(s.suited(p, engines))) {
		start := s.startOn(p, e, engines)
		cost := e.Ahead + start.Work
		if leading[e.Role] {
			cost += s.copyCost(p, e)
		}
		leading[e.Role] = true
		if !start.Direct() {
			cost += s.HandOver
		} else {
			cost += time.Duration(e.Requests)*s.RequestTime + s.send(e)
		}
		if !found || cost < bestCost {
			best, bestCost, found = start, cost, true
		}
	}
	return best, found
}

// suited keeps the engines of the role that is to process a prompt; all of them
// when none has it.
func (s Settings) suited(p Prompt, engines []Engine) []Engine {
	direct := p.Tokens < s.DirectBelow
	var kept []Engine
	for _, e := range engines {
		if e.Role == config.RoleMixed || (e.Role == config.RoleDecode) == direct {
			kept = append(kept, e)
		}
	}
	if len(kept) == 0 {
		return engines
	}
	return kept
}

// startOn works out how a prompt would be processed on an engine.
func (s Settings) startOn(p Prompt, e Engine, all []Engine) Start {
	start := Start{Engine: e}
	cached := e.Cached
	if source, ok := s.source(e, all); ok {
		start.Source = source
		start.Work = s.fetch(source.Cached-e.Cached, source.Zone, e.Zone)
		cached = source.Cached
	}
	work := s.work(p, cached)
	if start.Direct() {
		work = time.Duration(float64(work) * s.MixedFactor)
	}
	start.Work += work
	return start
}

// source is the engine that has most of the prompt, if that is enough more than
// e has to be worth a fetch; the nearest of equals.
func (s Settings) source(e Engine, all []Engine) (Engine, bool) {
	best := e
	for _, other := range all {
		if other.ID == e.ID || other.Doubtful || other.Cached < best.Cached {
			continue
		}
		if other.Cached > best.Cached || best.Zone != e.Zone && other.Zone == e.Zone {
			best = other
		}
	}
	return best, best.Cached-e.Cached >= s.FetchFrom
}

// copyCost is what another copy of the shared part on an engine costs.
func (s Settings) copyCost(p Prompt, e Engine) time.Duration {
	lacking := s.work(p, e.Cached) - s.work(p, p.SharedTokens())
	return time.Duration(s.CopyWeight * float64(max(0, lacking)))
}

// Decode picks the engine that generates from a processed prompt that lies in a
// zone: the one that is predicted to have fetched and begun it soonest.
func (s Settings) Decode(p Prompt, zone string, engines []Engine) (Engine, bool) {
	var best Engine
	var bestCost time.Duration
	found := false
	for _, e := range Rank(p.SharedKey(), sounder(engines)) {
		cost := s.fetch(p.Tokens-e.Cached, zone, e.Zone) + time.Duration(e.Requests)*s.RequestTime + e.Ahead/aheadShare + s.send(e)
		if !found || cost < bestCost {
			best, bestCost, found = e, cost, true
		}
	}
	return best, found
}

// send is what it costs to send a request to an engine.
func (s Settings) send(e Engine) time.Duration {
	if e.Zone == s.Zone {
		return 0
	}
	return s.FarSend
}

// aheadShare is the part of the prompts ahead that delays a generation whose
// prompt is processed: both take turns.
const aheadShare = 2

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
