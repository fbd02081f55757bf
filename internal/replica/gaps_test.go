package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRemovalsReachAllReplicas guards against rows that stay at a replica although they were removed:
// the replica gets its rows from another one that read the store after the removal and never had the
// row, directly or through further replicas.
func TestRemovalsReachAllReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &restorableStore{snapshot: snapshot{rows: map[Key]Row{}}}
		s.takeSnapshot()
		restores := rapid.Bool().Draw(t, "restores")
		replicas := []*Replica{New(Settings{}), New(Settings{}), New(Settings{}), New(Settings{})}
		type batch struct {
			to   int
			rows []Row
		}
		var delayed []batch
		now := time.Duration(0)
		for i := range rapid.IntRange(10, 80).Draw(t, "steps") {
			now += 10 * time.Millisecond
			n := rapid.IntRange(0, len(replicas)-1).Draw(t, "replica")
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0, 1, 2:
				s.write(keyOf(rapid.IntRange(0, 4).Draw(t, "key")), fmt.Sprint(i), rapid.Bool().Draw(t, "deleted"))
			case 3:
				s.readAllInto(replicas[n], now)
			case 4, 5:
				s.readInto(replicas[n], now)
			case 6, 7:
				from := replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "from")]
				replicas[n].Apply(from.Since(replicas[n].Newest()), now)
			case 8:
				replicas[n] = New(Settings{})
				delayed = slices.DeleteFunc(delayed, func(b batch) bool { return b.to == n })
			case 9:
				if restores {
					s.restore(s.snapshots[0])
				}
			case 10:
				from := replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "from")]
				delayed = append(delayed, batch{n, from.Since(replicas[n].Newest())})
			case 11:
				if len(delayed) > 0 {
					b := delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "batch")]
					replicas[b.to].Apply(b.rows, now)
				}
			}
		}
		s.write(keyOf(5), "last", false) // a later change, of which all others hear
		s.readInto(replicas[0], now)
		for i, r := range replicas {
			r.Apply(replicas[0].Since(r.Newest()), now)
			for n := range 6 {
				want, exists := s.rows[keyOf(n)]
				got, known := r.Get(keyOf(n))
				if exists != known || exists && string(want.Value) != string(got.Value) {
					t.Fatalf("replica %d, row %d: exists %t, known %t, value %q, want %q", i, n, exists, known, got.Value, want.Value)
				}
			}
		}
	})
}

// TestFullReadOfRunningInstanceCostsOthersNothing guards against fleets whose instances all load all
// rows when one of them starts: it has the rows of another instance before it reads the store.
func TestFullReadOfRunningInstanceCostsOthersNothing(t *testing.T) {
	running, starting := New(Settings{}), New(Settings{})
	running.Replace("t", numberedRows(0, 50, 1, false), 60, 0)
	starting.Apply(running.Since(nil), 0)
	starting.Replace("t", numberedRows(0, 50, 1, false), 90, 0)
	starting.Apply([]Row{row("new", 91)}, 0)
	if sent := starting.Since(running.Newest()); len(sent) > 2 {
		t.Errorf("%d rows are sent for one change", len(sent))
	}
}

// TestGapsStayFew checks that the gaps of an instance that reads the store again and again are joined.
func TestGapsStayFew(t *testing.T) {
	r := New(Settings{})
	for revision := int64(10); revision < 1000; revision += 10 {
		r.Apply([]Row{row("a", revision)}, 0)
		r.Replace("t", []Row{row("a", revision)}, revision+5, 0)
	}
	if n := len(r.gaps["t"]); n > maxGaps {
		t.Errorf("%d gaps", n)
	}
	if marks, incomplete := r.gapsSince(map[string]int64{"t": 12}); !incomplete["t"] || len(marks) == 0 {
		t.Error("a joined gap is forgotten")
	}
}
