package connlimit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// conn is a connection of a test, in a state since a time, with the bytes of its request.
type conn struct {
	name  string
	state State
	since time.Duration
	bytes int64
}

// open adds connections to a ledger.
func open(t *testing.T, l *Ledger, conns []conn) map[*Account]string {
	t.Helper()
	names := map[*Account]string{}
	for _, c := range conns {
		a, evicted, ok := l.Open(c.since)
		if !ok || evicted != nil {
			t.Fatalf("%s: not opened, or %v evicted", c.name, evicted)
		}
		l.Enter(a, c.state, c.since)
		l.Charge(a, OfRequest, c.bytes)
		names[a] = c.name
	}
	return names
}

// TestConnectionToClose guards against a full process that closes a connection that is of use to its client before others.
func TestConnectionToClose(t *testing.T) {
	const now = 10 * time.Second
	ago := func(d time.Duration) time.Duration { return now - d }
	for name, c := range map[string]struct {
		conns []conn
		want  string
	}{
		"silent before idle": {[]conn{{"idle", Idle, ago(9 * time.Second), 0}, {"silent", Silent, ago(time.Second), 0}}, "silent"},
		"oldest silent":      {[]conn{{"newer", Silent, ago(time.Second), 0}, {"older", Silent, ago(2 * time.Second), 0}}, "older"},
		"half a head before idle": {
			[]conn{{"idle", Idle, ago(9 * time.Second), 0}, {"receiving", Receiving, ago(time.Second), 100}}, "receiving",
		},
		"idle before one that just came": {
			[]conn{{"new", Silent, ago(time.Millisecond), 0}, {"idle", Idle, ago(time.Second), 0}}, "idle",
		},
		"idle for longest": {[]conn{{"idle 2 s", Idle, ago(2 * time.Second), 0}, {"idle 3 s", Idle, ago(3 * time.Second), 0}}, "idle 3 s"},
		"one that just came, if the others are served": {
			[]conn{{"served", Serving, ago(9 * time.Second), 100}, {"new", Silent, ago(time.Millisecond), 0}}, "new",
		},
		"none that is served": {[]conn{{"served", Serving, ago(9 * time.Second), 100}, {"served, too", Serving, 0, 0}}, ""},
		"none that reads":     {[]conn{{"reads", Answering, ago(stallTime / 2), 100}, {"served", Serving, 0, 0}}, ""},
		"one that does not read, if the others are served": {
			[]conn{{"served", Serving, 0, 0}, {"does not read", Answering, ago(stallTime), 100}}, "does not read",
		},
		"idle before one that does not read": {
			[]conn{{"does not read", Answering, ago(9 * time.Second), 100}, {"idle", Idle, ago(time.Second), 0}}, "idle",
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(Bounds{Conns: len(c.conns)})
			names := open(t, l, c.conns)
			_, evicted, ok := l.Open(now)
			if got := names[evicted]; got != c.want || ok != (c.want != "") {
				t.Errorf("%q is closed, want %q", got, c.want)
			}
			if ok && l.Conns() != len(c.conns) {
				t.Errorf("%d connections are open", l.Conns())
			}
		})
	}
}

