package relay

import "sassafrasfield/internal/upstreamstate"

// slowFrom is the factor from which an upstream counts as slow in logs.
const slowFrom = 1.5

// recordSlowness records a call that is sent to an upstream although work takes long there, as the others have more
// requests or are slow too.
func (r *Relay) recordSlowness(req *Request, to upstreamstate.Upstream) {
	factor := r.upstreams.Slowness(to.ID, r.now())
	if factor < slowFrom {
		return
	}
	r.meters.slowCalls.Inc(1)
	r.log.Info("relay: call sent to slow upstream", "request", req.ID, "upstream", to.ID, "factor", factor)
}
