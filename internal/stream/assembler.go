// Package stream turns the pieces of one answer, which may come late, twice,
// out of order or from several engines, into the answer in order. It is pure.
package stream

import (
	"github.com/cespare/xxhash/v2"

	"sassafrasfield/internal/engine"
)

// maxAhead bounds how many pieces are kept that came before their turn.
const maxAhead = 1024

// Assembler orders the pieces of one answer by number. The zero value expects
// piece 0.
type Assembler struct {
	next  int
	sum   uint64
	ahead map[int]engine.Piece
	done  bool
}

// NewAssembler expects the piece numbered next; sum is the Sum of the text
// before it.
func NewAssembler(next int, sum uint64) *Assembler {
	return &Assembler{next: next, sum: sum}
}

// Next is the number of the piece that is due.
func (a *Assembler) Next() int { return a.next }

// Sum is a running checksum of the text so far.
func (a *Assembler) Sum() uint64 { return a.sum }

// Done tells whether the last piece was taken.
func (a *Assembler) Done() bool { return a.done }

// Add takes a piece as it came and returns the pieces that are now in order,
// none for one that is repeated or before its turn. It reports false when a
// piece is too far ahead to keep: the stream is then as good as broken.
func (a *Assembler) Add(piece engine.Piece) (ready []engine.Piece, ok bool) {
	if piece.N < a.next || a.done {
		return nil, true
	}
	if piece.N > a.next {
		return nil, a.keep(piece)
	}
	ready = append(ready, a.take(piece))
	for !a.done {
		waiting, found := a.ahead[a.next]
		if !found {
			break
		}
		delete(a.ahead, a.next)
		ready = append(ready, a.take(waiting))
	}
	return ready, true
}

// Reset drops the pieces that wait for their turn, before another engine goes
// on with the answer.
func (a *Assembler) Reset() {
	a.ahead = nil
}

func (a *Assembler) keep(piece engine.Piece) bool {
	if len(a.ahead) >= maxAhead {
		return false
	}
	if a.ahead == nil {
		a.ahead = map[int]engine.Piece{}
	}
	a.ahead[piece.N] = piece
	return true
}

func (a *Assembler) take(piece engine.Piece) engine.Piece {
	a.next = piece.N + 1
	a.sum = AddSum(a.sum, piece.Text)
	a.done = piece.Finish != ""
	return piece
}

// AddSum extends a running checksum by the text of one piece.
func AddSum(sum uint64, text string) uint64 {
	digest := xxhash.NewWithSeed(sum)
	_, _ = digest.WriteString(text) // a hash never fails
	return digest.Sum64()
}
