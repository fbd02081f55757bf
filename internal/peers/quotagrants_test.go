package peers

import (
	"fmt"
	"testing"
	"time"

	"sassafrasfield/internal/limit"
)

// Organisations have quotas over all instances. The instances of these tests run the real exchange and the
// real granter in virtual time; the requests are simulated.

const (
	quotaWindow = 8 * time.Second
	// quotaTolerance is the part by which the tokens of a window may exceed the quota.
	quotaTolerance = 0.1
	// largestCost and smallestCost bound the cost of a request in tokens.
	largestCost, smallestCost = 20_000, 200
	// quotaDecisionWait is how long a request waits for a decision.
	quotaDecisionWait = time.Second
	// quotaRetry is the time between the attempts of a request on which nobody decided.
	quotaRetry = 100 * time.Millisecond
	// quotaStartup is how long a fleet takes after its start until an instance grants, with margin for lost
	// datagrams.
	quotaStartup = coordinateAfter + 2*time.Second
)

// quotaRun is one request of an organisation that ran.
type quotaRun struct {
	at   time.Duration
	cost float64
}

// quotaCall is a request that waits for a grant.
type quotaCall struct {
	node      *virtualNode
	request   limit.GrantRequest
	since     time.Duration
	requestID uint64
	answer    <-chan limit.Grant
	resendAt  time.Duration
	retryAt   time.Duration
	askedAt   time.Duration
}

// quotaFleet is a virtual fleet that serves one organisation with a quota.
type quotaFleet struct {
	*virtualFleet
	zones   int
	quota   limit.Quota
	pending []*quotaCall
	runs    []quotaRun
	// refused and undecided count the requests that were not granted.
	offered, refused, undecided int
	due                         float64
	// unlimited makes all requests run at once, as without a quota.
	unlimited bool
}

// newQuotaFleet returns a fleet whose organisation may run requests of a mean cost at a rate.
func newQuotaFleet(instances, zones int, seed uint64, rate float64) *quotaFleet {
	f := &quotaFleet{
		virtualFleet: newVirtualFleet(instances, zones, 0.01, seed), zones: zones,
		quota: limit.Quota{Organisation: "o", Rate: rate, Burst: rate, Version: 1},
	}
	f.run(quotaStartup)
	return f
}

func (f *quotaFleet) meanCost() float64 { return (largestCost + smallestCost) / 2 }

// serve offers tokens at a rate for a time. At selects the instance of a request; nil for a random one.
func (f *quotaFleet) serve(tokensPerSecond float64, d time.Duration, at func() *virtualNode) {
	for end := f.now + d; f.now < end; {
		f.due += tokensPerSecond / f.meanCost() * virtualTick.Seconds() * 2 * f.rng.Float64()
		for ; f.due >= 1; f.due-- {
			f.offer(at)
		}
		f.run(virtualTick)
		f.poll()
	}
}

func (f *quotaFleet) offer(at func() *virtualNode) {
	node := f.nodes[f.rng.IntN(len(f.nodes))]
	if at != nil {
		node = at()
	}
	if !node.up || node.frozen {
		return
	}
	f.offered++
	cost := smallestCost + f.rng.Float64()*(largestCost-smallestCost)
	f.ask(&quotaCall{node: node, request: limit.GrantRequest{Quota: f.quota, Cost: cost}, since: f.now})
}

// ask requests a grant as Reporter.RequestQuotaGrant does.
func (f *quotaFleet) ask(c *quotaCall) {
	c.retryAt = 0
	if f.unlimited {
		f.resolve(c, limit.Grant{Granted: true})
		return
	}
	switch coordinator := c.node.exchange.coordinator(); coordinator {
	case c.node.exchange.self.Address:
		f.resolve(c, c.node.loads.DecideQuotaGrant(c.request))
	case "":
		f.resolve(c, limit.Grant{Undecided: true})
	default:
		c.requestID, c.answer = c.node.quotaRequests.register()
		c.askedAt, c.resendAt = f.now, f.now+grantResendDelay
		c.node.send(c.node.quotaAsk(c.requestID, c.request), []string{coordinator})
		f.pending = append(f.pending, c)
	}
}

