package quarantine

import (
	"maps"
	"time"
)

// Bounds of what is told of ends.
const (
	// tellFor is for how long an end is told of on each way. Reports go every 0.1 to
	// 0.4 s, so five may be lost.
	tellFor = 2 * time.Second
	// toldAtMost bounds the ends in one report: an eighth of a datagram.
	toldAtMost = 32
)

// telling has the ends that are to be told of, each with the time until which.
type telling struct {
	// here are this instance's own, beside those of its zone with this one's, and beyond
	// those of other zones.
	here, beside, beyond map[Crash]time.Duration
}

func newTelling() telling {
	return telling{here: map[Crash]time.Duration{}, beside: map[Crash]time.Duration{}, beyond: map[Crash]time.Duration{}}
}

func (t *telling) own(e Crash, now time.Duration) {
	t.here[e], t.beside[e] = now+tellFor, now+tellFor
}

func (t *telling) heard(e Crash, beside bool, now time.Duration) {
	if beside {
		t.beside[e] = now + tellFor
	} else {
		t.beyond[e] = now + tellFor
	}
}

func (t *telling) lapse(now time.Duration) {
	for _, ends := range []map[Crash]time.Duration{t.here, t.beside, t.beyond} {
		maps.DeleteFunc(ends, func(_ Crash, until time.Duration) bool { return now >= until })
	}
}

// due lists ends that are still to be told of. Where they are too many for a report, it is
// left to chance which it has, so that a few reports have all.
func due(ends map[Crash]time.Duration, now time.Duration) []Crash {
	var list []Crash
	for e, until := range ends { // a map's order is drawn anew each time
		if now < until {
			list = append(list, e)
		}
		if len(list) == toldAtMost {
			break
		}
	}
	return list
}

// DueOwn are what this instance tells of the ends that it saw.
func (t *Table) DueOwn(now time.Duration) []Crash { return due(t.tell.here, now) }

// DueZone are what its zone tells the others.
func (t *Table) DueZone(now time.Duration) []Crash { return due(t.tell.beside, now) }

// DueOtherZones are what its zone is told of the others.
func (t *Table) DueOtherZones(now time.Duration) []Crash { return due(t.tell.beyond, now) }
