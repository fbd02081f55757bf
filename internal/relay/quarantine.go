package relay

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/quarantine"
)

// quarantinedError: the request's content, or a part of its prompt, is quarantined because upstreams crashed under it, so
// that no upstream may receive the request.
type quarantinedError struct {
	subject quarantine.Subject
}

func (e quarantinedError) Error() string { return "relay: " + e.reason() }

// reason returns the text of the refusal.
func (e quarantinedError) reason() string {
	if e.subject.IsPart() {
		return "upstreams crashed under a part of its prompt"
	}
	return "upstreams ended under its content"
}

// quarantineState tracks what requests had in common during which upstreams crashed. Its times are on
// the clock that keeps running while the machine is suspended, so that nothing is kept or
// reported for longer than intended.
//
// It protects the upstreams, and all requests that they hold, from requests that crash them and
// come again and again.
type quarantineState struct {
	meters quarantineMeters
	// persistNeeded receives a value when unpersisted has a new entry.
	persistNeeded chan struct{}

	mu    sync.Mutex // protects the fields below
	table *quarantine.Table
	// interrupted holds the requests that upstreams cut off, by the upstream's id, until it is
	// known whether the upstream crashed.
	interrupted map[string][]interruptedRequest
	// unpersisted holds what this instance has to persist for all instances: how often a subject
	// was quarantined; 0 to remove it.
	unpersisted map[quarantine.Subject]int
	// persisted holds how often each subject was quarantined according to its row, as far as known here.
	persisted map[quarantine.Subject]int
}

// quarantineMeters counts the requests whose upstream crashed, and by kind of subject the refused requests, the subjects
// that crashes were counted against, and those that were served since.
type quarantineMeters struct {
	crashes, refusedContents, refusedParts, suspectedParts, clearedParts, notRepeated metrics.Counter
	contents, parts                                                                   metrics.Gauge
}

func newQuarantineMeters() quarantineMeters {
	gauge := func(name string) metrics.Gauge {
		return metrics.GetOrRegisterGauge("relay."+name, metrics.DefaultRegistry)
	}
	return quarantineMeters{
		crashes: counter("upstream_ends"), refusedContents: counter("refused_apart"), refusedParts: counter("refused_part"),
		suspectedParts: counter("parts_suspected"), clearedParts: counter("parts_cleared"), notRepeated: counter("suspects_not_repeated"),
		contents: gauge("contents_apart"), parts: gauge("parts_apart"),
	}
}

func newQuarantineState() *quarantineState {
	settings := quarantine.DefaultSettings()
	settings.Seed = rand.Uint64()
	return &quarantineState{
		meters: newQuarantineMeters(), persistNeeded: make(chan struct{}, 1), table: quarantine.NewTable(settings),
		interrupted: map[string][]interruptedRequest{}, unpersisted: map[quarantine.Subject]int{},
		persisted: map[quarantine.Subject]int{},
	}
}

// SetQuarantineCheck sets the function that reports whether the persisted quarantines are known here. Until they are, all
// requests are refused as not run. It is called before the relay serves, and for each request.
func (r *Relay) SetQuarantineCheck(known func() bool) { r.quarantinesKnown = known }

// dueEvidence returns the evidence that is due in one kind of report.
func (q *quarantineState) dueEvidence(due func(*quarantine.Table, time.Duration) quarantine.Evidence) quarantine.Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table.Empty() {
		return quarantine.Evidence{}
	}
	return due(q.table, bootclock.Now())
}

// record calls apply, which adds a crash to the table. It returns whether the crash quarantines the
// subject and how many crashes count against the subject.
func (q *quarantineState) record(subject quarantine.Subject, apply func(*quarantine.Table) bool) (quarantined bool, crashes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	quarantined = apply(q.table)
	if quarantined && q.table.SawCrash(subject) { // otherwise the instances that observed a crash persist it
		q.requestPersist(subject, q.table.TimesQuarantined(subject))
	}
	q.updateGauges()
	return quarantined, q.table.Crashes(subject)
}

// updateGauges counts what is quarantined. The caller holds the lock.
func (q *quarantineState) updateGauges() {
	contents, parts := q.table.CountQuarantined(bootclock.Now())
	q.meters.contents.Update(int64(contents))
	q.meters.parts.Update(int64(parts))
}

// requestPersist has the number of a subject's quarantines persisted for all instances. The caller
// holds the lock.
func (q *quarantineState) requestPersist(subject quarantine.Subject, times int) {
	q.unpersisted[subject] = times
	select {
	case q.persistNeeded <- struct{}{}:
	default: // a notification is already pending
	}
}

// blockedBy returns the subject of a request because of which no upstream may receive the request.
func (q *quarantineState) blockedBy(x *exchange) (quarantine.Subject, bool) {
	q.mu.Lock()
	needed := q.table.HasQuarantines()
	q.mu.Unlock()
	if !needed {
		return 0, false // saves hashing the content
	}
	subjects := x.subjects()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := bootclock.Now()
	for _, s := range subjects {
		if q.table.Quarantined(s, now) {
			return s, true
		}
	}
	for _, s := range subjects { // only a request that nothing blocks may try a subject again
		if q.table.Blocks(s, x.req.ID, now) {
			return s, true
		}
	}
	return 0, false
}

// refuseQuarantined returns the refusal of a request because of one of its subjects. It has no retry delay.
func (r *Relay) refuseQuarantined(x *exchange, because quarantinedError) error {
	q := r.quarantine
	if because.subject.IsPart() {
		q.meters.refusedParts.Inc(1)
	} else {
		q.meters.refusedContents.Inc(1)
	}
	q.mu.Lock()
	status := q.table.Status(because.subject, bootclock.Now())
	q.mu.Unlock()
	r.log.Info("relay: quarantined request refused", "request", x.req.ID, "route", x.route.Name, "kind", because.subject.Kind(),
		"subject", because.subject, "parts", x.promptParts(), "crashes", status.Crashes, "times", status.Times, "age", status.Age)
	return &Refusal{Outcome: NotRun, Reason: because.reason()}
}

