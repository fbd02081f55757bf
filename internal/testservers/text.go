package testservers

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"sassafrasfield/internal/engine"
)

// vocabulary has the words from which answers are generated.
var vocabulary = []string{
	"bale", "staple", "lint", "gin", "field", "lot", "grade", "seed", "moisture", "micronaire",
	"colour", "leaf", "trash", "length", "strength", "press", "mill", "yarn", "ledger", "scan",
	"certificate", "match", "share", "claim", "history", "palette", "name", "mark", "brand", "studio",
	"warm", "plain", "bold", "quiet", "round", "sharp", "light", "deep", "clear", "open",
}

// minAnswerTokens is the least length of an answer, unless the request has a lower MaxTokens.
const minAnswerTokens = 8

// Text is the generated answer to one request. It depends only on the request, so that each engine
// generates the same text.
type Text struct {
	base   uint64
	length int
	reason engine.FinishReason
}

// NewText returns the answer that each stand-in engine generates for req.
func NewText(req engine.Request) Text {
	t := Text{base: xxhash.Sum64String(fmt.Sprintf("%s|%s|%s|%d|%s", req.Model, req.Version, req.Adapter, req.Seed, req.Prompt))}
	t.length, t.reason = minAnswerTokens+int(t.base%512), engine.FinishStop
	if t.length >= req.MaxTokens {
		t.length, t.reason = req.MaxTokens, engine.FinishLength
	}
	return t
}

// Piece returns the piece with token n, or the final piece with the finish reason if n is past the
// last token.
func (t Text) Piece(n int) engine.Piece {
	if n >= t.length {
		return engine.Piece{N: n, Finish: t.reason}
	}
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], t.base+uint64(n))
	return engine.Piece{N: n, Text: vocabulary[xxhash.Sum64(number[:])%uint64(len(vocabulary))] + " "}
}

// FullText returns the complete answer as one string.
func (t Text) FullText() string {
	var text strings.Builder
	for n := range t.length {
		text.WriteString(t.Piece(n).Text)
	}
	return text.String()
}
