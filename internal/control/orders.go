package control

import (
	"context"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sassafrasfield/internal/failpoint"
	"sassafrasfield/internal/order"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/rollout"
)

// readOrdersForHolder returns the journal of a pool by engine as the current
// lease holder must treat it: open orders of earlier epochs count as not sent.
func (d *Daemon) readOrdersForHolder(ctx context.Context, pool string) (map[string]order.Row, error) {
	auth, held := d.leases.held(pool)
	if !held {
		return nil, errors.Errorf("order: the lease of pool %s has expired", pool)
	}
	orders, err := d.readJournal(ctx, pool)
	if err != nil {
		return nil, err
	}
	for engineID, row := range orders {
		orders[engineID] = row.AtEpoch(auth.epoch)
	}
	return orders, nil
}

// readJournal returns the journal of a pool by engine as stored. It needs no
// lease.
func (d *Daemon) readJournal(ctx context.Context, pool string) (map[string]order.Row, error) {
	rows, err := d.platform.List(ctx, order.KeyPrefix(pool))
	if err != nil {
		return nil, err
	}
	orders := map[string]order.Row{}
	for _, row := range rows {
		decoded, err := order.Decode(row.Value, row.Revision)
		if err != nil {
			return nil, err
		}
		orders[decoded.Engine] = decoded
	}
	return orders, nil
}

// sendOrder journals an order and sends it. If an order is open already, that
// one is sent again, even if another state is wanted now.
func (d *Daemon) sendOrder(ctx context.Context, pool string, auth authority, view rollout.View, send rollout.SendOrder) error {
	row := view.Orders[send.Engine].Next(auth.epoch, send.Engine, send.Want, uuid.NewString())
	if err := d.writeOrder(ctx, pool, auth, row); err != nil {
		return err
	}
	failpoint.Hit("control.order.after_journal")
	return d.deliver(ctx, pool, auth, view.Config.Engine(send.Engine), row)
}

// writeOrder writes a journal row. The transaction checks the epoch, and that
// the row has not changed since it was read. So neither an older holder nor a
// stale read can overwrite an open order. A write whose outcome remains unknown
// is an error; the next step finds the row or writes it again with the same
// checks.
func (d *Daemon) writeOrder(ctx context.Context, pool string, auth authority, row order.Row) error {
	row.WriteID = uuid.NewString()
	key := order.Key(pool, row.Engine)
	_, err := d.platform.Commit(ctx, platform.Txn{
		Checks: []platform.Check{auth.epochCheck(pool), {Key: key, Revision: row.Revision}},
		Writes: []platform.Write{{Key: key, Value: row.Encode()}},
	})
	if errors.Is(err, platform.ErrUnknown) && d.wasWritten(ctx, key, row.WriteID) {
		return nil
	}
	return err
}

// wasWritten reads a journal row again and reports whether it has the ID of a
// write.
func (d *Daemon) wasWritten(ctx context.Context, key, writeID string) bool {
	row, err := d.platform.Get(ctx, key)
	if err != nil {
		return false
	}
	read, err := order.Decode(row.Value, row.Revision)
	return err == nil && read.WriteID == writeID
}
