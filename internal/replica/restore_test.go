package replica

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/platform"
)

// snapshot is a store's content and its revision counter.
type snapshot struct {
	counter int64
	rows    map[Key]Row
}

// restorableStore is a store that can be restored from an older snapshot.
type restorableStore struct {
	snapshot
	generation int64
	snapshots  []snapshot
	// changes are those since the last restore, in order.
	changes []Row
	// restoredAt is the counter right after the last restore.
	restoredAt int64
}

func (s *restorableStore) write(key Key, value string, deleted bool) {
	s.counter++
	row := Row{Key: key, Value: []byte(value), Revision: platform.RevisionOf(s.generation, s.counter), Deleted: deleted}
	if s.rows[key] = row; deleted {
		delete(s.rows, key)
	}
	s.changes = append(s.changes, row)
}

func (s *restorableStore) takeSnapshot() {
	s.snapshots = append(s.snapshots, snapshot{s.counter, maps.Clone(s.rows)})
}

func (s *restorableStore) restore(from snapshot) {
	s.generation++
	s.counter, s.rows, s.restoredAt, s.changes = from.counter, map[Key]Row{}, from.counter, nil
	for key, row := range from.rows {
		row.Revision = platform.RevisionOf(s.generation, platform.CounterOf(row.Revision))
		s.rows[key] = row
	}
}

func (s *restorableStore) revision() int64 { return platform.RevisionOf(s.generation, s.counter) }

// readInto updates a replica from the store: by the feed if it has the history, else by a full read.
func (s *restorableStore) readInto(r *Replica, now time.Duration) {
	after := r.ReadRevision(table)
	if platform.RestoreGenerationOf(after) == s.generation && after > 0 && platform.CounterOf(after) >= s.restoredAt {
		var rows []Row
		for _, row := range s.changes {
			if row.Revision > after {
				rows = append(rows, row)
			}
		}
		r.Apply(rows, now)
		r.SetReadRevision(table, s.revision())
		return
	}
	s.readAllInto(r, now)
}

// readAllInto updates a replica with a full read.
func (s *restorableStore) readAllInto(r *Replica, now time.Duration) {
	var rows []Row
	for _, row := range s.rows {
		rows = append(rows, row)
	}
	r.Replace(table, rows, s.revision(), now)
}

const table = "t"

func keyOf(n int) Key { return Key{Table: table, Key: fmt.Sprint(n)} }

// TestReplicasConvergeAfterStoreRestores guards against rows that are mistaken for old ones, not
// passed on, kept forever or applied from an outdated restore generation after the store was restored
// from a snapshot. Replicas may miss a restore, start after it, and see any number of restores.
func TestReplicasConvergeAfterStoreRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &restorableStore{snapshot: snapshot{rows: map[Key]Row{}}}
		s.takeSnapshot()
		const hold = 30 * time.Millisecond
		settings := Settings{HoldRestored: time.Duration(rapid.IntRange(0, 1).Draw(t, "held")) * hold}
		replicas := []*Replica{New(settings), New(settings), New(settings)}
		now := time.Duration(0)
		for i := range rapid.IntRange(10, 80).Draw(t, "steps") {
			now += 10 * time.Millisecond
			n := rapid.IntRange(0, len(replicas)-1).Draw(t, "replica")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				s.write(keyOf(rapid.IntRange(0, 4).Draw(t, "key")), fmt.Sprint(i), rapid.Bool().Draw(t, "deleted"))
			case 3:
				s.takeSnapshot()
			case 4:
				s.restore(rapid.SampledFrom(s.snapshots).Draw(t, "copy"))
				if rapid.Bool().Draw(t, "doubted") {
					replicas[n].HoldDeletions(now + 50*time.Millisecond)
				}
			case 5, 6:
				s.readInto(replicas[n], now)
			case 7, 8:
				from := replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "from")]
				replicas[n].Apply(from.Since(replicas[n].Newest()), now)
			case 9:
				replicas[n] = New(settings)
			}
		}
		s.takeSnapshot()
		s.restore(s.snapshots[len(s.snapshots)-1])
		s.write(keyOf(5), "last", false)
		now += time.Second
		s.readInto(replicas[0], now)
		for _, r := range replicas {
			r.Release(now + hold)
			r.Apply(replicas[0].Since(r.Newest()), now)
			r.Release(now + hold)
			for n := range 6 {
				want, exists := s.rows[keyOf(n)]
				got, known := r.Get(keyOf(n))
				if exists != known || exists && string(want.Value) != string(got.Value) {
					t.Fatalf("row %d: exists %t, known %t, value %q, want %q", n, exists, known, got.Value, want.Value)
				}
			}
		}
	})
}

