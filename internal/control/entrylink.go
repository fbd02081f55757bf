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

// entryLink sends the configuration that this process holds to sf-entry on the
// same instance. Each call is also a heartbeat, and tells the entry until when
// it may accept new work.
type entryLink struct {
	holder *gossip.Holder
	client sfv1connect.EntryServiceClient
	// entries returns the number of live entries; 0 if it is not known.
	entries func() int
	log     *slog.Logger

	// The fields below are used only by the entry loop.

	// entryVersion is the version in force in the entry's last answer.
	entryVersion int64
	// clock is the entry's own clock in its last answer, and 0 if there is none.
	// clockAt is this process's clock when that answer arrived.
	clock   int64
	clockAt time.Duration
	// countSent is set once the entry has got the number of entries, for as long as it has the version in force.
	countSent bool
}

func newEntryLink(holder *gossip.Holder, entries func() int, address string, client *http.Client, options []connect.ClientOption, log *slog.Logger) *entryLink {
	return &entryLink{
		holder:  holder,
		client:  sfv1connect.NewEntryServiceClient(client, "http://"+address, options...),
		entries: entries,
		log:     log,
	}
}

// sendCount tells the entry how many entries there are, and reports whether that is done. An entry that has just started
// takes itself for the only one.
func (l *entryLink) sendCount(ctx context.Context) bool {
	entries := l.entries()
	if entries == 0 {
		return false
	}
	_, err := l.client.Share(ctx, connect.NewRequest(&sfv1.ShareRequest{Entries: int32(entries)}))
	if err != nil {
		l.log.Debug("entry: sf-entry did not answer", "error", err)
	}
	return err == nil
}

// apply sends the newest version, and its document if the entry does not have
// it. It returns false if the entry's clock was not known: the call could then
// not say until when the version is fresh, and the caller repeats it.
func (l *entryLink) apply(ctx context.Context, draining []string, status freshness.Status) bool {
	doc := l.holder.Current()
	if doc.Version == 0 {
		return true
	}
	request := &sfv1.ApplyRequest{Version: doc.Version, Leaving: draining, Clock: l.clock, StaleReason: status.Reason}
	if l.entryVersion != doc.Version {
		request.Document = l.holder.Encoded()
		l.countSent = false
	}
	if !l.countSent {
		l.countSent = l.sendCount(ctx) // before the entry serves
	}
	if l.clock != 0 && status.Fresh {
		request.FreshForNs = int64(status.Until - l.clockAt)
	}
	response, err := l.client.Apply(ctx, connect.NewRequest(request))
	if err != nil {
		l.entryVersion = 0
		l.log.Debug("entry: sf-entry did not answer", "error", err)
		return true
	}
	if response.Msg.Version != l.entryVersion {
		l.log.Info("entry: version in force", "version", response.Msg.Version)
	}
	l.entryVersion = response.Msg.Version
	l.clock, l.clockAt = response.Msg.Clock, bootclock.Now()
	return request.Clock != 0
}

const (
	// drainingTimeout is how long after its start an sf-control waits for the
	// draining upstreams before it first calls its entry. After that it does so
	// without them, because the platform may have lost only the instance list.
	drainingTimeout = 3 * time.Second
	// drainingCheckInterval is the time between two checks whether they are known.
	drainingCheckInterval = 10 * time.Millisecond
)

// awaitDraining waits until the draining upstreams are known. Each call replaces
// those that the entry knows.
func (d *Daemon) awaitDraining(ctx context.Context) {
	end := bootclock.Now() + drainingTimeout
	for ctx.Err() == nil && !d.spread.knowsDraining() && bootclock.Now() < end {
		wait(ctx, drainingCheckInterval, nil)
	}
}

// entryLoop calls apply when the version changes, and otherwise every
// spread.apply_every.
func (d *Daemon) entryLoop(ctx context.Context) {
	d.awaitDraining(ctx)
	for ctx.Err() == nil {
		changed := d.holder.Changed()
		if !d.entry.apply(ctx, d.spread.drainingUpstreams(), d.spread.status()) {
			continue // repeat now that the entry's clock is known
		}
		wait(ctx, d.settings.Spread.ApplyEvery, changed)
	}
}
