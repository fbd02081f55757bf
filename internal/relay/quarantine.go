package relay

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/upstreamstate"
)

// errQuarantined: the request's content is quarantined because upstreams crashed while serving it, so that no
// upstream may receive it.
var errQuarantined = errors.New("relay: upstreams ended under its content")

// Timing of the check whether an upstream has crashed. The check is repeated until it has a result,
// because packets may be lost and a machine may be slow to answer.
const (
	// crashCheckTimeout bounds one check. The machine of a process that has ended answers within a
	// round trip of 2 ms.
	crashCheckTimeout = 400 * time.Millisecond
	// crashCheckInterval is the pause between two checks.
	crashCheckInterval = 100 * time.Millisecond
	// crashCheckDeadline bounds the wait for a result. If the machine is silent for longer, the
	// request did not cause that.
	crashCheckDeadline = 3 * time.Second
)

// quarantineState tracks the contents of requests during which upstreams crashed. Its times are on
// the clock that keeps running while the machine is suspended, so that nothing is kept or
// reported for longer than intended.
//
// It protects the upstreams, and all requests that they hold, from a request that crashes them and
// is sent again and again. Without it, two such requests crashed 15 and 21 engines of a fleet of 18
// within a minute.
type quarantineState struct {
	crashes, refused metrics.Counter
	quarantined      metrics.Gauge
	// persistNeeded receives a value when unpersisted has a new entry.
	persistNeeded chan struct{}

	mu    sync.Mutex // protects the fields below
	table *quarantine.Table
	// interrupted holds the requests that upstreams cut off, by the upstream's id, until it is
	// known whether the upstream crashed.
	interrupted map[string][]interruptedRequest
	// unpersisted holds what this instance has to persist for all instances: how often a content
	// was quarantined; 0 to remove it.
	unpersisted map[quarantine.Content]int
}

// interruptedRequest is a request that an upstream cut off.
type interruptedRequest struct {
	content   quarantine.Content
	requestID string
	// parts are the ids of the prompt's parts, for logs. generatingFor is how long the upstream had been answering;
	// 0 if it had not begun.
	parts         string
	generatingFor time.Duration
}

func newQuarantineState() *quarantineState {
	return &quarantineState{
		crashes: counter("upstream_ends"), refused: counter("refused_apart"),
		quarantined:   metrics.GetOrRegisterGauge("relay.contents_apart", metrics.DefaultRegistry),
		persistNeeded: make(chan struct{}, 1), table: quarantine.NewTable(quarantine.DefaultSettings()),
		interrupted: map[string][]interruptedRequest{}, unpersisted: map[quarantine.Content]int{},
	}
}

// dueCrashes returns the crashes that are due in one kind of report.
func (q *quarantineState) dueCrashes(due func(*quarantine.Table, time.Duration) []quarantine.Crash) []quarantine.Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table.Empty() {
		return nil
	}
	return due(q.table, bootclock.Now())
}

// addInterrupted adds a request to those that wait for the crash check of an upstream, and reports
// whether it is the first one.
func (q *quarantineState) addInterrupted(id string, request interruptedRequest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.interrupted[id] = append(q.interrupted[id], request)
	return len(q.interrupted[id]) == 1
}

// takeInterrupted removes and returns the requests that wait for the crash check of an upstream.
func (q *quarantineState) takeInterrupted(id string) []interruptedRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	requests := q.interrupted[id]
	delete(q.interrupted, id)
	return requests
}

// record calls apply, which adds a crash to the table. It returns whether the crash quarantines the
// content and how many crashes count against the content.
func (q *quarantineState) record(content quarantine.Content, apply func(*quarantine.Table) bool) (quarantined bool, crashes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	quarantined = apply(q.table)
	if quarantined && q.table.SawCrash(content) { // otherwise the instances that observed a crash persist it
		q.requestPersist(content, q.table.TimesQuarantined(content))
	}
	q.quarantined.Update(int64(q.table.CountQuarantined(bootclock.Now())))
	return quarantined, q.table.Crashes(content)
}

// requestPersist has the number of a content's quarantines persisted for all instances. The caller
// holds the lock.
func (q *quarantineState) requestPersist(content quarantine.Content, times int) {
	q.unpersisted[content] = times
	select {
	case q.persistNeeded <- struct{}{}:
	default: // a notification is already pending
	}
}

// isQuarantined reports whether no upstream may receive a request.
func (r *Relay) isQuarantined(x *exchange) bool {
	q := r.quarantine
	q.mu.Lock()
	empty := q.table.Empty()
	q.mu.Unlock()
	if empty {
		return false // saves hashing the content
	}
	content := x.content()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Quarantined(content, bootclock.Now())
}

// refuseQuarantined returns the refusal of a request whose content is quarantined, and nil for
// others. The refusal has no retry delay.
func (r *Relay) refuseQuarantined(x *exchange) error {
	if !r.isQuarantined(x) {
		return nil
	}
	r.quarantine.refused.Inc(1)
	r.log.Info("relay: content refused", "request", x.req.ID, "route", x.route.Name, "content", x.content())
	return &Refusal{Outcome: NotRun, Reason: "upstreams ended under its content"}
}

// recordServed records that a request was answered completely.
func (r *Relay) recordServed(x *exchange) {
	q, content := r.quarantine, x.content()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table.RecordServed(content, bootclock.Now()) {
		q.requestPersist(content, 0)
		r.log.Info("relay: content served, and not to blame", "request", x.req.ID, "content", content)
	}
}

