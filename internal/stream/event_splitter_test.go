package stream

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestEventsAreCompleteForAnyChunking adds a stream in chunks of random size. It checks that only complete
// events are returned and that none is lost.
func TestEventsAreCompleteForAnyChunking(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: without an id\n\nid: 4\nda"
	rapid.Check(t, func(t *rapid.T) {
		var events EventSplitter
		var got strings.Builder
		for remaining := text; remaining != ""; {
			n := rapid.IntRange(1, len(remaining)).Draw(t, "bytes")
			complete := string(events.Add([]byte(remaining[:n])))
			if complete != "" && !strings.HasSuffix(complete, "\n\n") {
				t.Fatalf("incomplete event: %q", complete)
			}
			got.WriteString(complete)
			remaining = remaining[n:]
		}
		if want := strings.TrimSuffix(text, "id: 4\nda"); got.String() != want {
			t.Fatalf("got %q, want %q", got.String(), want)
		}
		if events.LastID() != "2" || !events.HasPartial() {
			t.Fatalf("last id %q, partial event %t", events.LastID(), events.HasPartial())
		}
	})
}

func TestStreamEndingBetweenEventsHasNoPartialEvent(t *testing.T) {
	var events EventSplitter
	events.Add([]byte("id: 7\ndata: a\n\n\n"))
	if events.HasPartial() || events.LastID() != "7" || events.Count() == 0 {
		t.Errorf("partial event %t, last id %q", events.HasPartial(), events.LastID())
	}
}
