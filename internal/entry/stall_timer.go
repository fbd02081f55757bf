package entry

import (
	"time"

	"sassafrasfield/internal/stream"
)

// stallTimer limits the wait for an engine's next piece. It is used by one goroutine. Times are on the
// server's monotonic clock.
type stallTimer struct {
	pace  *stream.GapTracker
	timer *time.Timer
	// start is when the wait began.
	start time.Duration
	// extended is true if this wait was already extended once.
	extended bool
}

// newStallTimer starts the wait for the first piece.
func newStallTimer(settings stream.StallSettings, now time.Duration) *stallTimer {
	pace := stream.NewGapTracker(settings)
	return &stallTimer{pace: pace, timer: time.NewTimer(pace.Timeout()), start: now}
}

// pieceArrived records the arrival of a piece.
func (t *stallTimer) pieceArrived(now time.Duration) {
	t.pace.RecordPiece(now - t.start)
}

// restart starts the wait for the next piece.
func (t *stallTimer) restart(now time.Duration) {
	t.start = now
	t.extended = false
	t.timer.Reset(t.pace.Timeout())
}

// expired handles the expiry of the timer while the given number of pieces is unread: it returns
// errStalled or extends the wait. It extends the wait if there are unread pieces, and also if the timer
// fired late: then this process itself was suspended, and pieces may have arrived that are not read yet.
// It does not extend the wait twice in a row because of a late timer.
func (t *stallTimer) expired(now time.Duration, unread int) error {
	if unread == 0 && (t.extended || !t.pace.FiredLate(now-t.start)) {
		return errStalled
	}
	t.extended = true
	t.start = now
	t.timer.Reset(t.pace.Timeout())
	return nil
}
