package attempt

import "sassafrasfield/internal/outcome"

// History is what was done for a request, for another process that continues the attempts.
type History struct {
	// Arrivals is the number of sends that reached an upstream, Paid that of the retries among them that the
	// budget granted, Runs that of the attempts that may have run.
	Arrivals, Paid, Runs int
	// Prefilled reports whether an upstream completed a prefill.
	Prefilled bool
}

// History returns what was done so far.
func (a *Attempts) History() History {
	return History{Arrivals: a.arrivals(), Paid: a.ledger.paid, Runs: a.runs, Prefilled: a.ledger.prefilled}
}

// Resume returns the Attempts of a request for which something was done already.
func Resume(rules Rules, h History) *Attempts {
	a := New(rules)
	a.ledger = Ledger{arrivals: h.Arrivals, paid: h.Paid, prefilled: h.Prefilled}
	a.runs = h.Runs
	if h.Runs == 0 {
		return a
	}
	for _, event := range []outcome.Event{outcome.Send, outcome.Lose} { // never fail on a new request
		a.progress, _ = a.progress.Apply(event)
	}
	return a
}

// Merge adds what another process did, whose History includes this one's.
func (a *Attempts) Merge(h History) {
	a.ledger.arrivals = max(a.ledger.arrivals, h.Arrivals)
	a.ledger.paid = max(a.ledger.paid, h.Paid)
	a.ledger.prefilled = a.ledger.prefilled || h.Prefilled
}
