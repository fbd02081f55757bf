package control

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/freshness"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/gossip"
)

// entryLink keeps sf-entry of the same instance at the version that this
// process holds. Each call is a heartbeat too, and tells how long the entry may
// take new work.
type entryLink struct {
	holder *gossip.Holder
	client sfv1connect.EntryServiceClient
	log    *slog.Logger

	// All below is used by the entry loop alone.

	// inForce is the version that the entry answered last.
	entryVersion int64
	// clock is the entry's clock of its last answer, which came before clockAt
	// by the clock of this process. 0 for none.
	clock   int64
	clockAt time.Duration
}

func newEntryLink(holder *gossip.Holder, address string, client *http.Client, options []connect.ClientOption, log *slog.Logger) *entryLink {
	return &entryLink{
		holder: holder,
		client: sfv1connect.NewEntryServiceClient(client, "http://"+address, options...),
		log:    log,
	}
}

// apply sends the newest version, and its document when the entry lacks it.
// It tells whether the entry has heard how long the version is good for.
func (l *entryLink) apply(ctx context.Context, leaving []string, status freshness.Status) bool {
	doc := l.holder.Current()
	if doc.Version == 0 {
		return true
	}
	request := &sfv1.ApplyRequest{Version: doc.Version, Leaving: leaving, Clock: l.clock, StaleReason: status.Reason}
	if l.entryVersion != doc.Version {
		request.Document = l.holder.Encoded()
	}
	if l.clock != 0 && status.Fresh {
		request.FreshForNs = int64(status.Until - l.clockAt)
	}
	response, err := l.client.Apply(ctx, connect.NewRequest(request))
	if err != nil {
		l.entryVersion = 0
		l.log.Debug("entry: no answer", "error", err)
		return true
	}
	if response.Msg.Version != l.entryVersion {
		l.log.Info("entry: version in force", "version", response.Msg.Version)
	}
	l.entryVersion = response.Msg.Version
	l.clock, l.clockAt = response.Msg.Clock, bootclock.Now()
	return request.Clock != 0
}

func (d *Daemon) entryLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.holder.Changed()
		if !d.entry.apply(ctx, d.spread.drainingUpstreams(), d.spread.status()) {
			continue // the entry's clock is known now
		}
		wait(ctx, d.settings.Spread.ApplyEvery, changed)
	}
}
