package entry

import (
	"time"

	"sassafrasfield/internal/stream"
)

// silence is the wait for an engine's next piece. It is used by one goroutine.
// Times are of the server's monotonic clock.
type silence struct {
	pace  *stream.Pace
	timer *time.Timer
	// since is when the wait began.
	since time.Duration
	// forgiven is true when this wait was prolonged once already.
	forgiven bool
}

// newSilence begins the wait for the first piece.
func newSilence(settings stream.StallSettings, now time.Duration) *silence {
	pace := stream.NewPace(settings)
	return &silence{pace: pace, timer: time.NewTimer(pace.Patience()), since: now}
}

// broken notes a piece.
func (q *silence) broken(now time.Duration) {
	q.pace.Piece(now - q.since)
}

// begins starts the wait for the next piece.
func (q *silence) begins(now time.Duration) {
	q.since = now
	q.forgiven = false
	q.timer.Reset(q.pace.Patience())
}

// ranOut decides when the timer fired with so many pieces unread: errStalled,
// or a further wait. A timer that comes late is this process's own sleep, in
// which pieces may have come unread; that is forgiven once in a row.
func (q *silence) ranOut(now time.Duration, unread int) error {
	if unread == 0 && (q.forgiven || !q.pace.Overslept(now-q.since)) {
		return errStalled
	}
	q.forgiven = true
	q.since = now
	q.timer.Reset(q.pace.Patience())
	return nil
}
