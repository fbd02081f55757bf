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

// Pay records a retry that the budget granted.
func (l *Ledger) Pay() { l.paid++ }

// Paid returns the number of retries that the budget granted.
func (l *Ledger) Paid() int { return l.paid }

// Retries returns how many of the sends count as retries.
func (l *Ledger) Retries() int {
	exempt := 1
	if l.prefilled {
		exempt++
	}
	return max(0, l.arrivals-exempt)
}
