// Package load tracks what one instance knows of the load and health of the upstreams: the engines' lagging
// reports, the instance's own placements that no report accounts for yet, the prompt blocks that the engines
// are estimated to have cached, and the results of the instance's own calls. The callers feed it these
// events; it returns views of the load and whether an upstream may get another request. It does no I/O. Times
// are on the instance's monotonic clock.
//
// A placement is charged to its engine until a report accounts for it. A report does so when it names the
// request (Recent), or when its count Accepted has reached the number that the engine gave the request. This
// follows the engine's own sequence, and no clock of an engine is compared. A charge also ends when the
// stream ends, when the engine that accepted it has restarted, and, if none of these is observed, after a
// time limit.
package load

import (
	"slices"
	"time"

	"sassafrasfield/internal/engine"
)

// DefaultChargeFor bounds the time of a charge that no report accounts for. It is longer than the longest lag
// of reports in the measurements (5 s).
const DefaultChargeFor = 15 * time.Second

// Table holds the state of all upstreams. It is not safe for concurrent use.
type Table struct {
	// ChargeFor bounds the time of a charge.
	ChargeFor time.Duration
	// Outliers are the rules for ejection.
	Outliers OutlierRules
	// Traffic has the statistics of the placements on all upstreams.
	Traffic Traffic

	upstreams map[string]*Upstream
}

// NewTable returns an empty table with the default bounds.
func NewTable() *Table {
	return &Table{ChargeFor: DefaultChargeFor, Outliers: DefaultOutlierRules(), upstreams: map[string]*Upstream{}}
}

// Upstream returns the state of an upstream and creates it when there is none.
func (t *Table) Upstream(id string) *Upstream {
	u, ok := t.upstreams[id]
	if !ok {
		u = &Upstream{traffic: &t.Traffic}
		t.upstreams[id] = u
	}
	return u
}

// Has reports whether the table has the state of an upstream.
func (t *Table) Has(id string) bool {
	_, ok := t.upstreams[id]
	return ok
}

// Retain removes the upstreams that are not in keep and have no stream of this instance.
func (t *Table) Retain(keep map[string]bool) {
	for id, u := range t.upstreams {
		if !keep[id] && u.Streams == 0 {
			delete(t.upstreams, id)
		}
	}
}

// Remove removes an upstream, unless it has a stream of this instance.
func (t *Table) Remove(id string) {
	if u, ok := t.upstreams[id]; ok && u.Streams == 0 {
		delete(t.upstreams, id)
	}
}

// Reset discards the state of an upstream whose process has restarted. Its requests ended with the old
// process.
func (t *Table) Reset(id string) { delete(t.upstreams, id) }

// Expire ends the charges that are older than ChargeFor.
func (t *Table) Expire(now time.Duration) {
	for _, u := range t.upstreams {
		u.expireCharges(now, t.ChargeFor)
	}
}

// Place charges a request to an upstream.
func (t *Table) Place(id string, p Placement) {
	u := t.Upstream(id)
	u.Streams++
	u.placements = append(u.placements, activePlacement{Placement: p, charged: true})
	u.Prefixes.AssumeCached(p.Prefix)
	u.Health.placed(p.ID, p.At)
}

// Accepted records the number that the engine gave a request.
func (t *Table) Accepted(id, request string, a Acceptance) {
	u := t.Upstream(id)
	p := u.findPlacement(request)
	if p == nil {
		return
	}
	p.accepted = a
	if p.accountedBy(&u.Report, nil) || p.acceptedBy(u.previousBoot) {
		p.charged = false
	}
}

// Started records the arrival of a request's first token.
func (t *Table) Started(id, request string) {
	if p := t.Upstream(id).findPlacement(request); p != nil {
		p.started = true
	}
}

// End removes a stream from an upstream, with its charge. It ignores a request that is not on the upstream.
func (t *Table) End(id, request string, now time.Duration) {
	u := t.Upstream(id)
	for i := range u.placements {
		if u.placements[i].ID == request {
			t.Traffic.addDuration(now - u.placements[i].At)
			u.placements = slices.Delete(u.placements, i, i+1)
			u.Streams--
			break
		}
	}
	u.Health.ended(request)
}

// Reported records a report that arrived at now. It drops a report that is older than the current one or from
// an earlier boot.
func (t *Table) Reported(id string, report engine.Report, now time.Duration) {
	u := t.Upstream(id)
	if !u.supersedes(&report, now, t.Outliers.SilentFor) {
		return
	}
	if u.ReportAt != 0 && now-u.ReportAt > t.Outliers.SilentFor {
		u.Health.startProbing(now)
	}
	if u.ReportAt != 0 && report.Boot != u.Report.Boot {
		u.previousBoot = u.Report.Boot
	}
	u.Report, u.ReportAt = report, now
	u.settleCharges()
	u.expireCharges(now, t.ChargeFor)
}

// CacheEvents applies a batch of cache events.
func (t *Table) CacheEvents(id string, events engine.CacheEvents) {
	t.Upstream(id).Prefixes.Apply(events)
}

// Silent reports whether the reports of an engine that has sent one before are overdue, as happens when the
// engine hangs or is cut off from the network.
func (t *Table) Silent(id string, now time.Duration) bool {
	u := t.Upstream(id)
	return u.ReportAt != 0 && now-u.ReportAt > t.Outliers.SilentFor
}

// Failed records a failed call to the upstream and reports whether that ejects it.
func (t *Table) Failed(id string, now time.Duration) (ejected bool) {
	return t.Upstream(id).Health.failed(now, t.Outliers)
}

// Refused records a call that the upstream refused without executing any of it, and reports whether that
// ejects the upstream. An upstream refuses calls when it has no capacity or is loading, and it looks idle
// meanwhile. It is therefore ejected too, but never for longer than the first ejection, since the cause of a
// refusal passes without intervention.
func (t *Table) Refused(id string, now time.Duration) (ejected bool) {
	rules := t.Outliers
	rules.EjectAtMost = rules.EjectFor
	return t.Upstream(id).Health.failed(now, rules)
}

// BackOff records that the upstream requested a backoff until a time.
func (t *Table) BackOff(id string, until time.Duration) { t.Upstream(id).Health.backOff(until) }

// Succeeded records a successful call to the upstream.
func (t *Table) Succeeded(id string) {
	t.Upstream(id).Health.succeeded(t.Outliers)
}
