package testservers

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"sassafrasfield/internal/engine"
)

// charsPerToken approximates a tokenizer: a prompt has one token for each that many bytes.
const charsPerToken = 4

// endedStreamRetention is how long a client can still attach to an ended stream.
// evictionInterval is the time between two removals of streams past that age.
const (
	endedStreamRetention = 30 * time.Second
	evictionInterval     = time.Second
)

// generation is the state of one stream at the engine.
type generation struct {
	req          engine.Request
	number       int64 // value of Report.Accepted after this stream was accepted
	promptTokens int
	prefillLeft  int
	hashes       []uint64
	blocks       int
	text         Text
	generated    int // tokens generated so far, including those before req.From
	broken       bool
	endedAt      time.Time
	changed      *sync.Cond // on the engine's lock; signalled after each token
}

func (g *generation) ended() bool {
	return g.broken || g.generated >= g.text.length
}

// loop runs the batch step by step. It blocks while there are no streams.
func (e *Engine) loop() {
	due := time.Now()
	for {
		e.mu.Lock()
		for len(e.running)+len(e.waiting) == 0 {
			e.work.Wait()
		}
		work := e.planStep()
		e.mu.Unlock()
		if now := time.Now(); due.Before(now) {
			due = now
		}
		due = due.Add(work.duration)
		time.Sleep(time.Until(due))
		e.mu.Lock()
		e.finishStep(work)
		e.mu.Unlock()
	}
}

// step is the work planned for one step of the batch.
type step struct {
	duration time.Duration
	decode   []*generation
	prefill  []chunk
}

// chunk is a part of a prompt that one step prefills.
type chunk struct {
	g      *generation
	tokens int
}

// planStep selects the work of a step: one token for each stream that has finished prefill, and
// prompt tokens up to the prefill budget in order of priority. Prefill and decode share the step,
// so long prompts slow down the decoding of other streams. The lock is held.
func (e *Engine) planStep() step {
	e.admitWaiting()
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

// finishStep applies the results of a step. Streams that broke during the step are left unchanged.
// The lock is held.
func (e *Engine) finishStep(s step) {
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
		g.generated = min(g.generated+1, g.text.length)
		g.changed.Broadcast()
		if g.ended() {
			e.removeFromBatch(g)
		}
	}
	if now := time.Now(); now.Sub(e.lastEviction) > evictionInterval {
		e.lastEviction = now
		e.evictEndedStreams(now)
	}
}

// admitWaiting moves waiting streams into the batch in order of priority while there is room, and
// keeps the batch sorted by priority. A stream that needs more KV blocks than are free is admitted
// only to an empty batch. The lock is held.
func (e *Engine) admitWaiting() {
	byPriority := func(a, b *generation) int { return cmp.Compare(b.req.Priority, a.req.Priority) }
	slices.SortStableFunc(e.waiting, byPriority)
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxRunning {
		g := e.waiting[0]
		if g.blocks > e.blocksFree() && len(e.running) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, g)
		// The last token of a prompt is processed even if it is cached, because it yields the
		// first token of the answer.
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

// removeFromBatch removes a stream from the batch. Clients can still attach to it until
// evictEndedStreams deletes it. The lock is held.
func (e *Engine) removeFromBatch(g *generation) {
	e.running = slices.DeleteFunc(e.running, func(o *generation) bool { return o == g })
	e.waiting = slices.DeleteFunc(e.waiting, func(o *generation) bool { return o == g })
	g.endedAt = time.Now()
	g.changed.Broadcast()
}

// evictEndedStreams deletes streams that ended longer ago than endedStreamRetention, and expired
// KV cache. The lock is held.
func (e *Engine) evictEndedStreams(now time.Time) {
	e.evictExpiredKV(now)
	for id, g := range e.streams {
		if !g.endedAt.IsZero() && now.Sub(g.endedAt) > endedStreamRetention {
			delete(e.streams, id)
		}
	}
}
