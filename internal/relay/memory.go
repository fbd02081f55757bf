package relay

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/membudget"
)

// memoryCheckInterval is the time between two checks of the memory that is held, several in membudget.AbortAfter.
const memoryCheckInterval = 50 * time.Millisecond

// errOverMemory is the ErrAnswerAborted of an answer that took memory that others need while its caller did not read.
var errOverMemory = errors.WithMessage(ErrAnswerAborted, "its caller did not read, and its memory was needed")

// memory holds the accounts of the memory that is held for callers, and carries out the decisions on them.
type memory struct {
	log   *slog.Logger
	now   func() time.Duration
	limit int64

	mu     sync.Mutex // protects the fields below, and the fields of all membudget.Holders
	ledger *membudget.Ledger
	// open are the exchanges by their accounts.
	open map[*membudget.Holder]*holding
	// checking is set while the next check is scheduled. There is one while exchanges are open.
	checking bool

	aborted, paused, shortened, bodiesRefused metrics.Counter
	held                                      metrics.Gauge
}

func newMemory(s membudget.Settings, log *slog.Logger, now func() time.Duration) *memory {
	gauge := func(name string) metrics.Gauge {
		return metrics.GetOrRegisterGauge("relay."+name, metrics.DefaultRegistry)
	}
	gauge("memory_limit").Update(s.Bytes)
	return &memory{
		log: log, now: now, limit: s.Bytes, ledger: membudget.New(s), open: map[*membudget.Holder]*holding{},
		aborted: counter("memory_aborted"), paused: counter("memory_paused"), shortened: counter("memory_heads_shortened"),
		bodiesRefused: counter("memory_bodies_refused"), held: gauge("memory_held"),
	}
}

// hold opens the account of a request. Its answer is to be written to the returned holding. If it is aborted, cancel is called.
func (m *memory) hold(id string, w http.ResponseWriter, cancel context.CancelFunc) *holding {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := &holding{ResponseWriter: w, memory: m, cancel: cancel, mayContinue: make(chan struct{}, 1)}
	h.account = m.ledger.Open(id, m.now())
	m.open[h.account] = h
	m.scheduleCheck()
	return h
}

// scheduleCheck schedules the next check unless it is scheduled. The lock is held.
func (m *memory) scheduleCheck() {
	if !m.checking && len(m.open) > 0 {
		m.checking = true
		time.AfterFunc(memoryCheckInterval, m.check)
	}
}

// check aborts the answers that the ledger names, and lets paused ones try to read on.
func (m *memory) check() {
	m.mu.Lock()
	m.checking = false
	m.scheduleCheck()
	decisions := m.ledger.Sweep(m.now())
	for _, a := range decisions.Aborts {
		m.open[a.Holder].abort()
	}
	if m.ledger.HasReadAheadRoom() {
		for _, h := range m.open {
			h.wake()
		}
	}
	m.held.Update(m.ledger.Held())
	m.mu.Unlock()
	m.report(decisions)
}

// report counts and logs decisions.
func (m *memory) report(decisions membudget.Decisions) {
	for _, a := range decisions.Aborts {
		m.aborted.Inc(1)
		m.log.Info("relay: answer aborted for memory", "request", a.Holder.ID, "bytes", a.Bytes, "age", a.Age, "held", a.Held, "limit", m.limit, "outcome", a.Reason)
	}
	for _, p := range decisions.Pauses {
		m.paused.Inc(1)
		m.log.Info("relay: answer not read ahead of its caller", "request", p.Holder.ID, "bytes", p.Bytes, "age", p.Age, "held", p.Held, "limit", m.limit, "outcome", "paused")
	}
}

// holding is what one request holds, and the writer of its answer. It implements http.ResponseWriter.
type holding struct {
	http.ResponseWriter
	memory  *memory
	account *membudget.Holder
	cancel  context.CancelFunc
	// mayContinue receives a value when more may be read ahead of the caller.
	mayContinue chan struct{}
}

// abort ends the upstream's work and a write to the caller that is in progress. The memory's lock is held, so that the
// request has not ended: its connection may serve another one afterwards.
func (h *holding) abort() {
	h.cancel()
	h.wake()
	_ = http.NewResponseController(h.ResponseWriter).SetWriteDeadline(time.Unix(1, 0)) // only writers of tests have no deadline
}

// wake lets a paused answer try to read on.
func (h *holding) wake() {
	select {
	case h.mayContinue <- struct{}{}:
	default: // it is awake already
	}
}

