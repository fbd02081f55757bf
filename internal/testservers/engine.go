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

// EngineOptions configures a stand-in engine.
type EngineOptions struct {
	ID      string
	Initial config.EngineState
	Fencing config.Fencing
	// PrefillRate and DecodeRate are in tokens per second. DecodeRate applies to a single stream
	// alone in the batch.
	PrefillRate float64
	DecodeRate  float64
	// PrefillBudget bounds the prompt tokens of one step.
	PrefillBudget int
	// StepPerStream is the time that each additional decoding stream adds to a step.
	StepPerStream time.Duration
	// MaxRunning bounds the streams in the batch.
	MaxRunning int
	// KVBlocks is the KV cache memory in blocks, and BlockTokens the tokens per block.
	KVBlocks    int
	BlockTokens int
	// ReportLag is the age of load reports until SetFaults changes it.
	ReportLag time.Duration
	// ChangeTime is the duration of a disruptive order. LoadTime is that of an order that only
	// changes adapters.
	ChangeTime time.Duration
	LoadTime   time.Duration
	// KVRate is the rate in tokens per second at which another engine can read KV cache. 0 means
	// no limit.
	KVRate float64
}

// EngineFaults are the faults that a stand-in engine injects. The zero value injects none.
type EngineFaults struct {
	// ReportLagMs is the age in milliseconds of the load reports that are served.
	ReportLagMs int `json:"report_lag_ms"`
	// Crash drops all streams and loaded state once, as a process restart would.
	Crash bool `json:"crash"`
	// BreakAfter breaks each stream after that many pieces were sent. 0 disables it.
	BreakAfter int `json:"break_after"`
	// Disorder sends pieces out of order and some of them twice.
	Disorder bool `json:"disorder"`
	// Refuse rejects new streams with status 503.
	Refuse bool `json:"refuse"`
	// CrashOn is a substring of prompts that make the engine's process exit. Empty disables it.
	CrashOn string `json:"end_on"`
	// DropEvents leaves out every third cache event.
	DropEvents bool `json:"drop_events"`
	// OtherText makes new streams generate a text that differs from that of other engines.
	OtherText bool `json:"other_text"`
	// SlowFactor multiplies the duration of each step if it is greater than 1.
	SlowFactor float64 `json:"slow_factor"`
}

// EngineRecord is what the engine counted itself. Tests compare it with the results of the callers.
type EngineRecord struct {
	// Orders are the accepted orders, oldest first.
	Orders []engine.Order `json:"orders"`
	// Refused are the orders rejected for an outdated fencing number.
	Refused []engine.Order `json:"refused"`
	// Cut counts the unfinished streams that an order, a crash or BreakAfter broke.
	Cut int `json:"cut"`
	// Cancelled counts the streams that were cancelled.
	Cancelled int `json:"cancelled"`
	Started   int `json:"started"`
	// Ran counts the streams started for each marked prompt. See CountedPromptMark.
	Ran map[string]int `json:"ran,omitempty"`
	// Exported counts the transfers of KV cache that other engines began to read from this one.
	// Imported counts those that this engine read completely. Reused counts the streams started
	// from an import.
	Exported int `json:"exported"`
	Imported int `json:"imported"`
	Reused   int `json:"reused"`
}

// PathRecord returns the EngineRecord or ServiceRecord.
const PathRecord = "/book"

// reportInterval is the time between two snapshots for load reports.
const reportInterval = 50 * time.Millisecond

// maxReports bounds the snapshots kept to serve old load reports.
const maxReports = 400

// maxRecent bounds the request ids listed in a report.
const maxRecent = 64

