package lease_test

import (
	"fmt"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/order"
)

// stepOrder does the next step of an order, as control/orders.go and
// control/deliver.go do. A process can be frozen before each step.
func (w *world) stepOrder(p *process, target int) {
	now := w.clock(p)
	switch p.step {
	case idle:
		w.beginOrder(p, target)
	case reading:
		w.decideOrder(p)
	case journalling:
		w.finishJournal(p, journalled)
	case closing:
		w.finishJournal(p, idle)
	case journalled:
		grant, held := p.machine.Held(now)
		p.continueIf(held && grant.Epoch == p.grant.Epoch, checked)
		p.grant = grant
	case checked:
		p.killAt = p.grant.Until
		p.step = armed
	case armed:
		p.continueIf(now < p.grant.Until-sendGuard, sending)
	case sending:
		w.orders = append(w.orders, sentOrder{from: p, to: p.target, order: p.row.Message()})
		p.step = sent
	case sent:
		if now >= p.grant.Until-sendGuard {
			w.abortSend(p)
		}
	}
}

// continueIf continues with a step, or abandons the order and disarms the timer.
func (p *process) continueIf(ok bool, step int) {
	p.step = step
	if !ok {
		p.step, p.killAt = idle, 0
	}
}

// abortSend resets the connection of an order, then disarms the timer.
func (w *world) abortSend(p *process) {
	w.reset(p)
	p.step, p.killAt = idle, 0
}

func (w *world) beginOrder(p *process, target int) {
	grant, held := p.machine.Held(w.clock(p))
	if !held {
		return
	}
	p.grant, p.target = grant, target
	p.orderCall = w.post(&call{read: orderKey(target)})
	p.step = reading
}

func orderKey(target int) string { return fmt.Sprintf("order%d", target) }

// decideOrder closes the open order, sends it again, or starts a new one.
func (w *world) decideOrder(p *process) {
	if !p.orderCall.served {
		return
	}
	row := p.orderCall.cell.order
	row.Revision = p.orderCall.cell.revision
	row = row.AtEpoch(p.grant.Epoch)
	p.step = journalling
	if row.State == order.StateOpen && row.Settled(w.engines[p.target].status) {
		row.State = order.StateDone
		p.step = closing
	} else {
		id := w.newID()
		want := config.EngineState{Version: fmt.Sprint(w.ids % 2)}
		row = row.Next(p.grant.Epoch, "e", want, id)
	}
	p.row = row
	p.orderCall = w.post(&call{
		checks: map[string]int64{epochKey: p.grant.EpochRevision, orderKey(p.target): row.Revision},
		writes: map[string]cell{orderKey(p.target): {order: row}},
	})
}

func (w *world) finishJournal(p *process, next int) {
	if !p.orderCall.served {
		return
	}
	p.continueIf(p.orderCall.ok, next)
	p.orderCall = nil
}

// failOrderCall ends a process's call for an order without a known outcome.
func (w *world) failOrderCall(p *process) {
	if p.step == reading || p.step == journalling || p.step == closing {
		p.step, p.orderCall = idle, nil
	}
}

// arrive delivers an order to its engine; the reply may be lost.
func (w *world) arrive(i int, replyLost bool) {
	s := w.orders[i]
	w.orders = append(w.orders[:i:i], w.orders[i+1:]...)
	w.engines[s.to].accept(s.order)
	if !replyLost && s.from.step == sent && s.from.row.Fence() == s.order.Fence {
		s.from.step, s.from.killAt = idle, 0
	}
}

// duplicate leaves a late copy of an order in the network if its engine refuses
// old fencing numbers.
func (w *world) duplicate(i int) {
	if s := w.orders[i]; w.engines[s.to].fencing == config.FencingRefuse {
		w.orders = append(w.orders, s)
	}
}
