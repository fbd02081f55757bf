package upstreamstate

import (
	"time"

	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
)

// workload is what this instance has on one upstream, and what it heard of it.
type workload struct {
	// backlog is the predicted time of this instance's prompts there, deferredBacklog the
	// part of it that yields to other prompts.
	backlog, deferredBacklog time.Duration
	// utilization is the work of the prompts that this instance placed there lately, inflow
	// are the tokens that its requests put into the cache.
	utilization, inflow rate
	// answeredAt is when the upstream last answered anything; heard tells that it did.
	answeredAt time.Duration
	answered   bool
	// reported is what it said with its newest answer.
	reported   Load
	reportedAt time.Duration
}

// changed notes that this instance has something else under way on an upstream than
// it told. The lock is held.
func (p *State) changed(n *node) {
	p.busy[n] = true
	p.settings.OnChange()
}

// PromptDone takes the prompt work of a request off an engine.
func (p *State) PromptDone(id string, work time.Duration, turn placement.QueueOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.nodes[id]
	if !ok {
		return
	}
	n.work.backlog = max(0, n.work.backlog-work)
	if turn == placement.QueueDeferred {
		n.work.deferredBacklog = max(0, n.work.deferredBacklog-work)
	}
	p.changed(n)
}

// RequestDone takes a request off an upstream.
func (p *State) RequestDone(id, request string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads.End(id, request, now)
	n, ok := p.nodes[id]
	if !ok {
		p.loads.Drop(id)
		return
	}
	p.changed(n)
}

// SetReportedLoad takes an upstream's word on its load.
func (p *State) SetReportedLoad(id string, l Load, now time.Duration) {
	if !l.Known {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n, ok := p.nodes[id]; ok {
		n.work.reported, n.work.reportedAt = l, now
	}
}

// RecordCall records what a send told of an upstream, and reports whether it is
// ejected by it. One that cannot be reached is ejected at once.
func (p *State) RecordCall(id string, v load.CallResult, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch v {
	case load.CallUnreachable:
		p.noteUnreachable(id, now)
	case load.CallAddressReassigned:
		p.markUnavailable(id, now+addressReassignedFor)
	}
	n, ok := p.nodes[id]
	if !ok {
		return false // its entry is gone
	}
	if v != load.CallUnreachable && v != load.CallAddressReassigned {
		n.work.answeredAt, n.work.answered = now, true
		return p.loads.RecordCall(id, v, now)
	}
	first := p.loads.RecordCall(id, v, now)
	return p.loads.RecordCall(id, v, now) || first
}

// AnsweredSince tells whether an upstream has answered anything since a time.
func (p *State) AnsweredSince(id string, since time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.nodes[id]
	return ok && n.work.answered && n.work.answeredAt > since
}
