package upstreamstate

import (
	"time"

	"sassafrasfield/internal/load"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/slowness"
)

// workload is this instance's work on one upstream, and what the upstream's answers showed.
type workload struct {
	// backlog is the predicted time of this instance's prompts there, deferredBacklog the part of
	// it with low priority.
	backlog, deferredBacklog time.Duration
	// utilization is the rate of processing time of the prompts that this instance places there,
	// inflow the rate of tokens that its requests add to the cache.
	utilization, inflow rate
	// answeredAt is when the upstream last answered any request, answered whether it ever did.
	answeredAt time.Duration
	answered   bool
	// reported is the load that its newest answer reported.
	reported   Load
	reportedAt time.Duration
	// slowness is how long work takes there, according to its answers; used for plain services.
	slowness slowness.Estimate
}

// changed records that this instance's load on an upstream differs from the reported one. The lock
// is held.
func (s *State) changed(n *node) {
	s.busy[n] = true
	s.settings.OnChange()
}

// PromptDone removes the prompt work of a request from an engine.
func (s *State) PromptDone(id string, busyTime time.Duration, order placement.QueueOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.nodes[id]
	if !ok {
		return
	}
	s.use(n)
	n.work.backlog = max(0, n.work.backlog-busyTime)
	if order == placement.QueueDeferred {
		n.work.deferredBacklog = max(0, n.work.deferredBacklog-busyTime)
	}
	s.changed(n)
}

// RequestDone removes a request from an upstream.
func (s *State) RequestDone(id, request string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.nodes[id]
	if ok {
		s.use(n)
	}
	s.loads.End(id, request, now)
	if !ok {
		s.loads.Remove(id)
		return
	}
	s.changed(n)
}

// SetReportedLoad records the load that an upstream reported.
func (s *State) SetReportedLoad(id string, l Load, now time.Duration) {
	if !l.Known {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.nodes[id]; ok {
		s.use(n)
		n.work.reported, n.work.reportedAt = l, now
		if l.Slowness > 0 {
			n.work.slowness.AddFigure(l.Slowness, now)
		}
	}
}

// RecordCall records the result of a call to an upstream, and reports whether the upstream is
// ejected because of it. One that cannot be reached is ejected at once.
func (s *State) RecordCall(id string, result load.CallResult, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch result {
	case load.CallUnreachable:
		s.noteUnreachable(id, now)
	case load.CallAddressReassigned:
		s.markUnavailable(id, now+addressReassignedFor)
	}
	n, ok := s.nodes[id]
	if !ok {
		return false // its entry was removed
	}
	s.use(n)
	if result != load.CallUnreachable && result != load.CallAddressReassigned {
		n.work.answeredAt, n.work.answered = now, true
		return s.loads.RecordCall(id, result, now)
	}
	first := s.loads.RecordCall(id, result, now)
	return s.loads.RecordCall(id, result, now) || first
}

// AnsweredSince reports whether an upstream has answered any request since a time.
func (s *State) AnsweredSince(id string, since time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.nodes[id]
	return ok && n.work.answered && n.work.answeredAt > since
}