// Engine is a stand-in of a model engine. Its loop (batch.go) advances all streams.
type Engine struct {
	options EngineOptions

	mu        sync.Mutex // protects all below
	work      *sync.Cond // signalled when a stream arrives
	faults    EngineFaults
	boot      string
	boots     int
	state     config.EngineState
	changing  bool
	fault     string
	lastOrder engine.Order
	streams   map[string]*generation
	waiting   []*generation
	running   []*generation
	accepted  int64
	recent    []string
	reports   []engine.Report
	seq       int64
	cache     *prefixCache
	exports   map[string]kvEntry // readable by other engines, by handle
	imports   map[string]kvEntry // read from other engines, by handle
	record    EngineRecord
	// lastEviction is when evictEndedStreams last ran.
	lastEviction time.Time
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

// restart resets the engine to the state of a new process. The lock is held, or the engine is not
// yet shared.
func (e *Engine) restart() {
	for _, g := range e.streams {
		e.breakStream(g)
	}
	e.boots++
	e.boot = fmt.Sprintf("%s-%d-%d", e.options.ID, time.Now().UnixNano(), e.boots)
	e.state = e.options.Initial
	e.changing, e.fault, e.lastOrder = false, "", engine.Order{}
	e.streams = map[string]*generation{}
	e.waiting, e.running, e.recent, e.reports = nil, nil, nil, nil
	e.accepted, e.seq = 0, 0
	e.exports, e.imports = map[string]kvEntry{}, map[string]kvEntry{}
	e.cache = newPrefixCache(e.options.KVBlocks / 2)
}

// breakStream breaks a stream and counts it if it was unfinished. The lock is held.
func (e *Engine) breakStream(g *generation) {
	if !g.ended() {
		e.record.Cut++
	}
	g.broken = true
	g.changed.Broadcast()
}

// Handler serves the engine's interface, its record and the setting of faults.
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
		writeJSON(w, e.record)
	})
	mux.HandleFunc(PathFault, func(w http.ResponseWriter, r *http.Request) {
		var faults EngineFaults
		if readJSON(w, r, &faults) {
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
	if !readJSON(w, r, &id) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if g, ok := e.streams[id.ID]; ok && !g.ended() {
		e.record.Cancelled++
		g.broken = true
		e.removeFromBatch(g)
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
			writeJSON(w, report)
			return
		}
	}
	http.Error(w, "no report yet", http.StatusServiceUnavailable)
}

func (e *Engine) reportLoop() {
	for {
		time.Sleep(reportInterval)
		e.mu.Lock()
		e.reports = append(e.reports, e.snapshot())
		if len(e.reports) > maxReports {
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
		PrefillRate: e.options.PrefillRate, DecodeRate: e.fullBatchDecodeRate(),
	}
}

// fullBatchDecodeRate returns the decode rate of a full batch in tokens per second.
func (e *Engine) fullBatchDecodeRate() float64 {
	streams := float64(e.options.MaxRunning)
	return streams / (1/e.options.DecodeRate + (streams-1)*e.options.StepPerStream.Seconds())
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64) // 0 reads all
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, engine.CacheEvents{Boot: e.boot, Events: e.cache.since(after, e.faults.DropEvents)})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Fencing == config.FencingRefuse && order.Fence < e.lastOrder.Fence {
		e.record.Refused = append(e.record.Refused, order)
		http.Error(w, "fenced off", http.StatusPreconditionFailed)
		return
	}
	if e.changing && e.lastOrder.ID == order.ID {
		e.record.Orders = append(e.record.Orders, order)
		e.lastOrder.Fence = order.Fence
	} else {
		e.startOrder(order)
	}
	writeJSON(w, e.statusNow())
}

// startOrder begins to execute an order. A disruptive order breaks all streams and drops exported
// and imported KV cache. The lock is held.
func (e *Engine) startOrder(order engine.Order) {
	e.record.Orders = append(e.record.Orders, order)
	e.lastOrder = order
	if e.state.Equal(order.Want) {
		return
	}
	duration := e.options.LoadTime
	if e.state.Disruptive(order.Want) {
		duration = e.options.ChangeTime
		for _, g := range e.streams {
			e.breakStream(g)
		}
		e.waiting, e.running = nil, nil
		e.exports, e.imports = map[string]kvEntry{}, map[string]kvEntry{}
	}
	e.changing = true
	boot := e.boot
	time.AfterFunc(duration, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.boot == boot && e.lastOrder.ID == order.ID {
			e.state, e.changing = order.Want, false
		}
	})
}

func (e *Engine) status(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.statusNow())
}

// statusNow returns the current status. The lock is held.
func (e *Engine) statusNow() engine.Status {
	return engine.Status{
		Engine: e.options.ID, Boot: e.boot, State: e.state, Changing: e.changing,
		LastOrder: e.lastOrder.ID, LastFence: e.lastOrder.Fence,
		Running: len(e.running) + len(e.waiting), Fault: e.fault,
	}
}
