package membudget

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	mb    = 1 << 20
	chunk = 32 << 10
)

// settings returns those of an instance with 144 MB, of which it may hold 0.3.
func settings() Settings {
	return Settings{Bytes: 43 * mb, Exchange: 60 << 10, SendQueue: 128 << 10, ReceiveQueue: 128 << 10}
}

// readChunk has a caller that reads take a chunk, in 2 ms.
func readChunk(t *testing.T, l *Ledger, h *Holder, now time.Duration) {
	t.Helper()
	if !l.Reserve(h, chunk, ReadAhead, now) {
		t.Fatalf("at %v a caller that reads is refused its next chunk", now)
	}
	l.BeginWrite(h, now)
	l.EndWrite(h, now+2*time.Millisecond)
	l.Release(h, chunk)
}

// ignoreOne adds a response whose caller does not read: all that is granted is buffered.
func ignoreOne(l *Ledger, id string, now time.Duration) *Holder {
	h := l.Open(id, now)
	for range 8 {
		l.Reserve(h, chunk, Head, now)
	}
	l.BeginWrite(h, now)
	for l.Reserve(h, chunk, ReadAhead, now) && h.buffered < 8*mb {
	}
	return h
}

// TestReadersBesideCallersThatDoNotRead guards against a bound that is exceeded when 1,200 callers do not read responses
// of 8 MB at an instance of 144 MB, and against callers that read and are refused a buffer or aborted for them. 300
// callers come in a second.
func TestReadersBesideCallersThatDoNotRead(t *testing.T) {
	const ignoring, interval, step = 1200, 3 * time.Millisecond, 50 * time.Millisecond
	l := New(settings())
	var readers []*Holder
	for i := range 40 {
		readers = append(readers, l.Open(fmt.Sprint("reader-", i), 0))
	}
	aborted, highest, next := 0, int64(0), time.Duration(0)
	for now := time.Duration(0); now < ignoring*interval+2*time.Second; now += interval {
		if now < ignoring*interval {
			ignoreOne(l, fmt.Sprint("ignored-", now), now)
		}
		for _, h := range readers {
			readChunk(t, l, h, now)
		}
		if now >= next {
			next = now + step
			for _, a := range l.Sweep(now).Aborts {
				aborted++
				if a.Age < urgentAfter {
					t.Fatalf("%s was aborted after %v", a.Holder.ID, a.Age)
				}
				l.Close(a.Holder)
			}
		}
		highest = max(highest, l.Held())
	}
	for _, h := range readers {
		if h.Aborted() {
			t.Errorf("%s was aborted", h.ID)
		}
	}
	// Within urgentAfter and a step, 100 callers come and take 348 KB each.
	if limit := settings().Bytes*5/4 + 33*mb; highest > limit {
		t.Errorf("%d MB were held, want at most %d MB", highest/mb, limit/mb)
	}
	if l.Held() > settings().Bytes {
		t.Errorf("%d MB are held at the end", l.Held()/mb)
	}
	if kept := ignoring - aborted; kept < 100 {
		t.Errorf("only %d responses were kept until their callers read", kept)
	}
}

// TestLongestWithoutProgressIsAbortedFirst guards against aborts of responses whose callers read slowly while others do
// not read at all.
func TestLongestWithoutProgressIsAbortedFirst(t *testing.T) {
	l := New(Settings{Bytes: mb, SendQueue: 290 << 10})
	var order []string
	for i := range 4 {
		h := l.Open(fmt.Sprint(i), 0)
		l.BeginWrite(h, time.Duration(i)*10*time.Millisecond)
	}
	slow := l.Open("slow", 0)
	for now := time.Duration(0); now <= time.Second; now += 50 * time.Millisecond {
		if now%(200*time.Millisecond) == 0 {
			l.EndWrite(slow, now)
			l.BeginWrite(slow, now)
		}
		for _, a := range l.Sweep(now).Aborts {
			order = append(order, a.Holder.ID)
		}
	}
	if fmt.Sprint(order) != "[0 1]" {
		t.Errorf("aborted %v, want the two oldest", order)
	}
}

