package testservers

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
)

// EngineOptions describe a stand-in engine.
type EngineOptions struct {
	ID      string
	Initial config.EngineState
	Fencing config.Fencing
	// PrefillRate and DecodeRate are in tokens a second; DecodeRate is for one
	// stream alone in the batch.
	PrefillRate float64
	DecodeRate  float64
	// PrefillBudget bounds the prompt tokens of one step.
	PrefillBudget int
	// StepPerStream is what each further stream adds to a step.
	StepPerStream time.Duration
	// MaxRunning bounds the batch.
	MaxRunning int
	// KVBlocks and BlockTokens are the memory for KV cache.
	KVBlocks    int
	BlockTokens int
	// ReportLag is the age of load reports, until SetFaults says otherwise.
	ReportLag time.Duration
	// ChangeTime is how long a disruptive order takes, LoadTime one for
	// adapters.
	ChangeTime time.Duration
	LoadTime   time.Duration
	// KVRate is how many tokens of KV cache another engine can read a second; 0
	// is no limit.
	KVRate float64
}

// EngineFaults are the faults of a stand-in engine. The zero value has none.
type EngineFaults struct {
	// ReportLagMs serves load reports that are that old.
	ReportLagMs int `json:"report_lag_ms"`
	// Crash drops all streams and loaded state once, as a restart would.
	Crash bool `json:"crash"`
	// BreakAfter breaks each new stream after that many pieces; 0 is off.
	BreakAfter int `json:"break_after"`
	// Disorder sends pieces out of order and twice.
	Disorder bool `json:"disorder"`
	// Refuse answers new streams with 503.
	Refuse bool `json:"refuse"`
	// CrashOn is a part of the prompts that end the engine's process; empty for none.
	CrashOn string `json:"end_on"`
	// DropEvents leaves gaps in the cache events.
	DropEvents bool `json:"drop_events"`
	// OtherText makes new streams another text than other engines make.
	OtherText bool `json:"other_text"`
	// SlowFactor stretches each step; 0 and 1 are normal speed.
	SlowFactor float64 `json:"slow_factor"`
}

// EngineRecord is the engine's own record, for tests to compare with the callers'.
type EngineRecord struct {
	// Orders in the order they took effect.
	Orders []engine.Order `json:"orders"`
	// Refused are orders that the fencing number refused.
	Refused []engine.Order `json:"refused"`
	// Cut counts streams that an order or a crash cut off.
	Cut int `json:"cut"`
	// Cancelled counts streams that were cancelled.
	Cancelled int `json:"cancelled"`
	Started   int `json:"started"`
	// Ran counts the streams that were started for each marked prompt; see
	// BookMark.
	Ran map[string]int `json:"ran,omitempty"`
	// Exported and Imported count transfers of KV cache that began at this
	// engine, and those that it took whole. Reused counts streams that were
	// started from an import.
	Exported int `json:"exported"`
	Imported int `json:"imported"`
	Reused   int `json:"reused"`
}

// PathRecord returns the Book.
const PathRecord = "/book"

// reportEvery is the time between snapshots for load reports.
const reportEvery = 50 * time.Millisecond

// reportsKept bounds the snapshots that are kept for lag.
const reportsKept = 400

// recentKept is how many request ids a report names.
const recentKept = 64

// Engine is a stand-in engine. Its loop (batch.go) advances all streams.
type Engine struct {
	options EngineOptions

	mu       sync.Mutex // protects all below
	work     *sync.Cond // signalled when a stream arrives
	faults   EngineFaults
	boot     string
	boots    int
	state    config.EngineState
	changing bool
	fault    string
	last     engine.Order
	streams  map[string]*generation
	waiting  []*generation
	running  []*generation
	accepted int64
	recent   []string
	reports  []engine.Report
	seq      int64
	cache    *prefixCache
	exports  map[string]kvEntry // offered to other engines, by handle
	imports  map[string]kvEntry // brought from other engines, by handle
	book     EngineRecord
	// forgotten is when ended streams were last looked for.
	forgotten time.Time
}

// NewEngine starts a stand-in engine.
func NewEngine(options EngineOptions) *Engine {
	e := &Engine{options: options}
	e.work = sync.NewCond(&e.mu)
	e.faults.ReportLagMs = int(options.ReportLag.Milliseconds())
	e.restart()
	go e.loop()
	go e.reportLoop()
	return e
}

// restart puts the engine in the state of a fresh process. The lock is held,
// or the engine not yet shared.
func (e *Engine) restart() {
	for _, g := range e.streams {
		e.cut(g)
	}
	e.boots++
	e.boot = fmt.Sprintf("%s-%d-%d", e.options.ID, time.Now().UnixNano(), e.boots)
	e.state = e.options.Initial
	e.changing, e.fault, e.last = false, "", engine.Order{}
	e.streams = map[string]*generation{}
	e.waiting, e.running, e.recent, e.reports = nil, nil, nil, nil
	e.accepted, e.seq = 0, 0
	e.exports, e.imports = map[string]kvEntry{}, map[string]kvEntry{}
	e.cache = newPrefixCache(e.options.KVBlocks / 2)
}

