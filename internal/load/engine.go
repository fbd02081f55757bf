package load

import (
	"time"

	"sassafrasfield/internal/engine"
)

// View is one way to see an engine's load.
type View struct {
	// Requests on the engine, running or waiting.
	Requests int
	// Waiting requests that are not in the batch yet.
	Waiting int
	// PrefillTokens are prompt tokens that wait to be processed.
	PrefillTokens int
	// Blocks are pieces of KV memory that are promised to placements and that
	// the report does not show as taken.
	Blocks int
}

// Upstream is the picture of one upstream. Plain services have no reports.
type Upstream struct {
	Report engine.Report
	// ReportAt is when the newest report came, on the entry's clock; 0 when
	// none has.
	ReportAt time.Duration
	// Streams counts this entry's own streams on the upstream.
	Streams int
	// Health is what this entry's own calls tell.
	Health Health
	// Prefixes are what the engine is believed to have cached.
	Prefixes Prefixes

	traffic *Traffic // the table's
	own     []placed
	// replaced is the boot whose reports the present one's took the place of.
	replaced string
}

// Reported is the load by the lagging report alone.
func (e *Upstream) Reported() View {
	return View{
		Requests:      e.Report.Running + e.Report.Waiting,
		Waiting:       e.Report.Waiting,
		PrefillTokens: e.Report.PrefillTokens,
	}
}

// Local is the load by this entry's own streams alone.
func (e *Upstream) Local() View {
	view := View{Requests: e.Streams}
	for i := range e.own {
		view.Blocks += e.own[i].Blocks
		if !e.own[i].started {
			view.PrefillTokens += e.own[i].PrefillTokens
		}
	}
	return view
}

// chargedView is the load of the charges alone.
func (e *Upstream) chargedView() View {
	var view View
	for i := range e.own {
		p := &e.own[i]
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

// Charged is the reported load and the own placements that the report does not
// account for.
func (e *Upstream) Charged() View {
	view, charges := e.Reported(), e.chargedView()
	view.Requests += charges.Requests
	view.PrefillTokens += charges.PrefillTokens
	view.Blocks = charges.Blocks
	return view
}

// PrefillTokens returns the prompt tokens ahead of a new request, charges
// included.
func (e *Upstream) PrefillTokens() int {
	return e.Charged().PrefillTokens
}

// Requests returns the requests on the engine, charges included.
func (e *Upstream) Requests() int {
	return e.Charged().Requests
}

// Charges counts the own placements that no report accounts for.
func (e *Upstream) Charges() int {
	n := 0
	for i := range e.own {
		if e.own[i].charged {
			n++
		}
	}
	return n
}

// newer tells whether a report is to replace the one held. Within a boot the
// sequence decides; between boots the engine's own clock does, so that a late
// report of an earlier boot is known for what it is. Should the engine's clock
// have been set back, the held report gives way once it counts as silent.
func (e *Upstream) newer(report *engine.Report, now, silentFor time.Duration) bool {
	if e.ReportAt == 0 {
		return true
	}
	if report.Boot == e.Report.Boot {
		return report.Seq > e.Report.Seq
	}
	return report.UnixMilli > e.Report.UnixMilli || now-e.ReportAt > silentFor
}

// settle takes the charges off that the report accounts for, and tells traffic
// of those that it counts.
func (e *Upstream) settle() {
	recent := make(map[string]bool, len(e.Report.Recent))
	for _, id := range e.Report.Recent {
		recent[id] = true
	}
	for i := range e.own {
		p := &e.own[i]
		switch {
		case !p.charged:
		case p.accountedBy(&e.Report, recent):
			p.charged = false
			e.traffic.counted(e.ReportAt - p.At)
		case p.lostBy(e.replaced):
			p.charged = false
		case p.accepted.Boot == e.Report.Boot:
			e.traffic.uncounted(e.ReportAt - p.At)
		}
	}
}

// expire takes the charges off that are older than bound.
func (e *Upstream) expire(now, bound time.Duration) {
	for i := range e.own {
		if now-e.own[i].At > bound {
			e.own[i].charged = false
		}
	}
}

// find returns the newest own placement with the id, or nil.
func (e *Upstream) find(id string) *placed {
	for i := len(e.own) - 1; i >= 0; i-- {
		if e.own[i].ID == id {
			return &e.own[i]
		}
	}
	return nil
}
