package load

import (
	"time"

	"sassafrasfield/internal/engine"
)

// Placement is a request that this instance placed on an upstream.
type Placement struct {
	ID string
	// PrefillTokens is the number of prompt tokens that the engine has to process.
	PrefillTokens int
	// Blocks is the number of KV memory blocks that the request needs.
	Blocks int
	// Prefix has the hashes of the prompt's blocks, first block first; nil when prefix hints are off.
	Prefix []uint64
	At     time.Duration
}

// Acceptance identifies a request in the sequence of requests that an engine accepted. Number is the value of
// the engine's count Report.Accepted at that request, and Boot the boot that counted. The zero value is
// unknown.
type Acceptance struct {
	Boot   string
	Number int64
}

// activePlacement is a placement that has not ended.
type activePlacement struct {
	Placement
	accepted Acceptance
	// started is set once the first token arrived, which means that the prompt has been processed.
	started bool
	// charged is set while no report accounts for the placement.
	charged bool
}

// accountedBy reports whether a report counts the placement.
func (p *activePlacement) accountedBy(report *engine.Report, recent map[string]bool) bool {
	if recent[p.ID] {
		return true
	}
	return p.accepted.Boot == report.Boot && p.accepted.Boot != "" && p.accepted.Number <= report.Accepted
}

// acceptedBy reports whether the engine accepted the placement in the given boot. If that boot has been
// replaced, no report will count the placement.
func (p *activePlacement) acceptedBy(boot string) bool {
	return p.accepted.Boot != "" && p.accepted.Boot == boot
}
