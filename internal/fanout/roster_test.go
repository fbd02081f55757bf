package fanout

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// ranked returns n IDs in order of rank.
func ranked(n int) []ID {
	ids := make([]ID, n)
	for i := range ids {
		ids[i] = IDOf(fmt.Sprintf("instance-%d", i), 10)
	}
	slices.SortFunc(ids, func(a, b ID) int { return cmp.Compare(b, a) })
	return ids
}

// rosterOf returns a roster of the ids, all of them alive at a time.
func rosterOf(self ID, ids []ID, now time.Duration) *Roster {
	r := NewRoster(self, now)
	for _, id := range ids {
		r.MarkAlive(id, now)
	}
	return r
}

// TestFastLinksRankFirst guards against a hub with a slow link. Of a zone's 23 instances two have links
// of 200 Mbit/s and the others of 10 Mbit/s, and the one that ranks first relays all reports.
func TestFastLinksRankFirst(t *testing.T) {
	for fast := range 100 {
		for slow := range 21 {
			f, s := IDOf(fmt.Sprint("wide-", fast), 200), IDOf(fmt.Sprint("narrow-", slow), 10)
			if f < s {
				t.Fatalf("fast link %d ranks behind slow link %d", fast, slow)
			}
		}
	}
	if IDOf("a", 0) >= IDOf("b", 1) || IDOf("a", 1e30) < IDOf("a", 1e6) || IDOf("a", -1) != IDOf("a", 0) {
		t.Error("bandwidths that are 0, negative or very large rank wrongly")
	}
	if IDOf("a", 10) == IDOf("b", 10) {
		t.Error("names do not affect the ID")
	}
}

func TestFirstInRankIsHub(t *testing.T) {
	ids := ranked(5)
	for i, id := range ids {
		r := rosterOf(id, ids, 0)
		if r.Rank(0) != i || r.IsHub(0) != (i == 0) {
			t.Errorf("rank %d: got rank %d, is hub %t", i, r.Rank(0), r.IsHub(0))
		}
	}
}

func TestNextInRankTakesOverAfterSilence(t *testing.T) {
	ids := ranked(4)
	for rank := 1; rank < len(ids); rank++ {
		r := rosterOf(ids[rank], ids, 0)
		r.BatchReceived(ids[0], time.Second)
		for _, id := range ids[1:] {
			r.MarkAlive(id, 2*time.Second)
		}
		takeover := time.Second + time.Duration(rank)*takeoverAfter
		if r.IsHub(takeover) || !r.IsHub(takeover+time.Millisecond) {
			t.Errorf("rank %d is hub %t at %s, then %t", rank, r.IsHub(takeover), takeover, r.IsHub(takeover+time.Millisecond))
		}
		r.BatchReceived(ids[0], takeover+2*time.Millisecond)
		if r.IsHub(takeover + 3*time.Millisecond) {
			t.Errorf("rank %d is still hub though the first is back", rank)
		}
	}
}

func TestSilentInstanceIsNotRanked(t *testing.T) {
	ids := ranked(3)
	r := rosterOf(ids[2], ids, 0)
	r.MarkAlive(ids[1], aliveFor)
	if rank := r.Rank(aliveFor + time.Millisecond); rank != 1 {
		t.Errorf("rank %d, though one of the two higher instances is silent", rank)
	}
}

func TestReportsGoToFirstTwoAndSendersOfBatches(t *testing.T) {
	ids := ranked(6)
	r := rosterOf(ids[5], ids, 0)
	if got := r.Receivers(0); !slices.Equal(got, ids[:2]) {
		t.Errorf("%v, want the first two of %v", got, ids)
	}
	r.BatchReceived(ids[3], 0) // it does not receive the reports of those that rank before it
	if got := r.Receivers(0); !slices.Equal(got, []ID{ids[0], ids[1], ids[3]}) {
		t.Errorf("%v", got)
	}
	if got := r.Receivers(relayingFor + time.Millisecond); !slices.Equal(got, ids[:2]) {
		t.Errorf("%v after its batches ended", got)
	}
}

// TestIntroducedInstanceExpiresWithoutOwnMessage checks that an instance expires even if others, which do
// not know that it departed, keep naming it.
func TestIntroducedInstanceExpiresWithoutOwnMessage(t *testing.T) {
	ids := ranked(2)
	r := NewRoster(ids[1], 0)
	for now := time.Duration(0); now <= 2*aliveFor; now += 100 * time.Millisecond {
		r.Introduce(ids[0], now)
	}
	if !r.Alive(ids[0], aliveFor) || r.Alive(ids[0], 2*aliveFor) {
		t.Error("an introduced instance is not alive for exactly aliveFor")
	}
}
