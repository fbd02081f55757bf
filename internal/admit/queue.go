package admit

import (
	"math"
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

// Next returns the ticket that Pop would take out.
func (q *Queue) Next() (t Ticket, ok bool) {
	if f := q.next(); f != nil {
		return f.tickets[0], true
	}
	return Ticket{}, false
}

// Pop takes the next ticket out and charges its work to its organisation. The
// virtual time becomes the earliest start of those that waited, so that a flow
// that comes next starts before one that has just been served.
func (q *Queue) Pop() (t Ticket, ok bool) {
	best := q.next()
	if best == nil {
		return Ticket{}, false
	}
	q.virtual = max(q.virtual, q.earliest())
	t = best.tickets[0]
	best.tickets = slices.Delete(best.tickets, 0, 1)
	best.start += t.Work / best.share
	q.length--
	q.forget()
	return t, true
}

// next returns the flow whose turn it is, or nil.
func (q *Queue) next() *flow {
	earliest := q.earliest()
	var best *flow
	for _, f := range q.flows {
		if len(f.tickets) > 0 && (best == nil || q.before(f, best, earliest)) {
			best = f
		}
	}
	return best
}

// earliest is the earliest start of the waiting flows.
func (q *Queue) earliest() float64 {
	earliest := math.Inf(1)
	for _, f := range q.flows {
		if len(f.tickets) > 0 {
			earliest = min(earliest, f.start)
		}
	}
	return earliest
}

// WorkAhead returns the work that is served before a ticket that comes now is, by
// the fair shares: its organisation's own waiting work, and what the others
// get meanwhile.
func (q *Queue) WorkAhead(t Ticket) float64 {
	own, shares, others := 0.0, t.share(), 0.0
	for name, f := range q.flows {
		waiting := f.work()
		switch {
		case name == t.Organisation:
			own = waiting + max(0, f.start-q.virtual)*f.share
		case waiting > 0:
			shares += f.share
			others += waiting
		}
	}
	return own + min(others, (own+t.Work)*(shares-t.share())/t.share())
}

// work is what waits in the flow, in tokens.
func (f *flow) work() float64 {
	total := 0.0
	for _, t := range f.tickets {
		total += t.Work
	}
	return total
}

func (q *Queue) before(a, b *flow, earliest float64) bool {
	if pa, pb := q.priority(a, earliest), q.priority(b, earliest); pa != pb {
		return pa > pb
	}
	if a.start != b.start {
		return a.start < b.start
	}
	return a.organisation < b.organisation
}

// priority is that of the flow's next ticket, as far as its share allows.
func (q *Queue) priority(f *flow, earliest float64) int {
	priority := f.tickets[0].Priority
	if priority > 0 && f.start-earliest > q.credit/f.share {
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
	return min(t.Arrived+maxWait, t.Deadline-t.PrefillTime)
}
