package relay

import (
	"sync"

	"sassafrasfield/internal/streamversions"
	"sassafrasfield/internal/takeover"
)

// activeStreams has the attempts at streams that may be resumed, as long as they are served. It is safe for concurrent use.
type activeStreams struct {
	mu       sync.Mutex // protects registry
	registry *takeover.Registry[*generation]
}

func newActiveStreams() *activeStreams {
	return &activeStreams{registry: takeover.NewRegistry[*generation]()}
}

// claim returns the claim of an attempt to run its stream.
func (x *exchange) claim() takeover.Claim {
	return takeover.Claim{
		Stream: streamversions.IDOf(x.req.streamID()), Attempt: streamversions.IDOf(x.req.ID),
		Scope: takeover.ScopeOf(x.identity.Name(), uint64(x.content())), LastEvent: eventNumber(x.req.LastEvent),
	}
}

// add adds an attempt. The caller calls remove when it is not served any more.
func (a *activeStreams) add(g *generation) (remove func()) {
	holder := &takeover.Holder[*generation]{Claim: g.claim(), Forwarded: g.forwarded, Value: g}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.registry.Add(holder)
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.registry.Remove(holder)
	}
}

// inProgress returns the number of other attempts at a stream that this instance serves.
func (a *activeStreams) inProgress(c takeover.Claim) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	others, _ := a.registry.Contest(c, nil)
	return len(others)
}
