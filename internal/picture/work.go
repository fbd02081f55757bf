package picture

import (
	"time"

	"sassafrasfield/internal/load"
	"sassafrasfield/internal/route"
)

// workload is what this instance has on one upstream, and what it heard of it.
type workload struct {
	// own is the predicted time of this instance's prompts there, yielding the
	// part of it that yields to other prompts.
	own, yielding time.Duration
	// use is the work of the prompts that this instance placed there lately, inflow
	// are the tokens that its requests put into the cache.
	use, inflow rate
	// heardAt is when the upstream last answered anything.
	heardAt time.Duration
	// reported is what it said with its newest answer.
	reported   Load
	reportedAt time.Duration
}

// workOn returns the work on an upstream, made when there is none. The lock is held.
func (p *Picture) workOn(id string) *workload {
	w, ok := p.work[id]
	if !ok {
		w = &workload{}
		p.work[id] = w
	}
	return w
}

// PromptDone takes the prompt work of a request off an engine.
func (p *Picture) PromptDone(id string, work time.Duration, turn route.Turn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.work[id]
	if !ok {
		return
	}
	w.own = max(0, w.own-work)
	if turn == route.TurnYield {
		w.yielding = max(0, w.yielding-work)
	}
}

// End takes a request off an upstream.
func (p *Picture) End(id, request string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads.End(id, request, now)
}

// Reported takes an upstream's word on its load.
func (p *Picture) Reported(id string, l Load, now time.Duration) {
	if !l.Known {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workOn(id)
	w.reported, w.reportedAt = l, now
}

// Judge records what a send told of an upstream, and reports whether it is
// ejected by it. One that cannot be reached is ejected at once.
func (p *Picture) Judge(id string, v load.Verdict, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v != load.VerdictGone {
		p.workOn(id).heardAt = now
		return p.loads.Judge(id, v, now)
	}
	p.noteGone(id, now)
	first := p.loads.Judge(id, v, now)
	return p.loads.Judge(id, v, now) || first
}

// HeardSince tells whether an upstream has answered anything since a time.
func (p *Picture) HeardSince(id string, since time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.work[id]
	return ok && w.heardAt > since
}
