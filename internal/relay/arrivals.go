package relay

import (
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
}

func newArrivalMeters() arrivalMeters {
	m := arrivalMeters{all: counter("arrivals"), unpaid: counter("arrivals_unpaid"), retries: map[arrivalKind]metrics.Counter{}}
	for _, kind := range []arrivalKind{sendCall, sendPrefill, sendRun, sendResume, sendCopy} {
		m.retries[kind] = counter("arrivals_again_" + string(kind))
	}
	return m
}

// recordArrival counts a send that reached an upstream; err is its result. A send that is a retry is
// logged with what was paid for it.
func (r *Relay) recordArrival(req *Request, send Send, kind arrivalKind, err error) {
	if errors.Is(err, ErrNotSent) || send.Ledger == nil {
		return
	}
	before := send.Ledger.Retries()
	send.Ledger.Arrived(kind == sendPrefill && err == nil)
	r.meters.arrivals.all.Inc(1)
	retries, paid := send.Ledger.Retries(), send.Ledger.Paid()
	if retries == before {
		return
	}
	r.meters.arrivals.retries[kind].Inc(1)
	if retries > paid {
		r.meters.arrivals.unpaid.Inc(1)
	}
	r.log.Info("relay: sent again", "request", req.ID, "upstream", send.To.ID, "kind", string(kind),
		"arrivals", send.Ledger.Arrivals(), "retries", retries, "paid", paid, "error", err)
}
