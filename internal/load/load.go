// Package load keeps one entry's picture of the engines: the lagging reports,
// and the entry's own placements that no report accounts for yet. It is pure.
package load

import (
	"time"

	"sassafrasfield/internal/engine"
)

// Placement is a request that this entry put on an engine.
type Placement struct {
	ID            string
	PrefillTokens int
	Blocks        int
	At            time.Duration
}

// Engine is the picture of one engine.
type Engine struct {
	Report engine.Report
	// ReportAt is when the report came, on the entry's clock; 0 when none has.
	ReportAt time.Duration
	// Charged are placements that the report does not account for.
	Charged []Placement
	// Streams counts this entry's own streams on the engine.
	Streams int
	// FailedAt is when a call to the engine last failed; 0 when it did not
	// since the last report.
	FailedAt time.Duration
}

// PrefillTokens returns the prompt tokens ahead of a new request.
func (e *Engine) PrefillTokens() int {
	total := e.Report.PrefillTokens
	for _, p := range e.Charged {
		total += p.PrefillTokens
	}
	return total
}

// Requests returns the requests on the engine, charged ones included.
func (e *Engine) Requests() int {
	return e.Report.Running + e.Report.Waiting + len(e.Charged)
}

// Table is the picture of all engines. It is not safe for concurrent use.
type Table struct {
	engines map[string]*Engine
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{engines: map[string]*Engine{}}
}

// Engine returns the picture of an engine, made when there is none.
func (t *Table) Engine(id string) *Engine {
	e, ok := t.engines[id]
	if !ok {
		e = &Engine{}
		t.engines[id] = e
	}
	return e
}

// Place charges a request to an engine.
func (t *Table) Place(id string, p Placement) {
	e := t.Engine(id)
	e.Streams++
	e.Charged = append(e.Charged, p)
}

// End takes a stream off an engine.
func (t *Table) End(id, request string) {
	e := t.Engine(id)
	e.Streams--
	e.drop(func(p Placement) bool { return p.ID == request })
}

// Reported takes a report that came at now. Older reports than the one held
// are dropped.
func (t *Table) Reported(id string, report engine.Report, now time.Duration) {
	e := t.Engine(id)
	if report.Boot == e.Report.Boot && report.Seq <= e.Report.Seq {
		return
	}
	e.Report, e.ReportAt, e.FailedAt = report, now, 0
	seen := map[string]bool{}
	for _, request := range report.Recent {
		seen[request] = true
	}
	e.drop(func(p Placement) bool { return seen[p.ID] })
}

// Failed records that a call to the engine failed.
func (t *Table) Failed(id string, now time.Duration) {
	t.Engine(id).FailedAt = now
}

func (e *Engine) drop(match func(Placement) bool) {
	kept := e.Charged[:0]
	for _, p := range e.Charged {
		if !match(p) {
			kept = append(kept, p)
		}
	}
	e.Charged = kept
}
