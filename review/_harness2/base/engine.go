// Package base has the stand-ins and the fleet of the second review's scripts.
package base

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sassafrasfield/platform/standin"
	"sassafrasfield/platform/wire"
)

// HealthPath is the health path of the services.
const HealthPath = "/healthz"

// Engine is the stand-in of a model engine or, with an empty phase, of a plain service.
type Engine struct {
	ID, Service, Zone string
	// Address is what the engine's entry names. It may be that of a proxy.
	Address string
	// Events is the number of events of a stream, Pause the time between two.
	Events int
	Pause  time.Duration
	// WorksOn is set if the engine does not drop a request when its connection closes.
	WorksOn bool
	// Version is that of the engine's software, v1 if it is empty.
	Version string
	// IDStep is the difference between the ids of two events, and the first id; 1 if it is 0.
	IDStep int
	// Unframed has streams end with their connections, without a length and without chunks.
	Unframed bool
	// CallTime is the time that a call to a plain service takes.
	CallTime time.Duration

	store  *standin.Store
	server *http.Server

	mu       sync.Mutex // protects the fields below
	phase    string
	state    string
	sequence int
	running  map[string]*Run
	runs     []*Run
	// unframed are the connections of the streams in progress that end with them.
	unframed map[net.Conn]bool
}

// Run is one run of a request.
type Run struct {
	Request, Engine, LastEvent string
	Began, Ended               time.Time
	// events is the number of the last event made.
	events  int
	stop    chan struct{}
	stopped bool
}

// StartEngine starts an engine that listens on an address, and writes its entry.
func StartEngine(store *standin.Store, e *Engine, listen, phase string) error {
	e.store, e.phase, e.state, e.running, e.unframed = store, phase, wire.StateReady, map[string]*Run{}, map[net.Conn]bool{}
	if e.Address == "" {
		e.Address = listen
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(l) }()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.register()
}

// Close ends the engine. Its connections end as those of a process that exits: the kernel closes them.
func (e *Engine) Close() {
	_ = e.server.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.unframed {
		_ = conn.Close()
	}
}

// RemoveEntry removes the entry from the store.
func (e *Engine) RemoveEntry() { e.store.Drop(wire.RunnerTable, e.ID) }

// register writes the entry. The lock is held.
func (e *Engine) register() error {
	return e.store.Put(wire.RunnerTable, e.ID, wire.RunnerEntry{
		Service: e.Service, Address: e.Address, Zone: e.Zone, Version: cmp.Or(e.Version, "v1"), Slots: 64, State: e.state, Phase: e.phase, Sequence: 1,
	})
}

// Drain has the engine report that it leaves, and returns when the store has accepted that.
func (e *Engine) Drain() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = wire.StateDraining
	return e.register()
}

// Runs returns the runs so far.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Run, len(e.runs))
	for i, r := range e.runs {
		list[i] = *r
	}
	return list
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if want := r.Header.Get(wire.ExpectInstance); want != "" && want != e.ID {
		w.Header().Set(wire.RequestID, r.Header.Get(wire.RequestID))
		w.Header().Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == HealthPath:
		w.Header().Set(wire.RunnerID, e.ID)
	case r.URL.Path == wire.ReportPath:
		e.report(w)
	case r.URL.Path == wire.OrderPath:
		e.order(w, body)
	case r.URL.Path == wire.KVMovePath:
		e.move(w, body)
	case strings.HasPrefix(r.URL.Path, wire.KVHandlePath):
	default:
		e.run(w, r)
	}
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := [][]any{}
	for id, run := range e.running {
		runs = append(runs, []any{id, 1000, run.events, 5})
	}
	answer(w, http.StatusOK, map[string]any{
		"phase": e.phase, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false,
		"sequence": e.sequence, "queued": 0, "running": len(runs), "kv_used": 1000 * len(runs), "kv_total": 90000, "kv_handles": 0,
		"state": e.state, "runs": runs,
	})
}

func (e *Engine) order(w http.ResponseWriter, body []byte) {
	var o wire.Order
	_ = json.Unmarshal(body, &o)
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Phase == e.phase {
		w.WriteHeader(http.StatusOK)
		return
	}
	e.phase = o.Phase
	e.sequence++
	_ = e.register()
	w.WriteHeader(http.StatusAccepted)
}

