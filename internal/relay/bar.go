package relay

import (
	"github.com/pkg/errors"

	"sassafrasfield/internal/ownlink"
)

// errKeyRevoked: the organisation's key was taken away while the request was on its way.
var errKeyRevoked = errors.New("relay: the API key is not known any more")

// impairedError: the instance's own link is to blame that nothing reaches upstreams, or it
// cannot know which ones leave.
type impairedError struct {
	reason ownlink.Trouble
}

func (e impairedError) Error() string { return "relay: " + string(e.reason) }

// refuseUnauthenticated is the refusal of a request whose route asks for a key that it does not bear.
func refuseUnauthenticated() error {
	return &Refusal{Outcome: Unauthenticated, Reason: "no API key that is known"}
}

// checkSend returns why a request must not be sent on now: upstreams ended under its content, its
// key was revoked, or this instance is in trouble, unless its answer has begun. It is
// asked before each send, as prompts and second tries may be seconds after the request came.
func (r *Relay) checkSend(x *exchange) error {
	if r.isQuarantined(x) {
		return errQuarantined
	}
	if x.status == 0 {
		if why := r.Trouble(); why != "" {
			return impairedError{why}
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

// refuse returns the refusal of a request that must not be sent on and has not run; nil
// for others.
func (r *Relay) refuse(x *exchange) error {
	var trouble impairedError
	switch err := r.checkSend(x); {
	case err == nil:
		return nil
	case errors.Is(err, errKeyRevoked):
		return refuseUnauthenticated()
	case errors.As(err, &trouble):
		return refuseImpaired(trouble.reason, r.retryIn(x))
	default:
		return r.refuseQuarantined(x)
	}
}
