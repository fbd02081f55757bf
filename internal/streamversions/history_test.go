package streamversions

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestVersionsOfEarlierProcessesAreKnown guards against streams that go on at the only version that an instance has seen
// since it started, although another one had served a moment before.
func TestVersionsOfEarlierProcessesAreKnown(t *testing.T) {
	c, start := NewCensus(), 5*time.Second
	c.Update("b", "s", "v2", start)
	c.ApplyHistory(History{Service: "s", Versions: []string{"v1"}, Revision: 7}, start)
	if got := c.Versions("s", start+MaxLifetime); !slices.Equal(got, []string{"v1", "v2"}) {
		t.Errorf("after the start: %v", got)
	}
	next := History{Service: "s", Versions: []string{"v1", "v2"}, Revision: 7}
	if due := c.DueHistories(false, start); len(due) != 1 || !slices.Equal(due[0].Versions, next.Versions) || due[0].Revision != 7 {
		t.Errorf("to write: %+v", due)
	}
	later := start + MaxLifetime + time.Second
	c.ApplyHistory(History{Service: "s", Versions: []string{"v1", "v2", "v3"}, Gone: []string{"v1"}, Revision: 8}, later)
	if got := c.Versions("s", later); !slices.Equal(got, []string{"v2", "v3"}) {
		t.Errorf("a version that another instance adds: %v", got)
	}
	if due := c.DueHistories(false, later); len(due) > 0 {
		t.Errorf("written without need: %+v", due)
	}
	c.ApplyHistory(History{Service: "s", Versions: []string{"v1", "v2", "v3"}, Gone: []string{"v1", "v3"}, Revision: 9}, later)
	if due := c.DueHistories(true, later+MaxLifetime); len(due) > 0 {
		t.Errorf("taken out while others may know it: %+v", due)
	}
	later += MaxLifetime + removalMargin + time.Second
	if due := c.DueHistories(true, later); len(due) != 1 || !slices.Equal(due[0].Versions, []string{"v2"}) || due[0].Revision != 9 {
		t.Errorf("a version whose streams are over stays: %+v", due)
	}
	c.RemoveHistory("s")
	if due := c.DueHistories(false, later); len(due) != 1 || due[0].Revision != 0 {
		t.Errorf("after the row was lost: %+v", due)
	}
}

// TestReturningVersionIsWritten guards against a version that returns while its removal is due, and that an instance which
// has not heard of it takes out of the row.
func TestReturningVersionIsWritten(t *testing.T) {
	c := NewCensus()
	c.Update("a", "s", "v1", 0)
	c.ApplyHistory(History{Service: "s", Versions: []string{"v1"}, Gone: []string{"v1"}, Revision: 3}, 0)
	if due := c.DueHistories(false, 0); len(due) != 1 || len(due[0].Gone) > 0 || due[0].Revision != 3 {
		t.Errorf("%+v", due)
	}
	if stored, unstored := c.Present("s"); len(stored) > 0 || !slices.Equal(unstored, []string{"v1"}) {
		t.Errorf("counts as stored: %v", stored)
	}
}

// TestNoVersionIsForgotten guards against a history that lacks a version whose streams callers may hold, with instances
// that write at the same time, learn of rows and upstreams late, and restart at any time.
func TestNoVersionIsForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var row History
		now, present := time.Duration(0), map[string]bool{}
		served := map[string]time.Duration{} // when a version was last used by an instance that had it stored
		list := []*Census{NewCensus(), NewCensus(), NewCensus()}
		apply := func(c *Census) {
			if row.Revision > 0 {
				c.ApplyHistory(row, now)
			}
		}
		update := func(c *Census) {
			for _, version := range []string{"v1", "v2", "v3"} {
				if present[version] {
					c.Update(version, "s", version, now)
				} else {
					c.Remove(version, now)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second
			i := rapid.IntRange(0, len(list)-1).Draw(t, "instance")
			c := list[i]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				version := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
				present[version] = !present[version]
			case 1:
				update(c)
			case 2:
				apply(c)
			case 3:
				for _, due := range c.DueHistories(rapid.Bool().Draw(t, "tidy"), now) {
					if due.Revision == row.Revision {
						row = due
						row.Revision++
					}
				}
			case 4:
				list[i] = NewCensus()
				apply(list[i])
				update(list[i])
			case 5:
				update(c) // an instance that serves knows the present upstreams
				apply(c)
				stored, _ := c.Present("s")
				for _, version := range stored {
					served[version] = now
				}
			}
			restarted := NewCensus()
			apply(restarted)
			known := restarted.Versions("s", now)
			for version, last := range served {
				if now-last < MaxLifetime && !slices.Contains(known, version) {
					t.Fatalf("at %s nothing says that %s served at %s: %v", now, version, last, known)
				}
			}
		}
	})
}

// TestVersionThatLeftUnstoredIsDue guards against a version that is never stored because its last upstream left before
// the store accepted the write, while callers hold its streams.
func TestVersionThatLeftUnstoredIsDue(t *testing.T) {
	c := NewCensus()
	c.Update("a", "s", "v1", 0)
	c.ApplyHistory(History{Service: "s", Versions: []string{"v1"}, Revision: 3}, 0)
	c.Update("a", "s", "v2", time.Second)
	c.Update("a", "s", "v1", 2*time.Second) // rolled back
	due := c.DueHistories(false, 3*time.Second)
	if len(due) != 1 || !slices.Equal(due[0].Versions, []string{"v1", "v2"}) || due[0].Revision != 3 {
		t.Errorf("due: %+v", due)
	}
	if due := c.DueHistories(false, 2*time.Second+2*MaxLifetime); len(due) != 0 {
		t.Errorf("due, though nobody holds its streams any more: %+v", due)
	}
}
