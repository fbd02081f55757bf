package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sassafrasfield/internal/config"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/spread"
)

// wait ends after the period, when the channel is closed, or with the context.
func wait(ctx context.Context, period time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// pollLoop reads the head of the table, with jitter.
func (d *Daemon) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := d.poll(ctx); err != nil {
			d.log.Debug("spread: the table did not answer", "error", err)
		}
		wait(ctx, d.jitter(d.settings.Spread.PollEvery), nil)
	}
}

func (d *Daemon) poll(ctx context.Context) error {
	head, err := d.versions.Head(ctx)
	if err != nil || head.Version <= d.holder.Current().Version {
		return err
	}
	doc, err := d.versions.Load(ctx, head.Version)
	if err != nil {
		return err
	}
	d.learn(doc, "table")
	return nil
}

// learn takes a configuration from any source.
func (d *Daemon) learn(doc *config.Config, source string) {
	if d.holder.Learn(doc) {
		d.log.Info("spread: version learned", "version", doc.Version, "source", source)
	}
}

// jitter spreads a period over half to one and a half of it.
func (d *Daemon) jitter(period time.Duration) time.Duration {
	return period/2 + time.Duration(d.rng.Int64N(int64(period)))
}

// spreadLoop tells a few peers of each version learned.
func (d *Daemon) spreadLoop(ctx context.Context) {
	told := int64(0)
	for ctx.Err() == nil {
		changed := d.holder.Changed()
		if doc := d.holder.Current(); doc.Version > told {
			d.tell(ctx, doc)
			told = doc.Version
		}
		wait(ctx, d.settings.Spread.PollEvery, changed)
	}
}

func (d *Daemon) tell(ctx context.Context, doc *config.Config) {
	group, ctx := errgroup.WithContext(ctx)
	for _, peer := range spread.Choose(d.members.own(), d.settings.Instance, d.settings.Spread.Fanout, d.rng) {
		group.Go(func() error {
			d.offer(ctx, peer, doc)
			return nil
		})
	}
	_ = group.Wait() // offer reports its own errors
}

// offer tells one peer the version's number, and sends the document if the
// peer lacks it.
func (d *Daemon) offer(ctx context.Context, peer platform.Instance, doc *config.Config) {
	client := d.peer(peer.Control)
	request := &sfv1.OfferRequest{From: d.settings.Instance, Version: doc.Version}
	response, err := client.Offer(ctx, connect.NewRequest(request))
	if err == nil && response.Msg.Version < doc.Version {
		request.Document = doc.Encode()
		_, err = client.Offer(ctx, connect.NewRequest(request))
	}
	if err != nil {
		d.log.Debug("spread: a peer did not answer", "peer", peer.ID, "error", err)
	}
}

// peerService answers other sf-control processes.
type peerService struct {
	daemon *Daemon
}

// Offer implements the PeerService.
func (p *peerService) Offer(_ context.Context, req *connect.Request[sfv1.OfferRequest]) (*connect.Response[sfv1.OfferResponse], error) {
	if len(req.Msg.Document) > 0 {
		doc, err := config.Decode(req.Msg.Document)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		p.daemon.learn(doc, "peer "+req.Msg.From)
	}
	return connect.NewResponse(&sfv1.OfferResponse{Version: p.daemon.holder.Current().Version}), nil
}

// Fetch implements the PeerService.
func (p *peerService) Fetch(_ context.Context, req *connect.Request[sfv1.FetchRequest]) (*connect.Response[sfv1.FetchResponse], error) {
	doc := p.daemon.holder.Current()
	response := &sfv1.FetchResponse{Version: doc.Version}
	if doc.Version > req.Msg.Have {
		response.Document = doc.Encode()
	}
	return connect.NewResponse(response), nil
}

// InForce implements the PeerService.
func (p *peerService) InForce(ctx context.Context, _ *connect.Request[sfv1.InForceRequest]) (*connect.Response[sfv1.InForceResponse], error) {
	d := p.daemon
	response := &sfv1.InForceResponse{
		Instance:       d.settings.Instance,
		Zone:           d.settings.Zone,
		ControlVersion: d.holder.Current().Version,
		Leases:         d.leases.heldPools(),
	}
	status, err := d.entry.client.Status(ctx, connect.NewRequest(&sfv1.StatusRequest{}))
	if err != nil {
		if ctx.Err() != nil {
			return nil, errors.WithStack(ctx.Err())
		}
		return connect.NewResponse(response), nil
	}
	response.EntryKnown = true
	response.EntryVersion = status.Msg.Version
	response.EntryReady = status.Msg.Ready
	response.Streams = status.Msg.Streams
	response.Demand = status.Msg.Demand
	return connect.NewResponse(response), nil
}
