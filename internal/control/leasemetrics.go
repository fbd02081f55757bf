package control

import (
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/bootclock"
)

// leaseMetrics count the events of leases. docs/operate/leases-and-orders.md
// says how to react to them.
type leaseMetrics struct {
	taken, lost, released  metrics.Counter
	reads, writes, unknown metrics.Counter
	held                   metrics.Gauge
}

func newLeaseMetrics() *leaseMetrics {
	registry := metrics.DefaultRegistry
	return &leaseMetrics{
		taken:    metrics.GetOrRegisterCounter("lease.taken", registry),
		lost:     metrics.GetOrRegisterCounter("lease.lost", registry),
		released: metrics.GetOrRegisterCounter("lease.released", registry),
		reads:    metrics.GetOrRegisterCounter("lease.reads", registry),
		writes:   metrics.GetOrRegisterCounter("lease.writes", registry),
		unknown:  metrics.GetOrRegisterCounter("lease.unknown_writes", registry),
		held:     metrics.GetOrRegisterGauge("lease.held", registry),
	}
}

// updateHeld sets the gauge of leases held.
func (m *leaseMetrics) updateHeld(machines map[string]*poolLease) {
	held := int64(0)
	for _, p := range machines {
		if _, ok := p.machine.Held(bootclock.Now()); ok {
			held++
		}
	}
	m.held.Update(held)
}

// orderMetrics count the events of orders.
type orderMetrics struct {
	sent, answered, failed, fencedOff, expired metrics.Counter
}

func newOrderMetrics() *orderMetrics {
	registry := metrics.DefaultRegistry
	return &orderMetrics{
		sent:      metrics.GetOrRegisterCounter("order.sent", registry),
		answered:  metrics.GetOrRegisterCounter("order.answered", registry),
		failed:    metrics.GetOrRegisterCounter("order.failed", registry),
		fencedOff: metrics.GetOrRegisterCounter("order.fenced_off", registry),
		expired:   metrics.GetOrRegisterCounter("order.lapsed", registry),
	}
}
