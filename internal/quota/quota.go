// Package quota has what upstreams announce of themselves to all instances: the requests that
// they take, and that they leave. It keeps the requests to an upstream that limits them within
// its limit, over all instances together. The instance that gets an answer with an announcement
// tells the others, and each send to an upstream with a limit needs a grant of the one instance
// that coordinates the grants.
//
// Book has what is known of the announcements, Grants is the coordinator's part. The package is
// pure: times are passed in, on the instance's monotonic clock.
//
// Callers: upstreamstate (Book), relay (Grants), peers (what is told and asked).
package quota

import (
	"math"
	"slices"
	"time"
)

// Unlimited is the rate of an upstream that announces no limit.
var Unlimited = math.Inf(1)

// Bounds of the rates that are kept to, in requests a second.
const (
	// leastRate is the lowest. Only the answer to a request shows that a limit has ended, so
	// an upstream that takes none is still asked so often.
	leastRate = 0.1
	// mostRate is one that no upstream gets, so that it counts as no limit.
	mostRate = 10_000
)

// Announcement is what an answer says of its upstream to all instances.
type Announcement struct {
	// Limited tells that it names a limit; Rate is in requests a second, 0 for none at all.
	Limited bool
	Rate    float64
	// Draining: it ends soon, and takes no new requests.
	Draining bool
}

// rate is the announced rate as it is kept to.
func (a Announcement) rate() float64 {
	if !a.Limited || a.Rate >= mostRate {
		return Unlimited
	}
	return max(a.Rate, leastRate)
}

// AddAge returns words that have waited for a time since they were told.
func AddAge(words []UpstreamLimit, by time.Duration) []UpstreamLimit {
	aged := slices.Clone(words)
	for i := range aged {
		aged[i].Age += by
	}
	return aged
}

// Merge returns newer words, with the older ones on other upstreams.
func Merge(older, newer []UpstreamLimit) []UpstreamLimit {
	merged := slices.Clone(newer)
	for _, w := range older {
		if !slices.ContainsFunc(newer, func(n UpstreamLimit) bool { return n.Upstream == w.Upstream }) {
			merged = append(merged, w)
		}
	}
	return merged[:min(len(merged), tellAtMost)]
}

// Limited tells whether the upstream limits its requests.
func (w UpstreamLimit) Limited() bool { return !math.IsInf(w.Rate, 1) }

// UpstreamLimit is what one instance tells others of an upstream's announcements.
type UpstreamLimit struct {
	// Upstream is a hash of its incarnation.
	Upstream uint32
	// Rate in requests a second, Unlimited where there is no limit, or it ended.
	Rate float64
	// Draining upstreams end soon. No incarnation takes this back.
	Draining bool
	// Age of the newest answer that said so.
	Age time.Duration
}
