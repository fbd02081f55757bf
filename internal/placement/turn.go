package placement

// Turn is when an engine processes a prompt that waits there with others.
type QueueOrder int

const (
	// TurnNext is before those that yield.
	QueueNormal QueueOrder = iota
	// TurnYield is after all others: the request is late anyway, or is to make
	// room for others that still can be on time.
	QueueDeferred
)

// String returns the turn's name in logs.
func (t QueueOrder) String() string {
	if t == QueueDeferred {
		return "yields"
	}
	return "next"
}

// Turn decides whether a prompt yields. Processed in the order of their arrival,
// all prompts are late for as long as a surge's backlog lasts, though the engines
// could process most of them in time. So those that can still be on time go
// first, as far as those that yield are still processed in time: with so much
// yielding work L that has to be done in a part T of the time that callers wait, the
// others may take the part 1-L/T of the engine. The draw is uniform in [0, 1).
//
// It buys answers on time during a surge: 0.01 to 0.03 of a day's worth, in trials
// with and without on three days of docs/NEW-CUSTOMER.md.
func (c Costs) QueueOrder(req *Request, s Prefill, draw float64) QueueOrder {
	told := s.Engine.Aggregate
	slack := req.Objective - c.Overhead - c.HandOver - s.BusyTime
	if req.Objective <= 0 || c.DeferredShare <= 0 || told.Backlog <= slack/2 {
		return QueueNormal
	}
	if told.Backlog-told.DeferredBacklog > slack {
		return QueueDeferred
	}
	if told.DeferredBacklog <= 0 || req.RemainingWait <= 0 {
		return QueueNormal
	}
	share := 1 - told.DeferredBacklog.Seconds()/(c.DeferredShare*req.RemainingWait.Seconds())
	if draw < share/max(told.Utilization, leastTurnUse) {
		return QueueNormal
	}
	return QueueDeferred
}

// leastTurnUse is the use of an engine below which none of its prompts has to
// yield for those that did.
const leastTurnUse = 0.1