// resolve carries out a decision, and asks again later if there is none.
func (f *quotaFleet) resolve(c *quotaCall, grant limit.Grant) {
	switch {
	case grant.Granted:
		f.runs = append(f.runs, quotaRun{at: f.now, cost: c.request.Cost})
	case !grant.Undecided:
		f.refused++
	case f.now-c.since >= quotaDecisionWait:
		f.undecided++
	default:
		c.answer, c.retryAt = nil, f.now+quotaRetry
		f.pending = append(f.pending, c)
	}
}

// poll handles the decisions that arrived, and the requests that timed out.
func (f *quotaFleet) poll() {
	open := f.pending
	f.pending = nil
	for _, c := range open {
		switch {
		case !c.node.up: // the request ended with its instance
		case c.node.frozen:
			f.pending = append(f.pending, c)
		case c.answer == nil && f.now >= c.retryAt:
			f.ask(c)
		case c.answer == nil:
			f.pending = append(f.pending, c)
		default:
			f.receive(c)
		}
	}
}

func (f *quotaFleet) receive(c *quotaCall) {
	select {
	case grant := <-c.answer:
		f.resolve(c, grant)
		return
	default:
	}
	if f.now-c.askedAt >= grantRequestTimeout {
		c.node.quotaRequests.cancel(c.requestID)
		f.resolve(c, limit.Grant{Undecided: true})
		return
	}
	if f.now >= c.resendAt {
		c.resendAt = f.now + grantRequestTimeout
		c.node.send(c.node.quotaAsk(c.requestID, c.request), []string{c.node.exchange.coordinator()})
	}
	f.pending = append(f.pending, c)
}

// restart restarts an instance.
func (f *quotaFleet) restart(i int) { f.start(i, f.zones) }

// coordinatorIndex returns the index of the instance that grants; -1 if there is none.
func (f *quotaFleet) coordinatorIndex() int {
	for i, n := range f.nodes {
		if n.up && !n.frozen && n.loads.quotas.Active(n.loads.now()) {
			return i
		}
	}
	return -1
}

// ranSince returns the tokens of the requests that ran from a time on.
func (f *quotaFleet) ranSince(from time.Duration) float64 {
	sum := 0.0
	for _, r := range f.runs {
		if r.at >= from {
			sum += r.cost
		}
	}
	return sum
}

// worstWindow returns the largest part of what a window allows that ran in one.
func (f *quotaFleet) worstWindow() float64 {
	allowed := (f.quota.Rate*quotaWindow.Seconds()+f.quota.Burst)*(1+quotaTolerance) + largestCost
	most, sum, first := 0.0, 0.0, 0
	for _, r := range f.runs {
		sum += r.cost
		for r.at-f.runs[first].at > quotaWindow {
			sum -= f.runs[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most / allowed
}

// quotaSizes are the fleets of these tests: instances and zones.
var quotaSizes = []struct{ instances, zones int }{{1, 1}, {9, 4}, {68, 4}, {195, 6}}

// TestQuotaIsUsedAndNotExceeded guards against organisations that are refused below their quota, and against
// those that run more than it: with twice the quota asked for, with nine tenths of it, and with nine tenths of
// the requests at one instance.
func TestQuotaIsUsedAndNotExceeded(t *testing.T) {
	t.Parallel()
	const rate, length = 700_000, 12 * time.Second
	for _, size := range quotaSizes {
		for _, skewed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d instances, skewed %t", size.instances, skewed), func(t *testing.T) {
				t.Parallel()
				over := newQuotaFleet(size.instances, size.zones, 1, rate)
				under := newQuotaFleet(size.instances, size.zones, 2, rate)
				from := over.now
				over.serve(2*rate, length, over.placement(skewed))
				under.serve(0.9*rate, length, under.placement(skewed))
				used := over.ranSince(from) / (rate * length.Seconds())
				refused := float64(under.refused+under.undecided) / float64(under.offered)
				t.Logf("%.3f of the quota used at twice, worst window %.2f; %.4f refused at 0.9", used, over.worstWindow(), refused)
				if used < 0.95 || over.worstWindow() > 1 {
					t.Errorf("%.3f of the quota used, worst window %.2f", used, over.worstWindow())
				}
				if refused > 0.001 {
					t.Errorf("%d refused, %d undecided of %d below the quota", under.refused, under.undecided, under.offered)
				}
			})
		}
	}
}

// placement returns where requests arrive: anywhere, or nine tenths of them at the last instance.
func (f *quotaFleet) placement(skewed bool) func() *virtualNode {
	return func() *virtualNode {
		if skewed && f.rng.Float64() < 0.9 {
			return f.nodes[len(f.nodes)-1]
		}
		return f.nodes[f.rng.IntN(len(f.nodes))]
	}
}

