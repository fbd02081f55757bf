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
	// observed is true if this instance observed one of the crashes itself.
	observed bool
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
	times           int
	since, duration time.Duration
	// trigger is the upstream whose crash began it here; 0 for one that another instance began.
	trigger uint32
	// trial is the request that tries the subject after the quarantine; empty for none. Others are refused until
	// trialUntil.
	trial      string
	trialUntil time.Duration
}

// ended reports whether the quarantine is over, so that one request may try the subject again.
func (q quarantine) ended(now time.Duration) bool { return now-q.since >= q.duration }
