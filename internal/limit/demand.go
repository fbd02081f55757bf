package limit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// average is an exponentially decaying moving average of events a second.
type average struct {
	window    time.Duration
	value     float64
	decayedAt time.Duration
}

func (a *average) add(now time.Duration) {
	a.decay(now)
	a.value += 1 / a.window.Seconds()
}

func (a *average) rate(now time.Duration) float64 {
	a.decay(now)
	return a.value
}

func (a *average) decay(now time.Duration) {
	if now <= a.decayedAt {
		return
	}
	a.value *= math.Exp(-(now - a.decayedAt).Seconds() / a.window.Seconds())
	a.decayedAt = now
}

// Totals adds up the demand that instances report for the organisations whose home this instance is (see
// Home). It is not safe for concurrent use.
type Totals struct {
	ttl     time.Duration
	reports map[string]report
}

// report is the latest report of an instance.
type report struct {
	rates      map[string]float64
	receivedAt time.Duration
}

// NewTotals returns totals that drop an instance's report once it is older than ttl.
func NewTotals(ttl time.Duration) *Totals {
	return &Totals{ttl: ttl, reports: map[string]report{}}
}

// Report replaces the demand that an instance reported before, and returns the totals of the organisations in
// the report.
func (t *Totals) Report(instance string, rates map[string]float64, now time.Duration) map[string]float64 {
	t.reports[instance] = report{rates: rates, receivedAt: now}
	totals := make(map[string]float64, len(rates))
	for id, r := range t.reports {
		if now-r.receivedAt > t.ttl {
			delete(t.reports, id)
			continue
		}
		for name := range rates {
			totals[name] += r.rates[name]
		}
	}
	return totals
}

// Home returns the instance that adds up an organisation's demand: the one with the highest hash of both
// names (rendezvous hashing), so that a change of the list moves few homes. It is empty if the list is empty.
func Home(organisation string, instances []string) string {
	best, highest := "", uint64(0)
	for _, id := range instances {
		sum := xxhash.Sum64String(organisation + "\x00" + id)
		if best == "" || sum > highest || (sum == highest && id < best) {
			best, highest = id, sum
		}
	}
	return best
}
