package quarantine

import (
	"slices"
	"time"
)

// maxKnownCrashes bounds the crashes of a record that are recognized when they are reported again.
const maxKnownCrashes = 32

// record holds the crashes that occurred under a subject.
type record struct {
	// counted is how many crashes count; lastCounted is when the newest of them became known.
	counted     int
	lastCounted time.Duration
	// known are the upstreams whose crashes are known, counted or not, the oldest first.
	known  []uint32
	newest time.Duration
	// observed are the upstreams of known whose crashes this instance observed itself.
	observed []uint32
}

// observe records that this instance observed the crash of an upstream.
func (r *record) observe(upstream uint32) {
	if !slices.Contains(r.observed, upstream) {
		r.observed = append(r.observed[max(0, len(r.observed)-maxKnownCrashes+1):], upstream)
	}
}

// observedFirst reports whether this instance observed the crash that comes first in an order that is the same at all
// instances that know the same crashes.
func (r *record) observedFirst() bool {
	return len(r.observed) > 0 && len(r.known) > 0 && slices.Min(r.observed) <= slices.Min(r.known)
}

// add records the crash of an upstream, and reports whether it was not known before.
func (r *record) add(upstream uint32, spacing, now time.Duration) bool {
	if slices.Contains(r.known, upstream) {
		return false
	}
	r.known = append(r.known[max(0, len(r.known)-maxKnownCrashes+1):], upstream)
	r.newest = now
	if r.counted == 0 || now-r.lastCounted >= spacing {
		r.counted++
		r.lastCounted = now
	}
	return true
}

// quarantine is the latest quarantine of a subject.
type quarantine struct {
	// times is its number, from 1.
	times int
	since time.Duration
	// jitter, in [0, 1), makes instances try the subject again at different times.
	jitter float64
	// trial is the request that tries the subject after the quarantine; empty for none. Others are refused until
	// trialUntil.
	trial      string
	trialUntil time.Duration
}
