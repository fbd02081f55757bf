package readlimit

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// inTime returns whether an error is an *Exceeded of a time bound; ok is false if it is nil.
func inTime(t *testing.T, err error) (timed, ok bool) {
	t.Helper()
	if err == nil {
		return false, false
	}
	var exceeded *Exceeded
	if !errors.As(err, &exceeded) || exceeded.Error() == "" {
		t.Fatalf("%v is no *Exceeded", err)
	}
	return exceeded.InTime, true
}

// TestHeadWithinItsLimitsIsAccepted guards against a cut-off of legitimate heads: under 16 KB with a read of 4 KB of the
// body, in pieces, after up to four interim responses with any pause between them.
func TestHeadWithinItsLimitsIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, now := NewHead(ResponseHead()), time.Duration(0)
		remaining := 20 << 10
		for range rapid.IntRange(0, 4).Draw(t, "interim") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause ms")) * time.Millisecond
			if err := h.Received(100, now); err != nil {
				t.Fatal(err)
			}
			remaining -= 100
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "interim ms")) * time.Millisecond
			if err := h.EndInterim(now); err != nil {
				t.Fatal(err)
			}
		}
		first := now
		for remaining > 0 {
			n := rapid.IntRange(1, remaining).Draw(t, "bytes")
			remaining -= n
			if err := h.Received(n, now); err != nil {
				t.Fatal(err)
			}
			if at, begun := h.Deadline(); !begun || at < first+500*time.Millisecond {
				t.Fatalf("deadline %s after %s, begun %t", at, first, begun)
			}
		}
	})
}

// TestHeadWithoutEndIsCutOff guards against heads that cost more memory or time than their bounds, however the bytes
// arrive and whatever interim responses are among them.
func TestHeadWithoutEndIsCutOff(t *testing.T) {
	limits := ResponseHead()
	rapid.Check(t, func(t *rapid.T) {
		h := NewHead(limits)
		var now time.Duration // advances only while a header is incomplete
		received := int64(0)
		for {
			n := rapid.IntRange(1, 4096).Draw(t, "bytes")
			received += int64(n)
			err := h.Received(n, now)
			if err == nil && rapid.IntRange(0, 9).Draw(t, "end interim") == 0 {
				err = h.EndInterim(now)
			}
			if err != nil {
				break
			}
			wait := time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			if at, begun := h.Deadline(); begun {
				if now+wait > at {
					now = max(now, at)
					if h.Expired(now) != nil {
						break
					}
				} else {
					now += wait
				}
			}
			if received > limits.MaxBytes {
				t.Fatalf("%d bytes accepted", received)
			}
			if now > limits.MaxTime+lateGrace*time.Duration(limits.MaxInterim+1) {
				t.Fatalf("held for %s", now)
			}
		}
	})
}

// TestLateReaderGetsWhatHasArrived guards against a cut-off of a head that arrived while this process was suspended: the
// reader finds its deadline passed, and reads on for a moment.
func TestLateReaderGetsWhatHasArrived(t *testing.T) {
	h := NewHead(ResponseHead())
	if err := h.Received(10, 0); err != nil {
		t.Fatal(err)
	}
	const resumed = 5 * time.Second
	if err := h.Expired(resumed); err != nil {
		t.Fatalf("cut off at once: %v", err)
	}
	at, _ := h.Deadline()
	if at <= resumed || at > resumed+100*time.Millisecond {
		t.Errorf("new deadline %s", at)
	}
	if timed, ok := inTime(t, h.Expired(at)); !ok || !timed {
		t.Error("a second time is granted")
	}
}

// TestInterimResponsesAreBounded guards against interim responses without end: each is legitimate by itself.
func TestInterimResponsesAreBounded(t *testing.T) {
	h := NewHead(ResponseHead())
	for n := range ResponseHead().MaxInterim + 1 {
		if err := h.Received(30, 0); err != nil {
			t.Fatal(err)
		}
		if err := h.EndInterim(0); (err != nil) != (n == ResponseHead().MaxInterim) {
			t.Errorf("interim response %d: %v", n+1, err)
		}
	}
}

