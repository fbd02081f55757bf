package relay

import (
	"context"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// arrivalKind is a kind of send that reached an upstream.
type arrivalKind string

const (
	// sendCall is a call to a plain service.
	sendCall arrivalKind = "call"
	// sendPrefill has a prompt processed and nothing generated.
	sendPrefill arrivalKind = "prefill"
	// sendRun has an answer generated from its start.
	sendRun arrivalKind = "run"
	// sendResume continues an answer of which the caller has a part.
	sendResume arrivalKind = "resume"
	// sendCopy continues an answer on the engine that has a copy of the run.
	sendCopy arrivalKind = "copy"
)

// kindOfRun returns the kind of a send that is not a prefill.
func kindOfRun(s Send) arrivalKind {
	switch {
	case s.continuesAtCopy():
		return sendCopy
	case s.Continues:
		return sendResume
	case s.Prompt:
		return sendRun
	default:
		return sendCall
	}
}

// arrivalMeters counts the sends that reached an upstream.
type arrivalMeters struct {
	all metrics.Counter
	// retries counts the sends that are retries, unpaid those of them that the budget did not grant.
	retries map[arrivalKind]metrics.Counter
	unpaid  metrics.Counter
	// denied counts the sends that were not made because the budget allowed no retry.
	denied metrics.Counter
}

func newArrivalMeters() arrivalMeters {
	m := arrivalMeters{all: counter("arrivals"), unpaid: counter("arrivals_unpaid"), denied: counter("sends_denied"), retries: map[arrivalKind]metrics.Counter{}}
	for _, kind := range []arrivalKind{sendCall, sendPrefill, sendRun, sendResume, sendCopy} {
		m.retries[kind] = counter("arrivals_again_" + string(kind))
	}
	return m
}

// payFor charges a send to the retry budget, unless that was done when the attempt began.
func (r *Relay) payFor(ctx context.Context, req *Request, send Send) error {
	if send.Attempts.PayForSend(ctx, send.Budget, send.Continues, r.now()) {
		return nil
	}
	r.meters.arrivals.denied.Inc(1)
	r.log.Info("relay: retry denied", "request", req.ID, "upstream", send.To.ID, "arrivals", send.Attempts.Ledger().Arrivals())
	return ErrBudgetExhausted
}

// recordArrival counts a send that reached an upstream; err is its result. A send that is a retry is
// logged with what was paid for it.
func (r *Relay) recordArrival(req *Request, send Send, kind arrivalKind, err error) {
	if errors.Is(err, ErrNotSent) {
		return
	}
	ledger := send.Attempts.Ledger()
	before := ledger.Retries()
	ledger.Arrived(kind == sendPrefill && err == nil)
	r.meters.arrivals.all.Inc(1)
	retries, paid := ledger.Retries(), ledger.Paid()
	if retries == before {
		return
	}
	r.meters.arrivals.retries[kind].Inc(1)
	if retries > paid {
		r.meters.arrivals.unpaid.Inc(1)
	}
	r.log.Info("relay: sent again", "request", req.ID, "upstream", send.To.ID, "kind", string(kind),
		"arrivals", ledger.Arrivals(), "retries", retries, "paid", paid, "error", err)
}
