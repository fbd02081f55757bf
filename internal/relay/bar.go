package relay

import "github.com/pkg/errors"

// errKeyRevoked: the organisation's key was taken away while the request was on its way.
var errKeyRevoked = errors.New("relay: the API key is not known any more")

// refuseKey is the refusal of a request whose route asks for a key that it does not bear.
func refuseKey() error { return &Refusal{Word: NoKey, Reason: "no API key that is known"} }

// bar returns why a request must not be sent on now: upstreams ended under its content, or
// its key was revoked. It is asked before each send, as prompts and second tries may be
// seconds after the request came.
func (r *Relay) bar(x *exchange) error {
	if r.isApart(x) {
		return errApart
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
	switch err := r.bar(x); {
	case err == nil:
		return nil
	case errors.Is(err, errKeyRevoked):
		return refuseKey()
	default:
		return r.refuseApart(x)
	}
}
