package relay

import (
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/ownlink"
	"sassafrasfield/internal/upstreamstate"
)

// link is what this instance knows of its own network link. While the link is saturated, requests
// are refused at once so that other instances serve them: on a link of 10 Mbit/s, 23 requests with
// a timeout of 3 s waited for 1.1 s at the median and 1.9 s at most, and were not served.
type link struct {
	log *slog.Logger
	// impaired counts the times at which an impairment began.
	impaired metrics.Counter

	mu    sync.Mutex // protects all below
	state *ownlink.Link
	// reported is the impairment that was last logged, since reportedAt.
	reported   ownlink.Impairment
	reportedAt time.Duration
}

func newLink(log *slog.Logger) *link {
	return &link{log: log, impaired: counter("impairments"), state: ownlink.New(ownlink.DefaultSettings())}
}

// logChange logs the begin and the end of an impairment with its evidence. The lock is held.
func (l *link) logChange(reason ownlink.Impairment, now time.Duration) {
	if reason == l.reported {
		return
	}
	evidence := l.state.Evidence(now)
	l.log.Info("relay: impairment changed", "reason", string(reason), "before", string(l.reported), "lasted", now-l.reportedAt,
		"upstreams_timed_out", evidence.Timeouts, "upstreams_answered", evidence.Answers, "peer_report_age", evidence.ReportAge)
	if reason != "" {
		l.impaired.Inc(1)
	}
	l.reported, l.reportedAt = reason, now
}

func (l *link) update(apply func(*ownlink.Link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	apply(l.state)
}

func (l *link) reportReceived(now time.Duration) {
	l.update(func(s *ownlink.Link) { s.RecordPeerReport(now) })
}

// SetBehind records whether other instances are known to have rows of the platform that this one
// lacks.
func (r *Relay) SetBehind(behind bool) {
	now := r.now()
	r.link.update(func(s *ownlink.Link) { s.SetBehind(behind, now) })
}

// recordSendError updates the state of this instance's link after a failed send.
func (r *Relay) recordSendError(upstream string, err error) {
	now := r.now()
	r.link.update(func(s *ownlink.Link) {
		if errors.Is(err, ErrConnectTimeout) {
			s.RecordTimeout(upstream, now)
		} else if errors.Is(err, ErrRefused) || errors.Is(err, ErrAddressReassigned) {
			s.RecordAnswer(upstream, now)
		}
	})
}

// recordAnswer records the beginning of an upstream's answer, and the load that it reports.
func (r *Relay) recordAnswer(upstream string, load upstreamstate.Load) {
	now := r.now()
	r.lastAnswer.Store(int64(now))
	r.upstreams.SetReportedLoad(upstream, load, now)
	r.link.update(func(s *ownlink.Link) { s.RecordAnswer(upstream, now) })
}

// Impairment returns why this instance forwards nothing; empty if it is not impaired.
func (r *Relay) Impairment() ownlink.Impairment {
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	now := r.now()
	reason := r.link.state.Impairment(now)
	r.link.logChange(reason, now)
	return reason
}

// refuseImpaired returns the refusal of a request at an impaired instance.
func refuseImpaired(reason ownlink.Impairment, retryIn time.Duration) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: string(reason), RetryIn: retryIn}
}

// Impaired reports whether this instance cannot serve requests: they reach no upstream because of its own link and
// cannot be forwarded, or it cannot know which upstreams are draining.
func (r *Relay) Impaired() bool {
	reason := r.Impairment()
	if blamesLink(reason) && r.forwarder != nil && r.forwarder.Available(anyService) {
		return false
	}
	return reason != ""
}

// anyService stands for all services where the hash of one is expected.
const anyService = 0

// peerReportAge returns the time since the last report of another instance; negative before the first one.
func (r *Relay) peerReportAge(now time.Duration) time.Duration {
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	return r.link.state.Evidence(now).ReportAge
}

// retryElsewhereIn returns when a caller should retry, at another instance.
func (r *Relay) retryElsewhereIn(waitBudget time.Duration) time.Duration {
	delay := jittered(r.settings.RetryIn)
	if waitBudget > 0 {
		delay = min(delay, waitBudget/retryDivisor)
	}
	return delay
}
