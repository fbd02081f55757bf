package model

import (
	"time"

	"sassafrasfield/internal/upstreamstate"
)

// Intervals of the reports between instances, as in package fanout. On average, a change waits for half of
// the interval until it is sent, as it does in a hub for the next batch. Zones report to each other at
// zoneReportFactor times the interval.
const (
	defaultReportEvery = 100 * time.Millisecond
	zoneReportFactor   = 2
)

// delivery is a report in transit.
type delivery struct {
	deliverAt time.Duration
	to        *instance
	source    string
	report    upstreamstate.Report
}

// exchangeReports exchanges the reports of the instances: each instance reports to its zone, the hubs report
// their zones to each other, and each hub relays the reports of the other zones to its zone.
func (r *run) exchangeReports() {
	r.deliver()
	every := r.policy.reportEvery()
	if r.now%every != 0 {
		return
	}
	for _, from := range r.instances {
		r.sendOwnReport(from)
	}
	if r.now%(zoneReportFactor*every) == 0 {
		r.sendZoneReports()
	}
	r.deliver()
	for _, hub := range r.hubs() {
		r.sendOtherZonesReport(hub)
	}
	r.deliver()
}

// sendZoneReports sends each hub's report of its zone to the other hubs.
func (r *run) sendZoneReports() {
	for _, hub := range r.hubs() {
		report := hub.state.ZoneReport(r.now)
		for _, to := range r.hubs() {
			if to != hub {
				r.sendReport(to, "zone "+hub.zone, report)
			}
		}
	}
}

// hubs returns the hub of each zone, which is its first instance.
func (r *run) hubs() []*instance {
	var hubs []*instance
	seen := map[string]bool{}
	for _, in := range r.instances {
		if !seen[in.zone] {
			seen[in.zone] = true
			hubs = append(hubs, in)
		}
	}
	return hubs
}

// sendOwnReport sends an instance's report of itself to the other instances of its zone.
func (r *run) sendOwnReport(from *instance) {
	report := from.state.OwnReport(r.now)
	for _, to := range r.instances {
		if to != from && to.zone == from.zone {
			r.sendReport(to, upstreamstate.InstanceSourcePrefix+from.name, report)
		}
	}
}

// sendOtherZonesReport sends a hub's report of the other zones to the instances of its zone.
func (r *run) sendOtherZonesReport(hub *instance) {
	report := hub.state.OtherZonesReport(r.now)
	for _, to := range r.instances {
		if to != hub && to.zone == hub.zone {
			r.sendReport(to, "zones", report)
		}
	}
}

// sendReport queues a report for delivery, unless it is drawn as lost.
func (r *run) sendReport(to *instance, source string, report upstreamstate.Report) {
	if r.rng.Float64() < r.pattern.Fleet.ReportLoss {
		return
	}
	r.inFlight = append(r.inFlight, delivery{deliverAt: r.now + r.pattern.Fleet.ReportLag, to: to, source: source, report: report})
}

// deliver applies the reports whose delay has passed.
func (r *run) deliver() {
	remaining := r.inFlight[:0]
	for _, d := range r.inFlight {
		if d.deliverAt > r.now {
			remaining = append(remaining, d)
			continue
		}
		d.to.state.ApplyReport(d.source, d.report, r.now)
	}
	r.inFlight = remaining
}
