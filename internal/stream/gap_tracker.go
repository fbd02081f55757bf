package stream

import "time"

// gapWeight is the weight of the newest gap in the smoothed gap.
const gapWeight = 0.2

// GapTracker estimates the usual gap between the pieces of one stream, and derives the timeout for the next
// piece from it.
type GapTracker struct {
	settings    StallSettings
	pieces      int
	smoothedGap time.Duration
}

// NewGapTracker returns a tracker for a stream that has not started.
func NewGapTracker(settings StallSettings) *GapTracker {
	return &GapTracker{settings: settings}
}

// Started reports whether a piece has arrived.
func (g *GapTracker) Started() bool { return g.pieces > 0 }

// RecordPiece records a piece that arrived after the given gap.
func (g *GapTracker) RecordPiece(gap time.Duration) {
	g.pieces++
	switch g.pieces {
	case 1: // the wait for the first piece is no gap between pieces
	case 2:
		g.smoothedGap = gap
	default:
		g.smoothedGap += time.Duration(gapWeight * float64(gap-g.smoothedGap))
	}
}

// lateTimerThreshold is how late a timer may fire before the process is treated as having been suspended or
// starved of CPU.
const lateTimerThreshold = 100 * time.Millisecond

// FiredLate reports whether a timeout that was noticed after the duration waited fired so late that this
// process must have been suspended or starved of CPU. Then pieces may have arrived that are not read yet,
// so the timeout is no evidence of a stalled engine.
func (g *GapTracker) FiredLate(waited time.Duration) bool {
	return waited > g.Timeout()+lateTimerThreshold
}

// Timeout returns how long to wait for the next piece.
func (g *GapTracker) Timeout() time.Duration {
	if g.pieces == 0 {
		return g.settings.FirstPieceTimeout
	}
	wait := time.Duration(g.settings.GapFactor * float64(g.smoothedGap))
	return min(max(wait, g.settings.MinWait), g.settings.MaxWait)
}
