package load

import (
	"time"

	"sassafrasfield/internal/engine"
)

// View is one estimate of an upstream's load.
type View struct {
	// Requests is the number of requests that run or wait on the upstream.
	Requests int
	// Waiting is the number of requests that are not in the batch yet.
	Waiting int
	// PrefillTokens is the number of prompt tokens that wait to be processed.
	PrefillTokens int
	// Blocks is the number of KV memory blocks that placements need and that the report does not show as
	// used.
	Blocks int
}

// Upstream is the state of one upstream. Upstreams of plain services have no reports.
type Upstream struct {
	Report engine.Report
	// ReportAt is when the newest report arrived, on the instance's clock; 0 before the first report.
	ReportAt time.Duration
	// Streams counts this instance's own streams on the upstream.
	Streams int
	// Health is the health as observed by this instance's own calls.
	Health Health
	// Prefixes are the prompt blocks that the engine is estimated to have cached.
	Prefixes Prefixes

	traffic    *Traffic // the table's
	placements []activePlacement
	// previousBoot is the boot of the reports before the engine's latest restart.
	previousBoot string
}

// Reported returns the load according to the lagging report alone.
func (u *Upstream) Reported() View {
	return View{
		Requests:      u.Report.Running + u.Report.Waiting,
		Waiting:       u.Report.Waiting,
		PrefillTokens: u.Report.PrefillTokens,
	}
}

// Local returns the load of this instance's own streams alone.
func (u *Upstream) Local() View {
	view := View{Requests: u.Streams}
	for i := range u.placements {
		view.Blocks += u.placements[i].Blocks
		if !u.placements[i].started {
			view.PrefillTokens += u.placements[i].PrefillTokens
		}
	}
	return view
}

// chargedView returns the load of the charges alone.
func (u *Upstream) chargedView() View {
	var view View
	for i := range u.placements {
		p := &u.placements[i]
		if !p.charged {
			continue
		}
		view.Requests++
		view.Blocks += p.Blocks
		if !p.started {
			view.PrefillTokens += p.PrefillTokens
		}
	}
	return view
}

// Charged returns the reported load plus the own placements that the report does not account for.
func (u *Upstream) Charged() View {
	view, charges := u.Reported(), u.chargedView()
	view.Requests += charges.Requests
	view.PrefillTokens += charges.PrefillTokens
	view.Blocks = charges.Blocks
	return view
}

// PrefillTokens returns the prompt tokens queued ahead of a new request, including charges.
func (u *Upstream) PrefillTokens() int {
	return u.Charged().PrefillTokens
}

// Requests returns the requests on the upstream, including charges.
func (u *Upstream) Requests() int {
	return u.Charged().Requests
}

// Charges counts the own placements that no report accounts for.
func (u *Upstream) Charges() int {
	n := 0
	for i := range u.placements {
		if u.placements[i].charged {
			n++
		}
	}
	return n
}

// supersedes reports whether a report replaces the current one. Within a boot the sequence number decides.
// Between boots the engine's own clock decides, which detects a late report of an earlier boot. If the
// engine's clock was set back, the current report is replaced once it counts as silent.
func (u *Upstream) supersedes(report *engine.Report, now, silentFor time.Duration) bool {
	if u.ReportAt == 0 {
		return true
	}
	if report.Boot == u.Report.Boot {
		return report.Seq > u.Report.Seq
	}
	return report.UnixMilli > u.Report.UnixMilli || now-u.ReportAt > silentFor
}

// settleCharges ends the charges that the report accounts for. It passes the age of the placements that the
// report counts, and of those that it does not count yet, to the traffic statistics.
func (u *Upstream) settleCharges() {
	recent := make(map[string]bool, len(u.Report.Recent))
	for _, id := range u.Report.Recent {
		recent[id] = true
	}
	for i := range u.placements {
		p := &u.placements[i]
		switch {
		case !p.charged:
		case p.accountedBy(&u.Report, recent):
			p.charged = false
			u.traffic.addUpperBound(u.ReportAt - p.At)
		case p.acceptedBy(u.previousBoot):
			p.charged = false
		case p.accepted.Boot == u.Report.Boot:
			u.traffic.addLowerBound(u.ReportAt - p.At)
		}
	}
}

// expireCharges ends the charges that are older than maxAge.
func (u *Upstream) expireCharges(now, maxAge time.Duration) {
	for i := range u.placements {
		if now-u.placements[i].At > maxAge {
			u.placements[i].charged = false
		}
	}
}

// findPlacement returns the newest own placement with the id, or nil.
func (u *Upstream) findPlacement(id string) *activePlacement {
	for i := len(u.placements) - 1; i >= 0; i-- {
		if u.placements[i].ID == id {
			return &u.placements[i]
		}
	}
	return nil
}