// TestQuotaHoldsUnderFailures guards against an organisation that runs more than its quota while instances
// fail: an organisation sends ten times its quota throughout.
func TestQuotaHoldsUnderFailures(t *testing.T) {
	t.Parallel()
	const rate = 700_000
	failures := map[string]func(f *quotaFleet){
		"the coordinator is killed": func(f *quotaFleet) {
			for range 3 {
				if i := f.coordinatorIndex(); i >= 0 {
					f.restart(i)
				}
				f.serve(10*rate, 3*time.Second, nil)
			}
		},
		"the coordinator freezes and thaws": func(f *quotaFleet) {
			for _, d := range []time.Duration{600 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second} {
				if i := f.coordinatorIndex(); i >= 0 {
					f.nodes[i].frozen = true
					f.serve(10*rate, d, nil)
					f.nodes[i].frozen = false
				}
				f.serve(10*rate, 3*time.Second, nil)
			}
		},
		"the zones are partitioned in halves": func(f *quotaFleet) {
			side := func(n *virtualNode) bool { return n.exchange.self.Zone < "z2" }
			f.blocked = func(from, to *virtualNode) bool { return side(from) != side(to) }
			f.serve(10*rate, 6*time.Second, nil)
			f.blocked = nil
			f.serve(10*rate, 6*time.Second, nil)
		},
		"a fifth of the instances is cut off": func(f *quotaFleet) {
			cut := map[*virtualNode]bool{}
			for i, n := range f.nodes {
				cut[n] = i%5 == 0
			}
			f.blocked = func(from, to *virtualNode) bool { return cut[from] || cut[to] }
			f.serve(10*rate, 6*time.Second, nil)
			f.blocked = nil
			f.serve(10*rate, 6*time.Second, nil)
		},
		"all are restarted at once": func(f *quotaFleet) {
			for range 2 {
				for i := range f.nodes {
					f.restart(i)
				}
				f.serve(10*rate, 5*time.Second, nil)
			}
		},
		"most are restarted": func(f *quotaFleet) {
			for i := range f.nodes {
				if i%10 < 7 {
					f.restart(i)
				}
			}
			f.serve(10*rate, 9*time.Second, nil)
		},
		"the quota is raised, lowered and raised": func(f *quotaFleet) {
			for _, factor := range []float64{0.5, 1} {
				f.quota.Rate, f.quota.Burst = factor*rate, factor*rate
				f.quota.Version++
				f.serve(10*rate, 3*time.Second, nil)
			}
		},
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, size := range quotaSizes[1:3] {
				f := newQuotaFleet(size.instances, size.zones, 3, rate)
				f.serve(10*rate, 9*time.Second, nil)
				fail(f)
				if worst := f.worstWindow(); worst > 1 || worst < 0.5 {
					t.Errorf("%d instances: the worst window has %.2f of what it may have", size.instances, worst)
				}
			}
		})
	}
}

// TestQuotaCheckFailsWithoutLimit shows that the check of these tests finds an organisation without a limit.
func TestQuotaCheckFailsWithoutLimit(t *testing.T) {
	t.Parallel()
	const rate = 700_000
	f := newQuotaFleet(9, 4, 1, rate)
	f.unlimited = true
	f.serve(2*rate, 2*quotaWindow, nil)
	if worst := f.worstWindow(); worst < 1.5 {
		t.Errorf("the worst window has %.2f of what it may have", worst)
	}
}

// TestDebtOutlivesItsCoordinator guards against an organisation that runs one request beyond its quota for each instance that
// begins to grant: the debt of the last request is known to the instance that granted it alone.
func TestDebtOutlivesItsCoordinator(t *testing.T) {
	t.Parallel()
	const rate = largestCost / 4 // the largest request is the quota of 4 s
	f := newQuotaFleet(9, 4, 3, rate)
	f.serve(10*rate, 9*time.Second, nil)
	for range 8 {
		if i := f.coordinatorIndex(); i >= 0 {
			f.restart(i)
		}
		f.serve(10*rate, 2*time.Second, nil)
	}
	if worst := f.worstWindow(); worst > 1 {
		t.Errorf("the worst window has %.2f of what it may have", worst)
	}
}
