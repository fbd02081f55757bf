package upstreamstate

import (
	"math"
	"time"
)

// How what changes is told.
const (
	// retellAfter is when a load is told again that has not changed: whoever missed
	// it, or is new, has it then.
	retellAfter = time.Second
	// zerosTold is how often it is told that nothing is left on an upstream, as a
	// datagram may be lost.
	zerosTold = 3
	// toldAtMost bounds the loads in one report: about four datagrams. What is left
	// is told with the next ones.
	toldAtMost = 800
	// leastUseChange and leastInflowChange are the changes of the rates, beyond how
	// they fade, that are told: 1% of an engine's time, and 1,000 tokens a second.
	leastUseChange    = 0.01
	leastInflowChange = 1000
)

// ledger is what was told to a group of receivers, so that the next report to them
// has what changed since alone.
type ledger struct {
	told map[uint32]toldEntry
}

// toldEntry is a load as it was told.
type toldEntry struct {
	EngineLoad
	at time.Duration
	// zeros is how often it was told that nothing is left.
	zeros int
}

func newLedger() ledger { return ledger{told: map[uint32]toldEntry{}} }

// due tells whether a load is to be told now, and notes that it is.
func (l *ledger) due(load EngineLoad, now time.Duration) bool {
	before, known := l.told[load.Engine]
	if load.idle() {
		return known && l.zero(before, load, now)
	}
	if known && before.zeros == 0 && now-before.at < retellAfter && !before.differs(load, now) {
		return false
	}
	l.told[load.Engine] = toldEntry{EngineLoad: load, at: now}
	return true
}

// zero notes that nothing is left on an upstream, and tells whether to tell it.
func (l *ledger) zero(before toldEntry, load EngineLoad, now time.Duration) bool {
	if before.zeros >= zerosTold {
		delete(l.told, load.Engine)
		return false
	}
	l.told[load.Engine] = toldEntry{EngineLoad: load, at: now, zeros: before.zeros + 1}
	return true
}

// differs tells whether a load is another one than was told, but for the rates'
// fading, which the receivers know of.
func (e toldEntry) differs(load EngineLoad, now time.Duration) bool {
	if e.Backlog != load.Backlog || e.DeferredBacklog != load.DeferredBacklog || e.Requests != load.Requests {
		return true
	}
	since := now - e.at
	return math.Abs(faded(e.Utilization, since)-load.Utilization) > leastUseChange ||
		math.Abs(faded(e.Inflow, since)-load.Inflow) > leastInflowChange
}
