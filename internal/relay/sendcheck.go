package relay

import (
	"github.com/pkg/errors"

	"sassafrasfield/internal/ownlink"
)

// errKeyRevoked: the organisation's key was revoked while the request was in progress.
var errKeyRevoked = errors.New("relay: the API key was revoked")

// impairedError: requests do not reach upstreams because of this instance's own link, or the
// instance cannot know which upstreams are draining.
type impairedError struct {
	reason ownlink.Impairment
}

func (e impairedError) Error() string { return "relay: " + string(e.reason) }

// refuseUnauthenticated returns the refusal of a request without a known API key on a route that
// requires one.
func refuseUnauthenticated() error {
	return &Refusal{Outcome: Unauthenticated, Reason: "no API key that is known"}
}

// checkSend returns why a request must not be sent now: its content or a part of its prompt is quarantined, its key was
// revoked, or this instance is impaired, cannot forward it, and the answer has not begun. It is called before each
// send, because a prefill or a retry may take place seconds after the request arrived.
func (r *Relay) checkSend(x *exchange) error {
	if subject, blocked := r.quarantine.blockedBy(x); blocked {
		return quarantinedError{subject}
	}
	if x.status == 0 {
		if reason := r.Impairment(); reason != "" && !(blamesLink(reason) && r.canForward(x)) {
			return impairedError{reason}
		}
	}
	table, _ := r.upstreams.Routes(r.now())
	identity, known := table.Identify(x.route, x.req.Credential)
	if !known {
		return errKeyRevoked
	}
	x.identity = identity
	return nil
}

// refuse returns the refusal of a request that must not be sent and has not run, and nil for
// others.
func (r *Relay) refuse(x *exchange) error {
	var impaired impairedError
	var quarantined quarantinedError
	switch err := r.checkSend(x); {
	case err == nil:
		return nil
	case errors.Is(err, errKeyRevoked):
		return refuseUnauthenticated()
	case errors.As(err, &impaired):
		refusal := refuseImpaired(impaired.reason, r.retryIn(x))
		refusal.Elsewhere = x.forwarded
		return refusal
	case errors.As(err, &quarantined):
		return r.refuseQuarantined(x, quarantined)
	default:
		return err
	}
}
