package replica

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/platform"
)

// catchUp lets replicas copy from one another until none knows less than another one.
func catchUp(t *rapid.T, replicas []*Replica, now time.Duration) {
	for range 4 * len(replicas) {
		behind := false
		for _, r := range replicas {
			for _, from := range replicas {
				if from.Newest()[table] > r.Newest()[table] {
					behind = true
					r.Apply(from.Since(r.Newest()), now)
				}
			}
		}
		if !behind {
			return
		}
	}
	for i, r := range replicas {
		t.Logf("replica %d knows the table up to %v", i, r.Newest())
	}
	t.Fatal("replicas stay behind")
}

// TestRemovalsReachAllReplicas guards against rows that stay at a replica although they were removed: the
// replica gets its rows from another one that read the store after the removal and never had the row,
// directly or through further replicas, with or without a later change. It also guards against replicas
// that never know as much as the others.
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
				replicas[n].Apply(from.SinceState(replicas[n].State()), now)
			case 8:
				replicas[n] = New(Settings{})
				delayed = slices.DeleteFunc(delayed, func(b batch) bool { return b.to == n })
			case 9:
				if restores {
					s.restore(s.snapshots[0])
				}
			case 10:
				from := replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "from")]
				state := replicas[n].State()
				if rapid.Bool().Draw(t, "without digests") {
					state.Digests = nil
				}
				delayed = append(delayed, batch{n, from.SinceState(state)})
			case 11:
				if len(delayed) > 0 {
					b := delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "batch")]
					replicas[b.to].Apply(b.rows, now)
				}
			}
		}
		if rapid.Bool().Draw(t, "later change") {
			s.write(keyOf(5), "last", false)
		}
		s.readInto(replicas[0], now)
		catchUp(t, replicas, now)
		for i, r := range replicas {
			s.checkEqual(t, i, r)
		}
	})
}

// checkEqual checks that replica i has exactly the rows of the store.
func (s *restorableStore) checkEqual(t *rapid.T, i int, r *Replica) {
	for n := range 6 {
		want, exists := s.rows[keyOf(n)]
		got, known := r.Get(keyOf(n))
		if exists != known || exists && string(want.Value) != string(got.Value) {
			t.Fatalf("replica %d, row %d: exists %t, known %t, value %q, want %q", i, n, exists, known, got.Value, want.Value)
		}
	}
}

// TestEmptyTableReachesOthers guards against replicas that stay behind the one that read the store, where
// the table has no rows, or has none after a restore of the store.
func TestEmptyTableReachesOthers(t *testing.T) {
	for name, revision := range map[string]int64{"same generation": 9, "after a restore": platform.RevisionOf(1, 3)} {
		stale, fresh := New(Settings{}), New(Settings{})
		stale.Apply([]Row{row("gone", 1)}, 0)
		fresh.Replace("t", nil, revision, 0)
		stale.Apply(fresh.Since(stale.Newest()), 0)
		if rows := stale.Table("t"); len(rows) > 0 || !maps.Equal(stale.Newest(), fresh.Newest()) {
			t.Errorf("%s: rows %v, known up to %v, want none and %v", name, rows, stale.Newest(), fresh.Newest())
		}
	}
}

// TestBatchForOlderStateIsNotUsed guards against a row that stays because a late batch leaves it out: the
// batch was made for an older state of the receiver, which has got the row since.
func TestBatchForOlderStateIsNotUsed(t *testing.T) {
	for name, known := range map[string][]Row{
		"the sender lacks removals after the receiver's revision":       {row("a", 1)},
		"the receiver's digest shows that it needs none of them so far": {row("a", 1), row("c", 2)},
	} {
		receiver, sender := New(Settings{}), New(Settings{})
		receiver.Apply(known, 0)
		sender.Apply([]Row{row("a", 1)}, 0)
		sender.Replace("t", append([]Row{row("b", 8)}, known...), 9, 0) // "gone" was removed as of 7
		late := sender.SinceState(receiver.State())
		receiver.Apply([]Row{row("gone", 5)}, 0)
		receiver.Apply(late, 0)
		receiver.Apply(sender.Since(receiver.Newest()), 0)
		if _, exists := receiver.Get(Key{"t", "gone"}); exists || receiver.Newest()["t"] != 9 {
			t.Errorf("%s: removed row present: %t, known up to %v", name, exists, receiver.Newest())
		}
	}
}

// TestGapIsPassedOn guards against a row that stays because its replica catches up from one that never had it,
// and that did not read the store itself either: it got its rows from one that did.
func TestGapIsPassedOn(t *testing.T) {
	reader, follower, starting, earlierBuild := New(Settings{}), New(Settings{}), New(Settings{}), New(Settings{})
	for _, r := range []*Replica{reader, follower} {
		r.Apply([]Row{row("a", 1)}, 0)
	}
	reader.Replace("t", []Row{row("a", 1), row("b", 8)}, 9, 0) // "gone" was added as of 5 and removed as of 7
	follower.Apply(reader.Since(follower.Newest()), 0)
	starting.Apply(reader.Since(nil), 0)
	earlierBuild.Apply([]Row{row("a", 1), row("b", 8)}, 0) // without a bookmark
	for name, from := range map[string]*Replica{"a follower": follower, "one that started": starting, "one of an earlier build": earlierBuild} {
		stale := New(Settings{})
		stale.Apply([]Row{row("a", 1), row("gone", 5)}, 0)
		stale.Apply(from.Since(stale.Newest()), 0)
		if got := keys(stale.Table("t")); got != "ab" {
			t.Errorf("rows %q from %s, want ab", got, name)
		}
	}
}

// TestFullReadOfRunningInstanceCostsOthersNothing guards against fleets whose instances all load all rows
// when one of them starts: it has the rows of another instance before it reads the store.
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

// TestStartOfAllCostsNoTables guards against fleets in which each instance loads all rows of each other one
// when all start at once: each reads the store itself, as of another revision, and no row changes meanwhile.
func TestStartOfAllCostsNoTables(t *testing.T) {
	early, late := New(Settings{}), New(Settings{})
	early.Replace("t", numberedRows(0, 50, 1, false), 60, 0)
	late.Replace("t", numberedRows(0, 50, 1, false), 70, 0)
	sent := late.SinceState(early.State())
	early.Apply(sent, 0)
	if len(sent) != 1 || early.Newest()["t"] != 70 {
		t.Errorf("%d rows are sent, known up to %d", len(sent), early.Newest()["t"])
	}
	early.Apply([]Row{row("gone", 71)}, 0)
	late.Replace("t", numberedRows(0, 50, 1, false), 73, 0) // "gone" was removed as of 72
	early.Apply(late.SinceState(early.State()), 0)
	if _, exists := early.Get(Key{"t", "gone"}); exists {
		t.Error("a removed row stays")
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
	if bookmark, ok := r.bookmark("t", 12, 0); !ok || !bookmark.Bookmark.Complete {
		t.Error("a joined gap is forgotten")
	}
}
