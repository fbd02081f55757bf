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
