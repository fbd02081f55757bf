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

// errQuarantined: no upstream may get the request.
var errQuarantined = errors.New("relay: upstreams ended under its content")

// The question whether an upstream has ended is asked until there is a word on it: a packet
// is lost now and then, and a machine may be slow to answer.
const (
	// crashCheckTimeout bounds one question. A process that has ended is told of by its machine
	// within a round trip of 2 ms.
	crashCheckTimeout = 400 * time.Millisecond
	// crashCheckInterval is the pause between two questions.
	crashCheckInterval = 100 * time.Millisecond
	// crashCheckDeadline bounds the wait for a word; what is silent for longer is no end that a
	// request brought about.
	crashCheckDeadline = 3 * time.Second
)

// quarantineState are those of the requests under which upstreams ended. Its times are on the
// clock that goes on while the machine is suspended, so that none is remembered for
// longer, or told for longer, than meant.
//
// It saves the upstreams that a request ends which comes again and again, with all that
// they have: before it, two such requests ended 15 and 21 engines of 18 within a minute.
type quarantineState struct {
	crashes, refused metrics.Counter
	quarantined      metrics.Gauge
	// persistNeeded has a value when a content is to be kept for all.
	persistNeeded chan struct{}

	mu    sync.Mutex // protects all below
	table *quarantine.Table
	// interrupted are the contents that an upstream interrupted off, until it is known whether it ended.
	interrupted map[string][]interruptedRequest
	// unpersisted is what this instance is to keep for all: how often a content was set apart;
	// 0 when that is over.
	unpersisted map[quarantine.Content]int
}

// interruptedRequest is a request that an upstream cut off.
type interruptedRequest struct {
	content quarantine.Content
	request string
}

func newQuarantineState() *quarantineState {
	return &quarantineState{
		crashes: counter("upstream_ends"), refused: counter("refused_apart"),
		quarantined:   metrics.GetOrRegisterGauge("relay.contents_apart", metrics.DefaultRegistry),
		persistNeeded: make(chan struct{}, 1), table: quarantine.NewTable(quarantine.DefaultSettings()),
		interrupted: map[string][]interruptedRequest{}, unpersisted: map[quarantine.Content]int{},
	}
}

// dueCrashes returns the ends that are due in one of the reports.
func (c *quarantineState) dueCrashes(due func(*quarantine.Table, time.Duration) []quarantine.End) []quarantine.End {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Empty() {
		return nil
	}
	return due(c.table, bootclock.Now())
}

// addInterrupted adds a request to those whose upstream is being asked for, and tells whether it
// is the first one.
func (c *quarantineState) addInterrupted(id string, one interruptedRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted[id] = append(c.interrupted[id], one)
	return len(c.interrupted[id]) == 1
}

// takeInterrupted returns the requests that waited for the word on an upstream.
func (c *quarantineState) takeInterrupted(id string) []interruptedRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.interrupted[id]
	delete(c.interrupted, id)
	return list
}

// record notes an end by one of the table's ways, and tells whether the content is set
// apart by it and how many ends count against it.
func (c *quarantineState) record(content quarantine.Content, note func(*quarantine.Table) bool) (apart bool, ends int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	apart = note(c.table)
	if apart && c.table.Seen(content) { // else those that saw an end keep it
		c.requestPersist(content, c.table.Times(content))
	}
	c.quarantined.Update(int64(c.table.Count(bootclock.Now())))
	return apart, c.table.Ends(content)
}

// requestPersist has it kept for all how often a content was set apart. The lock is held.
func (c *quarantineState) requestPersist(content quarantine.Content, times int) {
	c.unpersisted[content] = times
	select {
	case c.persistNeeded <- struct{}{}:
	default: // it is told already
	}
}

// isQuarantined tells whether no upstream may get a request.
func (r *Relay) isQuarantined(x *exchange) bool {
	c := r.quarantine
	c.mu.Lock()
	empty := c.table.Empty()
	c.mu.Unlock()
	if empty {
		return false // and its content needs no name
	}
	content := x.content()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Apart(content, bootclock.Now())
}

// refuseQuarantined returns the refusal of a request that no upstream may get, and nil for
// others. Its caller is not told to come back.
func (r *Relay) refuseQuarantined(x *exchange) error {
	if !r.isQuarantined(x) {
		return nil
	}
	r.quarantine.refused.Inc(1)
	r.log.Info("relay: content refused", "request", x.req.ID, "route", x.route.Name, "content", x.content())
	return &Refusal{Outcome: NotRun, Reason: "upstreams ended under its content"}
}

// recordServed notes that a request was answered whole.
func (r *Relay) recordServed(x *exchange) {
	c, content := r.quarantine, x.content()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Served(content, bootclock.Now()) {
		c.requestPersist(content, 0)
		r.log.Info("relay: content served, and not to blame", "request", x.req.ID, "content", content)
	}
}

