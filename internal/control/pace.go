package control

import (
	"sync"
	"time"
)

// pace sets how often a pool is looked at: at once after a step or a new
// version, and else less and less often, up to a longest pause.
type pace struct {
	minPeriod time.Duration

	mu        sync.Mutex // protects all below
	maxPeriod time.Duration
	busy      bool
	period    time.Duration
	nextAt    time.Duration
	version   int64
}

// begin tells whether it is time to look. The caller calls end after it.
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

// end takes whether the look led to a step.
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
