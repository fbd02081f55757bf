package quarantine

import (
	"maps"
	"time"
)

// Bounds of the crashes in reports.
const (
	// publishFor is how long a crash is published to each audience. Reports are sent every 0.1 to 0.4 s, so
	// five of them may be lost.
	publishFor = 2 * time.Second
	// maxReported is the maximum number of crashes in a report; these take an eighth of a datagram.
	maxReported = 32
)

// outbox holds the crashes to publish, each with the time until which it is published.
type outbox struct {
	// own are the crashes that this instance observed, zone those of its zone including its own, and otherZones
	// those of other zones.
	own, zone, otherZones map[Crash]time.Duration
}

func newOutbox() outbox {
	return outbox{own: map[Crash]time.Duration{}, zone: map[Crash]time.Duration{}, otherZones: map[Crash]time.Duration{}}
}

func (o *outbox) addOwn(c Crash, now time.Duration) {
	o.own[c], o.zone[c] = now+publishFor, now+publishFor
}

func (o *outbox) addReceived(c Crash, sameZone bool, now time.Duration) {
	if sameZone {
		o.zone[c] = now + publishFor
	} else {
		o.otherZones[c] = now + publishFor
	}
}

func (o *outbox) expire(now time.Duration) {
	for _, crashes := range []map[Crash]time.Duration{o.own, o.zone, o.otherZones} {
		maps.DeleteFunc(crashes, func(_ Crash, until time.Duration) bool { return now >= until })
	}
}

// due returns crashes that are still to be published. If there are too many for a report, it selects them at
// random, so that a few reports include all of them.
func due(crashes map[Crash]time.Duration, now time.Duration) []Crash {
	var list []Crash
	for c, until := range crashes { // the order of a map is random in each iteration
		if now < until {
			list = append(list, c)
		}
		if len(list) == maxReported {
			break
		}
	}
	return list
}

// DueOwn returns the crashes observed by this instance that it publishes to its zone.
func (t *Table) DueOwn(now time.Duration) []Crash { return due(t.outbox.own, now) }

// DueZone returns the crashes observed in this zone that it publishes to other zones.
func (t *Table) DueZone(now time.Duration) []Crash { return due(t.outbox.zone, now) }

// DueOtherZones returns the crashes observed in other zones that this instance publishes to its zone.
func (t *Table) DueOtherZones(now time.Duration) []Crash { return due(t.outbox.otherZones, now) }
