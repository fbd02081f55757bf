// Package stream assembles streamed answers. Its input is the pieces of one answer, which may arrive late,
// repeated, out of order or from several engines; its output is the pieces in order. The package also has
// the token with which a caller resumes an answer, a splitter for server-sent events, and the timeouts that
// detect a stalled engine. It does no I/O and reads no clock.
package stream

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sassafrasfield/internal/engine"
)

// Overlap is the number of pieces already delivered that an engine which continues an answer sends again, so
// that they can be compared with those received.
const Overlap = 4

// maxBuffered is the maximum number of out-of-order pieces that are buffered.
const maxBuffered = 1024

// Errors of Add. Compare with errors.Is.
var (
	// ErrDiverged means that the engine generates a text that differs from the one received.
	ErrDiverged = errors.New("stream: engine generates a different text")
	// ErrTooFarAhead means that too many pieces arrived out of order. The stream must be treated as broken.
	ErrTooFarAhead = errors.New("stream: too many out-of-order pieces")
)

// OrderedPiece is a piece that is next in order.
type OrderedPiece struct {
	engine.Piece
	// Sum is the value of Assembler.Sum after this piece.
	Sum uint64
}

// Assembler orders the pieces of one answer by number.
type Assembler struct {
	next int
	// tail has the texts of the last pieces delivered, at most Overlap of them. After NewAssembler it is
	// empty until the overlap of an engine has been compared with sum.
	tail []string
	sum  uint64
	// expected is the number of the next piece expected from the current engine. It is below next while
	// the overlap is compared. overlap has the texts of the overlap received so far.
	expected int
	overlap  []string
	buffered map[int]engine.Piece
	done     bool
	// diverged is set if the current engine generates a different text.
	diverged bool
}

// NewAssembler returns an assembler that delivers pieces from number next on. The sum is Assembler.Sum of the
// answer so far. Both are 0 for a new answer.
func NewAssembler(next int, sum uint64) *Assembler {
	a := &Assembler{next: next, sum: sum}
	a.Restart()
	return a
}

// Next returns the number of the first piece that was not delivered.
func (a *Assembler) Next() int { return a.next }

// Sum returns a checksum of the last pieces delivered, at most Overlap of them.
func (a *Assembler) Sum() uint64 { return a.sum }

// Done reports whether the last piece of the answer was delivered.
func (a *Assembler) Done() bool { return a.done }

// Restart discards the buffered pieces. It returns the number of the first piece to request from the next
// engine.
func (a *Assembler) Restart() (from int) {
	a.expected = max(0, a.next-Overlap)
	a.overlap, a.buffered, a.diverged = nil, nil, false
	return a.expected
}

// Add adds a received piece and returns the pieces that are now in order. It returns none for a repeated or
// out-of-order piece. Errors: ErrDiverged, which each call returns until Restart, and ErrTooFarAhead.
func (a *Assembler) Add(piece engine.Piece) (ready []OrderedPiece, err error) {
	if a.diverged {
		return nil, ErrDiverged
	}
	if piece.N < a.expected || a.done {
		return nil, nil
	}
	if piece.N > a.expected {
		return nil, a.buffer(piece)
	}
	for found := true; found && !a.done; piece, found = a.takeBuffered() {
		if a.expected < a.next {
			err = a.compareOverlap(piece)
		} else {
			ready = append(ready, a.deliver(piece))
		}
		if err != nil {
			a.diverged = true
			return nil, err
		}
	}
	return ready, nil
}

// takeBuffered removes the expected piece from the buffer and returns it, if it is there.
func (a *Assembler) takeBuffered() (engine.Piece, bool) {
	piece, found := a.buffered[a.expected]
	delete(a.buffered, a.expected)
	return piece, found
}

func (a *Assembler) buffer(piece engine.Piece) error {
	if len(a.buffered) >= maxBuffered {
		return ErrTooFarAhead
	}
	if a.buffered == nil {
		a.buffered = map[int]engine.Piece{}
	}
	a.buffered[piece.N] = piece
	return nil
}

// compareOverlap adds a piece of the overlap. When the overlap is complete, it compares the overlap with sum.
func (a *Assembler) compareOverlap(piece engine.Piece) error {
	if piece.Finish != "" {
		return ErrDiverged
	}
	a.expected++
	a.overlap = append(a.overlap, piece.Text)
	if a.expected < a.next {
		return nil
	}
	if checksum(a.overlap) != a.sum {
		return ErrDiverged
	}
	a.tail = a.overlap
	return nil
}

func (a *Assembler) deliver(piece engine.Piece) OrderedPiece {
	a.next++
	a.expected = a.next
	if len(a.tail) == Overlap {
		copy(a.tail, a.tail[1:])
		a.tail = a.tail[:Overlap-1]
	}
	a.tail = append(a.tail, piece.Text)
	a.sum = checksum(a.tail)
	a.done = piece.Finish != ""
	return OrderedPiece{Piece: piece, Sum: a.sum}
}

// checksum returns a checksum of texts and their boundaries.
func checksum(texts []string) uint64 {
	if len(texts) == 0 {
		return 0
	}
	var digest xxhash.Digest
	digest.Reset()
	var number [20]byte
	for _, text := range texts {
		_, _ = digest.Write(strconv.AppendInt(number[:0], int64(len(text)), 10)) // Digest.Write never returns an error
		_, _ = digest.WriteString(":" + text)
	}
	return digest.Sum64()
}
