package admit

import (
	"math"
	"time"
)

// Rules of a Gate.
type Rules struct {
	// MaxQueue bounds the waiting requests.
	MaxQueue int
	// MaxWait bounds the time in the queue.
	MaxWait time.Duration
	// MaxBacklog is how long a request may wait at an engine for its prefill to
	// begin; while it would be longer, requests wait in the queue, where they
	// get fair shares. 0 is no bound.
	MaxBacklog time.Duration
	// PriorityCredit is the credit of the Queue, in tokens.
	PriorityCredit float64
	// EarlyRefusal is false to let through what can't make its deadline, for
	// comparison.
	EarlyRefusal bool
}

// Decision on an arriving ticket.
type Decision int

// Decisions.
const (
	// Admitted: go on now.
	Admitted Decision = iota
	// Queued: wait for Grant, at most until Gate.Latest.
	Queued
	// Refused: answer now.
	Refused
)

// Gate admits the requests of one model at one entry. It is not safe for
// concurrent use.
type Gate struct {
	rules    Rules
	queue    *Queue
	inFlight int
	limit    int // 0 is none
	// service is the moving average of the time that an admitted request takes.
	service time.Duration
	// admitted is a moving average of the work admitted, in tokens a second,
	// at admittedAt.
	admitted   float64
	admittedAt time.Duration
	margin     margin
}

// NewGate returns a gate without a bound on the requests in flight.
func NewGate(rules Rules) *Gate {
	return &Gate{rules: rules, queue: NewQueue(rules.PriorityCredit)}
}

// SetLimit bounds the requests in flight; 0 is no bound.
func (g *Gate) SetLimit(n int) { g.limit = n }

// Limit returns the bound on the requests in flight; 0 is none.
func (g *Gate) Limit() int { return g.limit }

// InFlight returns the number of requests admitted and not done.
func (g *Gate) InFlight() int { return g.inFlight }

// Waiting returns the number of requests in the queue.
func (g *Gate) Waiting() int { return g.queue.Len() }

// ServiceTime returns the mean time that an admitted request takes; 0 before the
// first is done.
func (g *Gate) ServiceTime() time.Duration { return g.service }

// WaitDeadline is when a queued ticket is given up.
func (g *Gate) WaitDeadline(t Ticket) time.Duration { return t.latest(g.rules.MaxWait) }

// Arrive decides on a ticket. The refusals are of other tickets, which lose
// their place to this one; when the decision is Refused, the last one is its
// own.
func (g *Gate) Arrive(t Ticket, p Prediction, now time.Duration) (Decision, []Refusal) {
	if refusal, late := g.late(t, p, now); late {
		return Refused, []Refusal{refusal}
	}
	if g.queue.Len() == 0 && g.room(p, 0) {
		g.queue.Push(t)
		g.queue.Pop()
		g.enter(t, now)
		return Admitted, nil
	}
	if need := g.wait(t, now) + t.PrefillTime + g.margin.get(now); g.rules.EarlyRefusal && now+need > t.Deadline {
		return Refused, []Refusal{{ID: t.ID, Reason: ReasonDeadline, RetryIn: now + need - t.Deadline}}
	}
	if g.queue.Len() < g.rules.MaxQueue {
		g.queue.Push(t)
		return Queued, nil
	}
	return g.displace(t, now)
}

// displace makes room in a full queue for a ticket of a higher priority.
func (g *Gate) displace(t Ticket, now time.Duration) (Decision, []Refusal) {
	lowest, ok := g.queue.Lowest()
	if !ok || lowest.Priority >= t.Priority {
		return Refused, []Refusal{{ID: t.ID, Reason: ReasonQueueFull, RetryIn: g.wait(t, now)}}
	}
	g.queue.Remove(lowest.ID)
	g.queue.Push(t)
	return Queued, []Refusal{{ID: lowest.ID, Reason: ReasonQueueFull, RetryIn: g.wait(lowest, now)}}
}

