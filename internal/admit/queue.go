package admit

import (
	"slices"
	"time"
)

// Queue holds tickets until there is room. The next one is the one with the
// highest priority; between organisations of the same priority the order is
// start-time fair queueing over tokens of work. An organisation that is ahead
// of its fair share by more than the credit gets no use of a priority above 0,
// so that none takes more than its share by declaring all its requests urgent.
// It is not safe for concurrent use.
type Queue struct {
	credit  float64
	flows   map[string]*flow
	virtual float64
	length  int
}

// flow is one organisation's part of the queue.
type flow struct {
	organisation string
	share        float64
	// start is the virtual time at which the flow's next ticket starts.
	start   float64
	tickets []Ticket // by priority, then by arrival
}

// NewQueue returns an empty queue. Credit is in tokens of work for a share of
// 1.
func NewQueue(credit float64) *Queue {
	return &Queue{credit: credit, flows: map[string]*flow{}}
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
	f.share = t.share()
	if len(f.tickets) == 0 {
		f.start = max(f.start, q.virtual)
	}
	at := len(f.tickets)
	for at > 0 && f.tickets[at-1].Priority < t.Priority {
		at--
	}
	f.tickets = slices.Insert(f.tickets, at, t)
	q.length++
}

// Pop takes the next ticket out and charges its work to its organisation.
func (q *Queue) Pop() (t Ticket, ok bool) {
	if q.length == 0 {
		return Ticket{}, false
	}
	q.advance()
	var best *flow
	for _, f := range q.flows {
		if len(f.tickets) > 0 && (best == nil || q.before(f, best)) {
			best = f
		}
	}
	t = best.tickets[0]
	best.tickets = slices.Delete(best.tickets, 0, 1)
	best.start += t.Work / best.share
	q.length--
	q.forget()
	return t, true
}

// advance moves the virtual time to the earliest start of a waiting flow.
func (q *Queue) advance() {
	earliest, any := 0.0, false
	for _, f := range q.flows {
		if len(f.tickets) > 0 && (!any || f.start < earliest) {
			earliest, any = f.start, true
		}
	}
	if any {
		q.virtual = max(q.virtual, earliest)
	}
}

func (q *Queue) before(a, b *flow) bool {
	if pa, pb := q.priority(a), q.priority(b); pa != pb {
		return pa > pb
	}
	if a.start != b.start {
		return a.start < b.start
	}
	return a.organisation < b.organisation
}

// priority is that of the flow's next ticket, as far as its share allows.
func (q *Queue) priority(f *flow) int {
	priority := f.tickets[0].Priority
	if priority > 0 && f.start-q.virtual > q.credit/f.share {
		return 0
	}
	return priority
}

// forget drops flows that are empty and have no work charged ahead.
func (q *Queue) forget() {
	for name, f := range q.flows {
		if len(f.tickets) == 0 && f.start <= q.virtual {
			delete(q.flows, name)
		}
	}
}

// Remove takes a ticket out without charging it; false when it is not there.
func (q *Queue) Remove(id string) bool {
	for _, f := range q.flows {
		at := slices.IndexFunc(f.tickets, func(t Ticket) bool { return t.ID == id })
		if at >= 0 {
			f.tickets = slices.Delete(f.tickets, at, at+1)
			q.length--
			return true
		}
	}
	return false
}

// Lowest returns the ticket to give up first for one of a higher priority: of
// the lowest priority the newest.
func (q *Queue) Lowest() (t Ticket, ok bool) {
	for _, candidate := range q.all() {
		if !ok || candidate.Priority < t.Priority ||
			(candidate.Priority == t.Priority && newer(candidate, t)) {
			t, ok = candidate, true
		}
	}
	return t, ok
}

func newer(a, b Ticket) bool {
	if a.Arrived != b.Arrived {
		return a.Arrived > b.Arrived
	}
	return a.ID > b.ID
}

// all returns the tickets in no order.
func (q *Queue) all() []Ticket {
	tickets := make([]Ticket, 0, q.length)
	for _, f := range q.flows {
		tickets = append(tickets, f.tickets...)
	}
	return tickets
}

// latest is when the ticket must leave the queue to make its deadline, or has
// waited as long as allowed.
func (t *Ticket) latest(maxWait time.Duration) time.Duration {
	return min(t.Arrived+maxWait, t.Deadline-t.Own)
}