// TestRoomForARequest guards against a process without memory that closes connections which need little of it, or which are
// served, and against one that closes connections without making room.
func TestRoomForARequest(t *testing.T) {
	const now, bound = 10 * time.Second, 1000
	ago := func(d time.Duration) time.Duration { return now - d }
	for name, c := range map[string]struct {
		conns []conn
		need  int64
		want  []string
		v     Verdict
	}{
		"room": {[]conn{{"a", Receiving, 0, 400}}, 600, nil, Granted},
		"the one that holds most for longest": {
			[]conn{{"small", Receiving, ago(4 * time.Second), 100}, {"large", Receiving, ago(2 * time.Second), 500}, {"new", Receiving, now, 400}},
			200, []string{"large"}, Awaited,
		},
		"several": {
			[]conn{{"a", Receiving, ago(3 * time.Second), 300}, {"b", Receiving, ago(2 * time.Second), 300}, {"c", Receiving, ago(time.Second), 400}},
			600, []string{"a", "b"}, Awaited,
		},
		"none that is served":         {[]conn{{"served", Serving, 0, 900}}, 200, nil, Refused},
		"none that reads":             {[]conn{{"reads", Answering, ago(stallTime / 2), 900}}, 200, nil, Refused},
		"one that does not read":      {[]conn{{"does not read", Answering, ago(stallTime), 900}}, 200, []string{"does not read"}, Awaited},
		"none if that is not enough":  {[]conn{{"served", Serving, 0, 900}, {"a", Receiving, 0, 50}}, 200, nil, Refused},
		"none that holds nothing":     {[]conn{{"served", Serving, 0, 1000}, {"idle", Idle, 0, 0}, {"silent", Silent, 0, 0}}, 1, nil, Refused},
		"more than there ever is":     {[]conn{{"a", Receiving, 0, 500}}, 1001, nil, Refused},
		"as much as there is at most": {[]conn{{"a", Receiving, 0, 500}}, 1000, []string{"a"}, Awaited},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(Bounds{Bytes: bound})
			names := open(t, l, c.conns)
			self, _, _ := l.Open(now)
			l.Enter(self, Receiving, now)
			evicted, v := l.Reserve(self, OfRequest, c.need, now)
			var got []string
			for _, a := range evicted {
				got = append(got, names[a])
			}
			if !slices.Equal(got, c.want) || v != c.v {
				t.Errorf("%q closed, verdict %d; want %q, %d", got, v, c.want, c.v)
			}
			for _, a := range evicted {
				if l.Enter(a, Serving, now) {
					t.Error("a connection that is being closed is served")
				}
				l.Close(a)
			}
			if v == Awaited {
				if _, v = l.Reserve(self, OfRequest, c.need, now); v != Granted {
					t.Errorf("verdict %d once the connections are closed", v)
				}
			}
		})
	}
}

// TestLedgerKeepsItsBounds guards against sums that drift from what the connections hold, in any order of events.
func TestLedgerKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawBytes := func() int64 { return int64(rapid.IntRange(10, 1000).Draw(t, "bytes")) }
		bounds := Bounds{Conns: rapid.IntRange(1, 8).Draw(t, "conns"), Bytes: drawBytes(), AnswerBytes: drawBytes()}
		l, now := NewLedger(bounds), time.Duration(0)
		var conns []*Account
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			if len(conns) == 0 || rapid.Float64Range(0, 1).Draw(t, "open") < 0.2 {
				if a, _, ok := l.Open(now); ok {
					conns = append(conns, a)
				}
				continue
			}
			at := rapid.IntRange(0, len(conns)-1).Draw(t, "conn")
			a := conns[at]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				wasServing := a.state == Serving
				k := Kind(rapid.IntRange(0, kinds-1).Draw(t, "kind"))
				evicted, v := l.Reserve(a, k, int64(rapid.IntRange(0, 300).Draw(t, "need")), now)
				if slices.ContainsFunc(evicted, func(e *Account) bool { return e.state == Serving || e == a }) {
					t.Fatalf("step %d: a connection that is served, or itself, was evicted", step)
				}
				if v == Granted && l.sums[k].bytes > l.sums[k].bound {
					t.Fatalf("step %d: %d bytes granted beyond %d, served %t", step, l.sums[k].bytes, l.sums[k].bound, wasServing)
				}
			case 1:
				l.Enter(a, State(rapid.IntRange(0, 4).Draw(t, "state")), now)
			case 2:
				l.Release(a)
			case 3:
				l.Close(a)
				conns = slices.Delete(conns, at, at+1)
			}
			var want [kinds]sum
			for k := range want {
				want[k].bound = l.sums[k].bound
				for _, a := range conns {
					want[k].bytes += a.bytes[k]
					if a.evicted {
						want[k].freeing += a.bytes[k]
					}
				}
			}
			if want != l.sums || l.Conns() > bounds.Conns {
				t.Fatalf("step %d: %+v, counted %+v; %d connections of %d", step, want, l.sums, l.Conns(), bounds.Conns)
			}
		}
	})
}
