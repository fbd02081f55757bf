package stream

import (
	"bytes"
	"testing"
)

// FuzzEventSplitter adds arbitrary bytes in pieces of one size. Whatever arrives, the complete events and the incomplete
// one must be the bytes that were received, and the length of the incomplete one, which is bounded, must be true.
func FuzzEventSplitter(f *testing.F) {
	for _, seed := range []string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\nda", "\n\n\n\n\n", "data: x", "\n", "", "a\n\r\n\n\n"} {
		f.Add([]byte(seed), byte(1))
		f.Add([]byte(seed), byte(3))
	}
	f.Fuzz(func(t *testing.T, data []byte, size byte) {
		var events EventSplitter
		var complete []byte
		for rest := data; len(rest) > 0; {
			n := min(len(rest), int(size)+1)
			complete = append(complete, events.Add(rest[:n])...)
			rest = rest[n:]
			received := len(data) - len(rest)
			if !bytes.Equal(complete, data[:len(complete)]) || len(complete)+events.PartialBytes() != received {
				t.Fatalf("%d of %d bytes complete, %d in the incomplete event", len(complete), received, events.PartialBytes())
			}
		}
		if bytes.Contains(data[len(complete):], []byte("\n\n")) {
			t.Fatalf("%q is not complete", data[len(complete):])
		}
	})
}

// FuzzSequence adds arbitrary bytes in pieces of one size. Whatever arrives, what is delivered must not depend on the
// size, must be in sequence, and must not go on after an error.
func FuzzSequence(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\r\ndata: a\r\n\r\nid: 1\r\n\r\nid: 2\r\n\r\n", "id: 1\r\rid: 1\r\rid: 3\r\r",
		"data: a\n\n", ": c\n\nid\ndata\n\n", "x-weight-versions: 3\nid: 1\ndata: a\n\n", "id: 1\r\n\r\n\n\r\r\nid:2\n\n", "id: 9223372036854775807\n\n",
		"id: 10\ndata: a\n\nid: 20\ndata: b\n\n: c\n\nid: 20\n\nid: 10\n\nid: 15\n\n", "id: 3\r\rid: 5\r\r\n\nid: 7\r\n\r\nid: 7\r\n\r",
	} {
		f.Add([]byte(seed), "", byte(0))
		f.Add([]byte(seed), "1", byte(2))
		f.Add([]byte(seed), "x", byte(4))
		f.Add([]byte(seed), "0", byte(7))
	}
	f.Fuzz(func(t *testing.T, data []byte, lastEvent string, size byte) {
		var parts []string
		for rest := string(data); rest != ""; {
			n := min(len(rest), int(size)+1)
			parts = append(parts, rest[:n])
			rest = rest[n:]
		}
		whole, split := NewSequence(lastEvent, Steps{}), NewSequence(lastEvent, Steps{})
		want, wantErr := addAll(t, whole, splitParts([]string{string(data)})...)
		got, err := addAll(t, split, splitParts(parts)...)
		if got != want || reasonOf(err) != reasonOf(wantErr) || split.LastID() != whole.LastID() || split.Repeated() != whole.Repeated() {
			t.Fatalf("%q: in parts %q, %v, at once %q, %v", data, got, err, want, wantErr)
		}
		if split.IsUnproven() != whole.IsUnproven() || split.Accepted() != whole.Accepted() {
			t.Fatalf("%q: in parts held %t, %d accepted, at once held %t, %d accepted", data, split.IsUnproven(), split.Accepted(), whole.IsUnproven(), whole.Accepted())
		}
		again := NewSequence("", Steps{})
		same, err := addAll(t, again, want)
		same += string(again.Rest())
		if same != want || err != nil || again.Repeated() != 0 || again.Delivered() != whole.Delivered() {
			t.Fatalf("%q is delivered, of which %q is in sequence, error %v, %d repeated", want, same, err, again.Repeated())
		}
		if last, ok := parseEventID([]byte(lastEvent)); ok && again.Delivered() > 0 && again.first <= last {
			t.Fatalf("event %d is delivered after %d", again.first, last)
		}
	})
}