// checkInterrupted takes a request that an upstream cut off. If the upstream has ended, this
// counts against the request's content.
func (r *Relay) checkInterrupted(x *exchange, id string) {
	if !r.quarantine.addInterrupted(id, interruptedRequest{content: x.content(), request: x.req.ID}) {
		return
	}
	to := r.upstreams.Upstream(id)
	if to.ID == "" { // it has left, and its requests with it
		r.quarantine.takeInterrupted(id)
		return
	}
	go r.checkCrashed(to)
}

// checkCrashed finds out whether an upstream has ended that cut requests off.
func (r *Relay) checkCrashed(to upstreamstate.Upstream) {
	ended := r.hasCrashed(to)
	requests := r.quarantine.takeInterrupted(to.ID)
	if !ended {
		r.log.Info("relay: upstream lives on", "upstream", to.ID, "cut_off", len(requests))
		return
	}
	for _, one := range requests {
		apart, ends := r.RecordCrash(quarantine.End{Content: one.content, Upstream: to.Incarnation()})
		r.quarantine.crashes.Inc(1)
		r.log.Info("relay: upstream ended", "upstream", to.ID, "request", one.request, "content", one.content, "ends", ends, "apart", apart)
	}
	r.notifyChanged()
}

// hasCrashed asks whether an upstream has ended until there is a word on it; without one it
// counts as living.
func (r *Relay) hasCrashed(to upstreamstate.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckDeadline)
	defer cancel()
	healthPath := r.Services()[to.Service].HealthPath
	if r.BackingOff(to) {
		healthPath = "" // the machine alone is asked
	}
	for {
		asked, stop := context.WithTimeout(ctx, crashCheckTimeout)
		ended, err := r.sender.Crashed(asked, to, healthPath)
		stop()
		if err == nil {
			return ended
		}
		if !pause.For(ctx, crashCheckInterval) {
			r.log.Info("relay: no word on an upstream", "upstream", to.ID, "error", err)
			return false
		}
	}
}

// RecordCrash takes an end that this instance saw, and returns whether the content is set apart
// by it and how many ends count against it.
func (r *Relay) RecordCrash(end quarantine.End) (apart bool, ends int) {
	return r.quarantine.record(end.Content, func(t *quarantine.Table) bool { return t.Note(end, bootclock.Now()) })
}

// applyCrashes takes the ends that others told of.
func (r *Relay) applyCrashes(ends []quarantine.End, beside bool) {
	for _, e := range ends {
		apart, count := r.quarantine.record(e.Content, func(t *quarantine.Table) bool { return t.Hear(e, beside, bootclock.Now()) })
		if apart {
			r.log.Info("relay: content set apart by what was heard", "content", e.Content, "ends", count)
		}
	}
}

// Quarantine takes it that a content was set apart so often, as it is kept for all. One that
// was served here lately is released by all instead.
func (r *Relay) Quarantine(content quarantine.Content, times int) {
	c := r.quarantine
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootclock.Now()
	if !c.table.SetApart(content, times, now) {
		c.requestPersist(content, 0)
		r.log.Info("relay: content was served, and is not to blame", "content", content)
	}
	c.quarantined.Update(int64(c.table.Count(now)))
}

// Release has upstreams get a content again, as it is not kept any more.
func (r *Relay) Release(content quarantine.Content) {
	c := r.quarantine
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Release(content)
	c.quarantined.Update(int64(c.table.Count(bootclock.Now())))
}

// PersistAgain has this instance keep for all, once more, how often a content was set apart.
func (r *Relay) PersistAgain(content quarantine.Content) {
	c := r.quarantine
	c.mu.Lock()
	defer c.mu.Unlock()
	if times := c.table.Times(content); times > 0 {
		c.requestPersist(content, times)
	}
}

// PersistNeeded has a value when there is something in Unkept.
func (r *Relay) PersistNeeded() <-chan struct{} { return r.quarantine.persistNeeded }

// Unpersisted is what this instance is to keep for all: how often each content was set apart;
// 0 when that is over.
func (r *Relay) Unpersisted() map[quarantine.Content]int {
	c := r.quarantine
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.unpersisted)
}

// MarkPersisted takes note of what is kept now.
func (r *Relay) MarkPersisted(kept map[quarantine.Content]int) {
	c := r.quarantine
	c.mu.Lock()
	defer c.mu.Unlock()
	for content, times := range kept {
		if c.unpersisted[content] == times {
			delete(c.unpersisted, content)
		}
	}
}

// ExpireQuarantines forgets the ends that count no longer, and has what lapsed released by
// all if this instance is to see to it.
func (r *Relay) ExpireQuarantines(release bool) {
	c := r.quarantine
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootclock.Now()
	c.table.Lapse(now)
	c.quarantined.Update(int64(c.table.Count(now)))
	if !release {
		return
	}
	for _, content := range c.table.Lapsed(now) {
		c.requestPersist(content, 0)
	}
}
