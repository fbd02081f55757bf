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

// errApart: no upstream may get the request.
var errApart = errors.New("relay: upstreams ended under its content")

// The question whether an upstream has ended is asked until there is a word on it: a packet
// is lost now and then, and a machine may be slow to answer.
const (
	// endedTimeout bounds one question. A process that has ended is told of by its machine
	// within a round trip of 2 ms.
	endedTimeout = 400 * time.Millisecond
	// endedAgain is the pause between two questions.
	endedAgain = 100 * time.Millisecond
	// endedWithin bounds the wait for a word; what is silent for longer is no end that a
	// request brought about.
	endedWithin = 3 * time.Second
)

// contents are those of the requests under which upstreams ended. Its times are on the
// clock that goes on while the machine is suspended, so that none is remembered for
// longer, or told for longer, than meant.
//
// It saves the upstreams that a request ends which comes again and again, with all that
// they have: before it, two such requests ended 15 and 21 engines of 18 within a minute.
type contents struct {
	ends, refused metrics.Counter
	apart         metrics.Gauge
	// decided has a value when a content is to be kept for all.
	decided chan struct{}

	mu    sync.Mutex // protects all below
	table *quarantine.Table
	// cut are the contents that an upstream cut off, until it is known whether it ended.
	cut map[string][]cutOff
	// unkept is what this instance is to keep for all: how often a content was set apart;
	// 0 when that is over.
	unkept map[quarantine.Content]int
}

// cutOff is a request that an upstream cut off.
type cutOff struct {
	content quarantine.Content
	request string
}

func newContents() *contents {
	return &contents{
		ends: counter("upstream_ends"), refused: counter("refused_apart"),
		apart:   metrics.GetOrRegisterGauge("relay.contents_apart", metrics.DefaultRegistry),
		decided: make(chan struct{}, 1), table: quarantine.NewTable(quarantine.DefaultSettings()),
		cut: map[string][]cutOff{}, unkept: map[quarantine.Content]int{},
	}
}

// told returns the ends that are due in one of the reports.
func (c *contents) told(due func(*quarantine.Table, time.Duration) []quarantine.Crash) []quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Empty() {
		return nil
	}
	return due(c.table, bootclock.Now())
}

// waits adds a request to those whose upstream is being asked for, and tells whether it
// is the first one.
func (c *contents) waits(id string, one cutOff) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[id] = append(c.cut[id], one)
	return len(c.cut[id]) == 1
}

// take returns the requests that waited for the word on an upstream.
func (c *contents) take(id string) []cutOff {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.cut[id]
	delete(c.cut, id)
	return list
}

// decide notes an end by one of the table's ways, and tells whether the content is set
// apart by it and how many ends count against it.
func (c *contents) decide(content quarantine.Content, note func(*quarantine.Table) bool) (apart bool, ends int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	apart = note(c.table)
	if apart && c.table.SawCrash(content) { // else those that saw an end keep it
		c.keep(content, c.table.TimesQuarantined(content))
	}
	c.apart.Update(int64(c.table.CountQuarantined(bootclock.Now())))
	return apart, c.table.Crashes(content)
}

// keep has it kept for all how often a content was set apart. The lock is held.
func (c *contents) keep(content quarantine.Content, times int) {
	c.unkept[content] = times
	select {
	case c.decided <- struct{}{}:
	default: // it is told already
	}
}

// isApart tells whether no upstream may get a request.
func (r *Relay) isApart(x *exchange) bool {
	c := r.contents
	c.mu.Lock()
	empty := c.table.Empty()
	c.mu.Unlock()
	if empty {
		return false // and its content needs no name
	}
	content := x.content()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Quarantined(content, bootclock.Now())
}

// refuseApart returns the refusal of a request that no upstream may get, and nil for
// others. Its caller is not told to come back.
func (r *Relay) refuseApart(x *exchange) error {
	if !r.isApart(x) {
		return nil
	}
	r.contents.refused.Inc(1)
	r.log.Info("relay: content refused", "request", x.req.ID, "route", x.route.Name, "content", x.content())
	return &Refusal{Outcome: NotRun, Reason: "upstreams ended under its content"}
}

// contentServed notes that a request was answered whole.
func (r *Relay) contentServed(x *exchange) {
	c, content := r.contents, x.content()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.RecordServed(content, bootclock.Now()) {
		c.keep(content, 0)
		r.log.Info("relay: content served, and not to blame", "request", x.req.ID, "content", content)
	}
}

