package control

import (
	"context"

	"connectrpc.com/connect"

	"sassafrasfield/internal/config"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gossip"
)

// offerVersion sends the number of the held version to a peer.
func (s *spreader) offerVersion(ctx context.Context, peer string) {
	s.metrics.offers.Inc(1)
	request := &sfv1.OfferRequest{From: s.daemon.settings.Instance, Version: s.daemon.holder.Current().Version}
	if version, ok := s.callOffer(ctx, peer, request); ok {
		s.onPeerVersion(peer, version)
	}
}

// sendUpdate sends the held version to a peer that has an older one. It sends
// deltas, or the whole document if this process does not have the deltas or
// they do not apply at the peer.
func (s *spreader) sendUpdate(ctx context.Context, peer string, have int64) {
	update := s.daemon.holder.UpdateSince(have)
	if len(update.Deltas) > 0 {
		s.metrics.deltas.Inc(1)
		request := &sfv1.OfferRequest{From: s.daemon.settings.Instance, Version: update.Version, Deltas: update.Deltas, Sum: update.Sum}
		version, ok := s.callOffer(ctx, peer, request)
		if !ok || version >= update.Version {
			return
		}
	}
	s.metrics.documents.Inc(1)
	doc := s.daemon.holder.UpdateSince(0)
	s.callOffer(ctx, peer, &sfv1.OfferRequest{From: s.daemon.settings.Instance, Version: doc.Version, Document: doc.Document})
}

func (s *spreader) callOffer(ctx context.Context, peer string, request *sfv1.OfferRequest) (version int64, ok bool) {
	ctx, cancel := s.peerContext(ctx)
	defer cancel()
	response, err := s.daemon.peer(peer).Offer(ctx, connect.NewRequest(request))
	if err != nil {
		s.peerFailed(peer, err)
		return 0, false
	}
	return response.Msg.Version, true
}

// fetchUpdate requests an update of the held version from a peer, and the whole
// document if the answer can't be applied.
func (s *spreader) fetchUpdate(ctx context.Context, peer string) {
	have := s.daemon.holder.Current().Version
	msg, ok := s.callFetch(ctx, peer, have)
	if !ok {
		return
	}
	err := s.daemon.applyUpdate(msg.Document, msg.Deltas, msg.Sum, "peer at "+peer)
	if err != nil && have > 0 {
		if msg, ok = s.callFetch(ctx, peer, 0); ok {
			err = s.daemon.applyUpdate(msg.Document, nil, 0, "peer at "+peer)
		}
	}
	if err != nil {
		s.peerFailed(peer, err)
	}
}

func (s *spreader) callFetch(ctx context.Context, peer string, have int64) (*sfv1.FetchResponse, bool) {
	ctx, cancel := s.peerContext(ctx)
	defer cancel()
	response, err := s.daemon.peer(peer).Fetch(ctx, connect.NewRequest(&sfv1.FetchRequest{Have: have}))
	if err != nil {
		s.peerFailed(peer, err)
		return nil, false
	}
	return response.Msg, true
}

// applyUpdate adopts a version that a peer sent as the whole document, or as
// deltas to the held version.
func (d *Daemon) applyUpdate(document []byte, deltas [][]byte, sum uint64, source string) error {
	switch {
	case len(document) > 0:
		doc, err := config.Decode(document)
		if err != nil {
			return err
		}
		d.adoptConfig(doc, source)
	case len(deltas) > 0:
		doc, err := gossip.ApplyAll(d.holder.Current(), deltas, sum)
		if err != nil {
			return err
		}
		d.adoptConfig(doc, source)
	}
	return nil
}