// TestRoomForReaderThatIsNotReadAhead guards against the loss of a response whose caller reads slowly: its upstream
// aborts it if it stays unread, while the memory is taken by responses that nobody reads.
func TestRoomForReaderThatIsNotReadAhead(t *testing.T) {
	l := New(Settings{Bytes: 10 * mb})
	for i := range 2 {
		h := l.Open(fmt.Sprint("ignored-", i), 0)
		l.Reserve(h, 2600<<10, ReadAhead, 0) // the first bytes are always granted
		l.BeginWrite(h, 0)
	}
	slow := l.Open("slow", 0)
	for range 2 {
		l.Reserve(slow, chunk, Head, 0)
	}
	var aborts []Abort
	for now := time.Duration(0); now <= 3*time.Second; now += 100 * time.Millisecond {
		l.BeginWrite(slow, now-time.Millisecond)
		l.EndWrite(slow, now)
		l.Reserve(slow, chunk, ReadAhead, now)
		decisions := l.Sweep(now)
		aborts = append(aborts, decisions.Aborts...)
		if len(aborts) > 0 && now < makeRoomAfter {
			t.Fatalf("aborted at %v", now)
		}
	}
	if len(aborts) != 1 || aborts[0].Holder.ID != "ignored-0" || !l.Reserve(slow, chunk, ReadAhead, 3*time.Second) {
		t.Errorf("%+v; want one abort and room for the caller that reads", aborts)
	}
}

// TestBrokenResponseIsNotKept guards against memory for a response that can't be completed and that nobody reads.
func TestBrokenResponseIsNotKept(t *testing.T) {
	l := New(settings())
	h := l.Open("r", 0)
	l.BeginWrite(h, 0)
	l.Failed(h)
	if aborts := l.Sweep(AbortAfter - 1).Aborts; len(aborts) > 0 {
		t.Errorf("aborted early: %+v", aborts)
	}
	if aborts := l.Sweep(AbortAfter).Aborts; len(aborts) != 1 || l.Held() != 0 {
		t.Errorf("%d aborts, %d bytes held", len(aborts), l.Held())
	}
}

// TestNothingIsAbortedWithoutBound guards against effects where no memory limit is set.
func TestNothingIsAbortedWithoutBound(t *testing.T) {
	l := New(Settings{SendQueue: mb})
	for range 1000 {
		h := l.Open("r", 0)
		l.Reserve(h, 256<<10, Head, 0)
		l.BeginWrite(h, 0)
	}
	if decisions := l.Sweep(time.Hour); len(decisions.Aborts)+len(decisions.Pauses) > 0 || !l.ReserveBody(1<<40, 0) {
		t.Errorf("%+v", decisions)
	}
}

// TestLargeBodiesAreRefusedSmallOnesNot guards against bodies that take the memory of the responses, and against small
// requests that are refused for memory.
func TestLargeBodiesAreRefusedSmallOnesNot(t *testing.T) {
	l := New(Settings{Bytes: 10 * mb})
	for i, want := range []bool{true, false} {
		if got := l.ReserveBody(4*mb, 0); got != want {
			t.Errorf("body %d: %t", i, got)
		}
	}
	h := l.Open("r", 0)
	l.Reserve(h, 8*mb, Head, 0)
	if l.ReserveBody(SmallBody+1, 0) || !l.ReserveBody(SmallBody, 0) {
		t.Error("want the small body only")
	}
	l.ReleaseBody(4*mb + SmallBody)
	l.Close(h)
	if l.Held() != 0 || !l.ReserveBody(8*mb, 0) {
		t.Errorf("%d bytes held after all ended, or a body that fits is refused", l.Held())
	}
}

// TestSumIsThatOfTheHolders guards against sums that drift from what is held, in any order of calls.
func TestSumIsThatOfTheHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Settings{Bytes: 2 * mb, Exchange: 1000, SendQueue: 2000, ReceiveQueue: 3000})
		var open []*Holder
		now, bodies := time.Duration(0), int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			if len(open) == 0 || rapid.Bool().Draw(t, "opens") {
				open = append(open, l.Open("r", now))
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "holder")
			h, n := open[i], int64(rapid.IntRange(1, mb).Draw(t, "bytes"))
			switch rapid.IntRange(0, 6).Draw(t, "call") {
			case 0:
				if floor := h.buffered == 0 && !h.aborted; !l.Reserve(h, n, ReadAhead, now) && floor {
					t.Fatal("a holder without buffers was refused one")
				}
			case 1:
				l.Release(h, min(n, h.buffered))
			case 2:
				l.BeginWrite(h, now)
			case 3:
				l.EndWrite(h, now)
			case 4:
				l.Close(h)
				open = append(open[:i], open[i+1:]...)
			case 5:
				if l.ReserveBody(n, 0) {
					bodies += n
				}
			case 6:
				l.Sweep(now)
			}
			sum := bodies
			for _, h := range open {
				if !h.aborted {
					sum += l.total(h)
				}
			}
			if sum != l.Held() {
				t.Fatalf("%d held, the sum is %d", l.Held(), sum)
			}
		}
	})
}