// checkInterrupted handles a request that an upstream cut off. If the upstream crashed, this counts
// against the request's content.
func (r *Relay) checkInterrupted(x *exchange, id string) {
	request := interruptedRequest{
		content: x.content(), requestID: x.req.ID, parts: x.promptParts(), generatingFor: x.generatingFor(r.now()),
	}
	if !r.quarantine.addInterrupted(id, request) {
		return
	}
	to := r.upstreams.Upstream(id)
	if to.ID == "" { // the upstream was removed, and its requests with it
		r.quarantine.takeInterrupted(id)
		return
	}
	go r.checkCrashed(to)
}

// checkCrashed determines whether an upstream that cut off requests has crashed. If so, it records the
// crash for their contents.
func (r *Relay) checkCrashed(to upstreamstate.Upstream) {
	crashed := r.hasCrashed(to)
	requests := r.quarantine.takeInterrupted(to.ID)
	if !crashed {
		r.log.Info("relay: upstream lives on", "upstream", to.ID, "cut_off", len(requests))
		return
	}
	for _, request := range requests {
		quarantined, crashes := r.RecordCrash(quarantine.Crash{Content: request.content, Upstream: to.Incarnation()})
		r.quarantine.crashes.Inc(1)
		r.log.Info("relay: upstream ended", "upstream", to.ID, "request", request.requestID, "content", request.content,
			"parts", request.parts, "generating_for", request.generatingFor, "ends", crashes, "apart", quarantined)
	}
	r.notifyChanged()
}

// hasCrashed checks whether an upstream has crashed until there is a result. Without a result the
// upstream is treated as running.
func (r *Relay) hasCrashed(to upstreamstate.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckDeadline)
	defer cancel()
	healthPath := r.Services()[to.Service].HealthPath
	if r.BackingOff(to) {
		healthPath = "" // the check must not send it a request
	}
	began := r.now()
	for {
		checkCtx, cancelCheck := context.WithTimeout(ctx, crashCheckTimeout)
		crashed, err := r.sender.Crashed(checkCtx, to, healthPath)
		cancelCheck()
		if err == nil && crashed && !r.reachesAnother(ctx, to, began) {
			r.log.Info("relay: no upstream is reached, crash not assumed", "upstream", to.ID)
			return false
		}
		if err == nil {
			return crashed
		}
		if !pause.For(ctx, crashCheckInterval) {
			r.log.Info("relay: cannot determine whether upstream crashed", "upstream", to.ID, "error", err)
			return false
		}
	}
}

// RecordCrash records a crash that this instance observed. It returns whether the crash
// quarantines the content and how many crashes count against the content.
func (r *Relay) RecordCrash(crash quarantine.Crash) (quarantined bool, crashes int) {
	return r.quarantine.record(crash.Content, func(t *quarantine.Table) bool { return t.RecordCrash(crash, bootclock.Now()) })
}

// applyCrashes merges the crashes that other instances reported.
func (r *Relay) applyCrashes(crashes []quarantine.Crash, sameZone bool) {
	for _, crash := range crashes {
		quarantined, count := r.quarantine.record(crash.Content, func(t *quarantine.Table) bool { return t.ReceiveCrash(crash, sameZone, bootclock.Now()) })
		if quarantined {
			r.log.Info("relay: content quarantined after reports of other instances", "content", crash.Content, "ends", count)
		}
	}
}

// Quarantine applies the persisted state of a content that was quarantined the given number of
// times. A content that was served here recently is released for all instances instead.
func (r *Relay) Quarantine(content quarantine.Content, times int) {
	q := r.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	now := bootclock.Now()
	if !q.table.Quarantine(content, times, now) {
		q.requestPersist(content, 0)
		r.log.Info("relay: content was served recently, quarantine rejected", "content", content)
	}
	q.quarantined.Update(int64(q.table.CountQuarantined(now)))
}

// Release ends the quarantine of a content whose persisted state was removed.
func (r *Relay) Release(content quarantine.Content) {
	q := r.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Release(content)
	q.quarantined.Update(int64(q.table.CountQuarantined(bootclock.Now())))
}

// PersistAgain has this instance persist once more how often a content was quarantined.
func (r *Relay) PersistAgain(content quarantine.Content) {
	q := r.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if times := q.table.TimesQuarantined(content); times > 0 {
		q.requestPersist(content, times)
	}
}

// PersistNeeded returns a channel that receives a value when Unpersisted has new entries.
func (r *Relay) PersistNeeded() <-chan struct{} { return r.quarantine.persistNeeded }

// Unpersisted returns what this instance has to persist for all instances: how often each content
// was quarantined; 0 to remove it.
func (r *Relay) Unpersisted() map[quarantine.Content]int {
	q := r.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.unpersisted)
}

// MarkPersisted records what is persisted now. Entries that changed meanwhile stay unpersisted.
func (r *Relay) MarkPersisted(persisted map[quarantine.Content]int) {
	q := r.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	for content, times := range persisted {
		if q.unpersisted[content] == times {
			delete(q.unpersisted, content)
		}
	}
}

// ExpireQuarantines drops the crashes that no longer count. If release is set, it also has expired
// quarantines released for all instances.
func (r *Relay) ExpireQuarantines(release bool) {
	q := r.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	now := bootclock.Now()
	q.table.Expire(now)
	q.quarantined.Update(int64(q.table.CountQuarantined(now)))
	if !release {
		return
	}
	for _, content := range q.table.Expired(now) {
		q.requestPersist(content, 0)
	}
}
