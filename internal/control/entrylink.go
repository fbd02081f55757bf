package control

import (
	"context"
	"log/slog"
	"net/http"

	"connectrpc.com/connect"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/spread"
)

// entryLink keeps sf-entry of the same instance at the version that this
// process holds. Each call is a heartbeat too: an entry that hears none for
// long takes no new work.
type entryLink struct {
	holder *spread.Holder
	client sfv1connect.EntryServiceClient
	log    *slog.Logger
	// inForce is the version that the entry answered last; used by the entry
	// loop alone.
	inForce int64
}

func newEntryLink(holder *spread.Holder, address string, client *http.Client, options []connect.ClientOption, log *slog.Logger) *entryLink {
	return &entryLink{
		holder: holder,
		client: sfv1connect.NewEntryServiceClient(client, "http://"+address, options...),
		log:    log,
	}
}

// apply sends the newest version, and its document when the entry lacks it.
func (l *entryLink) apply(ctx context.Context, leaving []string) {
	doc := l.holder.Current()
	if doc.Version == 0 {
		return
	}
	request := &sfv1.ApplyRequest{Version: doc.Version, Leaving: leaving}
	if l.inForce != doc.Version {
		request.Document = doc.Encode()
	}
	response, err := l.client.Apply(ctx, connect.NewRequest(request))
	if err != nil {
		l.inForce = 0
		l.log.Debug("entry: no answer", "error", err)
		return
	}
	if response.Msg.Version != l.inForce {
		l.log.Info("entry: version in force", "version", response.Msg.Version)
	}
	l.inForce = response.Msg.Version
}

func (d *Daemon) entryLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.holder.Changed()
		d.entry.apply(ctx, d.members.leavingUpstreams())
		wait(ctx, d.settings.Spread.ApplyEvery, changed)
	}
}