// TestWholeBodyIsBounded guards against bodies that are read as a whole and do not end, declare too great a length, or
// trickle.
func TestWholeBodyIsBounded(t *testing.T) {
	limits := BodyLimits{MaxBytes: 100, MaxTime: time.Second}
	if _, err := NewWhole(limits, 101, 0); err == nil {
		t.Error("a declared length over the bound was accepted")
	}
	w, err := NewWhole(limits, 100, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := w.Received(100, 0); err != nil {
		t.Errorf("100 bytes: %v", err)
	}
	if timed, ok := inTime(t, w.Received(1, 0)); !ok || timed {
		t.Error("101 bytes were accepted")
	}
	if w.Expired(w.Deadline()) != nil {
		t.Error("a late reader was cut off")
	}
	if timed, ok := inTime(t, w.Expired(w.Deadline())); !ok || !timed {
		t.Error("not cut off in time")
	}
}

// TestEventIsBounded guards against events without end, and against a cut-off between two events, where a stream may
// pause for as long as the engine needs.
func TestEventIsBounded(t *testing.T) {
	limits := EventLimits{MaxBytes: 100, MaxTime: time.Second}
	e := NewEvent(limits)
	if err := e.Received(1, false, 0); err != nil || e.Begun() || e.Expired(time.Hour) != nil {
		t.Errorf("a newline between two events: %v, begun %t", err, e.Begun())
	}
	if err := e.Received(50, false, time.Second); err != nil || !e.Begun() || e.Deadline() != 2*time.Second {
		t.Errorf("%v, begun %t, deadline %s", err, e.Begun(), e.Deadline())
	}
	if err := e.Received(60, false, 1900*time.Millisecond); err != nil || e.Deadline() != 2*time.Second {
		t.Errorf("more of the same event: %v, deadline %s", err, e.Deadline())
	}
	if err := e.Received(100, true, 2*time.Second); err != nil || e.Deadline() != 3*time.Second {
		t.Errorf("the next event: %v, deadline %s", err, e.Deadline())
	}
	if e.Expired(e.Deadline()) != nil {
		t.Error("a late reader was cut off")
	}
	if timed, ok := inTime(t, e.Expired(e.Deadline())); !ok || !timed {
		t.Error("not cut off in time")
	}
	if timed, ok := inTime(t, e.Received(101, false, 0)); !ok || timed {
		t.Error("an event of 101 bytes was accepted")
	}
	if e.Received(0, true, 0); e.Begun() {
		t.Error("an event has begun at the end of the stream")
	}
}

// TestEnvelopesAreFoundInAnyPieces guards against a message that announces too great a length and is not found because of
// how its bytes arrive, and against a cut-off of messages within the bound.
func TestEnvelopesAreFoundInAnyPieces(t *testing.T) {
	const maxBytes = 300
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		sizes := rapid.SliceOfN(rapid.IntRange(0, maxBytes+20), 1, 8).Draw(t, "sizes")
		tooLarge := -1 // where the envelope of the first message that is too large ends
		for _, size := range sizes {
			stream = append(stream, 0, 0, 0, byte(size>>8), byte(size))
			if size > maxBytes && tooLarge < 0 {
				tooLarge = len(stream)
			}
			stream = append(stream, make([]byte, size)...)
		}
		e := NewEnvelopes(maxBytes)
		for at := 0; at < len(stream); {
			end := at + rapid.IntRange(1, len(stream)-at).Draw(t, "bytes")
			err := e.Received(stream[at:end], 0)
			if found, want := err != nil, tooLarge >= 0 && end >= tooLarge; found != want {
				t.Fatalf("after %d bytes: %v; the envelope ends at %d", end, err, tooLarge)
			}
			if err != nil {
				return
			}
			at = end
		}
	})
}
