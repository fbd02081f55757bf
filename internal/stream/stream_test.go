package stream

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"sassafrasfield/internal/engine"
)

// answerPieces returns the pieces of an answer: the given number of texts, and the final piece.
func answerPieces(length int, word string) []engine.Piece {
	pieces := make([]engine.Piece, 0, length+1)
	for n := range length {
		pieces = append(pieces, engine.Piece{N: n, Text: fmt.Sprintf("%s%d ", word, n%7)})
	}
	return append(pieces, engine.Piece{N: length, Finish: engine.FinishStop})
}

func textOf(pieces []engine.Piece) string {
	var text strings.Builder
	for _, p := range pieces {
		text.WriteString(p.Text)
	}
	return text.String()
}

// TestPiecesInAnyOrderYieldTheText adds the pieces of several engines shuffled, with repeats and losses. At
// random it continues with a new assembler, as another instance would. The text must be exact in all cases.
func TestPiecesInAnyOrderYieldTheText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := answerPieces(rapid.IntRange(1, 60).Draw(t, "length"), "w")
		var got []engine.Piece
		assembler := NewAssembler(0, 0)
		for range 200 {
			if assembler.Done() {
				break
			}
			if rapid.Bool().Draw(t, "another entry") {
				assembler = NewAssembler(assembler.Next(), assembler.Sum())
			}
			remaining := pieces[assembler.Restart():]
			sent := rapid.Permutation(remaining).Draw(t, "order")
			sent = sent[:rapid.IntRange(0, len(sent)).Draw(t, "until the break")]
			sent = append(sent, rapid.SliceOfN(rapid.SampledFrom(remaining), 0, 9).Draw(t, "repeats")...)
			for _, piece := range sent {
				ready, err := assembler.Add(piece)
				if err != nil {
					t.Fatal(err)
				}
				for _, r := range ready {
					got = append(got, r.Piece)
				}
			}
		}
		if text := textOf(got); !strings.HasPrefix(textOf(pieces), text) {
			t.Fatalf("got %q", text)
		}
		if assembler.Done() && textOf(got) != textOf(pieces) {
			t.Fatalf("done with %q, want %q", textOf(got), textOf(pieces))
		}
	})
}

// TestDivergingTextIsNeverDelivered continues an answer with an engine that generates a different text. None
// of its pieces may be delivered, and the divergence must be detected.
func TestDivergingTextIsNeverDelivered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		right, wrong := answerPieces(30, "right"), answerPieces(rapid.IntRange(1, 40).Draw(t, "length"), "wrong")
		assembler := NewAssembler(0, 0)
		for _, piece := range right[:rapid.IntRange(1, 30).Draw(t, "received")] {
			if _, err := assembler.Add(piece); err != nil {
				t.Fatal(err)
			}
		}
		if rapid.Bool().Draw(t, "another entry") {
			assembler = NewAssembler(assembler.Next(), assembler.Sum())
		}
		from := assembler.Restart()
		for _, piece := range wrong[min(from, len(wrong)):] {
			ready, err := assembler.Add(piece)
			if len(ready) > 0 {
				t.Fatalf("piece %d of a different text was delivered", piece.N)
			}
			if errors.Is(err, ErrDiverged) {
				return
			}
		}
		if from < len(wrong) {
			t.Fatal("the different text was not detected")
		}
	})
}

func TestBufferedPiecesAreBounded(t *testing.T) {
	assembler := NewAssembler(0, 0)
	for n := 1; n <= maxBuffered; n++ {
		if _, err := assembler.Add(engine.Piece{N: n}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := assembler.Add(engine.Piece{N: maxBuffered + 1}); !errors.Is(err, ErrTooFarAhead) {
		t.Fatalf("error %v, want ErrAhead", err)
	}
}

func TestResumeTokenRoundTrip(t *testing.T) {
	for _, token := range []ResumeToken{
		{Request: "a-1", Engine: "engine.1", Seed: -5, Next: 3, Sum: 0xfe},
		{Request: "a-1", Engine: "e", Version: "2026/1 b", Seed: 1, Next: 9, Sum: 1, Done: true},
	} {
		parsed, err := ParseResumeToken(token.String())
		if err != nil || parsed != token {
			t.Errorf("%s is parsed as %+v, error %v", token, parsed, err)
		}
	}
	for _, text := range []string{"", "a/b", "a/b/c/1/2/xyz", "a/b/c/1/2/3/4", "a/b/c/99999999999999999999/2/3", "a\n/b/c/1/2/3"} {
		if _, err := ParseResumeToken(text); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

func TestTimeoutFollowsTheGaps(t *testing.T) {
	tracker := NewGapTracker(StallSettings{FirstPieceTimeout: time.Minute, GapFactor: 20, MinWait: time.Second, MaxWait: 10 * time.Second})
	if tracker.Timeout() != time.Minute {
		t.Fatalf("before the first piece: %s", tracker.Timeout())
	}
	tracker.RecordPiece(30 * time.Second)
	for _, c := range []struct{ gap, want time.Duration }{
		{20 * time.Millisecond, time.Second}, {100 * time.Millisecond, 2 * time.Second}, {time.Second, 10 * time.Second},
	} {
		for range 100 {
			tracker.RecordPiece(c.gap)
		}
		if off := tracker.Timeout() - c.want; off.Abs() > c.want/10 {
			t.Errorf("gap %s: timeout %s, want about %s", c.gap, tracker.Timeout(), c.want)
		}
	}
}

// TestNothingIsDeliveredAfterADivergence guards against a caller that goes on reading an engine's different text.
func TestNothingIsDeliveredAfterADivergence(t *testing.T) {
	right, wrong := answerPieces(9, "right"), answerPieces(9, "wrong")
	for _, received := range []int{1, 3, Overlap, Overlap + 1, 9} {
		assembler := NewAssembler(0, 0)
		for _, piece := range right[:received] {
			if _, err := assembler.Add(piece); err != nil {
				t.Fatal(err)
			}
		}
		diverged := false
		for _, piece := range wrong[assembler.Restart():] {
			ready, err := assembler.Add(piece)
			diverged = diverged || errors.Is(err, ErrDiverged)
			if len(ready) > 0 || diverged && !errors.Is(err, ErrDiverged) {
				t.Errorf("after %d pieces: piece %d of a different text: %d delivered, error %v", received, piece.N, len(ready), err)
			}
		}
		for _, piece := range right[assembler.Restart():] {
			if _, err := assembler.Add(piece); err != nil {
				t.Errorf("after %d pieces: the engine with the same text: %v", received, err)
			}
		}
		if !assembler.Done() {
			t.Errorf("after %d pieces: the engine with the same text does not complete the answer", received)
		}
	}
}
