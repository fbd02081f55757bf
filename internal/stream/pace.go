package stream

import "time"

// gapWeight is the weight of the newest gap in the smoothed one.
const gapWeight = 0.2

// GapTracker learns the gaps between the pieces of one engine.
type GapTracker struct {
	settings StallSettings
	pieces   int
	gap      time.Duration
}

// NewGapTracker returns the pace of a stream that has not begun.
func NewGapTracker(settings StallSettings) *GapTracker {
	return &GapTracker{settings: settings}
}

// Started tells whether a piece came.
func (p *GapTracker) Started() bool { return p.pieces > 0 }

// RecordPiece notes a piece that came after the gap.
func (p *GapTracker) RecordPiece(gap time.Duration) {
	p.pieces++
	switch p.pieces {
	case 1: // the wait for the first piece says nothing about the pace
	case 2:
		p.gap = gap
	default:
		p.gap += time.Duration(gapWeight * float64(gap-p.gap))
	}
}

// oversleep is how late a timer may come before the process counts as having
// been frozen, or starved of its processor.
const oversleep = 100 * time.Millisecond

// FiredLate tells whether a patience that was noticed after waited ran out so
// late that this process slept meanwhile. Pieces may then lie unread, and the
// engine is not to blame.
func (p *GapTracker) FiredLate(waited time.Duration) bool {
	return waited > p.Timeout()+oversleep
}

// Timeout is how long the next piece may take.
func (p *GapTracker) Timeout() time.Duration {
	if p.pieces == 0 {
		return p.settings.FirstPieceTimeout
	}
	wait := time.Duration(p.settings.GapFactor * float64(p.gap))
	return min(max(wait, p.settings.MinWait), p.settings.MaxWait)
}
