package upstreamstate

import (
	"math"
	"time"
)

// How what changes is told.
const (
	// resendAfter is when a load is told again that has not changed: whoever missed
	// it, or is new, has it then.
	resendAfter = time.Second
	// zeroRepeats is how often it is told that nothing is left on an upstream, as a
	// datagram may be lost.
	zeroRepeats = 3
	// maxReportLoads bounds the loads in one report: about four datagrams. What is left
	// is told with the next ones.
	maxReportLoads = 800
	// minUtilizationChange and leastInflowChange are the changes of the rates, beyond how
	// they fade, that are told: 1% of an engine's time, and 1,000 tokens a second.
	minUtilizationChange = 0.01
	minInflowChange      = 1000
)

// sentLoads is what was told to a group of receivers, so that the next report to them
// has what changed since alone.
type sentLoads struct {
	loads map[uint32]sentLoad
}

// sentLoad is a load as it was told.
type sentLoad struct {
	EngineLoad
	at time.Duration
	// zeros is how often it was told that nothing is left.
	zeros int
}

func newSentLoads() sentLoads { return sentLoads{loads: map[uint32]sentLoad{}} }

// due tells whether a load is to be told now, and notes that it is.
func (l *sentLoads) due(load EngineLoad, now time.Duration) bool {
	before, known := l.loads[load.Engine]
	if load.idle() {
		return known && l.dueZero(before, load, now)
	}
	if known && before.zeros == 0 && now-before.at < resendAfter && !before.differs(load, now) {
		return false
	}
	l.loads[load.Engine] = sentLoad{EngineLoad: load, at: now}
	return true
}

// dueZero notes that nothing is left on an upstream, and tells whether to tell it.
func (l *sentLoads) dueZero(before sentLoad, load EngineLoad, now time.Duration) bool {
	if before.zeros >= zeroRepeats {
		delete(l.loads, load.Engine)
		return false
	}
	l.loads[load.Engine] = sentLoad{EngineLoad: load, at: now, zeros: before.zeros + 1}
	return true
}

// differs tells whether a load is another one than was told, but for the rates'
// fading, which the receivers know of.
func (e sentLoad) differs(load EngineLoad, now time.Duration) bool {
	if e.Backlog != load.Backlog || e.DeferredBacklog != load.DeferredBacklog || e.Requests != load.Requests {
		return true
	}
	since := now - e.at
	return math.Abs(decayed(e.Utilization, since)-load.Utilization) > minUtilizationChange ||
		math.Abs(decayed(e.Inflow, since)-load.Inflow) > minInflowChange
}
