package load

import (
	"math"
	"time"
)

// Bounds of what is learnt from the traffic.
const (
	lagsKept   = 32
	lifeWeight = 0.05 // of the newest stream in the mean duration
	// longestAge bounds the age that is reckoned with for a report.
	longestAge = time.Minute
)

// Traffic is what an entry learns from its own placements on all engines: how
// old reports are, and how long streams last. The zero value knows nothing.
type Traffic struct {
	lags     [lagsKept]time.Duration
	observed int
	// least is the age that reports had at least, while no upper bound is
	// known.
	least time.Duration
	life  time.Duration
}

// counted records that a report, which came age after the placement, is the
// first to account for it: the report was taken at most that long ago.
func (t *Traffic) counted(age time.Duration) {
	t.lags[t.observed%lagsKept] = age
	t.observed++
}

// uncounted records that a report, which came age after an engine took a
// placement, does not account for it: the report was taken before that.
func (t *Traffic) uncounted(age time.Duration) {
	t.least = max(t.least, age)
}

// Lag is the age of a report when it comes: the least of the newest upper
// bounds. While there is none it is the greatest lower bound.
func (t *Traffic) Lag() time.Duration {
	n := min(t.observed, lagsKept)
	if n == 0 {
		return t.least
	}
	least := t.lags[0]
	for _, lag := range t.lags[1:n] {
		least = min(least, lag)
	}
	return least
}

func (t *Traffic) ended(duration time.Duration) {
	if t.life == 0 {
		t.life = duration
		return
	}
	t.life += time.Duration(lifeWeight * float64(duration-t.life))
}

// left is the share of the requests in a report of some age that are still
// running.
func (t *Traffic) left(age time.Duration) float64 {
	if t.life <= 0 {
		return 1
	}
	return math.Exp(-age.Seconds() / t.life.Seconds())
}

// Estimated is the load as it should be by now: the report, less what has been
// done since it was taken, and the own placements that it does not count. What
// the entry knows from its own streams to be on the engine is the least. With
// reports that are fresh this is Charged, with very old ones Local.
func (e *Upstream) Estimated(now time.Duration) View {
	t := e.traffic
	age := min(longestAge, now-e.ReportAt+t.Lag())
	charged, own := e.chargedView(), e.Local()
	reported := e.Reported()
	left := t.left(age)
	prefill := max(0, reported.PrefillTokens-int(e.Report.PrefillRate*age.Seconds()))
	return View{
		Requests:      max(own.Requests, int(float64(reported.Requests)*left)+charged.Requests),
		Waiting:       int(float64(reported.Waiting) * left),
		PrefillTokens: max(own.PrefillTokens, prefill+charged.PrefillTokens),
		Blocks:        charged.Blocks,
	}
}
