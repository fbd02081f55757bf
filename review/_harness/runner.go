package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"sassafrasfield/platform/standin"
	"sassafrasfield/platform/wire"
)

// runner is a stand-in of a runner that follows the users' pages.
type runner struct {
	id, service, zone, address, version string
	store                               *standin.Store
	rec                                 *record
	plan                                streamPlan
	// callTime is how long a call to a plain service takes.
	callTime time.Duration

	server *http.Server

	mu             sync.Mutex // protects all below
	phase, state   string
	orders, beats  int64
	busy           bool
	running        int
	arrivals, runs []arrival
	exited         bool
	// exitWhenIdle ends the process with its last answer.
	exitWhenIdle bool
}

// arrival is a request that reached the runner, or that it ran.
type arrival struct {
	id, from string
	// host and target are those of the request, as received.
	host, target string
	at           time.Time
	// ended is when a run ended; zero before.
	ended time.Time
}

// streamPlan says how a runner answers with a stream.
type streamPlan struct {
	events int
	pause  time.Duration
	// firstID and idStep number the events.
	firstID, idStep int
	// unframed answers have no length and end with their connection.
	unframed bool
	// stall returns after which event a runner preempts a run, and for how long; 0 for never.
	stall func(runner string) (after int, wait time.Duration)
	// inEvent has the pause fall within the event that follows.
	inEvent bool
	// slowness returns by how much a runner is slower than usual; nil for never.
	slowness func(runner string) float64
	// worksOn returns whether a runner's runs go on when their connection is closed; nil for no.
	worksOn func(runner string) bool
}

func (r *runner) start() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.ReportPath, r.report)
	mux.HandleFunc("POST "+wire.OrderPath, r.order)
	mux.HandleFunc("DELETE "+wire.KVHandlePath, func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /healthz", r.health)
	mux.HandleFunc("/", r.serve)
	listener, err := listen(r.address)
	if err != nil {
		return err
	}
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(listener) }() // ends with exit
	r.state = wire.StateReady
	return r.register()
}

// register writes the runner's entry. The answer of the store acknowledges it.
func (r *runner) register() error {
	r.mu.Lock()
	r.beats++
	entry := wire.RunnerEntry{
		Service: r.service, Address: r.address, Zone: r.zone, Version: r.version, Slots: 64, State: r.state, Phase: r.phase, Sequence: r.beats,
	}
	r.mu.Unlock()
	return r.store.Put(wire.RunnerTable, r.id, entry)
}

// drain reports that the runner leaves. It returns when the store has acknowledged it.
func (r *runner) drain() (time.Time, error) {
	r.mu.Lock()
	r.state = wire.StateDraining
	r.mu.Unlock()
	err := r.register()
	return time.Now(), err
}

// exit ends the runner's process: all its connections close, and nothing listens any more.
func (r *runner) exit() {
	r.mu.Lock()
	ended := r.exited
	r.exited = true
	r.mu.Unlock()
	if ended {
		return
	}
	r.store.Drop(wire.RunnerTable, r.id)
	_ = r.server.Close() // nothing can be done about an error
	r.rec.say("runner %s has ended", r.id)
}

func (r *runner) currentPhase() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.phase
}

func (r *runner) report(w http.ResponseWriter, q *http.Request) {
	if r.misdirected(w, q) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set(wire.RunnerID, r.id)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"phase":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":%t,"sequence":%d,"queued":0,"running":%d,"kv_used":0,"kv_total":370000,"kv_handles":0}`,
		r.phase, r.busy, r.orders, r.running)
}

// roleSwitch is role_switch_s of the configuration.
const roleSwitch = 3 * time.Second

