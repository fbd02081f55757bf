package relay

import (
	"context"
	"math"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/picture"
	"sassafrasfield/internal/quota"
)

// limitMeters count what became of upstreams' limits.
type limitMeters struct {
	// learned, changed and ended count the limits, unread the words that could not be read.
	learned, changed, ended, unread metrics.Counter
}

func newLimitMeters() limitMeters {
	return limitMeters{
		learned: counter("limits_learned"), changed: counter("limits_changed"), ended: counter("limits_ended"),
		unread: counter("limits_unread"),
	}
}

// limitedSender has all that is sent to upstreams pass the limits that they announce.
type limitedSender struct {
	Sender
	relay *Relay
}

// Send implements Sender.
func (s limitedSender) Send(ctx context.Context, req *Request, send Send) (*Reply, error) {
	s.watch(&send)
	return s.Sender.Send(ctx, req, send)
}

// Prefill implements Sender.
func (s limitedSender) Prefill(ctx context.Context, req *Request, send Send) (KV, picture.Load, error) {
	s.watch(&send)
	return s.Sender.Prefill(ctx, req, send)
}

// watch has the relay hear what the answer says of the upstream's limit.
func (s limitedSender) watch(send *Send) {
	to := send.To
	send.Announced = func(a quota.Announcement, err error) { s.relay.noteAnnounced(to, a, err) }
}

// noteAnnounced takes what an upstream's answer says of its limit.
func (r *Relay) noteAnnounced(from picture.Upstream, a quota.Announcement, err error) {
	if err != nil {
		r.meters.limits.unread.Inc(1)
		r.log.Info("relay: an upstream's limit cannot be read, what was known stands", "upstream", from.ID, "error", err)
		return
	}
	if change, ok := r.picture.Announced(from, a, r.now()); ok {
		r.showLimit(change)
	}
}

// showLimit writes the line on a limit that was learned, changed or ended.
func (r *Relay) showLimit(c quota.Change) {
	what, count := "changed", r.meters.limits.changed
	switch {
	case math.IsInf(c.Before, 1):
		what, count = "learned", r.meters.limits.learned
	case math.IsInf(c.Rate, 1):
		what, count = "ended", r.meters.limits.ended
	}
	count.Inc(1)
	r.log.Info("relay: upstream's limit "+what, "upstream", r.picture.NameOf(c.Upstream), "per_second", c.Rate,
		"before", c.Before, "source", c.Scope.String(), "age", c.Age)
}
