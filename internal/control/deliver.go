package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/failpoint"
	"sassafrasfield/internal/order"
	"sassafrasfield/internal/selfkill"
)

// deliver sends a journalled order within the term of the lease. During the
// send, a kernel timer is armed that kills this process at the end of the term
// (see usesKillTimer). So a process that is frozen during the send is killed,
// and its socket reset, before another process can hold the lease. A process that
// is not frozen aborts the send before the term ends, and disarms the timer.
func (d *Daemon) deliver(ctx context.Context, pool string, auth authority, to *config.Engine, row order.Row) error {
	until, done, err := d.leases.startSending(pool, auth)
	if err != nil {
		d.orders.expired.Inc(1)
		return err
	}
	defer done()
	if d.usesKillTimer(to) {
		timer, err := selfkill.Arm(until)
		if err != nil {
			return errors.WithMessage(err, "order: not sent")
		}
		defer d.disarm(timer)
	}
	// This check must come after the timer is armed: from here on, either the
	// send ends within the term or the process is killed.
	left := until - d.settings.Lease.SendGuard - bootclock.Now()
	if left <= 0 {
		d.orders.expired.Inc(1)
		return errors.Errorf("order: the lease term of pool %s is about to end", pool)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	return d.send(ctx, to, row)
}

// usesKillTimer reports whether the kill timer is armed during sends to an
// engine.
func (d *Daemon) usesKillTimer(to *config.Engine) bool {
	return d.settings.Lease.KillTimer == killTimerAll || to.Fencing == config.FencingIgnore
}

func (d *Daemon) disarm(timer *selfkill.Timer) {
	if err := timer.Disarm(); err != nil {
		d.log.Error("order: the kill timer could not be disarmed", "error", err)
	}
}

// send sends one order and counts its result.
func (d *Daemon) send(ctx context.Context, to *config.Engine, row order.Row) error {
	log := d.log.With("engine", to.ID, "order", row.ID, "epoch", row.Epoch)
	failpoint.Hit("control.order.before_send")
	d.orders.sent.Inc(1)
	started := time.Now()
	_, err := d.engineAt(to.Address).Order(ctx, row.Message())
	failpoint.Hit("control.order.after_send")
	switch {
	case err == nil:
		d.orders.answered.Inc(1)
		log.Info("order: sent", "took", time.Since(started))
	case errors.Is(err, engine.ErrFenced):
		d.orders.fencedOff.Inc(1)
		log.Warn("order: refused by the engine, its fencing number is too old")
	default:
		d.orders.failed.Inc(1)
		log.Info("order: no answer", "error", err)
	}
	return err
}
