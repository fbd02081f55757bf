package admit

import (
	"math"
	"slices"
	"time"
)

// Queue holds tickets until there is capacity for them. It serves the highest
// priority first. Within a priority, start-time fair queueing over tokens of
// work decides between organisations. When an organisation is ahead of its fair
// share by more than the priority credit, its priorities above 0 count as 0.
// Otherwise an organisation could exceed its share by declaring all its requests
// urgent. A Queue is not safe for concurrent use.
type Queue struct {
	priorityCredit float64
	flows          map[string]*flow
	virtualTime    float64
	length         int
}

// flow holds the waiting tickets of one organisation.
type flow struct {
	organisation string
	share        float64
	// start is the virtual time at which the flow's next ticket starts.
	start   float64
	tickets []Ticket // by priority, then by arrival
}

// NewQueue returns an empty queue. The priority credit is in tokens of work,
// whatever the share of an organisation.
func NewQueue(priorityCredit float64) *Queue {
	return &Queue{priorityCredit: priorityCredit, flows: map[string]*flow{}}
}

// Len returns the number of tickets.
func (q *Queue) Len() int { return q.length }

// Push adds a ticket.
func (q *Queue) Push(t Ticket) {
	f, ok := q.flows[t.Organisation]
	if !ok {
		f = &flow{organisation: t.Organisation}
		q.flows[t.Organisation] = f
	}
	f.share = t.weight()
	if len(f.tickets) == 0 {
		f.start = max(f.start, q.virtualTime)
	}
	position := len(f.tickets)
	for position > 0 && f.tickets[position-1].Priority < t.Priority {
		position--
	}
	f.tickets = slices.Insert(f.tickets, position, t)
	q.length++
}

// Next returns the ticket that Pop would remove.
func (q *Queue) Next() (t Ticket, ok bool) {
	if f := q.nextFlow(); f != nil {
		return f.tickets[0], true
	}
	return Ticket{}, false
}

// Pop removes the next ticket and charges its work to its organisation. It
// advances the virtual time to the earliest start of the waiting flows, so that
// a flow that joins next starts before one that has just been served.
func (q *Queue) Pop() (t Ticket, ok bool) {
	best := q.nextFlow()
	if best == nil {
		return Ticket{}, false
	}
	q.virtualTime = max(q.virtualTime, q.earliestStart())
	t = best.tickets[0]
	best.tickets = slices.Delete(best.tickets, 0, 1)
	best.start += t.Work / best.share
	q.length--
	q.dropIdleFlows()
	return t, true
}

// nextFlow returns the flow to serve next, or nil when no ticket waits.
func (q *Queue) nextFlow() *flow {
	earliest := q.earliestStart()
	var best *flow
	for _, f := range q.flows {
		if len(f.tickets) > 0 && (best == nil || q.precedes(f, best, earliest)) {
			best = f
		}
	}
	return best
}

// earliestStart returns the earliest start of the waiting flows.
func (q *Queue) earliestStart() float64 {
	earliest := math.Inf(1)
	for _, f := range q.flows {
		if len(f.tickets) > 0 {
			earliest = min(earliest, f.start)
		}
	}
	return earliest
}

// WorkAhead estimates the work that is served before a ticket that arrives now,
// under fair sharing without priorities: the waiting work of the ticket's own
// organisation, and the work that the others are served in the meantime.
func (q *Queue) WorkAhead(t Ticket) float64 {
	own, shares, others := 0.0, t.weight(), 0.0
	for name, f := range q.flows {
		waiting := f.queuedWork()
		switch {
		case name == t.Organisation:
			own = waiting + max(0, f.start-q.virtualTime)*f.share
		case waiting > 0:
			shares += f.share
			others += waiting
		}
	}
	return own + min(others, (own+t.Work)*(shares-t.weight())/t.weight())
}

// queuedWork returns the work of the flow's waiting tickets, in tokens.
func (f *flow) queuedWork() float64 {
	total := 0.0
	for _, t := range f.tickets {
		total += t.Work
	}
	return total
}

// precedes reports whether flow a is served before flow b.
func (q *Queue) precedes(a, b *flow, earliest float64) bool {
	if pa, pb := q.effectivePriority(a, earliest), q.effectivePriority(b, earliest); pa != pb {
		return pa > pb
	}
	if a.start != b.start {
		return a.start < b.start
	}
	return a.organisation < b.organisation
}

// effectivePriority returns the priority of the flow's next ticket, limited to 0
// when the flow is ahead of its fair share by more than the priority credit.
func (q *Queue) effectivePriority(f *flow, earliest float64) int {
	priority := f.tickets[0].Priority
	if priority > 0 && f.start-earliest > q.priorityCredit/f.share {
		return 0
	}
	return priority
}

// dropIdleFlows deletes flows that are empty and not ahead of the virtual time.
func (q *Queue) dropIdleFlows() {
	for name, f := range q.flows {
		if len(f.tickets) == 0 && f.start <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}

// Remove removes a ticket without charging its work. It returns false when the
// ticket is not in the queue.
func (q *Queue) Remove(id string) bool {
	for _, f := range q.flows {
		i := slices.IndexFunc(f.tickets, func(t Ticket) bool { return t.ID == id })
		if i >= 0 {
			f.tickets = slices.Delete(f.tickets, i, i+1)
			q.length--
			return true
		}
	}
	return false
}

// Lowest returns the ticket to remove first in favour of a ticket with a higher
// priority: the newest one of the lowest priority.
func (q *Queue) Lowest() (t Ticket, ok bool) {
	for _, candidate := range q.all() {
		if !ok || candidate.Priority < t.Priority ||
			(candidate.Priority == t.Priority && newer(candidate, t)) {
			t, ok = candidate, true
		}
	}
	return t, ok
}

// newer reports whether a arrived after b; the ID breaks ties.
func newer(a, b Ticket) bool {
	if a.Arrived != b.Arrived {
		return a.Arrived > b.Arrived
	}
	return a.ID > b.ID
}

// all returns the tickets in arbitrary order.
func (q *Queue) all() []Ticket {
	tickets := make([]Ticket, 0, q.length)
	for _, f := range q.flows {
		tickets = append(tickets, f.tickets...)
	}
	return tickets
}

// waitDeadline returns the latest time for the ticket to leave the queue. It is
// limited by maxWait and by the time left for the prefill before the deadline.
func (t *Ticket) waitDeadline(maxWait time.Duration) time.Duration {
	return min(t.Arrived+maxWait, t.Deadline-t.PrefillTime)
}
