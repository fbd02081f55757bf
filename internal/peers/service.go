package peers

import (
	"context"

	"connectrpc.com/connect"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/replica"
)

// service answers the peers' calls.
type service struct {
	exchange *Exchange
}

// Pull implements sfv1connect.ReplicaServiceHandler.
func (s *service) Pull(_ context.Context, req *connect.Request[sfv1.PullRequest]) (*connect.Response[sfv1.PullResponse], error) {
	s.exchange.meet(fromMessage(req.Msg.GetFrom()))
	rows, hold := s.exchange.rows.Since(req.Msg.GetSince())
	reply := &sfv1.PullResponse{Rows: rowsToMessages(rows), HoldMs: uint32(hold.Milliseconds())}
	for _, p := range s.exchange.list() {
		reply.Peers = append(reply.Peers, toMessage(p))
	}
	return connect.NewResponse(reply), nil
}

func toMessage(p Peer) *sfv1.ReplicaPeer {
	return &sfv1.ReplicaPeer{Name: p.Name, Address: p.Address, Zone: p.Zone}
}

func fromMessage(p *sfv1.ReplicaPeer) Peer {
	return Peer{Name: p.GetName(), Address: p.GetAddress(), Zone: p.GetZone()}
}

func rowsToMessages(rows []replica.Row) []*sfv1.ReplicaRow {
	messages := make([]*sfv1.ReplicaRow, len(rows))
	for i, row := range rows {
		messages[i] = &sfv1.ReplicaRow{
			Table: row.Table, Key: row.Key.Key, Value: row.Value, Revision: row.Revision, Deleted: row.Deleted,
		}
	}
	return messages
}

func rowsFromMessages(messages []*sfv1.ReplicaRow) []replica.Row {
	rows := make([]replica.Row, len(messages))
	for i, m := range messages {
		rows[i] = replica.Row{
			Key:   replica.Key{Table: m.GetTable(), Key: m.GetKey()},
			Value: m.GetValue(), Revision: m.GetRevision(), Deleted: m.GetDeleted(),
		}
	}
	return rows
}
