package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/limit"
)

func grantRequest(rate float64) GrantRequest {
	return GrantRequest{Limit: UpstreamLimit{Upstream: upstream, Rate: rate}}
}

// activeCoordinator returns the coordinator of an instance that has coordinated for 10 s, and the time.
func activeCoordinator(rate float64) (*Coordinator, time.Duration) {
	coordinator, now := NewCoordinator(), time.Duration(0)
	for ; now < 10*time.Second; now += 100 * time.Millisecond {
		coordinator.SetShare(1, now)
	}
	coordinator.Take(grantRequest(rate), rate, now)
	return coordinator, now
}

// advance runs the coordinator for a time, and returns the time after it.
func advance(coordinator *Coordinator, now, d time.Duration) time.Duration {
	for end := now + d; now < end; now += 100 * time.Millisecond {
		coordinator.SetShare(1, now)
	}
	coordinator.SetShare(1, now)
	return now
}

// countGrants returns how many of 100 grant requests at once are granted.
func countGrants(coordinator *Coordinator, req GrantRequest, rate float64, now time.Duration) int {
	count := 0
	for range 100 {
		if coordinator.Take(req, rate, now).Granted {
			count++
		}
	}
	return count
}

// TestNewCoordinatorStartsWithEmptyBuckets guards against a limit that is granted twice when another instance
// becomes the coordinator: the one before may have granted all of it. A coordinator that was stalled starts
// over too.
func TestNewCoordinatorStartsWithEmptyBuckets(t *testing.T) {
	coordinator := NewCoordinator()
	coordinator.SetShare(1, 0)
	if n := countGrants(coordinator, grantRequest(10), 10, settleTime-1); n > 0 {
		t.Errorf("%d grants before other instances could have learned of the coordinator", n)
	}
	if n := countGrants(coordinator, grantRequest(10), 10, settleTime); n > 0 {
		t.Errorf("%d grants at the start", n)
	}
	now := advance(coordinator, settleTime, time.Minute)
	if n := countGrants(coordinator, grantRequest(10), 10, now); n != minBurst {
		t.Errorf("%d grants after a time without any, want %d", n, minBurst)
	}
	now += limit.StallTimeout + 1
	for _, resumed := range []time.Duration{now, now + settleTime - 1} {
		if n := countGrants(coordinator, grantRequest(10), 10, resumed); n > 0 {
			t.Errorf("%d grants %s after a stall", n, resumed-now)
		}
		coordinator.SetShare(1, resumed)
	}
	now = advance(coordinator, now, 10*time.Second)
	coordinator.SetShare(0, now)
	coordinator.SetShare(1, now)
	now = advance(coordinator, now, settleTime)
	if n := countGrants(coordinator, grantRequest(10), 10, now); n > 0 {
		t.Errorf("%d grants of tokens from before another instance coordinated", n)
	}
}

// TestGrantsStayWithinTheLimit checks the limit for any times of grant requests, and any changes of the limit
// and of the share.
func TestGrantsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		highest := rapid.Float64Range(minRate, 50).Draw(t, "rate")
		coordinator, now := activeCoordinator(highest)
		start, count := now, 0
		for range rapid.IntRange(1, 200).Draw(t, "questions") {
			now += time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "pause"))
			coordinator.SetShare(rapid.Float64Range(0.1, 1).Draw(t, "share"), now)
			rate := highest * rapid.Float64Range(0.2, 1).Draw(t, "part")
			req := grantRequest(rate)
			req.Priority, req.Continues = rapid.IntRange(0, 3).Draw(t, "priority"), rapid.Bool().Draw(t, "continues")
			req.From = rapid.Uint64Range(1, 5).Draw(t, "from")
			v := coordinator.Take(req, rate, now)
			if v.Granted {
				count++
			} else if v.RetryIn < 0 {
				t.Fatalf("retry in %s", v.RetryIn)
			}
		}
		most := highest*(now-start).Seconds() + burstOf(highest) + continuationDebt
		if float64(count) > most+1e-6 {
			t.Fatalf("%d grants in %s of %g a second", count, now-start, highest)
		}
	})
}

