package control

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gossip"
)

// peerService serves other sf-control processes.
type peerService struct {
	daemon *Daemon
}

// Offer implements the PeerService.
func (p *peerService) Offer(_ context.Context, req *connect.Request[sfv1.OfferRequest]) (*connect.Response[sfv1.OfferResponse], error) {
	err := p.daemon.applyUpdate(req.Msg.Document, req.Msg.Deltas, req.Msg.Sum, "peer "+req.Msg.From)
	if errors.Is(err, gossip.ErrBaseMismatch) {
		return connect.NewResponse(&sfv1.OfferResponse{Version: p.daemon.holder.Current().Version}), nil
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	version := p.daemon.spread.onOffer(req.Msg.Version)
	return connect.NewResponse(&sfv1.OfferResponse{Version: version}), nil
}

// Fetch implements the PeerService.
func (p *peerService) Fetch(_ context.Context, req *connect.Request[sfv1.FetchRequest]) (*connect.Response[sfv1.FetchResponse], error) {
	if p.daemon.holder.Current().Version <= req.Msg.Have {
		return connect.NewResponse(&sfv1.FetchResponse{Version: p.daemon.holder.Current().Version}), nil
	}
	update := p.daemon.holder.UpdateSince(req.Msg.Have)
	return connect.NewResponse(&sfv1.FetchResponse{
		Version: update.Version, Document: update.Document, Deltas: update.Deltas, Sum: update.Sum,
	}), nil
}

// Exchange implements the PeerService.
func (p *peerService) Exchange(_ context.Context, req *connect.Request[sfv1.ExchangeRequest]) (*connect.Response[sfv1.ExchangeResponse], error) {
	p.daemon.notePeer(req.Msg)
	return connect.NewResponse(p.daemon.spread.exchangeResponse(req.Msg)), nil
}

// Prepare implements the PeerService.
func (p *peerService) Prepare(_ context.Context, req *connect.Request[sfv1.PrepareRequest]) (*connect.Response[sfv1.PrepareResponse], error) {
	p.daemon.spread.prepare(req.Msg.Version)
	return connect.NewResponse(&sfv1.PrepareResponse{}), nil
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