// TestRowMissingAfterRestoreIsHeldFirst guards against upstreams that drop out while they write their
// entries again after a restore of the store. A missing row is held even where few rows are missing.
func TestRowMissingAfterRestoreIsHeldFirst(t *testing.T) {
	row := func(n int, revision int64) Row { return Row{Key: keyOf(n), Value: []byte("v"), Revision: revision} }
	old, fresh := func(c int64) int64 { return platform.RevisionOf(1, c) }, func(c int64) int64 { return platform.RevisionOf(2, c) }
	for _, fromPeer := range []bool{false, true} {
		r := New(Settings{})
		r.Apply([]Row{row(1, old(1)), row(2, old(2)), row(3, old(3)), row(4, old(9))}, 0)
		r.HoldDeletions(time.Second)
		restored := []Row{row(1, fresh(1)), row(2, fresh(2)), row(3, fresh(3))}
		var changes []Row
		if fromPeer {
			changes = r.Apply(restored, 0)
		} else {
			changes = r.Replace(table, restored, fresh(5), 0)
		}
		if _, exists := r.Get(keyOf(4)); len(changes) > 0 || !exists {
			t.Errorf("from a peer %t: changes %v, the missing row is kept: %t", fromPeer, changes, exists)
		}
		if sent := r.Since(map[string]int64{table: old(9)}); len(sent) != 4 || !sent[len(sent)-1].MissingAfterRestore && !sent[0].MissingAfterRestore {
			t.Errorf("from a peer %t: other replicas get %v", fromPeer, sent)
		}
		again := New(Settings{})
		again.Apply(r.Since(nil), 0)
		if changes := r.Apply([]Row{row(4, fresh(6))}, 0); len(changes) > 0 {
			t.Errorf("from a peer %t: written again with the same value, but changes are %v", fromPeer, changes)
		}
		if changes := r.Release(time.Second); len(changes) > 0 {
			t.Errorf("from a peer %t: written again, but deleted when the hold ended", fromPeer)
		}
	}
	r := New(Settings{})
	r.Apply([]Row{row(4, old(9))}, 0)
	r.HoldDeletions(time.Second)
	r.Replace(table, nil, fresh(5), 0)
	if changes := r.Release(time.Second); len(changes) != 1 || !changes[0].MissingAfterRestore {
		t.Errorf("not written again: %v", changes)
	}
}

// TestRowsOfOlderRestoreGenerationAreIgnored guards against rows that are passed on by an instance that
// missed the restore.
func TestRowsOfOlderRestoreGenerationAreIgnored(t *testing.T) {
	r := New(Settings{})
	r.Apply([]Row{{Key: keyOf(1), Revision: platform.RevisionOf(2, 3)}}, 0)
	if changes := r.Apply([]Row{{Key: keyOf(2), Revision: platform.RevisionOf(1, 90)}}, 0); len(changes) > 0 {
		t.Errorf("%v", changes)
	}
}

// TestLaterDocumentSurvivesRestore guards against an earlier document from the store's copy that
// replaces the held one, here or at a replica that gets its rows from here. An example is a
// configuration that still has a key that was removed since.
func TestLaterDocumentSurvivesRestore(t *testing.T) {
	older := func(held, read Row) bool { return string(read.Value) < string(held.Value) }
	doc := func(value string, generation, counter int64) []Row {
		return []Row{{Key: keyOf(1), Value: []byte(value), Revision: platform.RevisionOf(generation, counter)}}
	}
	r, newcomer := New(Settings{Older: older}), New(Settings{Older: older})
	r.Apply(doc("5", 1, 90), 0)
	if changes := r.Replace(table, doc("4", 2, 80), platform.RevisionOf(2, 85), 0); len(changes) > 0 {
		t.Errorf("the earlier document is a change: %v", changes)
	}
	newcomer.Apply(r.Since(nil), 0)
	for name, replica := range map[string]*Replica{"the holder": r, "a newcomer": newcomer} {
		if row, _ := replica.Get(keyOf(1)); string(row.Value) != "5" || platform.RestoreGenerationOf(row.Revision) != 2 {
			t.Errorf("%s has %q of restore generation %d", name, row.Value, platform.RestoreGenerationOf(row.Revision))
		}
		if changes := replica.Apply(doc("6", 2, 87), 0); len(changes) != 1 || string(changes[0].Value) != "6" {
			t.Errorf("%s: a document written after the restore is not a change: %v", name, changes)
		}
	}
	if changes := r.Apply(doc("3", 2, 88), 0); len(changes) != 1 {
		t.Error("within a restore generation the store's order is ignored")
	}
}

// TestRemovedRowFromRestoreIsHeld guards against requests to upstreams that have departed but whose
// entries are in the restored copy, and against a live upstream that gets no requests.
func TestRemovedRowFromRestoreIsHeld(t *testing.T) {
	const hold = time.Second
	row := func(revision int64) []Row { return []Row{{Key: keyOf(1), Value: []byte("v"), Revision: revision}} }
	withRemovedRow := func() *Replica {
		r := New(Settings{HoldRestored: hold})
		r.Apply(row(platform.RevisionOf(1, 80)), 0)
		r.Apply([]Row{{Key: keyOf(1), Revision: platform.RevisionOf(1, 100), Deleted: true}}, 0)
		r.Replace(table, row(platform.RevisionOf(2, 80)), platform.RevisionOf(2, 85), 0)
		return r
	}
	r, newcomer := withRemovedRow(), New(Settings{HoldRestored: hold})
	newcomer.Apply(r.Since(nil), 0)
	newcomer.Apply(row(platform.RevisionOf(2, 80)), 0) // once more, from another replica
	for name, replica := range map[string]*Replica{"replica that saw the removal": r, "replica that got both revisions": newcomer} {
		replica.Release(hold - 1)
		if _, exists := replica.Get(keyOf(1)); exists {
			t.Errorf("%s: the restored row is applied before the hold ends", name)
		}
		replica.Release(hold)
		if _, exists := replica.Get(keyOf(1)); !exists {
			t.Errorf("%s: a row that stays in the store is not applied after the hold", name)
		}
	}
	written := withRemovedRow()
	if changes := written.Apply(row(platform.RevisionOf(2, 87)), 0); len(changes) != 1 {
		t.Error("a row written after the restore is held")
	}
	dropped := withRemovedRow()
	dropped.Apply([]Row{{Key: keyOf(1), Revision: platform.RevisionOf(2, 90), Deleted: true}}, 0)
	if changes := dropped.Release(hold); len(changes) > 0 {
		t.Errorf("deleted after the restore, but applied: %v", changes)
	}
}
