package admit

import (
	"math"
	"time"
)

// Rules configure a Gate.
type Rules struct {
	// MaxQueue bounds the number of waiting requests.
	MaxQueue int
	// MaxWait bounds the time that a request waits in the queue.
	MaxWait time.Duration
	// MaxBacklog bounds the predicted time that an admitted request waits at an
	// engine before its prefill begins. While the prediction is above the bound,
	// requests wait in the queue, which is served fairly between organisations.
	// 0 means no bound.
	MaxBacklog time.Duration
	// PriorityCredit is the priority credit of the Queue, in tokens.
	PriorityCredit float64
	// EarlyRefusal refuses requests that are predicted to miss their deadline.
	// False lets them through, for comparison.
	EarlyRefusal bool
}

// Decision is the result of Gate.Arrive.
type Decision int

const (
	// Admitted: send the request now.
	Admitted Decision = iota
	// Queued: wait for Gate.Grant, at most until Gate.WaitDeadline.
	Queued
	// Refused: return the refusal to the caller now.
	Refused
)

// Gate admits the requests of one model at one entry. It is not safe for
// concurrent use.
type Gate struct {
	rules            Rules
	queue            *Queue
	inFlight         int
	concurrencyLimit int // 0 means no limit
	// serviceTime is the moving average of the time from admission to completion.
	serviceTime time.Duration
	// admittedRate is the moving average of the admitted work, in tokens per
	// second, as of admittedRateAt.
	admittedRate   float64
	admittedRateAt time.Duration
	margin         margin
}

// NewGate returns a gate without a limit on the requests in flight.
func NewGate(rules Rules) *Gate {
	return &Gate{rules: rules, queue: NewQueue(rules.PriorityCredit)}
}

// SetLimit limits the requests in flight; 0 means no limit.
func (g *Gate) SetLimit(n int) { g.concurrencyLimit = n }

// Limit returns the limit on the requests in flight; 0 means no limit.
func (g *Gate) Limit() int { return g.concurrencyLimit }

// InFlight returns the number of admitted requests that are not done.
func (g *Gate) InFlight() int { return g.inFlight }

// Waiting returns the number of requests in the queue.
func (g *Gate) Waiting() int { return g.queue.Len() }

// ServiceTime returns the mean time from admission to completion; 0 before the
// first request is done.
func (g *Gate) ServiceTime() time.Duration { return g.serviceTime }

// WaitDeadline returns when a queued ticket must have been granted.
func (g *Gate) WaitDeadline(t Ticket) time.Duration { return t.waitDeadline(g.rules.MaxWait) }

// Arrive decides on a new ticket. It may remove another ticket from a full queue
// to make room, and returns a refusal for that one. When the decision is
// Refused, the last refusal is for the new ticket itself.
func (g *Gate) Arrive(t Ticket, p Prediction, now time.Duration) (Decision, []Refusal) {
	if refusal, late := g.missesDeadline(t, p, now); late {
		return Refused, []Refusal{refusal}
	}
	if g.queue.Len() == 0 && g.hasCapacity(p, 0) {
		g.queue.Push(t)
		g.queue.Pop()
		g.recordAdmission(t, now)
		return Admitted, nil
	}
	if need := g.predictedWait(t, now) + t.PrefillTime + g.margin.get(now); g.rules.EarlyRefusal && now+need > t.Deadline {
		return Refused, []Refusal{{ID: t.ID, Reason: ReasonDeadline, RetryIn: now + need - t.Deadline}}
	}
	if g.queue.Len() < g.rules.MaxQueue {
		g.queue.Push(t)
		return Queued, nil
	}
	return g.replaceLowest(t, now)
}

// replaceLowest queues a ticket in a full queue in place of the ticket with the
// lowest priority, if that is lower than its own.
func (g *Gate) replaceLowest(t Ticket, now time.Duration) (Decision, []Refusal) {
	lowest, ok := g.queue.Lowest()
	if !ok || lowest.Priority >= t.Priority {
		return Refused, []Refusal{{ID: t.ID, Reason: ReasonQueueFull, RetryIn: g.predictedWait(t, now)}}
	}
	g.queue.Remove(lowest.ID)
	g.queue.Push(t)
	return Queued, []Refusal{{ID: lowest.ID, Reason: ReasonQueueFull, RetryIn: g.predictedWait(lowest, now)}}
}

// missesDeadline reports whether a ticket is predicted to miss its deadline if
// it is sent now.
func (g *Gate) missesDeadline(t Ticket, p Prediction, now time.Duration) (Refusal, bool) {
	if !g.rules.EarlyRefusal || !p.Known {
		return Refusal{}, false
	}
	if t.Arrived+p.PrefillTime > t.Deadline {
		return Refusal{ID: t.ID, Reason: ReasonDeadlineTooShort}, true
	}
	need := p.FirstToken
	if need > p.PrefillTime {
		need += g.margin.get(now)
	}
	if now+need > t.Deadline {
		return Refusal{ID: t.ID, Reason: ReasonDeadline, RetryIn: now + need - t.Deadline}, true
	}
	return Refusal{}, false
}

