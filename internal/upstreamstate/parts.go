package upstreamstate

import (
	"slices"
	"time"

	"sassafrasfield/internal/placement"
)

// Bounds of how long an engine is assumed to keep an unused part cached.
const (
	// maxPartLifetime is the bound for engines with hardly any inflow.
	maxPartLifetime = time.Minute
)

// partTable records when each shared part was last placed on each engine, by this instance or by
// others as far as they reported it. It is indexed by part, as a prompt has few parts and few
// engines hold the same one.
type partTable struct {
	holders map[uint32][]holder
	sweepAt time.Duration // when to remove expired entries next
}

// holder is an engine on which a part was placed.
type holder struct {
	engine uint32
	at     time.Duration
}

func newPartTable() partTable { return partTable{holders: map[uint32][]holder{}} }

func (t *partTable) record(placed PlacedPart, now time.Duration) {
	t.removeExpired(now)
	list := t.holders[placed.Part]
	for i := range list {
		if list[i].engine == placed.Engine {
			list[i].at = now
			return
		}
	}
	t.holders[placed.Part] = append(list, holder{engine: placed.Engine, at: now})
}

// removeExpired removes the parts that no engine is assumed to have any more.
func (t *partTable) removeExpired(now time.Duration) {
	if now < t.sweepAt {
		return
	}
	t.sweepAt = now + maxPartLifetime
	for part, list := range t.holders {
		list = slices.DeleteFunc(list, func(h holder) bool { return now-h.at > maxPartLifetime })
		if t.holders[part] = list; len(list) == 0 {
			delete(t.holders, part)
		}
	}
}

// cached counts the leading tokens of a prompt that each engine is assumed to have cached. The
// lifetime function returns how long an engine keeps an unused part.
func (t *partTable) cached(prompt placement.Prompt, lifetime func(engine uint32) time.Duration, now time.Duration) map[uint32]int {
	tokens := map[uint32]int{}
	leading := 0 // tokens of the parts before this one
	for i := 0; i < len(prompt.Parts)-1; i++ {
		for _, h := range t.holders[hashOf(prompt.Parts[i].ID)] {
			if tokens[h.engine] == leading && now-h.at <= lifetime(h.engine) {
				tokens[h.engine] = min(leading+prompt.Parts[i].Tokens, prompt.Tokens)
			}
		}
		leading += prompt.Parts[i].Tokens
	}
	return tokens
}

// partLifetime returns how long an engine keeps an unused part. The parts used longest ago are
// evicted first, so it is the time in which the inflow fills the memory for parts. cacheTokens is
// the size of the engine's KV cache, and the inflow is in tokens a second.
func partLifetime(cacheTokens int, inflow float64) time.Duration {
	if cacheTokens == 0 || inflow <= 0 {
		return maxPartLifetime
	}
	return min(maxPartLifetime, time.Duration(placement.PartsMemoryShare*float64(cacheTokens)/inflow*float64(time.Second)))
}

// cached counts the leading tokens of a request's prompt that each engine is assumed to have
// cached. The lock is held.
func (s *State) cached(req *placement.Request) map[uint32]int {
	if len(req.Prompt.Parts) < 2 {
		return nil
	}
	return s.parts.cached(req.Prompt, func(engine uint32) time.Duration {
		n, ok := s.byHash[engine]
		if !ok {
			return 0
		}
		return partLifetime(req.Costs.CacheTokens, n.totalLoad(req.Now).Inflow)
	}, req.Now)
}

// recordPrompt records the parts of a prompt placed on an engine, locally and for the next reports.
// The lock is held.
func (s *State) recordPrompt(engine string, prompt placement.Prompt, now time.Duration) {
	for i := 0; i < len(prompt.Parts)-1; i++ {
		placed := PlacedPart{Engine: s.hash(engine), Part: hashOf(prompt.Parts[i].ID)}
		s.parts.record(placed, now)
		s.placed = newest(append(s.placed, placed))
		s.zonePlaced = newest(append(s.zonePlaced, placed))
	}
}

// HasPlacement reports whether a part is known to have been placed on an engine.
func (s *State) HasPlacement(placed PlacedPart) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.parts.holders[placed.Part], func(h holder) bool { return h.engine == placed.Engine })
}
