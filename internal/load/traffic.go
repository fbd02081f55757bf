package load

import (
	"math"
	"time"
)

// Bounds of what is learnt from the traffic.
const (
	lagsKept    = 32
	shareMemory = 0.99 // of each own placement's weight at the next one
	lifeWeight  = 0.05 // of the newest stream in the mean duration
	// longestAge bounds the age that is reckoned with for a report.
	longestAge = time.Minute
)

// Traffic is what an entry learns from its own placements and the reports of
// all engines: how old reports are, how many placements of all entries there
// are for each of its own, and how long streams last. The zero value knows
// nothing.
type Traffic struct {
	lags     [lagsKept]time.Duration
	observed int
	accepted float64
	own      float64
	life     time.Duration
}

// counted records that a report, which came age after the placement, is the
// first to account for it: the report was taken at most that long ago.
func (t *Traffic) counted(age time.Duration) {
	t.lags[t.observed%lagsKept] = age
	t.observed++
}

// Lag is the age of a report when it comes: the least of the newest upper
// bounds; 0 when there is none.
func (t *Traffic) Lag() time.Duration {
	n := min(t.observed, lagsKept)
	if n == 0 {
		return 0
	}
	least := t.lags[0]
	for _, lag := range t.lags[1:n] {
		least = min(least, lag)
	}
	return least
}

func (t *Traffic) placed() {
	t.own = t.own*shareMemory + 1
	t.accepted *= shareMemory
}

func (t *Traffic) acceptedByAll(n int64) {
	t.accepted += float64(n)
}

// Each is how many placements of all entries there are for each own one, at
// least 1.
func (t *Traffic) Each() float64 {
	if t.own < 1 {
		return 1
	}
	return max(1, t.accepted/t.own)
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
// done since it was taken, and for each own placement that it does not count
// as many as all entries will have made. What the entry knows to be on the
// engine from its own streams is the least.
func (e *Engine) Estimated(t *Traffic, now time.Duration) View {
	age := min(longestAge, now-e.ReportAt+t.Lag())
	each := t.Each()
	charged, own := e.chargedView(), e.Local()
	reported := e.Reported()
	left := t.left(age)
	prefill := max(0, float64(reported.PrefillTokens)-e.Report.PrefillRate*age.Seconds())
	return View{
		Requests:      max(own.Requests, int(float64(reported.Requests)*left+each*float64(charged.Requests))),
		Waiting:       int(float64(reported.Waiting) * left),
		PrefillTokens: max(own.PrefillTokens, int(prefill+each*float64(charged.PrefillTokens))),
		Blocks:        int(each * float64(charged.Blocks)),
	}
}