// TestMoreUrgentRequestsGoFirst checks that the last token is reserved for more urgent requests as long as
// they request grants.
func TestMoreUrgentRequestsGoFirst(t *testing.T) {
	const rate = 2
	coordinator, now := activeCoordinator(rate)
	urgent, other := grantRequest(rate), grantRequest(rate)
	urgent.Priority, other.Priority = 1, 4
	grants := map[int]int{}
	for range 200 {
		now = advance(coordinator, now, 100*time.Millisecond)
		for _, req := range []GrantRequest{other, urgent} { // the less urgent one comes first
			if coordinator.Take(req, rate, now).Granted {
				grants[req.Priority]++
			}
		}
	}
	if grants[4] > 1 || grants[1] < 38 {
		t.Errorf("grants by priority: %v", grants)
	}
	now = advance(coordinator, now, 2*urgentTimeout)
	if n := countGrants(coordinator, other, rate, now); n != minBurst {
		t.Errorf("%d grants to less urgent requests once there are no others, want %d", n, minBurst)
	}
	continued := grantRequest(rate)
	continued.Continues = true
	if n := countGrants(coordinator, continued, rate, now); n != continuationDebt {
		t.Errorf("%d grants to continue an answer, want %d", n, continuationDebt)
	}
}

// TestRetryAfterRetryInIsGranted checks that an instance that retries at its retry time gets a grant, and
// that of many instances none is told to wait for longer than maxRetryIn.
func TestRetryAfterRetryInIsGranted(t *testing.T) {
	const rate, instances = 4, 20
	coordinator, now := activeCoordinator(rate)
	countGrants(coordinator, grantRequest(rate), rate, now)
	first := coordinator.Take(grantRequest(rate), rate, now)
	if again := coordinator.Take(grantRequest(rate), rate, now); again != first {
		t.Errorf("the same instance got two verdicts, %v and %v", first, again)
	}
	if v := coordinator.Take(grantRequest(rate), rate, advance(coordinator, now, first.RetryIn)); !v.Granted {
		t.Errorf("not granted after %s", first.RetryIn)
	}
	coordinator, now = activeCoordinator(rate)
	countGrants(coordinator, grantRequest(rate), rate, now)
	for from := range uint64(instances) {
		req := grantRequest(rate)
		req.From = from + 1
		v := coordinator.Take(req, rate, now)
		if v.RetryIn > maxRetryIn {
			t.Errorf("instance %d is told to wait for %s", from, v.RetryIn)
		}
	}
}

// TestDecideUsesTheNewestLimit checks whether the limit of the coordinator or of the requester is used. The
// requester may know of a change before the reports of it reach the coordinator.
func TestDecideUsesTheNewestLimit(t *testing.T) {
	for name, c := range map[string]struct {
		setup     func(*Table)
		req       GrantRequest
		unbounded bool
	}{
		"the coordinator knows no limit": {func(*Table) {}, grantRequest(1), false},
		"the coordinator knows that it was lifted": {func(t *Table) {
			t.ApplyAnnouncement(upstream, limited(1), 0)
			t.ApplyAnnouncement(upstream, Announcement{}, 5*time.Second)
		}, GrantRequest{Limit: UpstreamLimit{Upstream: upstream, Rate: 1, Age: 8 * time.Second}}, true},
		"the requester's limit is newer and first-hand":  {func(t *Table) { t.ApplyAnnouncement(upstream, limited(9), 0) }, GrantRequest{Limit: UpstreamLimit{Upstream: upstream, Rate: 1}, FirstHand: true}, false},
		"the requester's limit is from another instance": {func(t *Table) { t.ApplyAnnouncement(upstream, limited(1), 0) }, GrantRequest{Limit: UpstreamLimit{Upstream: upstream, Rate: 1}}, false},
	} {
		limits := tableLimits{NewTable()}
		c.setup(limits.Table)
		coordinator, now := activeCoordinator(1)
		granted := 0
		for range 100 {
			if coordinator.Decide(limits, c.req, now).Granted {
				granted++
			}
		}
		if (granted == 100) != c.unbounded || !c.unbounded && granted > minBurst {
			t.Errorf("%s: %d grants at once", name, granted)
		}
	}
}

// tableLimits implements Limits by a Table alone.
type tableLimits struct{ *Table }

func (t tableLimits) ApplyLimit(l UpstreamLimit, now time.Duration) { t.ApplyReport(l, SameZone, now) }

func (t tableLimits) Limit(upstream uint32, now time.Duration) (UpstreamLimit, bool, bool) {
	return t.Lookup(upstream, now)
}