// late tells whether a ticket can't make its deadline if it is sent now.
func (g *Gate) late(t Ticket, p Prediction, now time.Duration) (Refusal, bool) {
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

// Observe takes by how much a first token came later than was predicted when
// its request was admitted. An engine without work ahead is always tried, so
// that there is something to observe.
func (g *Gate) Observe(late, now time.Duration) { g.margin.observe(late, now) }

// AdmitUnconditionally counts a request that goes on whatever the load, such as the rest of
// an answer that was accepted before.
func (g *Gate) AdmitUnconditionally() { g.inFlight++ }

// Done ends an admitted request that took the time given.
func (g *Gate) Done(took time.Duration) {
	g.inFlight--
	if g.service == 0 {
		g.service = took
		return
	}
	g.service += (took - g.service) / serviceWeight
}

// serviceWeight sets the moving average of the service time.
const serviceWeight = 16

// Cancel takes a waiting ticket out; false when it was granted or refused.
func (g *Gate) Cancel(id string) bool { return g.queue.Remove(id) }

// Grant admits the waiting tickets that there is room for.
func (g *Gate) Grant(now time.Duration, predict func(Ticket) Prediction) []Ticket {
	var granted []Ticket
	sent := time.Duration(0) // prefill of those granted, which no picture shows yet
	for {
		t, ok := g.queue.Next()
		if !ok || !g.room(predict(t), sent) {
			return granted
		}
		g.queue.Pop()
		g.enter(t, now)
		sent += t.PrefillTime
		granted = append(granted, t)
	}
}

// enter counts a ticket that is admitted.
func (g *Gate) enter(t Ticket, now time.Duration) {
	g.inFlight++
	g.decay(now)
	g.admitted += t.Work / admittedWindow.Seconds()
}

// admittedWindow is the time constant of the average of admitted work.
const admittedWindow = 2 * time.Second

func (g *Gate) decay(now time.Duration) {
	if now > g.admittedAt {
		g.admitted *= math.Exp(-(now - g.admittedAt).Seconds() / admittedWindow.Seconds())
		g.admittedAt = now
	}
}

// RefuseLate gives up the waiting tickets that can't make their deadline any more,
// by a new picture or by the time that passed.
func (g *Gate) RefuseLate(now time.Duration, predict func(Ticket) Prediction) []Refusal {
	var refusals []Refusal
	for _, t := range g.queue.all() {
		refusal, late := g.late(t, predict(t), now)
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

// TimeoutRefusal is the refusal of a ticket that was not granted by Latest.
func (g *Gate) TimeoutRefusal(t Ticket, now time.Duration) Refusal {
	reason := ReasonQueueTimeout
	if now >= t.Deadline-t.PrefillTime {
		reason = ReasonDeadline
	}
	return Refusal{ID: t.ID, Reason: reason, RetryIn: g.wait(t, now)}
}

// room tells whether a request may go to an engine now. Sent is prefill that
// the prediction does not know of. An entry that has nothing in flight may
// always send one, so that an old picture does not stop it for good.
func (g *Gate) room(p Prediction, sent time.Duration) bool {
	if g.inFlight == 0 {
		return true
	}
	if g.limit > 0 && g.inFlight >= g.limit {
		return false
	}
	if g.rules.MaxBacklog == 0 || !p.Known {
		return true
	}
	return p.FirstToken-p.PrefillTime+sent/time.Duration(max(1, p.Engines)) <= g.rules.MaxBacklog
}

// wait predicts how long a ticket that comes now waits in the queue.
func (g *Gate) wait(t Ticket, now time.Duration) time.Duration {
	g.decay(now)
	if g.admitted <= 0 {
		return 0
	}
	return min(longestWait, seconds(g.queue.WorkAhead(t)/g.admitted))
}

// longestWait bounds the predicted waits.
const longestWait = time.Minute
