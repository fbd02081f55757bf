package load

import (
	"time"

	"sassafrasfield/internal/engine"
)

// Placement is a request that this entry put on an upstream.
type Placement struct {
	ID string
	// PrefillTokens are the prompt tokens that the engine has to process.
	PrefillTokens int
	// Blocks of KV memory that the request takes.
	Blocks int
	// Prefix has the hashes of the prompt's blocks, first block first; nil
	// when prefix hints are off.
	Prefix []uint64
	At     time.Duration
}

// Acceptance is an engine's word that it took a request: the value of its
// count Report.Accepted at that request, and the boot that counted. The zero
// value is unknown.
type Acceptance struct {
	Boot   string
	Number int64
}

// placed is a placement that has not ended.
type placed struct {
	Placement
	accepted Acceptance
	// started: the first token came, so the prompt has been processed.
	started bool
	// charged: no report accounts for it yet.
	charged bool
}

// accountedBy tells whether a report counts the placement.
func (p *placed) accountedBy(report *engine.Report, recent map[string]bool) bool {
	if recent[p.ID] {
		return true
	}
	return p.accepted.Boot == report.Boot && p.accepted.Boot != "" && p.accepted.Number <= report.Accepted
}

// lostBy tells whether the engine took the placement under a boot that was
// replaced, so that no report will count it.
func (p *placed) lostBy(replaced string) bool {
	return p.accepted.Boot != "" && p.accepted.Boot == replaced
}
