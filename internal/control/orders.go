package control

import (
	"context"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sassafrasfield/internal/order"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/rollout"
)

func (d *Daemon) readOrders(ctx context.Context, pool string) (map[string]order.Row, error) {
	rows, err := d.platform.List(ctx, order.KeyPrefix(pool))
	if err != nil {
		return nil, err
	}
	orders := map[string]order.Row{}
	for _, row := range rows {
		decoded, err := order.Decode(row.Value)
		if err != nil {
			return nil, err
		}
		orders[decoded.Engine] = decoded
	}
	return orders, nil
}

// sendOrder journals the order before it is sent, in a transaction that checks
// the epoch.
func (d *Daemon) sendOrder(ctx context.Context, pool string, auth authority, view rollout.View, send rollout.SendOrder) error {
	row, open := view.Orders[send.Engine]
	if !open || row.State != order.StateOpen {
		row = order.Row{ID: uuid.NewString(), Engine: send.Engine, Want: send.Want, State: order.StateOpen}
	}
	row.Epoch = auth.epoch
	if err := d.writeOrder(ctx, pool, auth, row); err != nil {
		return err
	}
	if _, held := d.leases.held(pool); !held {
		return errors.Errorf("rollout: the lease of %s has lapsed", pool)
	}
	d.log.Info("rollout: order sent", "engine", send.Engine, "order", row.ID, "epoch", row.Epoch)
	_, err := d.engineAt(view.Config.Engine(send.Engine).Address).Order(ctx, row.Message())
	return err
}

func (d *Daemon) writeOrder(ctx context.Context, pool string, auth authority, row order.Row) error {
	row.WriteID = uuid.NewString()
	_, err := d.platform.Commit(ctx, platform.Txn{
		Checks: []platform.Check{auth.check(pool)},
		Writes: []platform.Write{{Key: order.Key(pool, row.Engine), Value: row.Encode()}},
	})
	return err
}
