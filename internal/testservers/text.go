package testservers

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sassafrasfield/internal/engine"
)

// words that answers are made of.
var words = []string{
	"bale", "staple", "lint", "gin", "field", "lot", "grade", "seed", "moisture", "micronaire",
	"colour", "leaf", "trash", "length", "strength", "press", "mill", "yarn", "ledger", "scan",
	"certificate", "match", "share", "claim", "history", "palette", "name", "mark", "brand", "studio",
	"warm", "plain", "bold", "quiet", "round", "sharp", "light", "deep", "clear", "open",
}

// shortestAnswer is the fewest tokens that an answer has, unless the caller
// asks for fewer.
const shortestAnswer = 8

// Text is the answer to one request. It depends on the request alone, so that
// each engine makes the same answer.
type Text struct {
	base   uint64
	length int
	reason engine.FinishReason
}

// NewText returns the answer that each stand-in engine makes.
func NewText(req engine.Request) Text {
	t := Text{base: xxhash.Sum64String(fmt.Sprintf("%s|%s|%s|%d|%s", req.Model, req.Version, req.Adapter, req.Seed, req.Prompt))}
	t.length, t.reason = shortestAnswer+int(t.base%512), engine.FinishStop
	if t.length >= req.MaxTokens {
		t.length, t.reason = req.MaxTokens, engine.FinishLength
	}
	return t
}

// Piece returns one token, or the last piece.
func (t Text) Piece(n int) engine.Piece {
	if n >= t.length {
		return engine.Piece{N: n, Finish: t.reason}
	}
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], t.base+uint64(n))
	return engine.Piece{N: n, Text: words[xxhash.Sum64(number[:])%uint64(len(words))] + " "}
}

// FullText returns the answer in one piece.
func (t Text) FullText() string {
	var text strings.Builder
	for n := range t.length {
		text.WriteString(t.Piece(n).Text)
	}
	return text.String()
}
