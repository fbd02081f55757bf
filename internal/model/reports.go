package model

import (
	"time"

	"sassafrasfield/internal/upstreamstate"
)

// Pace of the reports between instances, as package fanout has it. A change waits half
// of reportEvery until it is told, as it does in a hub for the next batch.
const (
	reportEvery = 100 * time.Millisecond
	zoneEvery   = 200 * time.Millisecond
)

// delivery is a report on its way.
type delivery struct {
	at     time.Duration
	to     *instance
	source string
	report upstreamstate.Report
}

// report has the instances tell one another what they have: each its zone's hub, the
// hub all others of the zone, and the hubs of other zones what the zone has.
func (r *run) report() {
	r.deliver()
	if r.now%reportEvery != 0 {
		return
	}
	for _, from := range r.instances {
		r.tellZone(from)
	}
	if r.now%zoneEvery == 0 {
		r.tellZones()
	}
	r.deliver()
	for _, hub := range r.hubs() {
		r.tellBeyond(hub)
	}
	r.deliver()
}

// tellZones has the hubs tell one another what their zones have.
func (r *run) tellZones() {
	for _, hub := range r.hubs() {
		report := hub.picture.ZoneReport(r.now)
		for _, to := range r.hubs() {
			if to != hub {
				r.send(to, "zone "+hub.zone, report)
			}
		}
	}
}

// hubs are the first instances of each zone.
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

// tellZone has an instance tell its zone of itself.
func (r *run) tellZone(from *instance) {
	report := from.picture.OwnReport(r.now)
	for _, to := range r.instances {
		if to != from && to.zone == from.zone {
			r.send(to, upstreamstate.InstanceSourcePrefix+from.name, report)
		}
	}
}

// tellBeyond has a hub tell its zone of the other zones.
func (r *run) tellBeyond(hub *instance) {
	report := hub.picture.OtherZonesReport(r.now)
	for _, to := range r.instances {
		if to != hub && to.zone == hub.zone {
			r.send(to, "zones", report)
		}
	}
}

// send puts a report on its way, unless it is lost.
func (r *run) send(to *instance, source string, report upstreamstate.Report) {
	if r.rng.Float64() < r.pattern.Fleet.ReportLoss {
		return
	}
	r.underway = append(r.underway, delivery{at: r.now + r.pattern.Fleet.ReportLag, to: to, source: source, report: report})
}

// deliver has the reports arrive whose time has come.
func (r *run) deliver() {
	left := r.underway[:0]
	for _, d := range r.underway {
		if d.at > r.now {
			left = append(left, d)
			continue
		}
		d.to.picture.ApplyReport(d.source, d.report, r.now)
	}
	r.underway = left
}
