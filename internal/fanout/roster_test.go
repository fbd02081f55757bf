package fanout

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// ranked returns so many ids, the one that ranks first first.
func ranked(n int) []ID {
	ids := make([]ID, n)
	for i := range ids {
		ids[i] = IDOf(fmt.Sprintf("instance-%d", i), 10)
	}
	slices.SortFunc(ids, func(a, b ID) int { return cmp.Compare(b, a) })
	return ids
}

// rosterOf knows all of the ids, as heard at a time.
func rosterOf(self ID, ids []ID, now time.Duration) *Roster {
	r := NewRoster(self, now)
	for _, id := range ids {
		r.MarkAlive(id, now)
	}
	return r
}

// TestWideLinksRankFirst: of a zone's 23 instances two have links of 200 Mbit/s and the
// others of 10, and the first in rank passes all reports on.
func TestWideLinksRankFirst(t *testing.T) {
	for wide := range 100 {
		for narrow := range 21 {
			w, n := IDOf(fmt.Sprint("wide-", wide), 200), IDOf(fmt.Sprint("narrow-", narrow), 10)
			if w < n {
				t.Fatalf("wide %d ranks behind narrow %d", wide, narrow)
			}
		}
	}
	if IDOf("a", 0) >= IDOf("b", 1) || IDOf("a", 1e30) < IDOf("a", 1e6) || IDOf("a", -1) != IDOf("a", 0) {
		t.Error("links without a sound bandwidth")
	}
	if IDOf("a", 10) == IDOf("b", 10) {
		t.Error("names count for nothing")
	}
}

func TestTheFirstInRankPassesReportsOn(t *testing.T) {
	ids := ranked(5)
	for i, id := range ids {
		r := rosterOf(id, ids, 0)
		if r.Rank(0) != i || r.ShouldRelay(0) != (i == 0) {
			t.Errorf("rank %d: %d, passes %t", i, r.Rank(0), r.ShouldRelay(0))
		}
	}
}

func TestTheNextInRankTakesOverAfterSilence(t *testing.T) {
	ids := ranked(4)
	for rank := 1; rank < len(ids); rank++ {
		r := rosterOf(ids[rank], ids, 0)
		r.BatchReceived(ids[0], time.Second)
		for _, id := range ids[1:] {
			r.MarkAlive(id, 2*time.Second)
		}
		early := time.Second + time.Duration(rank)*silentFor
		if r.ShouldRelay(early) || !r.ShouldRelay(early+time.Millisecond) {
			t.Errorf("rank %d passes reports on %t at %s, then %t", rank, r.ShouldRelay(early), early, r.ShouldRelay(early+time.Millisecond))
		}
		r.BatchReceived(ids[0], early+2*time.Millisecond)
		if r.ShouldRelay(early + 3*time.Millisecond) {
			t.Errorf("rank %d still passes reports on though the first is back", rank)
		}
	}
}

func TestAnInstanceThatFallsSilentRanksNoMore(t *testing.T) {
	ids := ranked(3)
	r := rosterOf(ids[2], ids, 0)
	r.MarkAlive(ids[1], aliveFor)
	if rank := r.Rank(aliveFor + time.Millisecond); rank != 1 {
		t.Errorf("rank %d, one of those ahead is silent", rank)
	}
}

func TestReportsGoToTheFirstTwoAndWhoeverPassesThemOn(t *testing.T) {
	ids := ranked(6)
	r := rosterOf(ids[5], ids, 0)
	if got := r.Receivers(0); !slices.Equal(got, ids[:2]) {
		t.Errorf("%v, want the first two of %v", got, ids)
	}
	r.BatchReceived(ids[3], 0) // it does not hear of those ahead
	if got := r.Receivers(0); !slices.Equal(got, []ID{ids[0], ids[1], ids[3]}) {
		t.Errorf("%v", got)
	}
	if got := r.Receivers(listens + time.Millisecond); !slices.Equal(got, ids[:2]) {
		t.Errorf("%v after its batches ended", got)
	}
}

// TestAnIntroducedInstanceHasToGiveASign: one that is named again and again by others
// that do not know better counts no more.
func TestAnIntroducedInstanceHasToGiveASign(t *testing.T) {
	ids := ranked(2)
	r := NewRoster(ids[1], 0)
	for now := time.Duration(0); now <= 2*aliveFor; now += 100 * time.Millisecond {
		r.Introduce(ids[0], now)
	}
	if !r.Alive(ids[0], aliveFor) || r.Alive(ids[0], 2*aliveFor) {
		t.Error("it counts for another time than one sign")
	}
}
