package readlimit

import "time"

// lateGrace is how long a reader that finds its deadline passed may read on, once. If this process was suspended or
// starved of CPU past the deadline, the rest has been received by the kernel meanwhile and is read well within it.
const lateGrace = 50 * time.Millisecond

// deadline is the time until which a part has to be complete.
type deadline struct {
	at      time.Duration
	granted bool // whether the grace was granted
}

// expired returns whether the part has failed at a time at which the deadline was found to have passed. The first time
// it has not: the deadline is set anew.
func (d *deadline) expired(now time.Duration) bool {
	if d.granted {
		return true
	}
	d.granted, d.at = true, now+lateGrace
	return false
}
