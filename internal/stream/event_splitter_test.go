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

// TestEventsEndWithAnyLineEnd guards against streams with "\r\n" or "\r" line ends that never complete an event.
func TestEventsEndWithAnyLineEnd(t *testing.T) {
	for _, c := range []struct {
		received []string
		complete []string
		lastID   string
		count    int
	}{
		{[]string{"id: 1\r\ndata: a\r\n\r\nid: 2"}, []string{"id: 1\r\ndata: a\r\n\r\n"}, "1", 1},
		{[]string{"id: 1\rdata: a\r\rid: 2"}, []string{"id: 1\rdata: a\r\r"}, "1", 1},
		{[]string{"id: 1\ndata: a\r\n\nid: 2"}, []string{"id: 1\ndata: a\r\n\n"}, "1", 1},
		{[]string{"id: 1\r", "\n", "\r", "\n", "id: 2"}, []string{"", "", "id: 1\r\n\r", "\n", ""}, "1", 1},
		{[]string{"id: 1\r\n\r", "\nid: 2\r\n\r\n"}, []string{"id: 1\r\n\r", "\nid: 2\r\n\r\n"}, "2", 2},
		{[]string{"id: 1\r", "data: a\r\r"}, []string{"", "id: 1\rdata: a\r\r"}, "1", 1},
		{[]string{"id: 1\n", "\n"}, []string{"", "id: 1\n\n"}, "1", 1},
		{[]string{"id: 1\r\n", "data: a\r\n"}, []string{"", ""}, "", 0},
		{[]string{"\r\n", "id: 1\n\n"}, []string{"\r\n", "id: 1\n\n"}, "1", 1},
		{[]string{"id:1\nid:2\n\n:\n\n"}, []string{"id:1\nid:2\n\n:\n\n"}, "2", 2},
	} {
		var events EventSplitter
		for i, received := range c.received {
			if got := string(events.Add([]byte(received))); got != c.complete[i] {
				t.Errorf("%q: part %d completes %q, want %q", c.received, i, got, c.complete[i])
			}
		}
		if events.LastID() != c.lastID || events.Count() != c.count {
			t.Errorf("%q: last id %q, %d events", c.received, events.LastID(), events.Count())
		}
	}
}

// TestSplittingDoesNotDependOnReads guards against a line end that is taken for another one when it is split over reads.
func TestSplittingDoesNotDependOnReads(t *testing.T) {
	part := rapid.SampledFrom([]string{"\n", "\r", "\r\n", "id: 1", "id: 2", "data: a", ":"})
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(part, 1, 30).Draw(t, "text"), "")
		var whole, split EventSplitter
		want := string(whole.Add([]byte(text)))
		var got strings.Builder
		for remaining := text; remaining != ""; {
			n := rapid.IntRange(1, len(remaining)).Draw(t, "bytes")
			got.Write(split.Add([]byte(remaining[:n])))
			remaining = remaining[n:]
		}
		if got.String() != want {
			t.Fatalf("%q: %q complete, want %q", text, got.String(), want)
		}
		if split.LastID() != whole.LastID() || split.Count() != whole.Count() || split.PartialBytes() != whole.PartialBytes() {
			t.Fatalf("%q: id %q, %d events; at once: id %q, %d events", text, split.LastID(), split.Count(), whole.LastID(), whole.Count())
		}
	})
}
