// Package attempt follows the attempts at one request, whoever brought it and
// whatever its upstreams speak: it says whether one more may be made, which
// upstreams have had theirs, and what may be told of the request. Run is the loop
// over the attempts. It is pure but for Run, which waits between attempts, and
// Budget, which several requests share.
package attempt

import (
	"sassafrasfield/internal/outcome"
)

// Rules bound the attempts at a request.
type Rules struct {
	// Repeatable requests may run again after an attempt's outcome was lost.
	Repeatable bool
	// MaxRuns is how many upstreams the request may run on; 0 is no bound.
	MaxRuns int
	// MaxSends bounds the sends that reached an upstream, those included that it
	// refused.
	MaxSends int
}

// maxUnsent bounds the sends of one request of which no byte left. A connection that
// is refused costs a millisecond; when a fifth of the engines is gone at once, a
// request meets three of them in a row once in a hundred times.
const maxUnsent = 12

// Attempts are those made at one request so far. They are not safe for
// concurrent use.
type Attempts struct {
	rules    Rules
	progress outcome.Request
	excluded map[string]bool
	sends    int
	// unsent are the sends of which no byte left.
	unsent int
	// declined are those of the unsent ones that an upstream's limit left no room for.
	declined int
	runs     int
	last     error
	prepaid  bool
	// atOnce: the next attempt needs no pause.
	atOnce bool
	// copied is the upstream that has a copy of the run that was lost.
	copied string
}

// New returns the attempts at a request that was checked and may go on.
func New(rules Rules) *Attempts {
	progress, _ := outcome.Request{Repeatable: rules.Repeatable}.Apply(outcome.Admit) // always in order
	return &Attempts{rules: rules, progress: progress, excluded: map[string]bool{}}
}

// Sends counts all sends, Runs the attempts that may have run.
func (a *Attempts) Sends() int { return a.sends }

// Runs counts the attempts that may have run and brought no whole answer.
func (a *Attempts) Runs() int { return a.runs }

// LastError is the newest failure, or nil.
func (a *Attempts) LastError() error { return a.last }

// Outcome is what may be told of the request now.
func (a *Attempts) Outcome() outcome.Word { return a.progress.Word() }

// Excluded are the upstreams that failed this request. Do not change it.
func (a *Attempts) Excluded() map[string]bool { return a.excluded }

// MaySend tells whether the rules allow one more send.
func (a *Attempts) MaySend() bool {
	if a.spent() {
		return false
	}
	return a.runs == 0 || a.mayRunAgain(a.runs) || a.copied != ""
}

// SetBackup notes that an upstream has a copy of the run that this attempt loses:
// the run can go on there, though the request may not run again.
func (a *Attempts) SetBackup(upstream string) { a.copied = upstream }

// Backup is the upstream where the run that was lost can go on; empty when there is
// none.
func (a *Attempts) Backup() string { return a.copied }

// MayRunElsewhere tells whether one more upstream may run the request if the present
// attempt brings no whole answer.
func (a *Attempts) MayRunElsewhere() bool {
	return !a.spent() && a.mayRunAgain(a.runs+1)
}

// spent tells whether the bound of the sends is reached.
func (a *Attempts) spent() bool {
	return a.sends-a.unsent >= a.rules.MaxSends || a.unsent-a.declined >= maxUnsent
}

func (a *Attempts) mayRunAgain(runs int) bool {
	return a.rules.Repeatable && (a.rules.MaxRuns == 0 || runs < a.rules.MaxRuns)
}

// Sent notes that the request goes to an upstream, or that its run goes on at the
// one that has the copy. The error says that it may not run a second time.
func (a *Attempts) Sent() error {
	event := outcome.Send
	if a.copied != "" {
		event, a.copied = outcome.Continue, ""
	}
	next, err := a.progress.Apply(event)
	if err != nil {
		return err
	}
	a.progress = next
	a.sends++
	return nil
}

// Prepared notes a send that only readies an upstream and runs nothing.
func (a *Attempts) Prepared() { a.sends++ }

// Answered notes that the whole answer, or its first part, came.
func (a *Attempts) Answered() {
	if next, err := a.progress.Apply(outcome.Answer); err == nil {
		a.progress = next
	}
}

// Finished notes that the caller has the whole answer.
func (a *Attempts) Finished() {
	if next, err := a.progress.Apply(outcome.Finish); err == nil {
		a.progress = next
	}
}

// Failed notes that an upstream brought no whole answer; ranNothing is its word
// that it ran nothing. A refusal in the middle of an answer is no refusal.
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

// Exclude keeps an upstream out of what is left of the request.
func (a *Attempts) Exclude(upstream string, err error) {
	a.excluded[upstream] = true
	a.note(err)
}

// note keeps the newest failure.
func (a *Attempts) note(err error) {
	if err != nil {
		a.last = err
	}
}