// Write implements http.ResponseWriter. It records how long the caller takes.
func (h *holding) Write(p []byte) (int, error) {
	defer h.writing()()
	return h.ResponseWriter.Write(p)
}

// FlushError implements what http.ResponseController calls.
func (h *holding) FlushError() error {
	defer h.writing()()
	return http.NewResponseController(h.ResponseWriter).Flush()
}

// Unwrap implements what http.ResponseController calls.
func (h *holding) Unwrap() http.ResponseWriter { return h.ResponseWriter }

// SetVersion implements versionWriter.
func (h *holding) SetVersion(version string) {
	if w, ok := h.ResponseWriter.(versionWriter); ok {
		w.SetVersion(version)
	}
}

// writing records the begin of a write, and returns the function that records its end.
func (h *holding) writing() func() {
	h.update(func(l *membudget.Ledger) { l.BeginWrite(h.account, h.memory.now()) })
	return func() { h.update(func(l *membudget.Ledger) { l.EndWrite(h.account, h.memory.now()) }) }
}

func (h *holding) update(do func(*membudget.Ledger)) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	do(h.memory.ledger)
}

// aborted reports whether the answer was aborted.
func (h *holding) aborted() bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.account.Aborted()
}

// reserve reserves n bytes of the answer, and reports false if they must not be read now.
func (h *holding) reserve(n int64, purpose membudget.Purpose) bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.memory.ledger.Reserve(h.account, n, purpose, h.memory.now())
}

// release releases n bytes of the answer.
func (h *holding) release(n int64) {
	h.update(func(l *membudget.Ledger) { l.Release(h.account, n) })
	h.wake()
}

func (h *holding) receivedAll() {
	h.update(func(l *membudget.Ledger) { l.ReceivedAll(h.account) })
}

// failed records that the upstream's answer broke off.
func (h *holding) failed() {
	h.update(func(l *membudget.Ledger) { l.Failed(h.account) })
}

// close closes the account.
func (h *holding) close() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.ledger.Close(h.account)
	delete(h.memory.open, h.account)
	if len(h.memory.open) == 0 {
		h.memory.held.Update(h.memory.ledger.Held())
	}
}

// result returns the error of a request whose answer may have been aborted for memory. An answer that was written
// completely at that moment counts as aborted, because nothing more can be written to its connection.
func (h *holding) result(err error) error {
	if h.aborted() {
		return errOverMemory
	}
	return err
}

// noteShortened logs that fewer bytes than usual are buffered before the caller receives any.
func (h *holding) noteShortened(n int) {
	h.memory.shortened.Inc(1)
	h.memory.log.Info("relay: less of the answer buffered, for memory", "request", h.account.ID, "bytes", n, "held", h.memory.heldBytes(), "limit", h.memory.limit, "outcome", "shortened")
}

func (m *memory) heldBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Held()
}

// HeldBytes returns the memory that is held for callers.
func (r *Relay) HeldBytes() int64 { return r.memory.heldBytes() }

// bodyRetryIn is when a caller whose body was refused for memory should retry. Answers that are not read have been
// aborted by then.
const bodyRetryIn = 2 * membudget.AbortAfter

// HeldBody is what the body of a request holds.
type HeldBody struct {
	memory *memory
	id     string
	bytes  int64
}

// HoldBody returns the account of the body of a request.
func (r *Relay) HoldBody(id string) *HeldBody { return &HeldBody{memory: r.memory, id: id} }

// Grow reserves n more bytes. The error is a *Refusal if a large body must be refused.
func (b *HeldBody) Grow(n int64) error {
	m := b.memory
	m.mu.Lock()
	ok, held := m.ledger.ReserveBody(n, b.bytes), m.ledger.Held()
	m.mu.Unlock()
	if ok {
		b.bytes += n
		return nil
	}
	m.bodiesRefused.Inc(1)
	m.log.Info("relay: body refused for memory", "request", b.id, "bytes", b.bytes+n, "held", held, "limit", m.limit, "outcome", "not run")
	refusal := &Refusal{Outcome: NotRun, Reason: "no memory for its body"}
	if b.bytes+n <= m.limit {
		refusal.RetryIn = jittered(bodyRetryIn)
	}
	return refusal
}

// Release releases the body.
func (b *HeldBody) Release() {
	b.memory.mu.Lock()
	defer b.memory.mu.Unlock()
	b.memory.ledger.ReleaseBody(b.bytes)
	b.bytes = 0
}
