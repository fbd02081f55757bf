package relay

import "net/http"

// meansNotRun reports whether a status tells callers that their request has not run and will not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// withhold returns the refusal of a request whose answer must not be passed on, and nil for others. An upstream that does
// not state that it ran nothing may have run the request, whatever its status. Callers send requests of all kinds again
// after a status that means that nothing ran.
func (r *Relay) withhold(x *exchange, reply *Reply) error {
	if isRepeatable(x.route) || !meansNotRun(reply.Status) {
		return nil
	}
	r.meters.withheld.Inc(1)
	r.log.Info("relay: answer withheld", "request", x.req.ID, "upstream", x.upstream, "via", x.via, "status", reply.Status, "outcome", "may have run")
	return &Refusal{Outcome: Unknown, Reason: "the upstream's status means that it did not run"}
}
