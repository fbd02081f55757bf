package quota

import (
	"time"

	"sassafrasfield/internal/limit"
)

// GrantRequest is a question for one send to an upstream with a limit.
type GrantRequest struct {
	// Limit is what the asking instance knows of the upstream's limit.
	Limit UpstreamLimit
	// FirstHand: the upstream itself told it so, and no other instance.
	FirstHand bool
	// From names the asking instance.
	From uint64
	// Priority of the request; 0 is the most urgent.
	Priority int
	// Continues: the caller has a part of the answer already.
	Continues bool
}

// Verdict on an Ask.
type Verdict struct {
	Granted bool
	// RetryIn is when to ask again.
	RetryIn time.Duration
}

const (
	// leastBurst is how many requests an upstream may get at once after a time without any,
	// and burstTime the time of its limit in which it takes so many, where that is more.
	leastBurst = 2
	burstTime  = 250 * time.Millisecond
	// debt is how many more go on with answers that have begun.
	debt = 1
	// settleFor is how long an instance has coordinated until it grants: another one that
	// takes itself for the coordinator hears of it before.
	settleFor = 500 * time.Millisecond
	// standstill is the time without a sign of life after which an instance that
	// coordinates begins anew: it stood still, and another one took over.
	standstill = time.Second
	// urgentFor is for how long a more urgent request that asked has a token kept for it.
	urgentFor = time.Second
	// asksEach is how many instances are told to ask again for each token, as some have no
	// request by then.
	asksEach = 2
	// waitAtMost bounds the time until an instance asks again.
	waitAtMost = time.Second
	// NoCoordinatorRetry is when to ask again where nobody grants.
	NoCoordinatorRetry = 200 * time.Millisecond
	// idleFor is for how long the bucket of an upstream is kept that nobody asks for.
	idleFor = time.Minute
)

// Coordinator gives the sends to upstreams with limits out, where one instance does so for all.
// It is not safe for concurrent use.
type Coordinator struct {
	// share is the part of each limit that is given out here; 0 is none.
	share float64
	// since is when this instance began to coordinate, keptAt its last sign of life.
	since, keptAt time.Duration
	allowances    map[uint32]*allowance
}

// allowance is what an upstream still takes.
type allowance struct {
	bucket *limit.Bucket
	// nextAsk is when the next instance is told to ask again, turns when each one is.
	nextAsk time.Duration
	turns   map[asker]time.Duration
	// urgent is the most urgent priority that asked lately, at urgentAt.
	urgent   int
	urgentAt time.Duration
	usedAt   time.Duration
}

// asker is an instance with requests of a priority.
type asker struct {
	instance uint64
	priority int
}

// NewCoordinator returns grants of an instance that does not coordinate.
func NewCoordinator() *Coordinator { return &Coordinator{allowances: map[uint32]*allowance{}} }

// SetShare has this instance give out a part of each limit, or none when the share is 0. It is
// called several times a second. Who begins has nothing to give out yet, as the instance
// before may have given out all.
func (g *Coordinator) SetShare(share float64, now time.Duration) {
	if g.share == 0 || share == 0 || now-g.keptAt > standstill {
		g.since = now
		clear(g.allowances)
	}
	g.share, g.keptAt = share, now
	for upstream, a := range g.allowances {
		if now-a.usedAt > idleFor {
			delete(g.allowances, upstream)
		}
	}
}

// Share is the part of each limit that is given out here.
func (g *Coordinator) Share() float64 { return g.share }

// Active tells whether this instance grants.
func (g *Coordinator) Active(now time.Duration) bool {
	return g.share > 0 && now-g.keptAt <= standstill && now-g.since >= settleFor
}

// Limits is what is known of upstreams' limits.
type Limits interface {
	// ApplyLimit takes what an instance was told by the upstream itself.
	ApplyLimit(w UpstreamLimit, now time.Duration)
	// Limit returns what is known of an upstream's limit; known is false for one that never
	// had one.
	Limit(upstream uint32, now time.Duration) (w UpstreamLimit, firstHand, known bool)
}

// Decide takes what an instance that asks for a send was told, and decides on it by the
// newest word. Without one here, the asker's counts.
func (g *Coordinator) Decide(limits Limits, ask GrantRequest, now time.Duration) Verdict {
	if ask.FirstHand {
		limits.ApplyLimit(ask.Limit, now)
	}
	word, _, known := limits.Limit(ask.Limit.Upstream, now)
	if !known {
		word = ask.Limit
	}
	if !word.Limited() {
		return Verdict{Granted: true}
	}
	return g.Take(ask, word.Rate, now)
}

// Take decides on one send to an upstream that takes so many requests a second.
func (g *Coordinator) Take(ask GrantRequest, rate float64, now time.Duration) Verdict {
	if !g.Active(now) {
		return Verdict{RetryIn: NoCoordinatorRetry}
	}
	a := g.allowance(ask.Limit.Upstream, now)
	a.usedAt = now
	a.bucket.Set(rate*g.share, burstOf(rate*g.share), now)
	left := a.leaves(ask, now)
	if a.bucket.TakeReserving(left, now) {
		return Verdict{Granted: true}
	}
	return Verdict{RetryIn: a.askAgainIn(asker{ask.From, ask.Priority}, left, rate*g.share, now)}
}

func burstOf(rate float64) float64 { return max(leastBurst, rate*burstTime.Seconds()) }

func (g *Coordinator) allowance(upstream uint32, now time.Duration) *allowance {
	a, ok := g.allowances[upstream]
	if !ok {
		a = &allowance{bucket: limit.NewBucket(now), urgent: -1, turns: map[asker]time.Duration{}}
		g.allowances[upstream] = a
	}
	return a
}

// leaves is how many tokens must be left after a request: one for those that are more
// urgent while these ask too.
func (a *allowance) leaves(ask GrantRequest, now time.Duration) float64 {
	if ask.Continues {
		return -debt
	}
	if a.urgent < 0 || ask.Priority <= a.urgent || now-a.urgentAt > urgentFor {
		a.urgent, a.urgentAt = ask.Priority, now
		return 0
	}
	return 1
}

// askAgainIn spreads the instances that found nothing over the next tokens. One that asks
// several times at once has one turn.
func (a *allowance) askAgainIn(from asker, left, rate float64, now time.Duration) time.Duration {
	soonest := now + a.bucket.Until(1+left)
	if turn := a.turns[from]; turn > now {
		return max(soonest, turn) - now
	}
	a.nextAsk = max(soonest, a.nextAsk+time.Duration(float64(time.Second)/rate/asksEach))
	a.nextAsk = min(a.nextAsk, max(soonest, now+waitAtMost))
	a.turns[from] = a.nextAsk
	return a.nextAsk - now
}