// cut breaks a stream off.
func (e *Engine) cut(g *generation) {
	if !g.ended() {
		e.book.Cut++
	}
	g.broken = true
	g.changed.Broadcast()
}

// Handler serves the engine's interface and the fault switches.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(engine.PathGenerate, e.generate)
	mux.HandleFunc(engine.PathCancel, e.cancel)
	mux.HandleFunc(engine.PathReport, e.report)
	mux.HandleFunc(engine.PathCacheEvents, e.cacheEvents)
	mux.HandleFunc(engine.PathOrder, e.order)
	mux.HandleFunc(engine.PathStatus, e.status)
	mux.HandleFunc(engine.PathExport, e.export)
	mux.HandleFunc(engine.PathImport, e.importKV)
	mux.HandleFunc(PathKVData, e.kvData)
	mux.HandleFunc(PathRecord, func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		reply(w, e.book)
	})
	mux.HandleFunc(PathFault, func(w http.ResponseWriter, r *http.Request) {
		var faults EngineFaults
		if read(w, r, &faults) {
			e.SetFaults(faults)
		}
	})
	return mux
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if faults.Crash {
		e.restart()
		faults.Crash = false
	}
	e.faults = faults
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var id engine.StreamID
	if !read(w, r, &id) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if g, ok := e.streams[id.ID]; ok && !g.ended() {
		e.book.Cancelled++
		g.broken = true
		e.drop(g)
	}
}

func (e *Engine) report(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	asOf := time.Now().Add(-time.Duration(e.faults.ReportLagMs) * time.Millisecond).UnixMilli()
	for i := len(e.reports) - 1; i >= 0; i-- {
		if e.reports[i].UnixMilli <= asOf {
			report := e.reports[i]
			if r.URL.Query().Get("recent") == "0" {
				report.Recent = nil
			}
			reply(w, report)
			return
		}
	}
	http.Error(w, "no report yet", http.StatusServiceUnavailable)
}

func (e *Engine) reportLoop() {
	for {
		time.Sleep(reportEvery)
		e.mu.Lock()
		e.reports = append(e.reports, e.snapshot())
		if len(e.reports) > reportsKept {
			e.reports = e.reports[1:]
		}
		e.mu.Unlock()
	}
}

func (e *Engine) snapshot() engine.Report {
	e.seq++
	prefill := 0
	for _, g := range slices.Concat(e.waiting, e.running) {
		prefill += g.prefillLeft
	}
	return engine.Report{
		Engine: e.options.ID, Boot: e.boot, Seq: e.seq, UnixMilli: time.Now().UnixMilli(),
		Accepted: e.accepted, Recent: slices.Clone(e.recent),
		Running: len(e.running), Waiting: len(e.waiting), PrefillTokens: prefill,
		KVBlocksFree: e.blocksFree(), KVBlocksTotal: e.options.KVBlocks,
		PrefillRate: e.options.PrefillRate, DecodeRate: e.fullDecodeRate(),
	}
}

// fullDecodeRate is that of a full batch, in tokens a second.
func (e *Engine) fullDecodeRate() float64 {
	streams := float64(e.options.MaxRunning)
	return streams / (1/e.options.DecodeRate + (streams-1)*e.options.StepPerStream.Seconds())
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64) // 0 reads all
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, engine.CacheEvents{Boot: e.boot, Events: e.cache.since(after, e.faults.DropEvents)})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !read(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Fencing == config.FencingRefuse && order.Fence < e.last.Fence {
		e.book.Refused = append(e.book.Refused, order)
		http.Error(w, "fenced off", http.StatusPreconditionFailed)
		return
	}
	if e.changing && e.last.ID == order.ID {
		e.book.Orders = append(e.book.Orders, order)
		e.last.Fence = order.Fence
	} else {
		e.take(order)
	}
	reply(w, e.statusNow())
}

// take begins to carry an order out.
func (e *Engine) take(order engine.Order) {
	e.book.Orders = append(e.book.Orders, order)
	e.last = order
	if e.state.Equal(order.Want) {
		return
	}
	duration := e.options.LoadTime
	if e.state.Disruptive(order.Want) {
		duration = e.options.ChangeTime
		for _, g := range e.streams {
			e.cut(g)
		}
		e.waiting, e.running = nil, nil
		e.exports, e.imports = map[string]kvEntry{}, map[string]kvEntry{}
	}
	e.changing = true
	boot := e.boot
	time.AfterFunc(duration, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.boot == boot && e.last.ID == order.ID {
			e.state, e.changing = order.Want, false
		}
	})
}

func (e *Engine) status(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply(w, e.statusNow())
}

func (e *Engine) statusNow() engine.Status {
	return engine.Status{
		Engine: e.options.ID, Boot: e.boot, State: e.state, Changing: e.changing,
		LastOrder: e.last.ID, LastFence: e.last.Fence,
		Running: len(e.running) + len(e.waiting), Fault: e.fault,
	}
}
