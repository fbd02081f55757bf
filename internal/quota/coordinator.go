package quota

import (
	"time"

	"sassafrasfield/internal/limit"
)

// GrantRequest requests a grant from the coordinator to send one request to an upstream with a limit.
type GrantRequest struct {
	// Limit is the upstream's limit as the requesting instance knows it.
	Limit UpstreamLimit
	// FirstHand is true if the instance received the limit from the upstream itself, not from another
	// instance.
	FirstHand bool
	// From is the id of the requesting instance.
	From uint64
	// Priority of the request; 0 is the most urgent.
	Priority int
	// Continues is true if the caller has received a part of the answer already.
	Continues bool
}

// Verdict is the answer to a GrantRequest.
type Verdict struct {
	Granted bool
	// RetryIn is the time after which to request a grant again.
	RetryIn time.Duration
}

const (
	// minBurst is the least burst of an upstream, in requests: how many it may receive at once after a time
	// without any. burstTime is the time whose share of the limit is the burst where that is more.
	minBurst  = 2
	burstTime = 250 * time.Millisecond
	// continuationDebt is how many tokens requests that continue an answer may borrow.
	continuationDebt = 1
	// settleTime is how long an instance coordinates before its first grant, so that another instance that
	// also assumes that it is the coordinator learns of this one first.
	settleTime = 500 * time.Millisecond
	// urgentTimeout is how long a token is reserved for a more urgent request after its last grant request.
	urgentTimeout = time.Second
	// retriesPerToken is how many instances are told to retry for each token, as some of them have no request
	// left by then.
	retriesPerToken = 2
	// maxRetryIn bounds the time until an instance retries.
	maxRetryIn = time.Second
	// NoCoordinatorRetry is the time until an instance retries if no coordinator answers.
	NoCoordinatorRetry = 200 * time.Millisecond
	// idleTimeout is how long the state of an upstream is kept without grant requests.
	idleTimeout = time.Minute
)

// Coordinator grants the requests of all instances to upstreams with limits. One instance coordinates; while
// the network is partitioned, one on each side may, with a share of the limits. It is not safe for concurrent
// use.
type Coordinator struct {
	// share is the share of each limit that this instance grants; 0 if it is not the coordinator.
	share      float64
	tenure     limit.Tenure
	allowances map[uint32]*allowance
}

// allowance is what may still be granted for an upstream.
type allowance struct {
	bucket *limit.Bucket
	// lastRetry is the latest retry time given out, retryAt the one of each requester.
	lastRetry time.Duration
	retryAt   map[requester]time.Duration
	// urgent is the most urgent priority of recent grant requests, -1 if there are none, and urgentAt the
	// time of its last one.
	urgent   int
	urgentAt time.Duration
	usedAt   time.Duration
}

// requester is an instance with requests of a priority.
type requester struct {
	instance uint64
	priority int
}

// NewCoordinator returns the Coordinator of an instance that does not coordinate yet.
func NewCoordinator() *Coordinator {
	return &Coordinator{tenure: limit.NewTenure(settleTime), allowances: map[uint32]*allowance{}}
}

// SetShare sets the share of each limit that this instance grants; 0 is none. It must be called several times
// a second. A coordinator starts with empty buckets, as the one before may have granted the whole limit.
func (c *Coordinator) SetShare(share float64, now time.Duration) {
	c.share = share
	if c.tenure.Refresh(share > 0, now) {
		clear(c.allowances)
	}
	for upstream, a := range c.allowances {
		if now-a.usedAt > idleTimeout {
			delete(c.allowances, upstream)
		}
	}
}

// Share returns the share of each limit that this instance grants.
func (c *Coordinator) Share() float64 { return c.share }

// Active reports whether this instance grants requests.
func (c *Coordinator) Active(now time.Duration) bool { return c.tenure.Decides(now) }

// Limits holds the known limits of upstreams.
type Limits interface {
	// ApplyLimit applies a limit that an instance received from the upstream itself.
	ApplyLimit(l UpstreamLimit, now time.Duration)
	// Limit returns the known limit of an upstream; known is false for one that never had a limit.
	Limit(upstream uint32, now time.Duration) (l UpstreamLimit, firstHand, known bool)
}

// Decide decides on a grant request by the newest known limit of the upstream. It first applies the
// requester's limit if that is first-hand. If limits has none for the upstream, it uses the requester's.
func (c *Coordinator) Decide(limits Limits, req GrantRequest, now time.Duration) Verdict {
	if req.FirstHand {
		limits.ApplyLimit(req.Limit, now)
	}
	current, _, known := limits.Limit(req.Limit.Upstream, now)
	if !known {
		current = req.Limit
	}
	if !current.Limited() {
		return Verdict{Granted: true}
	}
	return c.Take(req, current.Rate, now)
}

// Take decides on a grant request for an upstream that is limited to rate requests a second.
func (c *Coordinator) Take(req GrantRequest, rate float64, now time.Duration) Verdict {
	if !c.Active(now) {
		return Verdict{RetryIn: NoCoordinatorRetry}
	}
	a := c.allowance(req.Limit.Upstream, now)
	a.usedAt = now
	a.bucket.Set(rate*c.share, burstOf(rate*c.share), now)
	reserve := a.reserve(req, now)
	if a.bucket.TakeReserving(reserve, now) {
		return Verdict{Granted: true}
	}
	return Verdict{RetryIn: a.retryIn(requester{req.From, req.Priority}, reserve, rate*c.share, now)}
}

func burstOf(rate float64) float64 { return max(minBurst, rate*burstTime.Seconds()) }

func (c *Coordinator) allowance(upstream uint32, now time.Duration) *allowance {
	a, ok := c.allowances[upstream]
	if !ok {
		a = &allowance{bucket: limit.NewBucket(now), urgent: -1, retryAt: map[requester]time.Duration{}}
		c.allowances[upstream] = a
	}
	return a
}

// reserve returns how many tokens the request must leave in the bucket: one if more urgent requests needed a
// grant within urgentTimeout, and a negative number, a debt, if it continues an answer.
func (a *allowance) reserve(req GrantRequest, now time.Duration) float64 {
	if req.Continues {
		return -continuationDebt
	}
	if a.urgent < 0 || req.Priority <= a.urgent || now-a.urgentAt > urgentTimeout {
		a.urgent, a.urgentAt = req.Priority, now
		return 0
	}
	return 1
}

// retryIn spreads the retries of refused requesters over the next tokens. A requester that is refused several
// times before its retry keeps the same retry time.
func (a *allowance) retryIn(from requester, reserve, rate float64, now time.Duration) time.Duration {
	soonest := now + a.bucket.Until(1+reserve)
	if retryAt := a.retryAt[from]; retryAt > now {
		return max(soonest, retryAt) - now
	}
	a.lastRetry = max(soonest, a.lastRetry+time.Duration(float64(time.Second)/rate/retriesPerToken))
	a.lastRetry = min(a.lastRetry, max(soonest, now+maxRetryIn))
	a.retryAt[from] = a.lastRetry
	return a.lastRetry - now
}
