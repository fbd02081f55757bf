// Package stream turns the pieces of one answer, which may come late, twice,
// out of order or from several engines, into the answer in order. It is pure.
package stream

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sassafrasfield/internal/engine"
)

// Overlap is how many pieces before the next one an engine that goes on with
// an answer makes again, so that they can be compared with those received.
const Overlap = 4

// maxAhead bounds how many pieces are kept that came before their turn.
const maxAhead = 1024

// Errors of Add. Compare with errors.Is.
var (
	// ErrDiverged: the engine makes another text than the one received.
	ErrDiverged = errors.New("stream: the engine makes another text")
	// ErrTooFarAhead: too many pieces came before their turn; the stream is as good
	// as broken.
	ErrTooFarAhead = errors.New("stream: pieces too far ahead")
)

// OrderedPiece is a piece whose turn has come.
type OrderedPiece struct {
	engine.Piece
	// Sum is Assembler.Sum after the piece.
	Sum uint64
}

// Assembler orders the pieces of one answer by number.
type Assembler struct {
	next int
	// tail has the texts of the last pieces handed on, as many as Overlap or
	// next; it is short of them after NewAssembler, until an engine's overlap
	// was compared with sum.
	tail []string
	sum  uint64
	// due is the piece expected of the engine at hand. It is below next while
	// the overlap is compared; again has its texts.
	due   int
	again []string
	ahead map[int]engine.Piece
	done  bool
}

// NewAssembler expects the piece numbered next; sum is Assembler.Sum of the
// answer so far. Both are 0 for a new answer.
func NewAssembler(next int, sum uint64) *Assembler {
	a := &Assembler{next: next, sum: sum}
	a.Restart()
	return a
}

// Next is the number of the first piece that was not handed on.
func (a *Assembler) Next() int { return a.next }

// Sum is a checksum of the last pieces handed on.
func (a *Assembler) Sum() uint64 { return a.sum }

// Done tells whether the last piece was handed on.
func (a *Assembler) Done() bool { return a.done }

// Restart forgets what waits for its turn, and returns the number of the piece
// from which on the next engine is to be asked.
func (a *Assembler) Restart() (from int) {
	a.due = max(0, a.next-Overlap)
	a.again, a.ahead = nil, nil
	return a.due
}

// Add takes a piece as it came and returns the pieces that are now in order,
// none for one that is repeated or before its turn. Errors: ErrDiverged,
// ErrAhead.
func (a *Assembler) Add(piece engine.Piece) (ready []OrderedPiece, err error) {
	if piece.N < a.due || a.done {
		return nil, nil
	}
	if piece.N > a.due {
		return nil, a.keep(piece)
	}
	for found := true; found && !a.done; piece, found = a.waiting() {
		if a.due < a.next {
			err = a.compare(piece)
		} else {
			ready = append(ready, a.take(piece))
		}
		if err != nil {
			return nil, err
		}
	}
	return ready, nil
}

// waiting takes out the piece that is due, if it came before.
func (a *Assembler) waiting() (engine.Piece, bool) {
	piece, found := a.ahead[a.due]
	delete(a.ahead, a.due)
	return piece, found
}

func (a *Assembler) keep(piece engine.Piece) error {
	if len(a.ahead) >= maxAhead {
		return ErrTooFarAhead
	}
	if a.ahead == nil {
		a.ahead = map[int]engine.Piece{}
	}
	a.ahead[piece.N] = piece
	return nil
}

// compare takes a piece of the overlap, and judges it when it is complete.
func (a *Assembler) compare(piece engine.Piece) error {
	if piece.Finish != "" {
		return ErrDiverged
	}
	a.due++
	a.again = append(a.again, piece.Text)
	if a.due < a.next {
		return nil
	}
	if sumOf(a.again) != a.sum {
		return ErrDiverged
	}
	a.tail = a.again
	return nil
}

func (a *Assembler) take(piece engine.Piece) OrderedPiece {
	a.next++
	a.due = a.next
	if len(a.tail) == Overlap {
		copy(a.tail, a.tail[1:])
		a.tail = a.tail[:Overlap-1]
	}
	a.tail = append(a.tail, piece.Text)
	a.sum = sumOf(a.tail)
	a.done = piece.Finish != ""
	return OrderedPiece{Piece: piece, Sum: a.sum}
}

// sumOf is a checksum of texts and of where each ends.
func sumOf(texts []string) uint64 {
	if len(texts) == 0 {
		return 0
	}
	var digest xxhash.Digest
	digest.Reset()
	var number [20]byte
	for _, text := range texts {
		_, _ = digest.Write(strconv.AppendInt(number[:0], int64(len(text)), 10)) // a hash never fails
		_, _ = digest.WriteString(":" + text)
	}
	return digest.Sum64()
}
