package replica

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/platform"
)

// copied is what a store keeps, and its counter.
type copied struct {
	counter int64
	rows    map[Key]Row
}

// returningStore is a store that may come back from an older copy.
type returningStore struct {
	copied
	era    int64
	copies []copied
	// changes are those of this era since its last return, in order.
	changes []Row
	from    int64
}

func (s *returningStore) write(key Key, value string, deleted bool) {
	s.counter++
	row := Row{Key: key, Value: []byte(value), Revision: platform.RevisionOf(s.era, s.counter), Deleted: deleted}
	if s.rows[key] = row; deleted {
		delete(s.rows, key)
	}
	s.changes = append(s.changes, row)
}

func (s *returningStore) keepCopy() {
	s.copies = append(s.copies, copied{s.counter, maps.Clone(s.rows)})
}

func (s *returningStore) comeBack(from copied) {
	s.era++
	s.counter, s.rows, s.from, s.changes = from.counter, map[Key]Row{}, from.counter, nil
	for key, row := range from.rows {
		row.Revision = platform.RevisionOf(s.era, platform.CounterOf(row.Revision))
		s.rows[key] = row
	}
}

func (s *returningStore) revision() int64 { return platform.RevisionOf(s.era, s.counter) }

// read has a replica follow the store: by the feed where it goes on, else by a full read.
func (s *returningStore) read(r *Replica, now time.Duration) {
	after := r.ReadRevision(table)
	if platform.EraOf(after) == s.era && after > 0 && platform.CounterOf(after) >= s.from {
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
	var rows []Row
	for _, row := range s.rows {
		rows = append(rows, row)
	}
	r.Replace(table, rows, s.revision(), now)
}

const table = "t"

func keyOf(n int) Key { return Key{Table: table, Key: fmt.Sprint(n)} }

// TestAllReplicasAgreeWithAStoreThatReturns guards against rows that are taken for old, passed on
// to nobody, kept for good, or taken from an era that is over, since the store came back from a
// copy: whoever missed it, whoever starts in it, and however often it comes back.
func TestAllReplicasAgreeWithAStoreThatReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &returningStore{copied: copied{rows: map[Key]Row{}}}
		s.keepCopy()
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
				s.keepCopy()
			case 4:
				s.comeBack(rapid.SampledFrom(s.copies).Draw(t, "copy"))
				if rapid.Bool().Draw(t, "doubted") {
					replicas[n].HoldDeletions(now + 50*time.Millisecond)
				}
			case 5, 6:
				s.read(replicas[n], now)
			case 7, 8:
				from := replicas[rapid.IntRange(0, len(replicas)-1).Draw(t, "from")]
				replicas[n].Apply(from.Since(replicas[n].Newest()), now)
			case 9:
				replicas[n] = New(settings)
			}
		}
		s.keepCopy()
		s.comeBack(s.copies[len(s.copies)-1])
		s.write(keyOf(5), "last", false)
		now += time.Second
		s.read(replicas[0], now)
		for _, r := range replicas {
			r.Release(now + hold)
			r.Apply(replicas[0].Since(r.Newest()), now)
			r.Release(now + hold)
			for n := range 6 {
				want, there := s.rows[keyOf(n)]
				got, known := r.Get(keyOf(n))
				if there != known || there && string(want.Value) != string(got.Value) {
					t.Fatalf("row %d: there %t, known %t, %q for %q", n, there, known, got.Value, want.Value)
				}
			}
		}
	})
}

// TestALostRowIsDoubtedFirst guards against upstreams that drop out for the moment that they take to
// write their entries again, however few they are.
func TestALostRowIsDoubtedFirst(t *testing.T) {
	row := func(n int, revision int64) Row { return Row{Key: keyOf(n), Value: []byte("v"), Revision: revision} }
	old, fresh := func(c int64) int64 { return platform.RevisionOf(1, c) }, func(c int64) int64 { return platform.RevisionOf(2, c) }
	for _, fromPeer := range []bool{false, true} {
		r := New(Settings{})
		r.Apply([]Row{row(1, old(1)), row(2, old(2)), row(3, old(3)), row(4, old(9))}, 0)
		r.HoldDeletions(time.Second)
		copied := []Row{row(1, fresh(1)), row(2, fresh(2)), row(3, fresh(3))}
		var news []Row
		if fromPeer {
			news = r.Apply(copied, 0)
		} else {
			news = r.Replace(table, copied, fresh(5), 0)
		}
		if _, there := r.Get(keyOf(4)); len(news) > 0 || !there {
			t.Errorf("from a peer %t: news %v, the lost row is there: %t", fromPeer, news, there)
		}
		if told := r.Since(map[string]int64{table: old(9)}); len(told) != 4 || !told[len(told)-1].MissingAfterRestore && !told[0].MissingAfterRestore {
			t.Errorf("from a peer %t: others are told %v", fromPeer, told)
		}
		again := New(Settings{})
		again.Apply(r.Since(nil), 0)
		if news := r.Apply([]Row{row(4, fresh(6))}, 0); len(news) > 0 {
			t.Errorf("from a peer %t: written again as it was, and news %v", fromPeer, news)
		}
		if news := r.Release(time.Second); len(news) > 0 {
			t.Errorf("from a peer %t: written again, and deleted all the same", fromPeer)
		}
	}
	r := New(Settings{})
	r.Apply([]Row{row(4, old(9))}, 0)
	r.HoldDeletions(time.Second)
	r.Replace(table, nil, fresh(5), 0)
	if news := r.Release(time.Second); len(news) != 1 || !news[0].MissingAfterRestore {
		t.Errorf("not written again: %v", news)
	}
}

