package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasfield/internal/upstreamstate"
)

// reachTimeout bounds the check whether an upstream is reached. A round trip takes some 2 ms.
const reachTimeout = 400 * time.Millisecond

// answeredSince reports whether an upstream has answered since a time.
func (r *Relay) answeredSince(since time.Duration) bool {
	last := time.Duration(r.lastAnswer.Load())
	return last > 0 && last >= since
}

// reaches reports whether a connection to an upstream can be established.
func (r *Relay) reaches(ctx context.Context, to upstreamstate.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	refused, err := r.sender.Crashed(ctx, to, "")
	return err == nil && !refused
}

// reachesAnother reports whether this instance has reached an upstream other than the given one since a time. It
// tells whether an upstream that refuses connections has crashed, or the path to it is lost.
func (r *Relay) reachesAnother(ctx context.Context, than upstreamstate.Upstream, since time.Duration) bool {
	const attempts = 8
	if r.answeredSince(since) {
		return true
	}
	others := r.otherUpstreams(than)
	for _, other := range others[:min(attempts, len(others))] {
		if r.reaches(ctx, other) {
			return true
		}
	}
	return len(others) == 0 // nothing to compare with
}

// otherUpstreams returns the upstreams of all services at other addresses than that of the given one, in random
// order.
func (r *Relay) otherUpstreams(than upstreamstate.Upstream) []upstreamstate.Upstream {
	list := slices.DeleteFunc(r.upstreams.AllUpstreams(), func(u upstreamstate.Upstream) bool { return u.Address == than.Address })
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
