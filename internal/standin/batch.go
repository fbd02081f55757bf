package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"sassafrasfield/internal/engine"
)

// charsPerToken is the stand-in's tokenizer.
const charsPerToken = 4

// stepTime is how often the batch advances.
const stepTime = 5 * time.Millisecond

// streamKept is how long an ended stream can still be attached to.
const streamKept = 30 * time.Second

// generation is one stream at the engine.
type generation struct {
	req          engine.Request
	promptTokens int
	prefillLeft  int
	blocks       int
	text         Text
	made         int     // tokens generated, counted from 0
	owed         float64 // part of a token that is due
	broken       bool
	endedAt      time.Time
}

func (g *generation) ended() bool {
	return g.broken || g.made >= g.text.length
}

// loop advances the batch.
func (e *Engine) loop() {
	last := time.Now()
	for {
		time.Sleep(stepTime)
		now := time.Now()
		e.mu.Lock()
		e.step(now.Sub(last))
		e.changed.Broadcast()
		e.mu.Unlock()
		last = now
	}
}

// step advances all streams by the time that passed: one prompt at a time is
// processed, and each stream past its prompt makes tokens.
func (e *Engine) step(passed time.Duration) {
	seconds := passed.Seconds()
	if e.faults.SlowFactor > 1 {
		seconds /= e.faults.SlowFactor
	}
	e.admit()
	prefill := int(e.options.PrefillRate * seconds)
	for _, g := range e.running {
		if g.prefillLeft > 0 {
			used := min(prefill, g.prefillLeft)
			g.prefillLeft -= used
			prefill -= used
			continue
		}
		g.owed += e.options.DecodeRate * seconds
		whole := int(g.owed)
		g.owed -= float64(whole)
		g.made = min(g.made+whole, g.text.length)
	}
	for _, g := range slices.Clone(e.running) {
		if g.ended() {
			e.drop(g)
		}
	}
	e.forget()
}

// admit moves waiting streams into the batch, by priority, while there is
// room.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *generation) int { return b.req.Priority - a.req.Priority })
	for len(e.waiting) > 0 && len(e.running) < e.options.MaxRunning {
		g := e.waiting[0]
		if g.blocks > e.blocksFree() && len(e.running) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, g)
		hit := e.cache.use(g.req.Prompt, e.options.BlockTokens)
		g.prefillLeft = max(0, g.prefillLeft-hit)
	}
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
}

func (e *Engine) forget() {
	for id, g := range e.streams {
		if !g.endedAt.IsZero() && time.Since(g.endedAt) > streamKept {
			delete(e.streams, id)
		}
	}
}

// generate starts a stream, or attaches to one, and sends its pieces.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req engine.Request
	if !read(w, r, &req) {
		return
	}
	g, status := e.begin(req)
	if g == nil {
		http.Error(w, "not run", status)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // the client has gone
	e.send(w, r, g, req.From)
}

func (e *Engine) begin(req engine.Request) (*generation, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g, ok := e.streams[req.ID]; ok && !g.broken {
		return g, http.StatusOK
	}
	if req.Attach {
		return nil, http.StatusNotFound
	}
	changingModel := e.changing && e.state.Disruptive(e.last.Want)
	if e.faults.Refuse || changingModel || e.state.Model != req.Model {
		return nil, http.StatusServiceUnavailable
	}
	if req.Version != "" && req.Version != e.state.Version {
		return nil, http.StatusServiceUnavailable
	}
	if req.Adapter != "" && !slices.Contains(e.state.Adapters, req.Adapter) {
		return nil, http.StatusServiceUnavailable
	}
	return e.start(req), http.StatusOK
}

func (e *Engine) start(req engine.Request) *generation {
	req.Version = e.state.Version
	tokens := (len(req.Prompt)+charsPerToken-1)/charsPerToken + req.From
	g := &generation{req: req, promptTokens: tokens, prefillLeft: tokens, made: req.From}
	g.prefillLeft = max(0, tokens-e.exports[req.KVHandle])
	if e.faults.OtherText {
		req.Seed++
	}
	g.text = NewText(req)
	g.blocks = (tokens + req.MaxTokens + e.options.BlockTokens - 1) / e.options.BlockTokens
	e.streams[req.ID] = g
	e.waiting = append(e.waiting, g)
	e.accepted++
	e.book.Started++
	e.recent = append(e.recent, req.ID)
	if len(e.recent) > recentKept {
		e.recent = e.recent[1:]
	}
	return g
}

// send writes pieces as they are made, from the one numbered from.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	sent := 0
	for n := from; n <= g.text.length; {
		pieces := e.await(r, g, n)
		if len(pieces) == 0 {
			panic(http.ErrAbortHandler) // breaks the connection
		}
		n += len(pieces)
		for _, piece := range e.disorder(pieces) {
			if encoder.Encode(piece) != nil {
				return
			}
			sent++
			if limit := e.breakAfter(); limit > 0 && sent >= limit {
				_ = controller.Flush()
				e.breakOff(g)
				panic(http.ErrAbortHandler)
			}
		}
		if controller.Flush() != nil {
			return
		}
	}
}

func (e *Engine) breakAfter() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.BreakAfter
}

func (e *Engine) breakOff(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut(g)
	e.drop(g)
}

// await returns the pieces that are made from number n on; none when the
// stream broke or its reader left.
func (e *Engine) await(r *http.Request, g *generation, n int) []engine.Piece {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		if g.broken || r.Context().Err() != nil {
			return nil
		}
		var pieces []engine.Piece
		for ; n < g.made || (n == g.text.length && g.made == g.text.length); n++ {
			pieces = append(pieces, g.text.Piece(n))
		}
		if len(pieces) > 0 {
			return pieces
		}
		e.changed.Wait()
	}
}

// disorder swaps and repeats pieces when the fault is on.
func (e *Engine) disorder(pieces []engine.Piece) []engine.Piece {
	e.mu.Lock()
	on := e.faults.Disorder
	e.mu.Unlock()
	if !on {
		return pieces
	}
	mixed := slices.Clone(pieces)
	slices.Reverse(mixed)
	// The last piece ends the connection's reading, so it stays last.
	slices.SortStableFunc(mixed, func(a, b engine.Piece) int { return len(a.Finish) - len(b.Finish) })
	return append([]engine.Piece{mixed[0]}, mixed...)
}
