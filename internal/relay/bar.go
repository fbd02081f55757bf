package relay

import (
	"github.com/pkg/errors"

	"sassafrasfield/internal/ownlink"
)

// errKeyRevoked: the organisation's key was taken away while the request was on its way.
var errKeyRevoked = errors.New("relay: the API key is not known any more")

// troubleError: the instance's own link is to blame that nothing reaches upstreams, or it
// cannot know which ones leave.
type troubleError struct {
	why ownlink.Trouble
}

func (e troubleError) Error() string { return "relay: " + string(e.why) }

// refuseKey is the refusal of a request whose route asks for a key that it does not bear.
func refuseKey() error { return &Refusal{Outcome: Unauthenticated, Reason: "no API key that is known"} }

// bar returns why a request must not be sent on now: upstreams ended under its content, its
// key was revoked, or this instance is in trouble, unless its answer has begun. It is
// asked before each send, as prompts and second tries may be seconds after the request came.
func (r *Relay) bar(x *exchange) error {
	if r.isApart(x) {
		return errApart
	}
	if x.status == 0 {
		if why := r.Trouble(); why != "" {
			return troubleError{why}
		}
	}
	table, _ := r.picture.Routes(r.now())
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
	var trouble troubleError
	switch err := r.bar(x); {
	case err == nil:
		return nil
	case errors.Is(err, errKeyRevoked):
		return refuseKey()
	case errors.As(err, &trouble):
		return refuseTroubled(trouble.why, r.retryIn(x))
	default:
		return r.refuseApart(x)
	}
}
