package control

import (
	"sync"
	"time"
)

// pace determines when a pool is stepped again: after minPeriod if the last
// step did something, immediately on a new version, and otherwise with a period
// that doubles up to maxPeriod.
type pace struct {
	minPeriod time.Duration

	mu        sync.Mutex // protects the fields below
	maxPeriod time.Duration
	busy      bool
	period    time.Duration
	nextAt    time.Duration
	version   int64
}

// begin reports whether to step the pool now. If so, the caller must call end
// after the step.
func (p *pace) begin(now time.Duration, version int64, maxPeriod time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxPeriod = maxPeriod
	if p.busy || (now < p.nextAt && version == p.version) {
		return false
	}
	if version != p.version {
		p.period = p.minPeriod
	}
	p.busy, p.version = true, version
	return true
}

// end records the end of a step and whether it did anything.
func (p *pace) end(now time.Duration, acted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
	p.period = min(2*max(p.period, p.minPeriod), p.maxPeriod)
	if acted {
		p.period = p.minPeriod
	}
	p.nextAt = now + p.period
}
