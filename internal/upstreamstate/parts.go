package upstreamstate

import (
	"slices"
	"time"

	"sassafrasfield/internal/placement"
)

// Bounds of how long an engine is believed to have a part cached that nobody used.
const (
	// maxPartLifetime bounds it where hardly anything comes in.
	maxPartLifetime = time.Minute
	// partsMemoryShare is the part of an engine's memory that the prompts' parts have;
	// requests that run and what waits to be fetched take the rest.
	partsMemoryShare = 0.7
)

// partTable is when each shared part was last placed on each engine, by all
// instances as far as they told. It is kept by part, as a prompt has few of them
// and few engines have one.
type partTable struct {
	holders map[uint32][]holder
	sweepAt time.Duration // when to drop old entries next
}

// holder is an engine that a part was placed on.
type holder struct {
	engine uint32
	at     time.Duration
}

func newPartTable() partTable { return partTable{holders: map[uint32][]holder{}} }

func (t *partTable) record(p PlacedPart, now time.Duration) {
	t.removeExpired(now)
	list := t.holders[p.Part]
	for i := range list {
		if list[i].engine == p.Engine {
			list[i].at = now
			return
		}
	}
	t.holders[p.Part] = append(list, holder{engine: p.Engine, at: now})
}

// removeExpired drops what no engine is believed to have any more.
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

// cached counts the leading tokens of a prompt that each engine is believed to have;
// lasts tells for how long an engine has a part that nobody used.
func (t *partTable) cached(prompt placement.Prompt, lasts func(engine uint32) time.Duration, now time.Duration) map[uint32]int {
	tokens := map[uint32]int{}
	before := 0 // tokens of the parts so far
	for i := 0; i < len(prompt.Parts)-1; i++ {
		for _, h := range t.holders[hashOf(prompt.Parts[i].ID)] {
			if tokens[h.engine] == before && now-h.at <= lasts(h.engine) {
				tokens[h.engine] = min(before+prompt.Parts[i].Tokens, prompt.Tokens)
			}
		}
		before += prompt.Parts[i].Tokens
	}
	return tokens
}

// partLifetime is how long an engine with so much memory keeps a part that nobody
// uses: until as many tokens have come in as it keeps, as the parts that were used
// longest ago yield first. The inflow is in tokens a second.
func partLifetime(memory int, inflow float64) time.Duration {
	if memory == 0 || inflow <= 0 {
		return maxPartLifetime
	}
	return min(maxPartLifetime, time.Duration(partsMemoryShare*float64(memory)/inflow*float64(time.Second)))
}

// cached counts the leading tokens of a request's prompt that each engine is
// believed to have. The lock is held.
func (p *State) cached(req *placement.Request) map[uint32]int {
	if len(req.Prompt.Parts) < 2 {
		return nil
	}
	return p.parts.cached(req.Prompt, func(engine uint32) time.Duration {
		n, ok := p.byHash[engine]
		if !ok {
			return 0
		}
		return partLifetime(req.Costs.CacheTokens, n.totalLoad(req.Now).Inflow)
	}, req.Now)
}

// recordPrompt records that a prompt was placed on an engine, here and for the
// next reports. The lock is held.
func (p *State) recordPrompt(engine string, prompt placement.Prompt, now time.Duration) {
	for i := 0; i < len(prompt.Parts)-1; i++ {
		placed := PlacedPart{Engine: p.hash(engine), Part: hashOf(prompt.Parts[i].ID)}
		p.parts.record(placed, now)
		p.placed = newest(append(p.placed, placed))
		p.zonePlaced = newest(append(p.zonePlaced, placed))
	}
}

// HasPlacement tells whether a part was placed on an engine, as far as is known here.
func (p *State) HasPlacement(placed PlacedPart) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.parts.holders[placed.Part], func(h holder) bool { return h.engine == placed.Engine })
}
