// Package attempt tracks the attempts at one request, whoever sent it and
// whatever protocol its upstreams use. Its input is what happened to each
// attempt; it decides whether another attempt may be made, which upstreams are
// excluded from it, and what callers may be told about whether the request ran.
// Run is the retry loop. The package has no side effects except in Run, which
// waits between attempts, and in Budget, which several requests share.
package attempt

import (
	"sassafrasfield/internal/outcome"
)

// Rules limit the attempts at a request.
type Rules struct {
	// Repeatable requests may run again after the outcome of an attempt was lost.
	Repeatable bool
	// MaxRuns bounds the number of upstreams that the request may run on; 0 means
	// no bound.
	MaxRuns int
	// MaxSends bounds the sends that reached an upstream, including those that the
	// upstream refused.
	MaxSends int
}

// maxUnsent bounds the attempts at one request that failed before any byte was
// sent, except those that were declined. A refused connection costs about a
// millisecond. When a fifth of the engines crash at once, one request in a hundred
// tries three crashed engines in a row.
const maxUnsent = 12

// Attempts records the attempts made at one request. It is not safe for
// concurrent use.
type Attempts struct {
	rules    Rules
	progress outcome.Request
	ledger   Ledger
	excluded map[string]bool
	sends    int
	// unsent counts the attempts that failed before any byte was sent.
	unsent int
	// declined counts those of the unsent attempts that were not made because the
	// upstream accepts no requests at present; see Result.Declined.
	declined int
	runs     int
	lastErr  error
	// skipBackoff: the next attempt is made without a delay.
	skipBackoff bool
	// backup is the upstream that has a copy of the state of the lost run.
	backup string
}

// New returns the Attempts of a request that was validated and may be sent.
func New(rules Rules) *Attempts {
	progress, _ := outcome.Request{Repeatable: rules.Repeatable}.Apply(outcome.Admit) // never fails on a new request
	return &Attempts{rules: rules, progress: progress, excluded: map[string]bool{}}
}

// Sends returns the number of sends, including those that reached no upstream.
func (a *Attempts) Sends() int { return a.sends }

// Ledger returns the count of the sends that reached an upstream.
func (a *Attempts) Ledger() *Ledger { return &a.ledger }

// Runs returns the number of attempts that may have run, but returned no complete
// response.
func (a *Attempts) Runs() int { return a.runs }

// LastError returns the error of the latest failure, or nil.
func (a *Attempts) LastError() error { return a.lastErr }

// Outcome returns what is known about whether the request ran.
func (a *Attempts) Outcome() outcome.Outcome { return a.progress.Outcome() }

// Excluded returns the upstreams that failed this request. The caller must not
// modify the map.
func (a *Attempts) Excluded() map[string]bool { return a.excluded }

// MaySend reports whether the rules allow one more send.
func (a *Attempts) MaySend() bool {
	if a.sendsExhausted() {
		return false
	}
	return a.runs == 0 || a.mayRunAgain(a.runs) || a.backup != ""
}

// SetBackup records, before Failed, that an upstream has a copy of the state of
// the run that this attempt loses. The run can continue there even if the request
// must not run a second time.
func (a *Attempts) SetBackup(upstream string) { a.backup = upstream }

// Backup returns the upstream where the lost run can continue; empty when there is
// none.
func (a *Attempts) Backup() string { return a.backup }

// IsRepeatable reports whether the request may run again after the outcome of an attempt was lost.
func (a *Attempts) IsRepeatable() bool { return a.rules.Repeatable }

// MayRunElsewhere reports whether another upstream may run the request if the
// current attempt returns no complete response.
func (a *Attempts) MayRunElsewhere() bool {
	return !a.sendsExhausted() && a.mayRunAgain(a.runs+1)
}

// sendsExhausted reports whether a bound on the sends is reached.
func (a *Attempts) sendsExhausted() bool {
	return a.sends-a.unsent >= a.rules.MaxSends || a.unsent-a.declined >= maxUnsent
}

func (a *Attempts) mayRunAgain(runs int) bool {
	return a.rules.Repeatable && (a.rules.MaxRuns == 0 || runs < a.rules.MaxRuns)
}

// Sent records that the request is sent to an upstream, or that its run continues
// at the backup if one was set. It returns an error when the request must not run a
// second time.
func (a *Attempts) Sent() error {
	event := outcome.Send
	if a.backup != "" {
		event, a.backup = outcome.Continue, ""
	}
	next, err := a.progress.Apply(event)
	if err != nil {
		return err
	}
	a.progress = next
	a.sends++
	return nil
}

// Prepared records a send that only prepares an upstream and runs nothing.
func (a *Attempts) Prepared() { a.sends++ }

// Answered records that the response, or its first part, was received.
func (a *Attempts) Answered() {
	if next, err := a.progress.Apply(outcome.Answer); err == nil {
		a.progress = next
	}
}

// Finished records that the caller has the complete response.
func (a *Attempts) Finished() {
	if next, err := a.progress.Apply(outcome.Finish); err == nil {
		a.progress = next
	}
}

// Failed records that an upstream returned no complete response and excludes it.
// If ranNothing is true, the upstream reported that it ran nothing. This is ignored
// once the response has started: the run then counts as lost.
func (a *Attempts) Failed(upstream string, ranNothing bool, err error) {
	event := outcome.Lose
	if ranNothing {
		event = outcome.Refuse
	}
	next, applyErr := a.progress.Apply(event)
	if applyErr != nil {
		next, applyErr = a.progress.Apply(outcome.Lose)
		ranNothing = false
	}
	if applyErr == nil {
		a.progress = next
	}
	if !ranNothing {
		a.runs++
	}
	a.Exclude(upstream, err)
}

// Exclude excludes an upstream from all further attempts at the request.
func (a *Attempts) Exclude(upstream string, err error) {
	a.excluded[upstream] = true
	a.setLastError(err)
}

// setLastError keeps the latest error.
func (a *Attempts) setLastError(err error) {
	if err != nil {
		a.lastErr = err
	}
}
