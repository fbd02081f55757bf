package peers

import (
	"context"

	"connectrpc.com/connect"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/replica"
)

// service handles the peers' calls.
type service struct {
	exchange *Exchange
}

// Pull implements sfv1connect.ReplicaServiceHandler.
func (s *service) Pull(_ context.Context, req *connect.Request[sfv1.PullRequest]) (*connect.Response[sfv1.PullResponse], error) {
	from := fromMessage(req.Msg.GetFrom())
	s.exchange.addPeer(from)
	rows, hold := s.exchange.rows.Since(replica.State{Revisions: req.Msg.GetSince(), Digests: req.Msg.GetDigests()})
	messages, bookmarks := rowsToMessages(rows)
	reply := &sfv1.PullResponse{Rows: messages, Bookmarks: bookmarks, HoldMs: uint32(hold.Milliseconds()), Informed: s.exchange.rows.LoadedTables()}
	if limits := s.exchange.currentLimits(); limits != nil {
		reply.Limits = limitsToMessages(limits.Limits())
	}
	if req.Msg.GetWantsPeers() {
		reply.Peers = peersToMessages(s.exchange.contactsFor(from.Zone))
	}
	return connect.NewResponse(reply), nil
}
