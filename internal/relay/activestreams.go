package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/streamversions"
	"sassafrasfield/internal/takeover"
)

// ErrSuperseded ends an attempt at a stream that another attempt has taken up.
var ErrSuperseded = errors.New("relay: another attempt took the stream up")

// errForwarderLeft: the instance that forwarded a request does not read its answer any more.
var errForwarderLeft = errors.New("relay: the instance that forwarded the request left")

// leftRunKept is how long a run is remembered that its caller left. The engine is asked for it only if the caller takes the stream up.
const leftRunKept = 5 * time.Second

// activeStreams has the attempts at streams that may be resumed, until their runs have ended. It is safe for concurrent use.
type activeStreams struct {
	mu       sync.Mutex // protects the registry and the attempts in it
	registry *takeover.Registry[*activeStream]
}

func newActiveStreams() *activeStreams {
	return &activeStreams{registry: takeover.NewRegistry[*activeStream]()}
}

// activeStream is an attempt at a stream.
type activeStream struct {
	holder *takeover.Holder[*activeStream]
	// end ends the attempt.
	end context.CancelCauseFunc
	// superseded is set once another attempt has taken the stream up.
	superseded bool
	// served is set once the attempt is not served any more. left is its run if the engine may still work on it.
	served bool
	left   *engineRun
	// ended is closed once a superseded attempt and its run have ended.
	ended chan struct{}
}

// claim returns the claim of an attempt to run its stream.
func (x *exchange) claim() takeover.Claim {
	c := takeover.Claim{
		Stream: streamversions.IDOf(x.req.streamID()), Attempt: streamversions.IDOf(x.req.ID),
		Scope: takeover.ScopeOf(x.identity.Name(), uint64(x.content())), LastEvent: eventNumber(x.req.LastEvent),
	}
	if x.takesUp() {
		c.Epoch = 1
	}
	return c
}

// takesUp reports whether the attempt takes up a stream that another one began. An attempt that is served for another instance has
// claimed its stream there.
func (x *exchange) takesUp() bool {
	return x.req.LastEvent != "" && x.req.Resumes != "" && !x.forwarded
}

// holdStream adds an attempt to the active streams, and returns the context in which it is served.
func (r *Relay) holdStream(ctx context.Context, x *exchange) (context.Context, *activeStream) {
	ctx, end := context.WithCancelCause(ctx)
	s := &activeStream{end: end, ended: make(chan struct{})}
	s.holder = &takeover.Holder[*activeStream]{Claim: x.claim(), Pending: x.takesUp(), Forwarded: x.forwarded, Value: s}
	r.streams.mu.Lock()
	defer r.streams.mu.Unlock()
	r.streams.registry.Add(s.holder)
	return ctx, s
}

// releaseStream records that an attempt is not served any more. Its engine may still work on the run that was left; nil for none.
func (r *Relay) releaseStream(s *activeStream, left *engineRun) {
	r.streams.mu.Lock()
	s.served, s.left = true, left
	superseded := s.superseded
	if left == nil && !superseded {
		r.streams.registry.Remove(s.holder)
	}
	r.streams.mu.Unlock()
	s.end(nil)
	switch {
	case superseded:
		go r.finishSuperseded(s)
	case left != nil:
		if s.holder.Forwarded { // the instance that forwarded it may have another run go on
			r.endRun(*left, runLeft{engineReached: true, because: errForwarderLeft})
		}
		time.AfterFunc(leftRunKept, func() { r.forgetStream(s) })
	}
}

// forgetStream removes an attempt whose caller did not come back.
func (r *Relay) forgetStream(s *activeStream) {
	r.streams.mu.Lock()
	defer r.streams.mu.Unlock()
	if !s.superseded {
		r.streams.registry.Remove(s.holder)
	}
}

// finishSuperseded waits until the run of a superseded attempt, which is not served any more, has ended.
func (r *Relay) finishSuperseded(s *activeStream) {
	if s.left != nil {
		<-r.endRun(*s.left, runLeft{engineReached: true, because: ErrSuperseded}).ended
	}
	r.streams.mu.Lock()
	defer r.streams.mu.Unlock()
	r.streams.registry.Remove(s.holder)
	close(s.ended)
}

// supersede ends the attempts that give way to a claim, other than its own, which is nil for a claim of another instance.
func (r *Relay) supersede(c takeover.Claim, own *activeStream) (superseded []*activeStream, result takeover.Result) {
	a := r.streams
	a.mu.Lock()
	defer a.mu.Unlock()
	var ownHolder *takeover.Holder[*activeStream]
	if own != nil {
		ownHolder = own.holder
	}
	holders, result := a.registry.Contest(c, ownHolder)
	for _, h := range holders {
		s := h.Value
		superseded = append(superseded, s)
		if s.superseded {
			continue
		}
		s.superseded = true
		s.end(ErrSuperseded)
		if s.served {
			go r.finishSuperseded(s)
		}
	}
	return superseded, result
}

// isSuperseded reports whether another attempt has taken the stream up.
func (r *Relay) isSuperseded(s *activeStream) bool {
	r.streams.mu.Lock()
	defer r.streams.mu.Unlock()
	return s.superseded
}

// raiseClaim has an attempt claim its stream with a higher epoch than another one that runs, and returns the claim.
func (r *Relay) raiseClaim(s *activeStream, runningEpoch uint32) takeover.Claim {
	r.streams.mu.Lock()
	defer r.streams.mu.Unlock()
	if runningEpoch > 0 {
		s.holder.Epoch = runningEpoch + 1
	}
	return s.holder.Claim
}

// activate records that the runs before an attempt have ended, unless it is itself superseded.
func (r *Relay) activate(s *activeStream) error {
	r.streams.mu.Lock()
	defer r.streams.mu.Unlock()
	if s.superseded {
		return ErrSuperseded
	}
	s.holder.Pending = false
	return nil
}
