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
	if !readJSON(w, r, &req) {
		return
	}
	g, boot, status := e.attachOrStart(req)
	if g == nil {
		http.Error(w, "not run", status)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set(engine.HeaderBoot, boot)
	w.Header().Set(engine.HeaderAccepted, strconv.FormatInt(g.number, 10))
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // an error means that the client disconnected
	e.send(w, r, g, req.From)
}

// crashExitCode is the exit code of an engine process that EngineFaults.CrashOn ended.
const crashExitCode = 70

// attachOrStart returns the existing stream of the request's id, or starts a new one if the engine
// can serve the request. Without a stream, status is the HTTP status of the refusal.
func (e *Engine) attachOrStart(req engine.Request) (g *generation, boot string, status int) {
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
		os.Exit(crashExitCode)
	}
	changingModel := e.changing && e.state.Disruptive(e.lastOrder.Want)
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

// start queues a new stream. The lock is held.
func (e *Engine) start(req engine.Request, hashes []uint64) *generation {
	req.Version = e.state.Version
	tokens := (len(req.Prompt)+charsPerToken-1)/charsPerToken + req.From
	g := &generation{req: req, hashes: hashes, promptTokens: tokens, generated: req.From, changed: sync.NewCond(&e.mu)}
	g.prefillLeft = tokens - e.consumeImport(req.KVHandle)
	if e.faults.OtherText {
		req.Seed++
	}
	g.text = NewText(req)
	g.blocks = (tokens + req.MaxTokens + e.options.BlockTokens - 1) / e.options.BlockTokens
	e.accepted++
	g.number = e.accepted
	e.streams[req.ID] = g
	e.waiting = append(e.waiting, g)
	e.record.Started++
	e.countRun(req)
	e.recent = append(e.recent, req.ID)
	if len(e.recent) > maxRecent {
		e.recent = e.recent[1:]
	}
	e.work.Signal()
	return g
}

// send writes the pieces of a stream as they are generated, beginning with number from.
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
		pieces, faults := e.awaitPieces(r.Context(), g, n)
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
				_ = controller.Flush() // the stream breaks in any case
				e.breakAndRemove(g)
				panic(http.ErrAbortHandler)
			}
		}
		if controller.Flush() != nil {
			return
		}
	}
}

func (e *Engine) breakAndRemove(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breakStream(g)
	e.removeFromBatch(g)
}

// awaitPieces waits for pieces from number n on and returns all that are available. It returns none
// if the stream broke or ctx ended.
func (e *Engine) awaitPieces(ctx context.Context, g *generation, n int) ([]engine.Piece, EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		if g.broken || ctx.Err() != nil {
			return nil, e.faults
		}
		var pieces []engine.Piece
		for ; n < g.generated || (n == g.text.length && g.generated == g.text.length); n++ {
			pieces = append(pieces, g.text.Piece(n))
		}
		if len(pieces) > 0 {
			return pieces, e.faults
		}
		g.changed.Wait()
	}
}

// disorder reverses the pieces and sends the first of the result twice.
func disorder(pieces []engine.Piece) []engine.Piece {
	mixed := slices.Clone(pieces)
	slices.Reverse(mixed)
	// The client stops reading at the piece with a finish reason, so that piece stays last.
	slices.SortStableFunc(mixed, func(a, b engine.Piece) int { return len(a.Finish) - len(b.Finish) })
	return append([]engine.Piece{mixed[0]}, mixed...)
}