// move stops a run if it is asked to, as its memory moves.
func (e *Engine) move(w http.ResponseWriter, body []byte) {
	var m wire.KVMove
	_ = json.Unmarshal(body, &m)
	e.mu.Lock()
	defer e.mu.Unlock()
	run, ok := e.running[m.ID]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if m.Last && !run.stopped {
		run.stopped = true
		close(run.stop)
		e.endRun(run)
	}
	answer(w, http.StatusOK, map[string]any{"handle": "h-" + m.ID, "create_rev": run.events})
}

// begin begins a run.
func (e *Engine) begin(r *http.Request) *Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := &Run{Request: r.Header.Get(wire.RequestID), Engine: e.ID, LastEvent: r.Header.Get(wire.LastEvent), Began: time.Now(), stop: make(chan struct{})}
	e.runs = append(e.runs, run)
	e.running[run.Request] = run
	return run
}

func (e *Engine) end(run *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endRun(run)
}

// Events returns the number of the last event made.
func (r Run) Events() int { return r.events }

// endRun ends a run. The lock is held.
func (e *Engine) endRun(run *Run) {
	if run.Ended.IsZero() {
		run.Ended = time.Now()
	}
	if e.running[run.Request] == run {
		delete(e.running, run.Request)
	}
}

func (e *Engine) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire.RequestID)
	w.Header().Set(wire.RequestID, id)
	e.mu.Lock()
	phase := e.phase
	e.mu.Unlock()
	stage := wire.PhaseDecode
	if r.Header.Get(wire.Phase) == wire.PhasePrefill {
		stage = wire.PhasePrefill
	}
	switch {
	case phase == "":
		e.call(w, r)
	case phase != stage:
		w.Header().Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case strings.HasSuffix(r.Header.Get(wire.KVSource), "/"+id): // a copy of the run, and this engine keeps none
		w.Header().Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case stage == wire.PhasePrefill:
		time.Sleep(20 * time.Millisecond)
		answer(w, http.StatusOK, map[string]any{"handle": "p-" + id, "tokens": 100, "version": 1})
	case e.Unframed:
		e.streamUnframed(w, r)
	default:
		e.stream(w, r)
	}
}

func (e *Engine) call(w http.ResponseWriter, r *http.Request) {
	run := e.begin(r)
	defer e.end(run)
	time.Sleep(e.CallTime)
	w.Header().Set(wire.ServerStamp, "stamp-"+run.Request)
	_, _ = io.WriteString(w, "answer to "+run.Request)
}

// stream makes the events after the one that the request names.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request) {
	run := e.begin(r)
	defer e.end(run)
	w.Header().Set(wire.ServerStamp, "stamp-"+run.Request)
	w.Header().Set("Content-Type", "text/event-stream")
	step := max(1, e.IDStep)
	last, _ := strconv.Atoi(run.LastEvent)
	last /= step
	var closed <-chan struct{}
	if !e.WorksOn {
		closed = r.Context().Done()
	}
	for n := last + 1; n <= e.Events; n++ {
		select {
		case <-time.After(e.Pause):
		case <-closed:
			return
		case <-run.stop:
			panic(http.ErrAbortHandler) // the stream is closed without its end
		}
		e.mu.Lock()
		run.events = n
		e.mu.Unlock()
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", n*step, n) // fails once the connection is closed
		_ = http.NewResponseController(w).Flush()
	}
}

// streamUnframed makes the events of a stream that ends with its connection.
func (e *Engine) streamUnframed(w http.ResponseWriter, r *http.Request) {
	run := e.begin(r)
	defer e.end(run)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	e.mu.Lock()
	e.unframed[conn] = true
	e.mu.Unlock()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		wire.RequestID, run.Request, wire.ServerStamp, run.Request)
	last, _ := strconv.Atoi(run.LastEvent)
	for n := last + 1; n <= e.Events; n++ {
		time.Sleep(e.Pause)
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: event %d\n\n", n, n); err != nil {
			return
		}
		e.mu.Lock()
		run.events = n
		e.mu.Unlock()
	}
}

func answer(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(document)
}