// Observe records how much later a first token arrived than was predicted when
// its request was admitted. The resulting margin is not added on an engine
// without queued work: such an engine keeps receiving requests, so there are
// further observations.
func (g *Gate) Observe(late, now time.Duration) { g.margin.observe(late, now) }

// AdmitUnconditionally counts a request that is admitted whatever the load, such
// as one that resumes a response accepted earlier.
func (g *Gate) AdmitUnconditionally() { g.inFlight++ }

// Done records that an admitted request is done, elapsed after its admission.
func (g *Gate) Done(elapsed time.Duration) {
	g.inFlight--
	if g.serviceTime == 0 {
		g.serviceTime = elapsed
		return
	}
	g.serviceTime += (elapsed - g.serviceTime) / serviceTimeWeight
}

// serviceTimeWeight is the divisor for new values in the moving average of the
// service time.
const serviceTimeWeight = 16

// Cancel removes a waiting ticket. It returns false when the ticket was granted
// or refused before.
func (g *Gate) Cancel(id string) bool { return g.queue.Remove(id) }

// Grant admits waiting tickets while there is capacity, and returns them.
func (g *Gate) Grant(now time.Duration, predict func(Ticket) Prediction) []Ticket {
	var granted []Ticket
	grantedPrefill := time.Duration(0) // of this call's grants; predictions do not include it yet
	for {
		t, ok := g.queue.Next()
		if !ok || !g.hasCapacity(predict(t), grantedPrefill) {
			return granted
		}
		g.queue.Pop()
		g.recordAdmission(t, now)
		grantedPrefill += t.PrefillTime
		granted = append(granted, t)
	}
}

// recordAdmission adds an admitted ticket to the requests in flight and to the
// rate of admitted work.
func (g *Gate) recordAdmission(t Ticket, now time.Duration) {
	g.inFlight++
	g.decayAdmittedRate(now)
	g.admittedRate += t.Work / admittedWindow.Seconds()
}

// admittedWindow is the time constant of the moving average admittedRate.
const admittedWindow = 2 * time.Second

func (g *Gate) decayAdmittedRate(now time.Duration) {
	if now > g.admittedRateAt {
		g.admittedRate *= math.Exp(-(now - g.admittedRateAt).Seconds() / admittedWindow.Seconds())
		g.admittedRateAt = now
	}
}

// RefuseLate removes the waiting tickets that are predicted to miss their
// deadline or have reached their WaitDeadline, and returns their refusals.
func (g *Gate) RefuseLate(now time.Duration, predict func(Ticket) Prediction) []Refusal {
	var refusals []Refusal
	for _, t := range g.queue.all() {
		refusal, late := g.missesDeadline(t, predict(t), now)
		if !late && now >= g.WaitDeadline(t) {
			refusal, late = g.TimeoutRefusal(t, now), true
		}
		if late {
			g.queue.Remove(t.ID)
			refusals = append(refusals, refusal)
		}
	}
	return refusals
}

// TimeoutRefusal returns the refusal of a ticket that was not granted by its
// WaitDeadline.
func (g *Gate) TimeoutRefusal(t Ticket, now time.Duration) Refusal {
	reason := ReasonQueueTimeout
	if now >= t.Deadline-t.PrefillTime {
		reason = ReasonDeadline
	}
	return Refusal{ID: t.ID, Reason: reason, RetryIn: g.predictedWait(t, now)}
}

// hasCapacity reports whether a request may be sent to an engine now. The
// prediction does not include grantedPrefill, the prefill time of the tickets
// that Grant granted just before. An entry with nothing in flight may always
// send one request, so that outdated engine reports do not block it permanently.
func (g *Gate) hasCapacity(p Prediction, grantedPrefill time.Duration) bool {
	if g.inFlight == 0 {
		return true
	}
	if g.concurrencyLimit > 0 && g.inFlight >= g.concurrencyLimit {
		return false
	}
	if g.rules.MaxBacklog == 0 || !p.Known {
		return true
	}
	return p.FirstToken-p.PrefillTime+grantedPrefill/time.Duration(max(1, p.Engines)) <= g.rules.MaxBacklog
}

// predictedWait predicts how long a ticket that arrives now would wait in the
// queue.
func (g *Gate) predictedWait(t Ticket, now time.Duration) time.Duration {
	g.decayAdmittedRate(now)
	if g.admittedRate <= 0 {
		return 0
	}
	return min(maxPredictedWait, seconds(g.queue.WorkAhead(t)/g.admittedRate))
}

// maxPredictedWait bounds the result of predictedWait.
const maxPredictedWait = time.Minute
