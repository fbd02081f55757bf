package stream

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestEventsAreCutWholeWhereverTheBytesBreak gives a stream in any pieces.
func TestEventsAreCutWholeWhereverTheBytesBreak(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: without an id\n\nid: 4\nda"
	rapid.Check(t, func(t *rapid.T) {
		var events EventSplitter
		var got strings.Builder
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "bytes")
			whole := string(events.Add([]byte(rest[:n])))
			if whole != "" && !strings.HasSuffix(whole, "\n\n") {
				t.Fatalf("an event is cut: %q", whole)
			}
			got.WriteString(whole)
			rest = rest[n:]
		}
		if want := strings.TrimSuffix(text, "id: 4\nda"); got.String() != want {
			t.Fatalf("got %q, want %q", got.String(), want)
		}
		if events.LastID() != "2" || !events.HasPartial() {
			t.Fatalf("last id %q, cut %t", events.LastID(), events.HasPartial())
		}
	})
}

func TestAStreamThatEndsBetweenEventsIsNotCut(t *testing.T) {
	var events EventSplitter
	events.Add([]byte("id: 7\ndata: a\n\n\n"))
	if events.HasPartial() || events.LastID() != "7" || events.Count() == 0 {
		t.Errorf("cut %t, last id %q", events.HasPartial(), events.LastID())
	}
}
