package upstreamstate

import (
	"math"
	"time"
)

// Settings of the incremental reports.
const (
	// resendAfter is when an unchanged load is sent again, so that receivers that missed it or have
	// just started get it.
	resendAfter = time.Second
	// zeroRepeats is how often a load of zero is sent, as a datagram may be lost.
	zeroRepeats = 3
	// maxReportLoads bounds the loads in one report, which is about four datagrams. The others
	// follow in the next reports.
	maxReportLoads = 800
	// minUtilizationChange and minInflowChange are the smallest changes of the rates, besides their
	// decay, that are sent: 1% of an engine's time and 1,000 tokens a second.
	minUtilizationChange = 0.01
	minInflowChange      = 1000
)

// sentLoads are the loads last sent to a group of receivers, so that the next report to them
// contains only the changes.
type sentLoads struct {
	loads map[uint32]sentLoad
}

// sentLoad is a load as it was last sent.
type sentLoad struct {
	EngineLoad
	at time.Duration
	// zeros is how often a load of zero was sent.
	zeros int
}

func newSentLoads() sentLoads { return sentLoads{loads: map[uint32]sentLoad{}} }

// due reports whether a load is to be sent now, and if so records it as sent.
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

// dueZero records a load of zero as sent and reports whether it is to be sent now.
func (l *sentLoads) dueZero(before sentLoad, load EngineLoad, now time.Duration) bool {
	if before.zeros >= zeroRepeats {
		delete(l.loads, load.Engine)
		return false
	}
	l.loads[load.Engine] = sentLoad{EngineLoad: load, at: now, zeros: before.zeros + 1}
	return true
}

// differs reports whether a load differs from the one sent by more than the decay of its rates,
// which the receivers compute themselves.
func (e sentLoad) differs(load EngineLoad, now time.Duration) bool {
	if e.Backlog != load.Backlog || e.DeferredBacklog != load.DeferredBacklog || e.Requests != load.Requests {
		return true
	}
	since := now - e.at
	return math.Abs(decayed(e.Utilization, since)-load.Utilization) > minUtilizationChange ||
		math.Abs(decayed(e.Inflow, since)-load.Inflow) > minInflowChange
}
