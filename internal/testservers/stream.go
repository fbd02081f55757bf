package testservers

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"

	"sassafrasfield/internal/engine"
)

// generate starts a stream, or attaches to one, and sends its pieces.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req engine.Request
	if !read(w, r, &req) {
		return
	}
	g, boot, status := e.begin(req)
	if g == nil {
		http.Error(w, "not run", status)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set(engine.HeaderBoot, boot)
	w.Header().Set(engine.HeaderAccepted, strconv.FormatInt(g.number, 10))
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // the client has gone
	e.send(w, r, g, req.From)
}

// endedCode is the exit code of an engine that a prompt ended.
const endedCode = 70

func (e *Engine) begin(req engine.Request) (g *generation, boot string, status int) {
	hashes := engine.BlockHashes(req.Prompt, e.options.BlockTokens, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	if g, ok := e.streams[req.ID]; ok && !g.broken {
		return g, e.boot, http.StatusOK
	}
	if req.Attach {
		return nil, "", http.StatusNotFound
	}
	if e.faults.CrashOn != "" && strings.Contains(req.Prompt, e.faults.CrashOn) {
		os.Exit(endedCode)
	}
	changingModel := e.changing && e.state.Disruptive(e.last.Want)
	if e.faults.Refuse || changingModel || e.state.Model != req.Model {
		return nil, "", http.StatusServiceUnavailable
	}
	if req.Version != "" && req.Version != e.state.Version {
		return nil, "", http.StatusServiceUnavailable
	}
	if req.Adapter != "" && !slices.Contains(e.state.Adapters, req.Adapter) {
		return nil, "", http.StatusServiceUnavailable
	}
	if _, ok := e.imports[req.KVHandle]; !ok && req.KVHandle != "" {
		return nil, "", http.StatusServiceUnavailable
	}
	return e.start(req, hashes), e.boot, http.StatusOK
}

func (e *Engine) start(req engine.Request, hashes []uint64) *generation {
	req.Version = e.state.Version
	tokens := (len(req.Prompt)+charsPerToken-1)/charsPerToken + req.From
	g := &generation{req: req, hashes: hashes, promptTokens: tokens, made: req.From, changed: sync.NewCond(&e.mu)}
	g.prefillLeft = tokens - e.takeImport(req.KVHandle)
	if e.faults.OtherText {
		req.Seed++
	}
	g.text = NewText(req)
	g.blocks = (tokens + req.MaxTokens + e.options.BlockTokens - 1) / e.options.BlockTokens
	e.accepted++
	g.number = e.accepted
	e.streams[req.ID] = g
	e.waiting = append(e.waiting, g)
	e.book.Started++
	e.bookRan(req)
	e.recent = append(e.recent, req.ID)
	if len(e.recent) > recentKept {
		e.recent = e.recent[1:]
	}
	e.work.Signal()
	return g
}

// send writes pieces as they are made, from the one numbered from.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	stop := context.AfterFunc(r.Context(), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		g.changed.Broadcast()
	})
	defer stop()
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	sent := 0
	for n := from; n <= g.text.length; {
		pieces, faults := e.await(r.Context(), g, n)
		if len(pieces) == 0 {
			panic(http.ErrAbortHandler) // breaks the connection
		}
		n += len(pieces)
		if faults.Disorder {
			pieces = disorder(pieces)
		}
		for _, piece := range pieces {
			if encoder.Encode(piece) != nil {
				return
			}
			sent++
			if faults.BreakAfter > 0 && sent >= faults.BreakAfter {
				_ = controller.Flush() // broken off all the same
				e.breakOff(g)
				panic(http.ErrAbortHandler)
			}
		}
		if controller.Flush() != nil {
			return
		}
	}
}

func (e *Engine) breakOff(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut(g)
	e.drop(g)
}

// await returns the pieces that are made from number n on; none when the
// stream broke or its reader left.
func (e *Engine) await(ctx context.Context, g *generation, n int) ([]engine.Piece, EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		if g.broken || ctx.Err() != nil {
			return nil, e.faults
		}
		var pieces []engine.Piece
		for ; n < g.made || (n == g.text.length && g.made == g.text.length); n++ {
			pieces = append(pieces, g.text.Piece(n))
		}
		if len(pieces) > 0 {
			return pieces, e.faults
		}
		g.changed.Wait()
	}
}

// disorder swaps and repeats pieces.
func disorder(pieces []engine.Piece) []engine.Piece {
	mixed := slices.Clone(pieces)
	slices.Reverse(mixed)
	// The last piece ends the connection's reading, so it stays last.
	slices.SortStableFunc(mixed, func(a, b engine.Piece) int { return len(a.Finish) - len(b.Finish) })
	return append([]engine.Piece{mixed[0]}, mixed...)
}