// recordServed records that a request was answered completely. If an engine generated the answer, that also speaks for
// the parts of the prompt.
func (r *Relay) recordServed(x *exchange) {
	if x.generatingSince > 0 && x.status == http.StatusOK {
		r.recordServedSubjects(x, x.subjects())
	} else {
		r.recordServedSubjects(x, []quarantine.Subject{x.content()})
	}
}

// recordAlive records that an engine is still generating the answer to a request long after it began, which speaks for
// the parts of the prompt.
func (r *Relay) recordAlive(x *exchange) {
	if x.req.Prompt != nil {
		r.recordServedSubjects(x, x.req.parts(x.service))
	}
}

// recordServedSubjects records that a request was served, which speaks for some of its subjects.
func (r *Relay) recordServedSubjects(x *exchange, subjects []quarantine.Subject) {
	q := r.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	now := bootclock.Now()
	for _, s := range subjects {
		crashes := q.table.Crashes(s)
		released := q.table.RecordServed(s, now)
		if crashes > 0 && s.IsPart() {
			q.meters.clearedParts.Inc(1)
		}
		if crashes > 0 || released {
			r.log.Info("relay: served, and not to blame", "request", x.req.ID, "kind", s.Kind(), "subject", s, "parts", x.promptParts(), "crashes", crashes, "released", released)
			r.notifyChanged()
		}
		if released {
			q.requestPersist(s, 0)
		}
	}
}

// RecordCrash records a crash that this instance observed. It returns whether the crash
// quarantines the subject and how many crashes count against the subject.
func (r *Relay) RecordCrash(crash quarantine.Crash) (quarantined bool, crashes int) {
	return r.quarantine.record(crash.Subject, func(t *quarantine.Table) bool { return t.RecordCrash(crash, bootclock.Now()) })
}

// applyEvidence merges what other instances reported.
func (r *Relay) applyEvidence(e quarantine.Evidence, sameZone bool) {
	for _, crash := range e.Crashes {
		quarantined, count := r.quarantine.record(crash.Subject, func(t *quarantine.Table) bool { return t.ReceiveCrash(crash, sameZone, bootclock.Now()) })
		if quarantined {
			r.log.Info("relay: quarantined after reports of other instances", "kind", crash.Subject.Kind(), "subject", crash.Subject, "crashes", count, "times", crash.Times)
		}
	}
	for _, served := range e.Served {
		r.applyServed(served, sameZone)
	}
}

// applyServed merges that another instance served a subject.
func (r *Relay) applyServed(served quarantine.Served, sameZone bool) {
	q := r.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.table.ReceiveServed(served, sameZone, bootclock.Now()) {
		return
	}
	q.updateGauges()
	if q.table.SawCrash(served.Subject) {
		q.requestPersist(served.Subject, 0)
	}
	r.log.Info("relay: released, as another instance served it", "kind", served.Subject.Kind(), "subject", served.Subject, "since_crash", served.SinceCrash)
}

// Quarantine applies the persisted state of a subject that was quarantined the given number of
// times. A subject that was served here recently is released for all instances instead.
func (r *Relay) Quarantine(subject quarantine.Subject, times int) {
	q := r.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	q.persisted[subject] = times
	if !q.table.Quarantine(subject, times, bootclock.Now()) {
		q.requestPersist(subject, 0)
		r.log.Info("relay: served recently, quarantine rejected", "kind", subject.Kind(), "subject", subject)
	}
	q.updateGauges()
}

// Release ends the quarantine of a subject whose persisted state was removed.
func (r *Relay) Release(subject quarantine.Subject) {
	q := r.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Release(subject, bootclock.Now())
	delete(q.persisted, subject)
	q.updateGauges()
}

// PersistAgain has this instance persist once more how often a subject was quarantined.
func (r *Relay) PersistAgain(subject quarantine.Subject) {
	q := r.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if times := q.table.TimesQuarantined(subject); times > 0 {
		q.requestPersist(subject, times)
	}
}

// PersistNeeded returns a channel that receives a value when Unpersisted has new entries.
func (r *Relay) PersistNeeded() <-chan struct{} { return r.quarantine.persistNeeded }

// Unpersisted returns what this instance has to persist for all instances: how often each subject
// was quarantined; 0 to remove it.
func (r *Relay) Unpersisted() map[quarantine.Subject]int {
	q := r.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.unpersisted)
}

// MarkPersisted records what is persisted now. Entries that changed meanwhile stay unpersisted.
func (r *Relay) MarkPersisted(persisted map[quarantine.Subject]int) {
	q := r.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	for subject, times := range persisted {
		if q.persisted[subject] = times; times == 0 {
			delete(q.persisted, subject)
		}
		if q.unpersisted[subject] == times {
			delete(q.unpersisted, subject)
		}
	}
}

// ExpireQuarantines drops the crashes that no longer count. If forAll is set, it also has expired quarantines released for
// all instances, and those persisted that no row lists: the instances that observed their crashes may have ended.
func (r *Relay) ExpireQuarantines(forAll bool) {
	q := r.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	now := bootclock.Now()
	q.table.Expire(now)
	q.updateGauges()
	if !forAll {
		return
	}
	expired := q.table.Expired(now)
	for subject, times := range q.table.Quarantines() {
		if times > q.persisted[subject] && !slices.Contains(expired, subject) {
			q.requestPersist(subject, times)
		}
	}
	for _, subject := range expired {
		q.requestPersist(subject, 0)
	}
}
