package attempt

// Ledger counts the sends of one request that reached an upstream, and the retries that
// were paid for them. The first send is no retry, and neither is the first prefill that
// an upstream completed. It is not safe for concurrent use.
type Ledger struct {
	arrivals  int
	prefilled bool
	paid      int
}

// Arrived records a send that reached an upstream. prefilled is set if the upstream
// completed a prefill.
func (l *Ledger) Arrived(prefilled bool) {
	l.arrivals++
	l.prefilled = l.prefilled || prefilled
}

// Arrivals returns the number of sends that reached an upstream.
func (l *Ledger) Arrivals() int { return l.arrivals }

// Prefilled reports whether an upstream completed a prefill.
func (l *Ledger) Prefilled() bool { return l.prefilled }

// Paid returns the number of retries that the budget granted.
func (l *Ledger) Paid() int { return l.paid }

// Retries returns how many of the sends count as retries.
func (l *Ledger) Retries() int { return retriesAmong(l.arrivals, l.prefilled) }

// due returns how many retries are still to be paid for when the given number of sends
// has been made.
func (l *Ledger) due(sends int) int { return max(0, retriesAmong(sends, l.prefilled)-l.paid) }

// dueForPrefill returns how many retries are still to be paid for when the given number
// of sends has been made, the last of them a prefill, and the run after it.
func (l *Ledger) dueForPrefill(sends int) int {
	return max(l.due(sends), retriesAmong(sends+1, true)-l.paid)
}

// retriesAmong returns how many of a request's sends count as retries.
func retriesAmong(sends int, prefilled bool) int {
	exempt := 1
	if prefilled {
		exempt++
	}
	return max(0, sends-exempt)
}