// noteCut takes a request that an upstream cut off. If the upstream has ended, this
// counts against the request's content.
func (r *Relay) noteCut(x *exchange, id string) {
	if !r.contents.waits(id, cutOff{content: x.content(), request: x.req.ID}) {
		return
	}
	to := r.picture.Upstream(id)
	if to.ID == "" { // it has left, and its requests with it
		r.contents.take(id)
		return
	}
	go r.askEnded(to)
}

// askEnded finds out whether an upstream has ended that cut requests off.
func (r *Relay) askEnded(to upstreamstate.Upstream) {
	ended := r.hasEnded(to)
	requests := r.contents.take(to.ID)
	if !ended {
		r.log.Info("relay: upstream lives on", "upstream", to.ID, "cut_off", len(requests))
		return
	}
	for _, one := range requests {
		apart, ends := r.RecordCrash(quarantine.Crash{Content: one.content, Upstream: to.Incarnation()})
		r.contents.ends.Inc(1)
		r.log.Info("relay: upstream ended", "upstream", to.ID, "request", one.request, "content", one.content, "ends", ends, "apart", apart)
	}
	r.noteChanged()
}

// hasEnded asks whether an upstream has ended until there is a word on it; without one it
// counts as living.
func (r *Relay) hasEnded(to upstreamstate.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endedWithin)
	defer cancel()
	healthPath := r.Services()[to.Service].HealthPath
	if r.BackingOff(to) {
		healthPath = "" // the machine alone is asked
	}
	for {
		asked, stop := context.WithTimeout(ctx, endedTimeout)
		ended, err := r.sender.Crashed(asked, to, healthPath)
		stop()
		if err == nil {
			return ended
		}
		if !pause.For(ctx, endedAgain) {
			r.log.Info("relay: no word on an upstream", "upstream", to.ID, "error", err)
			return false
		}
	}
}

// RecordCrash takes an end that this instance saw, and returns whether the content is set apart
// by it and how many ends count against it.
func (r *Relay) RecordCrash(end quarantine.Crash) (apart bool, ends int) {
	return r.contents.decide(end.Content, func(t *quarantine.Table) bool { return t.RecordCrash(end, bootclock.Now()) })
}

// hearEnds takes the ends that others told of.
func (r *Relay) hearEnds(ends []quarantine.Crash, beside bool) {
	for _, e := range ends {
		apart, count := r.contents.decide(e.Content, func(t *quarantine.Table) bool { return t.ReceiveCrash(e, beside, bootclock.Now()) })
		if apart {
			r.log.Info("relay: content set apart by what was heard", "content", e.Content, "ends", count)
		}
	}
}

// Quarantine takes it that a content was set apart so often, as it is kept for all. One that
// was served here lately is released by all instead.
func (r *Relay) Quarantine(content quarantine.Content, times int) {
	c := r.contents
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootclock.Now()
	if !c.table.Quarantine(content, times, now) {
		c.keep(content, 0)
		r.log.Info("relay: content was served, and is not to blame", "content", content)
	}
	c.apart.Update(int64(c.table.CountQuarantined(now)))
}

// Release has upstreams get a content again, as it is not kept any more.
func (r *Relay) Release(content quarantine.Content) {
	c := r.contents
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Release(content)
	c.apart.Update(int64(c.table.CountQuarantined(bootclock.Now())))
}

// PersistAgain has this instance keep for all, once more, how often a content was set apart.
func (r *Relay) PersistAgain(content quarantine.Content) {
	c := r.contents
	c.mu.Lock()
	defer c.mu.Unlock()
	if times := c.table.TimesQuarantined(content); times > 0 {
		c.keep(content, times)
	}
}

// PersistNeeded has a value when there is something in Unkept.
func (r *Relay) PersistNeeded() <-chan struct{} { return r.contents.decided }

// Unpersisted is what this instance is to keep for all: how often each content was set apart;
// 0 when that is over.
func (r *Relay) Unpersisted() map[quarantine.Content]int {
	c := r.contents
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.unkept)
}

// MarkPersisted takes note of what is kept now.
func (r *Relay) MarkPersisted(kept map[quarantine.Content]int) {
	c := r.contents
	c.mu.Lock()
	defer c.mu.Unlock()
	for content, times := range kept {
		if c.unkept[content] == times {
			delete(c.unkept, content)
		}
	}
}

// ExpireQuarantines forgets the ends that count no longer, and has what lapsed released by
// all if this instance is to see to it.
func (r *Relay) ExpireQuarantines(release bool) {
	c := r.contents
	c.mu.Lock()
	defer c.mu.Unlock()
	now := bootclock.Now()
	c.table.Expire(now)
	c.apart.Update(int64(c.table.CountQuarantined(now)))
	if !release {
		return
	}
	for _, content := range c.table.Expired(now) {
		c.keep(content, 0)
	}
}
