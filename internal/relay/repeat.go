package relay

import (
	"context"

	"github.com/pkg/errors"

	"sassafrasfield/internal/bootclock"
)

// errMayCrash: the engine that began to answer the request crashed, and a part of the prompt has not been served by any
// engine that this instance knows of.
var errMayCrash = errors.New("relay: its engine crashed as it began to answer, and a part of its prompt was never served")

// checkRepeat returns errMayCrash for a request that may crash the next engine as it may have crashed the last one. Of the
// requests that a crash cuts off, most are not concerned: their engine had been answering for longer or not at all, or all
// parts that they share with other requests were served.
func (r *Relay) checkRepeat(ctx context.Context, x *exchange) error {
	if x.crash == nil || !x.crash.justBegun || !r.hasUnservedPart(x) || !x.crash.hasCrashed(ctx) {
		return nil
	}
	r.quarantine.meters.notRepeated.Inc(1)
	r.log.Info("relay: not repeated", "request", x.req.ID, "upstream", x.upstream, "parts", x.promptParts())
	return errMayCrash
}

// hasUnservedPart reports whether a part of the prompt that other requests share was not served lately. The last part
// belongs to the request alone.
func (r *Relay) hasUnservedPart(x *exchange) bool {
	q, parts := r.quarantine, x.req.parts(x.service)
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, part := range parts[:max(0, len(parts)-1)] {
		if _, known := q.table.SinceServed(part, bootclock.Now()); !known {
			return true
		}
	}
	return false
}

// hasCrashed waits for the result, but no longer than one check takes.
func (c *crashCheck) hasCrashed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	select {
	case <-c.done:
		return c.crashed
	case <-ctx.Done():
		return false
	}
}
