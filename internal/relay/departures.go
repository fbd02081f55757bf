package relay

import (
	"sync"
	"time"
)

// departureKept is how long the departure of an upstream is kept. It is gone before.
const departureKept = 2 * time.Hour

// departures has when upstreams announced that they leave, by incarnation: by their entry, its removal, or a response. It is safe for
// concurrent use.
type departures struct {
	mu sync.Mutex // protects all below
	at map[uint32]departure
	// sweptAt is when old departures were last dropped.
	sweptAt time.Duration
}

// departure is the announcement of an upstream that it leaves.
type departure struct {
	at time.Duration
	// earlier is set if the upstream announced it at an unknown time before.
	earlier bool
	// byResponse is set if only responses of the upstream say so. The time that it serves on counts from its entry's change.
	byResponse bool
}

func newDepartures() *departures { return &departures{at: map[uint32]departure{}} }

// note records an announcement, unless an earlier one is known. That of an entry replaces that of a response.
func (d *departures) note(upstream uint32, announced departure, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if before, known := d.at[upstream]; !known || before.byResponse && !announced.byResponse {
		d.at[upstream] = announced
	}
	if now-d.sweptAt < departureKept {
		return
	}
	d.sweptAt = now
	for upstream, announced := range d.at {
		if now-announced.at > departureKept {
			delete(d.at, upstream)
		}
	}
}

// revoke drops the departure of an upstream that stays.
func (d *departures) revoke(upstream uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.at, upstream)
}

// lasted returns for how long an upstream has been known to leave; false if it is not, or for an unknown time.
func (d *departures) lasted(upstream uint32, now time.Duration) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	announced, known := d.at[upstream]
	if !known || announced.earlier {
		return 0, false
	}
	return now - announced.at, true
}