// TestRowsOfAnEraThatIsOverAreNotTaken guards against what an instance that missed the return passes
// on.
func TestRowsOfAnEraThatIsOverAreNotTaken(t *testing.T) {
	r := New(Settings{})
	r.Apply([]Row{{Key: keyOf(1), Revision: platform.RevisionOf(2, 3)}}, 0)
	if news := r.Apply([]Row{{Key: keyOf(2), Revision: platform.RevisionOf(1, 90)}}, 0); len(news) > 0 {
		t.Errorf("%v", news)
	}
}

// TestALaterDocumentStays guards against an earlier document from the store's copy, such as a
// configuration with a key that was taken away since, that takes the place of the one that is held,
// here or at whoever gets its rows from here.
func TestALaterDocumentStays(t *testing.T) {
	older := func(held, read Row) bool { return string(read.Value) < string(held.Value) }
	doc := func(value string, era, counter int64) []Row {
		return []Row{{Key: keyOf(1), Value: []byte(value), Revision: platform.RevisionOf(era, counter)}}
	}
	r, newcomer := New(Settings{Older: older}), New(Settings{Older: older})
	r.Apply(doc("5", 1, 90), 0)
	if news := r.Replace(table, doc("4", 2, 80), platform.RevisionOf(2, 85), 0); len(news) > 0 {
		t.Errorf("the earlier one is news: %v", news)
	}
	newcomer.Apply(r.Since(nil), 0)
	for name, one := range map[string]*Replica{"the holder": r, "a newcomer": newcomer} {
		if row, _ := one.Get(keyOf(1)); string(row.Value) != "5" || platform.EraOf(row.Revision) != 2 {
			t.Errorf("%s has %q as of era %d", name, row.Value, platform.EraOf(row.Revision))
		}
		if news := one.Apply(doc("6", 2, 87), 0); len(news) != 1 || string(news[0].Value) != "6" {
			t.Errorf("%s: what is written then is no news: %v", name, news)
		}
	}
	if news := r.Apply(doc("3", 2, 88), 0); len(news) != 1 {
		t.Error("within an era the store's order does not count")
	}
}

// TestARemovedRowThatAReturnBringsBackIsDoubted guards against upstreams that get requests though
// they have left, as their entries are in the older copy; and against one that lives and gets none.
func TestARemovedRowThatAReturnBringsBackIsDoubted(t *testing.T) {
	const hold = time.Second
	row := func(revision int64) []Row { return []Row{{Key: keyOf(1), Value: []byte("v"), Revision: revision}} }
	gone := func() *Replica {
		r := New(Settings{HoldRestored: hold})
		r.Apply(row(platform.RevisionOf(1, 80)), 0)
		r.Apply([]Row{{Key: keyOf(1), Revision: platform.RevisionOf(1, 100), Deleted: true}}, 0)
		r.Replace(table, row(platform.RevisionOf(2, 80)), platform.RevisionOf(2, 85), 0)
		return r
	}
	r, newcomer := gone(), New(Settings{HoldRestored: hold})
	newcomer.Apply(r.Since(nil), 0)
	newcomer.Apply(row(platform.RevisionOf(2, 80)), 0) // once more, from another one
	for name, one := range map[string]*Replica{"who knew that it left": r, "who heard of both": newcomer} {
		one.Release(hold - 1)
		if _, there := one.Get(keyOf(1)); there {
			t.Errorf("%s believes the copy", name)
		}
		one.Release(hold)
		if _, there := one.Get(keyOf(1)); !there {
			t.Errorf("%s does not believe a row that stays", name)
		}
	}
	written := gone()
	if news := written.Apply(row(platform.RevisionOf(2, 87)), 0); len(news) != 1 {
		t.Error("what is written since is doubted")
	}
	dropped := gone()
	dropped.Apply([]Row{{Key: keyOf(1), Revision: platform.RevisionOf(2, 90), Deleted: true}}, 0)
	if news := dropped.Release(hold); len(news) > 0 {
		t.Errorf("dropped, and believed all the same: %v", news)
	}
}
