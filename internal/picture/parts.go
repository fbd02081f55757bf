package picture

import (
	"time"

	"sassafrasfield/internal/route"
)

// Bounds of how long an engine is believed to have a part cached that nobody used.
const (
	// partLastsAtMost bounds it where hardly anything comes in.
	partLastsAtMost = time.Minute
	// cachePart is the part of an engine's memory that the prompts' parts have;
	// requests that run and what waits to be fetched take the rest.
	cachePart = 0.7
)

// partTable is when each shared part was last placed on each engine, by all
// instances as far as they told.
type partTable struct {
	at    map[Placed]time.Duration
	sweep time.Duration // when to drop old entries next
}

func newPartTable() partTable { return partTable{at: map[Placed]time.Duration{}} }

func (t *partTable) note(p Placed, now time.Duration) {
	t.at[p] = now
	if now < t.sweep {
		return
	}
	t.sweep = now + partLastsAtMost
	for key, at := range t.at {
		if now-at > partLastsAtMost {
			delete(t.at, key)
		}
	}
}

// cached counts the leading tokens of a prompt that an engine is believed to have,
// where parts that nobody used last for so long.
func (t *partTable) cached(engine string, prompt route.Prompt, lasts, now time.Duration) int {
	id, tokens := hashOf(engine), 0
	for i := 0; i < len(prompt.Parts)-1; i++ {
		at, ok := t.at[Placed{Engine: id, Part: hashOf(prompt.Parts[i].ID)}]
		if !ok || now-at > lasts {
			break
		}
		tokens += prompt.Parts[i].Tokens
	}
	return min(tokens, prompt.Tokens)
}

// partLasts is how long an engine with so much memory keeps a part that nobody
// uses: until as many tokens have come in as it keeps, as the parts that were used
// longest ago yield first. The inflow is in tokens a second.
func partLasts(memory int, inflow float64) time.Duration {
	if memory == 0 || inflow <= 0 {
		return partLastsAtMost
	}
	return min(partLastsAtMost, time.Duration(cachePart*float64(memory)/inflow*float64(time.Second)))
}

// notePrompt records that a prompt was placed on an engine, here and for the
// next report. The lock is held.
func (p *Picture) notePrompt(engine string, prompt route.Prompt, now time.Duration) {
	for i := 0; i < len(prompt.Parts)-1; i++ {
		placed := Placed{Engine: hashOf(engine), Part: hashOf(prompt.Parts[i].ID)}
		p.parts.note(placed, now)
		p.placed = append(p.placed, placed)
		p.keepForZone([]Placed{placed})
	}
}

// Knows tells whether a part was placed on an engine, as far as is known here.
func (p *Picture) Knows(placed Placed) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.parts.at[placed]
	return ok
}
