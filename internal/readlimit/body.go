package readlimit

import "time"

// BodyLimits bound a body that is read as a whole.
type BodyLimits struct {
	MaxBytes int64
	// MaxTime bounds the time from the end of the header to the end of the body.
	MaxTime time.Duration
}

// Whole is what was received of a body that is read as a whole.
type Whole struct {
	limits   BodyLimits
	bytes    int64
	began    time.Duration
	deadline deadline
}

// NewWhole returns a body that begins at a time, with the length that its header declares; negative if it declares
// none. The error is an *Exceeded.
func NewWhole(limits BodyLimits, declared int64, now time.Duration) (*Whole, error) {
	w := &Whole{limits: limits, began: now, deadline: deadline{at: now + limits.MaxTime}}
	if declared > limits.MaxBytes {
		return w, &Exceeded{Part: PartBody, Received: declared}
	}
	return w, nil
}

// Received records that n bytes were received. The error is an *Exceeded.
func (w *Whole) Received(n int, now time.Duration) error {
	w.bytes += int64(n)
	if w.bytes > w.limits.MaxBytes {
		return &Exceeded{Part: PartBody, Received: w.bytes, After: now - w.began}
	}
	return nil
}

// Deadline returns the time until which the body must be complete.
func (w *Whole) Deadline() time.Duration { return w.deadline.at }

// Expired returns the error, an *Exceeded, at a time at which the deadline was found to have passed. It is nil if
// there is a new deadline.
func (w *Whole) Expired(now time.Duration) error {
	if !w.deadline.expired(now) {
		return nil
	}
	return &Exceeded{Part: PartBody, Received: w.bytes, After: now - w.began, InTime: true}
}
