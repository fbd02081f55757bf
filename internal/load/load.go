// Package load keeps one entry's picture of the upstreams: the lagging reports,
// the entry's own placements that no report accounts for yet, what the engines
// are believed to have cached, and how the entry's own calls went. It is pure:
// times are on the entry's monotonic clock.
//
// A placement is charged to its engine until a report accounts for it. By the
// engine's own sequence: a report does when it names the request (Recent), or
// when its count Accepted has reached the number that the engine gave the
// request. No clock of an engine is looked at. A charge also goes when the
// stream ends, when the engine that took it has restarted, and, should none of
// these be seen, after a bound of time.
package load

import (
	"slices"
	"time"

	"sassafrasfield/internal/engine"
)

// DefaultChargeFor bounds a charge that no report accounts for. It is longer
// than the longest lag of reports that was measured with (5 s).
const DefaultChargeFor = 15 * time.Second

// Table is the picture of all upstreams. It is not safe for concurrent use.
type Table struct {
	// ChargeFor bounds the time of a charge.
	ChargeFor time.Duration
	// Outliers are the rules for ejection.
	Outliers OutlierRules
	// Traffic is what the placements on all engines tell together.
	Traffic Traffic

	engines map[string]*Upstream
}

// NewTable returns an empty table with the default bounds.
func NewTable() *Table {
	return &Table{ChargeFor: DefaultChargeFor, Outliers: DefaultOutlierRules(), engines: map[string]*Upstream{}}
}

// Upstream returns the picture of an upstream, made when there is none.
func (t *Table) Upstream(id string) *Upstream {
	e, ok := t.engines[id]
	if !ok {
		e = &Upstream{traffic: &t.Traffic}
		t.engines[id] = e
	}
	return e
}

// Retain forgets the upstreams that keep does not name and that have no stream
// of this entry left.
func (t *Table) Retain(keep map[string]bool) {
	for id, e := range t.engines {
		if !keep[id] && e.Streams == 0 {
			delete(t.engines, id)
		}
	}
}

// Drop forgets an upstream, unless a stream of this entry is left there.
func (t *Table) Drop(id string) {
	if e, ok := t.engines[id]; ok && e.Streams == 0 {
		delete(t.engines, id)
	}
}

// Reset has an upstream begin anew: what it had ended with its process.
func (t *Table) Reset(id string) { delete(t.engines, id) }

// Expire ends the charges that have grown older than the bound.
func (t *Table) Expire(now time.Duration) {
	for _, e := range t.engines {
		e.expire(now, t.ChargeFor)
	}
}

// Place charges a request to an upstream.
func (t *Table) Place(id string, p Placement) {
	e := t.Upstream(id)
	e.Streams++
	e.own = append(e.own, placed{Placement: p, charged: true})
	e.Prefixes.AssumeCached(p.Prefix)
	e.Health.placed(p.ID, p.At)
}

// Accepted records the number that the engine gave a request.
func (t *Table) Accepted(id, request string, a Acceptance) {
	e := t.Upstream(id)
	p := e.find(request)
	if p == nil {
		return
	}
	p.accepted = a
	if p.accountedBy(&e.Report, nil) || p.lostBy(e.replaced) {
		p.charged = false
	}
}

// Started records that the first token of a request came.
func (t *Table) Started(id, request string) {
	if p := t.Upstream(id).find(request); p != nil {
		p.started = true
	}
}

// End takes a stream off an upstream, with its charge. A request that is not
// on the upstream is no error.
func (t *Table) End(id, request string, now time.Duration) {
	e := t.Upstream(id)
	for i := range e.own {
		if e.own[i].ID == request {
			t.Traffic.ended(now - e.own[i].At)
			e.own = slices.Delete(e.own, i, i+1)
			e.Streams--
			break
		}
	}
	e.Health.ended(request)
}

// Reported takes a report that came at now. A report that is older than the
// one held, or of an earlier boot, is dropped.
func (t *Table) Reported(id string, report engine.Report, now time.Duration) {
	e := t.Upstream(id)
	if !e.newer(&report, now, t.Outliers.SilentFor) {
		return
	}
	if e.ReportAt != 0 && now-e.ReportAt > t.Outliers.SilentFor {
		e.Health.returned(now)
	}
	if e.ReportAt != 0 && report.Boot != e.Report.Boot {
		e.replaced = e.Report.Boot
	}
	e.Report, e.ReportAt = report, now
	e.settle()
	e.expire(now, t.ChargeFor)
}

// CacheEvents takes a batch of cache events.
func (t *Table) CacheEvents(id string, events engine.CacheEvents) {
	t.Upstream(id).Prefixes.Apply(events)
}

// Silent tells whether an engine that has reported went without a new report
// for too long, as one that is frozen or cut off does.
func (t *Table) Silent(id string, now time.Duration) bool {
	e := t.Upstream(id)
	return e.ReportAt != 0 && now-e.ReportAt > t.Outliers.SilentFor
}

// Failed records that a call to the upstream failed.
func (t *Table) Failed(id string, now time.Duration) (ejected bool) {
	return t.Upstream(id).Health.failed(now, t.Outliers)
}

// Refused records that the upstream refused a call without running any of it,
// as one that has no room or loads something does. It looks idle meanwhile, so
// it is ejected too, but never for longer than the first ejection: what made
// it refuse passes by itself.
func (t *Table) Refused(id string, now time.Duration) (ejected bool) {
	rules := t.Outliers
	rules.EjectAtMost = rules.EjectFor
	return t.Upstream(id).Health.failed(now, rules)
}

// BackOff records that the upstream wants nothing until a time.
func (t *Table) BackOff(id string, until time.Duration) { t.Upstream(id).Health.rest(until) }

// Succeeded records that a call to the upstream went well.
func (t *Table) Succeeded(id string) {
	t.Upstream(id).Health.succeeded(t.Outliers)
}
