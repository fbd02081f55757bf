// Package slowness estimates how long work currently takes on an upstream, as a factor of the usual time. The inputs are
// the figures that the upstream sends with its responses, and the times that its responses took. The output is a factor
// for choices among upstreams, 1 for usual. The package has no clock and does no I/O. Its caller is package
// upstreamstate.
package slowness

import (
	"math"
	"time"
)

// Lowest and Highest bound the figures that count. A figure beyond them is more likely wrong than true, and would keep
// all work away from the upstream, or draw all of it there.
const (
	Lowest  = 0.2
	Highest = 20
)

const (
	// figureValidFor is the time constant with which the newest figure loses its weight to the mean. Some upstreams of two
	// customers change about every 0.6 s, and an instance has a response from each about every second. In the loads of
	// TestFactorPays, 0.3 s and 1 s differ by less than a tenth in most cases; 1 s is better where all upstreams change.
	figureValidFor = time.Second
	// fasterWeight is the weight of a figure below the mean; one above it replaces the mean at once. Work that is sent to
	// an upstream in a slow moment costs more than work that is kept away from it in a fast one.
	fasterWeight = 0.3
	// meanValidFor is the time constant with which the mean returns to 1 without figures, so that an upstream that was
	// slow is tried again. After staleAfter nothing of a figure counts.
	meanValidFor = 10 * time.Second
	staleAfter   = 3 * meanValidFor
	// minTimes is the number of response times from which they can contradict the figures, and timeWeight the weight of
	// a new one. Calls of one service differ several times over in their work; of eight, the mean is known to within
	// about a factor of contradiction.
	minTimes   = 8
	timeWeight = 1.0 / minTimes
	// contradiction is the factor between the mean figure and the response times from which the figures are ignored.
	contradiction = 2
)

// Estimate is what is known of one upstream. The zero value is one that works as usual. It is not safe for concurrent
// use.
type Estimate struct {
	// excess is the weighted mean of the figures less 1, newest the newest figure, and at its time.
	excess, newest float64
	at             time.Duration
	figures        int
	// ratio is the mean of the response times relative to the service's, out of the given number of times.
	ratio float64
	times int
}

// AddFigure adds a figure that a response brought: how long work takes, as a factor of the usual time.
func (e *Estimate) AddFigure(figure float64, now time.Duration) {
	if math.IsNaN(figure) {
		return
	}
	figure = max(Lowest, min(Highest, figure))
	mean := e.meanExcess(now)
	// Figures below the mean that arrive together count as one.
	fresh := 1.0
	if e.figures > 0 {
		fresh = min(1, max(0, float64(now-e.at)/float64(figureValidFor)))
	}
	e.figures++
	weight := fasterWeight * fresh
	if figure-1 > mean {
		weight = 1
	}
	e.excess = mean + weight*(figure-1-mean)
	e.newest, e.at = figure, now
}

// AddTime adds the time of a response, relative to the mean time of the service's responses.
func (e *Estimate) AddTime(ratio float64) {
	e.times++
	e.ratio += (ratio - e.ratio) * max(timeWeight, 1/float64(e.times))
}

// meanExcess returns the mean of the figures less 1.
func (e *Estimate) meanExcess(now time.Duration) float64 {
	return e.excess * decay(now-e.at, meanValidFor)
}

// Factor returns how long work is expected to take: 1 for as usual. The newest figure counts less with its age, and the
// mean counts instead. Figures are ignored if the response times contradict them.
func (e *Estimate) Factor(now time.Duration) float64 {
	if e.figures == 0 || now-e.at > staleAfter || e.contradicted(now) {
		return 1
	}
	mean := 1 + e.meanExcess(now)
	return max(Lowest, min(Highest, mean+(e.newest-mean)*decay(now-e.at, figureValidFor)))
}

// contradicted reports whether the response times say that the mean figure is wrong.
func (e *Estimate) contradicted(now time.Duration) bool {
	mean := 1 + e.meanExcess(now)
	return e.times >= minTimes && (mean > contradiction*e.ratio || mean*contradiction < e.ratio && mean < 1)
}

// decay returns what is left of a value after a time.
func decay(age, constant time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / constant.Seconds())
}