func (r *runner) order(w http.ResponseWriter, q *http.Request) {
	if r.misdirected(w, q) {
		return
	}
	var order wire.Order
	if err := json.NewDecoder(q.Body).Decode(&order); err != nil || order.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.busy || order.Expected != r.orders:
		w.WriteHeader(http.StatusConflict)
	case order.Phase == r.phase:
		w.WriteHeader(http.StatusOK)
	default:
		r.orders++
		r.busy = true
		time.AfterFunc(roleSwitch, func() {
			r.mu.Lock()
			r.phase, r.busy = order.Phase, false
			r.mu.Unlock()
			_ = r.register() // the store is up
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

func (r *runner) health(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set(wire.RunnerID, r.id)
	w.Header().Set(wire.Load, fmt.Sprintf("%d,0,64", r.running))
	if r.state != wire.StateReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// misdirected answers a request that is for another runner.
func (r *runner) misdirected(w http.ResponseWriter, q *http.Request) bool {
	expect := q.Header.Get(wire.ExpectInstance)
	if expect == "" || expect == r.id {
		return false
	}
	w.Header().Set(wire.RunnerID, r.id)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get(wire.RequestID)
	w.Header().Set(wire.RequestID, id)
	if r.misdirected(w, q) {
		return
	}
	from, _, _ := strings.Cut(q.RemoteAddr, ":")
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id: id, from: from, host: q.Host, target: q.RequestURI, at: time.Now()})
	phase, busy := r.phase, r.busy
	r.mu.Unlock()
	prefill := q.Header.Get(wire.Phase) == wire.PhasePrefill
	if busy {
		w.Header().Set(wire.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if phase != "" && prefill != (phase == wire.PhasePrefill) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if prefill {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"handle":"h-%s-%s","tokens":1,"version":1}`, r.id, id)
		return
	}
	r.mu.Lock()
	r.running++
	r.runs = append(r.runs, arrival{id: id, from: from, host: q.Host, target: q.RequestURI, at: time.Now()})
	run := len(r.runs) - 1
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runs[run].ended = time.Now()
	}()
	w.Header().Set(wire.ServerStamp, "stamp."+r.id+"."+id)
	w.Header().Set(wire.Load, "1,0,64")
	if phase == "" {
		time.Sleep(r.callTime)
		fmt.Fprintf(w, "answer to %s, %d bytes", id, len(body))
		r.ended(nil)
		return
	}
	r.stream(w, q, id)
}

// ended records the end of a run. A runner that leaves with its last answer exits then; it calls last before.
func (r *runner) ended(last func()) {
	r.mu.Lock()
	r.running--
	exits := r.exitWhenIdle && r.running == 0
	r.mu.Unlock()
	if last != nil {
		last()
	}
	if exits {
		r.exit()
	}
}

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// stream answers with events. A run whose connection closes is dropped.
func (r *runner) stream(w http.ResponseWriter, q *http.Request, id string) {
	p := r.plan
	first := 0
	if last := q.Header.Get(wire.LastEvent); last != "" {
		var at int
		if _, err := fmt.Sscan(last, &at); err == nil {
			first = (at-p.firstID)/p.idStep + 1
		}
	}
	after, wait := 0, time.Duration(0)
	if p.stall != nil && first == 0 {
		after, wait = p.stall(r.id)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	var out io.Writer = w
	flush := func() error { return http.NewResponseController(w).Flush() }
	closeConn := func() {}
	done := q.Context().Done()
	worksOn := p.worksOn != nil && p.worksOn(r.id)
	if worksOn {
		done = make(chan struct{})
	}
	if p.unframed {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		head := bufio.NewWriter(conn)
		fmt.Fprintf(head, "HTTP/1.1 200 OK\r\n")
		_ = w.Header().Write(head) // flushed below, as the events
		fmt.Fprintf(head, "Connection: close\r\n\r\n")
		out, flush, closeConn = head, head.Flush, func() { conn.Close() }
		_ = buffered
		done = make(chan struct{})
	}
	if err := flush(); err != nil {
		r.ended(closeConn)
		return
	}
	for i := first; i < p.events; i++ {
		text := eventText(p.firstID + i*p.idStep)
		if i == after && wait > 0 {
			if p.inEvent {
				fmt.Fprint(out, text[:len(text)/2])
				text = text[len(text)/2:]
				_ = flush() // an error shows below
			}
			r.rec.say("runner %s preempts %s for %s after event %d", r.id, id, wait, p.firstID+(i-1)*p.idStep)
			if !sleep(done, wait) {
				r.rec.say("runner %s drops %s: its connection was closed", r.id, id)
				r.ended(closeConn)
				return
			}
		}
		fmt.Fprint(out, text)
		pause := p.pause
		if p.slowness != nil {
			pause = time.Duration(float64(pause) * p.slowness(r.id))
		}
		if err := flush(); err != nil && !worksOn || !sleep(done, pause) {
			r.ended(closeConn)
			return
		}
	}
	r.rec.say("runner %s has made all events of %s", r.id, id)
	r.ended(closeConn)
}

func sleep(done <-chan struct{}, d time.Duration) bool {
	select {
	case <-done:
		return false
	case <-time.After(d):
		return true
	}
}

func (r *runner) runningNow() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// leaveWithLast shuts the process down: it takes no new connections and requests, and exits with its last answer.
func (r *runner) leaveWithLast() {
	r.rec.say("runner %s shuts down, with %d answers in progress", r.id, r.runningNow())
	_ = r.server.Shutdown(context.Background()) // the answers in progress have connections of their own
	r.mu.Lock()
	r.exitWhenIdle = true
	idle := r.running == 0
	r.mu.Unlock()
	if idle {
		r.exit()
	}
}

func (r *runner) arrivalsUntilNow() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival{}, r.arrivals...)
}

func (r *runner) runsUntilNow() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival{}, r.runs...)
}
