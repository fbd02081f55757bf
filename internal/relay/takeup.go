package relay

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/takeover"
)

// Timing of claims.
const (
	// claimTimeout bounds the wait of an attempt for the end of the runs before it. Its caller waits two seconds for the first
	// event, or longer.
	claimTimeout = time.Second
	// claimHold is how long the answer to a claim waits for the end of runs.
	claimHold = 15 * time.Millisecond
)

// claimMeters counts the streams that callers took up: all, those whose former run was ended for that, those that were refused since
// it went on or another attempt was first, and those of which not all instances could be asked.
type claimMeters struct{ all, endedRun, refused, unanswered metrics.Counter }

func newClaimMeters() claimMeters {
	return claimMeters{
		all: counter("streams_claimed"), endedRun: counter("streams_claimed_from_a_run"),
		refused: counter("claims_refused"), unanswered: counter("claims_unanswered"),
	}
}

// SetStreamClaimer sets the function that claims a stream at the other instances, and returns when no run of it is left there, or
// what is left when the context ends. Call it before the relay is used.
func (r *Relay) SetStreamClaimer(claim func(ctx context.Context, c takeover.Claim) takeover.Result) {
	r.claimElsewhere = claim
}

// ClaimStream ends the runs of a stream at this instance for a claim of another one. It waits shortly for their end; those that are
// still running are counted. It may be repeated.
func (r *Relay) ClaimStream(ctx context.Context, c takeover.Claim) takeover.Result {
	return r.claimHere(ctx, c, nil, claimHold)
}

// claimHere ends the runs of a stream at this instance, and waits for their end.
func (r *Relay) claimHere(ctx context.Context, c takeover.Claim, own *activeStream, wait time.Duration) takeover.Result {
	superseded, result := r.supersede(c, own)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for i, s := range superseded {
		select {
		case <-s.ended:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		result.Running = len(superseded) - i
		break
	}
	return result
}

// takeOver ends the runs of the stream that an attempt takes up, at all instances. The error is a refusal: nothing of this attempt
// has run.
func (r *Relay) takeOver(ctx context.Context, x *exchange, s *activeStream) error {
	if !x.takesUp() {
		return nil
	}
	began := r.now()
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	result := r.claimEverywhere(claimCtx, r.raiseClaim(s, 0), s)
	for result.RunningEpoch > 0 && !result.Outranked && claimCtx.Err() == nil {
		result = r.claimEverywhere(claimCtx, r.raiseClaim(s, result.RunningEpoch), s)
	}
	m := r.meters.claims
	m.all.Inc(1)
	if result.Superseded > 0 {
		m.endedRun.Inc(1)
	}
	if result.Unanswered > 0 {
		m.unanswered.Inc(1)
	}
	refusal := r.refuseClaim(x, s, result)
	reason := ""
	if refusal != nil {
		m.refused.Inc(1)
		reason = refusal.Reason
	}
	r.log.Info("relay: stream claimed", "request", x.req.ID, "resumes", x.req.Resumes, "last_event", x.req.LastEvent,
		"ended_runs", result.Superseded, "running", result.Running, "unanswered", result.Unanswered, "took", r.now()-began, "refused", reason)
	if refusal != nil {
		return refusal
	}
	return nil
}

// claimEverywhere claims a stream at this and at all other instances.
func (r *Relay) claimEverywhere(ctx context.Context, c takeover.Claim, own *activeStream) takeover.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	elsewhere := make(chan takeover.Result, 1)
	go func() { elsewhere <- r.claimElsewhere(ctx, c) }()
	result := r.claimHere(ctx, c, own, claimTimeout)
	if result.IsContested() {
		cancel()
	}
	return result.Merge(<-elsewhere)
}

// refuseClaim returns the refusal of an attempt that must not run, and nil for others.
func (r *Relay) refuseClaim(x *exchange, s *activeStream, result takeover.Result) *Refusal {
	refusal := &Refusal{Outcome: NotRun, RetryIn: r.retryIn(x)}
	switch {
	case result.IsContested():
		refusal.Reason = "another attempt takes the stream up"
	case result.Running > 0:
		refusal.Reason = "the stream's former run goes on"
	case r.activate(s) != nil:
		refusal.Reason = "another attempt takes the stream up"
	default:
		return nil
	}
	return refusal
}
