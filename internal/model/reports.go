package model

import (
	"time"

	"sassafrasfield/internal/picture"
)

// Pace of the reports between instances, as package peers has it.
const (
	reportEvery = 100 * time.Millisecond
	zoneEvery   = 200 * time.Millisecond
)

// report has the instances tell one another what they have.
func (r *run) report() {
	if r.now%reportEvery == 0 {
		for _, from := range r.instances {
			report := from.picture.OwnReport(r.now)
			for _, to := range r.instances {
				if to != from && to.zone == from.zone {
					to.picture.TakeReport(picture.BesidePrefix+from.name, report, r.now)
				}
			}
		}
	}
	if r.now%zoneEvery != 0 {
		return
	}
	told := map[string]bool{}
	for _, from := range r.instances {
		if told[from.zone] {
			continue
		}
		told[from.zone] = true
		report := from.picture.ZoneReport(r.now)
		for _, to := range r.instances {
			if to.zone != from.zone {
				to.picture.TakeReport("zone "+from.zone, report, r.now)
			}
		}
	}
}
