package testservers

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"sassafrasfield/internal/engine"
)

// charsPerToken is the stand-in's tokenizer.
const charsPerToken = 4

// streamKept is how long an ended stream can still be attached to, and
// forgetEvery how often those past it are looked for.
const (
	streamKept  = 30 * time.Second
	forgetEvery = time.Second
)

// generation is one stream at the engine.
type generation struct {
	req          engine.Request
	number       int64 // of Report.Accepted
	promptTokens int
	prefillLeft  int
	hashes       []uint64
	blocks       int
	text         Text
	made         int // tokens generated, counted from 0
	broken       bool
	endedAt      time.Time
	changed      *sync.Cond // on the engine's lock; signalled after each token
}

func (g *generation) ended() bool {
	return g.broken || g.made >= g.text.length
}

// loop runs the batch, a step at a time. It sleeps while there is no work.
func (e *Engine) loop() {
	due := time.Now()
	for {
		e.mu.Lock()
		for len(e.running)+len(e.waiting) == 0 {
			e.work.Wait()
		}
		work := e.plan()
		e.mu.Unlock()
		if now := time.Now(); due.Before(now) {
			due = now
		}
		due = due.Add(work.duration)
		time.Sleep(time.Until(due))
		e.mu.Lock()
		e.finish(work)
		e.mu.Unlock()
	}
}

// step is the work of one step of the batch.
type step struct {
	duration time.Duration
	decode   []*generation
	prefill  []chunk
}

// chunk is a part of a prompt.
type chunk struct {
	g      *generation
	tokens int
}

// plan chooses a step's work: a token for each stream past its prompt, and
// prompt tokens up to the budget, by priority. Both share the step, so that
// long prompts slow the others' tokens down.
func (e *Engine) plan() step {
	e.admit()
	var s step
	budget := e.options.PrefillBudget
	for _, g := range e.running {
		if g.prefillLeft == 0 {
			s.decode = append(s.decode, g)
			continue
		}
		if tokens := min(budget, g.prefillLeft); tokens > 0 {
			s.prefill = append(s.prefill, chunk{g: g, tokens: tokens})
			budget -= tokens
		}
	}
	seconds := float64(e.options.PrefillBudget-budget) / e.options.PrefillRate
	if len(s.decode) > 0 {
		seconds += 1/e.options.DecodeRate + float64(len(s.decode)-1)*e.options.StepPerStream.Seconds()
	}
	if e.faults.SlowFactor > 1 {
		seconds *= e.faults.SlowFactor
	}
	s.duration = time.Duration(seconds * float64(time.Second))
	return s
}

// finish books a step's work. Streams that were cut meanwhile stay as they are.
func (e *Engine) finish(s step) {
	for _, c := range s.prefill {
		if c.g.broken {
			continue
		}
		c.g.prefillLeft -= c.tokens
		if c.g.prefillLeft == 0 {
			e.cache.store(c.g.hashes)
		}
	}
	for _, g := range s.decode {
		if g.broken {
			continue
		}
		g.made = min(g.made+1, g.text.length)
		g.changed.Broadcast()
		if g.ended() {
			e.drop(g)
		}
	}
	if now := time.Now(); now.Sub(e.forgotten) > forgetEvery {
		e.forgotten = now
		e.forget(now)
	}
}

// admit moves waiting streams into the batch, by priority, while there is
// room, and keeps the batch in the order of priority.
func (e *Engine) admit() {
	byPriority := func(a, b *generation) int { return cmp.Compare(b.req.Priority, a.req.Priority) }
	slices.SortStableFunc(e.waiting, byPriority)
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxRunning {
		g := e.waiting[0]
		if g.blocks > e.blocksFree() && len(e.running) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, g)
		// The last token of a prompt is always processed: it makes the first
		// token of the answer.
		hit := e.cache.hit(g.hashes, e.options.BlockTokens)
		g.prefillLeft = max(1, g.prefillLeft-hit)
	}
	slices.SortStableFunc(e.running, byPriority)
}

func (e *Engine) blocksFree() int {
	free := e.options.KVBlocks
	for _, g := range e.running {
		free -= g.blocks
	}
	return max(0, free)
}

// drop takes a stream out of the batch; it can still be attached to.
func (e *Engine) drop(g *generation) {
	e.running = slices.DeleteFunc(e.running, func(o *generation) bool { return o == g })
	e.waiting = slices.DeleteFunc(e.waiting, func(o *generation) bool { return o == g })
	g.endedAt = time.Now()
	g.changed.Broadcast()
}

func (e *Engine) forget(now time.Time) {
	e.forgetKV(now)
	for id, g := range e.streams {
		if !g.endedAt.IsZero() && now.Sub(g.endedAt) > streamKept {
			delete(e.streams, id)
		}
	}
}
