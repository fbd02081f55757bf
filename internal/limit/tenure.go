package limit

import "time"

// StallTimeout is the time without Refresh after which a Tenure begins anew: the process was stalled, and
// another instance may have taken over.
const StallTimeout = time.Second

// Tenure is the time in which this instance is the one that decides for all. It does not decide for a settle
// time first, so that the one before learns of it. It is not safe for concurrent use.
type Tenure struct {
	settle time.Duration
	active bool
	// since is when the tenure began, refreshedAt the time of the last Refresh.
	since, refreshedAt time.Duration
}

// NewTenure returns the tenure of an instance that does not decide yet.
func NewTenure(settle time.Duration) Tenure { return Tenure{settle: settle} }

// Refresh sets whether this instance is the one that decides. It must be called several times a second. It
// returns true if a tenure begins, or none is on: what was decided before does not count.
func (t *Tenure) Refresh(active bool, now time.Duration) (begins bool) {
	if begins = !active || !t.active || now-t.refreshedAt > StallTimeout; begins {
		t.since = now
	}
	t.active, t.refreshedAt = active, now
	return begins
}

// DecidesFrom returns from when on this instance decides.
func (t *Tenure) DecidesFrom() time.Duration { return t.since + t.settle }

// Decides reports whether this instance decides.
func (t *Tenure) Decides(now time.Duration) bool {
	return t.active && now-t.refreshedAt <= StallTimeout && now >= t.DecidesFrom()
}
