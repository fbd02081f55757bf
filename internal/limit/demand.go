package limit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// average is a moving average of events a second, with exponential decay.
type average struct {
	window time.Duration
	value  float64
	at     time.Duration
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
	if now <= a.at {
		return
	}
	a.value *= math.Exp(-(now - a.at).Seconds() / a.window.Seconds())
	a.at = now
}

// Totals adds up the demand that entries report for the organisations whose
// home this daemon is. It is not safe for concurrent use.
type Totals struct {
	keep    time.Duration
	reports map[string]report
}

// report is one instance's last word.
type report struct {
	rates map[string]float64
	at    time.Duration
}

// NewTotals returns totals that forget an instance that has not reported for
// the time keep.
func NewTotals(keep time.Duration) *Totals {
	return &Totals{keep: keep, reports: map[string]report{}}
}

// Report takes an instance's demand in place of what it reported before, and
// returns the totals of the organisations it named.
func (t *Totals) Report(instance string, rates map[string]float64, now time.Duration) map[string]float64 {
	t.reports[instance] = report{rates: rates, at: now}
	totals := make(map[string]float64, len(rates))
	for id, r := range t.reports {
		if now-r.at > t.keep {
			delete(t.reports, id)
			continue
		}
		for name := range rates {
			totals[name] += r.rates[name]
		}
	}
	return totals
}

// Home returns the instance that adds up an organisation's demand: the one
// with the highest hash of both names (rendezvous hashing), so that a change
// of the list moves few homes. It is empty when the list is.
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
