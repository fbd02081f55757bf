// Package quota keeps the requests of all instances to an upstream within the limit that the upstream
// announces, and tracks which upstreams announce that they are shutting down.
//
// An upstream announces its request limit and its shutdown in the headers of its answers. The instance that
// receives such an answer reports the announcement to the other instances. Each request to an upstream with
// a limit needs a grant of the one instance that coordinates the grants.
//
// Table holds the announcements known to an instance, Coordinator grants requests. The package does no I/O
// and reads no clock: times are passed in, on the instance's monotonic clock.
//
// Callers: upstreamstate (Table), relay (Coordinator), peers (the reports and the requests for grants).
package quota

import (
	"math"
	"slices"
	"time"
)

// Unlimited is the rate of an upstream that announces no limit.
var Unlimited = math.Inf(1)

// Bounds of the rates that are enforced, in requests a second.
const (
	// minRate is the lowest enforced rate. Only the answer to a request shows that a limit was lifted, so
	// an upstream that announces a lower rate, even 0, still gets requests at this rate.
	minRate = 0.1
	// maxRate is more than any upstream receives; a limit of this or more counts as none.
	maxRate = 10_000
)

// Announcement is what an upstream's answer states about the upstream, for all instances.
type Announcement struct {
	// Limited is true if the answer names a limit. Rate is in requests a second; 0 means no requests.
	Limited bool
	Rate    float64
	// Draining is true if the upstream is shutting down and accepts no new requests.
	Draining bool
}

// rate returns the rate to enforce.
func (a Announcement) rate() float64 {
	if !a.Limited || a.Rate >= maxRate {
		return Unlimited
	}
	return max(a.Rate, minRate)
}

// AddAge returns a copy of limits with d added to each age, for limits that were held that long after they
// were received.
func AddAge(limits []UpstreamLimit, d time.Duration) []UpstreamLimit {
	aged := slices.Clone(limits)
	for i := range aged {
		aged[i].Age += d
	}
	return aged
}

// Merge returns the newer limits, followed by the older ones of other upstreams, cut to the size of a report.
func Merge(older, newer []UpstreamLimit) []UpstreamLimit {
	merged := slices.Clone(newer)
	for _, o := range older {
		if !slices.ContainsFunc(newer, func(n UpstreamLimit) bool { return n.Upstream == o.Upstream }) {
			merged = append(merged, o)
		}
	}
	return merged[:min(len(merged), maxReported)]
}

// Limited reports whether the upstream limits its requests.
func (l UpstreamLimit) Limited() bool { return !math.IsInf(l.Rate, 1) }

// UpstreamLimit is an upstream's limit and drain state as one instance reports it to others.
type UpstreamLimit struct {
	// Upstream is a hash of the upstream's incarnation.
	Upstream uint32
	// Rate is in requests a second; Unlimited if there is no limit, or none any more.
	Rate float64
	// Draining is true if the upstream is shutting down. An incarnation never revokes this.
	Draining bool
	// Age is the time since the newest answer with this announcement.
	Age time.Duration
}
