package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Served says that a subject was served.
type Served struct {
	Subject Subject
	// SinceCrash is set if it was served after a crash under it was known, which shows that it did not cause the crash.
	// Otherwise it was served before, within ServedTTL.
	SinceCrash bool
	// Notice differs between two that are otherwise the same.
	Notice uint32
}

// Evidence is what an instance reports to others.
type Evidence struct {
	Crashes []Crash
	Served  []Served
}

// Merge adds newer evidence, and keeps the newest crashes and notices up to a maximum of each.
func (e Evidence) Merge(newer Evidence, most int) Evidence {
	return Evidence{Crashes: newestOf(append(e.Crashes, newer.Crashes...), most), Served: newestOf(append(e.Served, newer.Served...), most)}
}

func newestOf[T any](list []T, most int) []T { return list[max(0, len(list)-most):] }

// Bounds of the evidence in reports.
const (
	// publishFor is how long evidence is published to each audience. Reports are sent every 0.1 to 0.4 s, so
	// five of them may be lost.
	publishFor = 2 * time.Second
	// rememberFor is how long a notice that was received is recognized. It is longer than reports are under way.
	rememberFor = 5 * publishFor
	// MaxReported is the maximum number of crashes in a report, and of notices; together these take a quarter of a
	// datagram.
	MaxReported = 32
	// maxRepeated is the maximum number of quarantines in each report to instances that missed their start.
	maxRepeated = 4
)

// audience holds the evidence to publish to some instances, with the time until which it is published.
type audience struct {
	crashes map[Crash]time.Duration
	served  map[Served]time.Duration
}

func newAudience() audience {
	return audience{crashes: map[Crash]time.Duration{}, served: map[Served]time.Duration{}}
}

// outbox holds the evidence to publish.
type outbox struct {
	// own is what this instance observed, zone that of its zone including its own, and otherZones that of other zones.
	own, zone, otherZones audience
	// received are the notices that were received lately, vouched the subjects for which notices were published or
	// received lately, each with the time until which that is remembered.
	received map[Served]time.Duration
	vouched  map[Subject]time.Duration
}

func newOutbox() outbox {
	return outbox{
		own: newAudience(), zone: newAudience(), otherZones: newAudience(),
		received: map[Served]time.Duration{}, vouched: map[Subject]time.Duration{},
	}
}

func (o *outbox) addOwn(c Crash, now time.Duration) {
	o.own.crashes[c], o.zone.crashes[c] = now+publishFor, now+publishFor
}

// elsewhere returns who has to hear what was received from an instance of the same zone or from another one.
func (o *outbox) elsewhere(sameZone bool) audience {
	if sameZone {
		return o.zone
	}
	return o.otherZones
}

func (o *outbox) addReceived(c Crash, sameZone bool, now time.Duration) {
	o.elsewhere(sameZone).crashes[c] = now + publishFor
}

// addServed publishes that a subject was served here. What was served before a crash is not said again if it was said
// lately, here or elsewhere.
func (o *outbox) addServed(s Served, now time.Duration) {
	if !s.SinceCrash && now < o.vouched[s.Subject] {
		return
	}
	o.vouched[s.Subject] = now + rememberFor
	o.own.served[s], o.zone.served[s] = now+publishFor, now+publishFor
}

// knowsServed reports whether a notice was received before.
func (o *outbox) knowsServed(s Served, now time.Duration) bool { return now < o.received[s] }

func (o *outbox) addServedElsewhere(s Served, sameZone bool, now time.Duration) {
	o.received[s], o.vouched[s.Subject] = now+rememberFor, now+rememberFor
	o.elsewhere(sameZone).served[s] = now + publishFor
}

func (o *outbox) expire(now time.Duration) {
	for _, a := range []audience{o.own, o.zone, o.otherZones} {
		expire(a.crashes, now)
		expire(a.served, now)
	}
	expire(o.received, now)
	expire(o.vouched, now)
}

// expire deletes the entries whose time is over.
func expire[K comparable](until map[K]time.Duration, now time.Duration) {
	maps.DeleteFunc(until, func(_ K, until time.Duration) bool { return now >= until })
}

// due returns what is still to be published.
func due[K comparable](until map[K]time.Duration, now time.Duration) []K {
	var list []K
	for k, end := range until { // the order of a map is random in each iteration
		if now < end {
			list = append(list, k)
		}
	}
	return list
}

// due returns the evidence that is still to be published. If there is too much for a report, it prefers crashes of
// subjects under which several upstreams crashed, and selects the rest at random, so that a few reports include all.
func (t *Table) due(a audience, now time.Duration) Evidence {
	crashes, served := due(a.crashes, now), due(a.served, now)
	if len(crashes) > MaxReported {
		slices.SortStableFunc(crashes, func(x, y Crash) int { return cmp.Compare(t.Crashes(y.Subject), t.Crashes(x.Subject)) })
	}
	return Evidence{Crashes: crashes[:min(len(crashes), MaxReported)], Served: served[:min(len(served), MaxReported)]}
}

// repeated returns some quarantined subjects at random, for instances that missed the reports of the crashes.
func (t *Table) repeated(now time.Duration) []Crash {
	var list []Crash
	for s, q := range t.quarantines {
		if len(list) == maxRepeated {
			break
		}
		if !t.ended(s, q, now) {
			list = append(list, Crash{Subject: s, Times: q.times})
		}
	}
	return list
}

// DueOwn returns the evidence observed by this instance that it publishes to its zone.
func (t *Table) DueOwn(now time.Duration) Evidence { return t.due(t.outbox.own, now) }

// DueZone returns the evidence observed in this zone that it publishes to other zones.
func (t *Table) DueZone(now time.Duration) Evidence {
	e := t.due(t.outbox.zone, now)
	e.Crashes = append(e.Crashes, t.repeated(now)...)
	return e
}

// DueOtherZones returns the evidence observed in other zones that this instance publishes to its zone, and the
// quarantines that it knows.
func (t *Table) DueOtherZones(now time.Duration) Evidence {
	e := t.due(t.outbox.otherZones, now)
	e.Crashes = append(e.Crashes, t.repeated(now)...)
	return e
}
