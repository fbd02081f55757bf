package replica

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func row(key string, revision int64) Row {
	return Row{Key: Key{"t", key}, Revision: revision}
}

func gone(key string, revision int64) Row {
	return Row{Key: Key{"t", key}, Revision: revision, Deleted: true}
}

func keys(rows []Row) string {
	names := ""
	for _, r := range rows {
		names += r.Key.Key
	}
	return names
}

func TestOlderRowsAreNoNews(t *testing.T) {
	r := New()
	if got := keys(r.Apply([]Row{row("a", 3), row("a", 2), gone("b", 4), row("b", 1)}, 0)); got != "ab" {
		t.Errorf("news %q", got)
	}
	if got := keys(r.Table("t")); got != "a" {
		t.Errorf("table %q: a deleted row came back", got)
	}
}

func TestAStaleReadDeletesNothingNewer(t *testing.T) {
	r := New()
	r.Apply([]Row{row("a", 3), row("b", 9)}, 0)
	r.Replace("t", nil, 5, 0)
	if got := keys(r.Table("t")); got != "b" {
		t.Errorf("table %q, want b alone", got)
	}
}

func TestDeletionsAfterAnOutageWait(t *testing.T) {
	r := New()
	r.Apply([]Row{row("a", 1), row("b", 2)}, 0)
	r.Hold(2 * time.Second)
	r.Apply([]Row{gone("a", 5), gone("b", 6)}, time.Second)
	if got := keys(r.Table("t")); got != "ab" {
		t.Errorf("table %q before the hold ended", got)
	}
	r.Apply([]Row{row("a", 7)}, time.Second)
	r.Release(3 * time.Second)
	if got := keys(r.Table("t")); got != "a" {
		t.Errorf("table %q after it, want a alone", got)
	}
}

// TestAnyOrderGivesTheSameTable applies the same rows in two orders.
func TestAnyOrderGivesTheSameTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Row {
			return Row{
				Key:      Key{"t", rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")},
				Revision: rapid.Int64Range(1, 50).Draw(t, "revision"),
				Deleted:  rapid.Bool().Draw(t, "deleted"),
			}
		}), 1, 20, func(r Row) int64 { return r.Revision }).Draw(t, "rows")
		one, two := New(), New()
		one.Apply(rows, 0)
		for _, r := range rapid.Permutation(rows).Draw(t, "order") {
			two.Apply([]Row{r}, 0)
		}
		if keys(one.Table("t")) != keys(two.Table("t")) {
			t.Fatalf("%q and %q", keys(one.Table("t")), keys(two.Table("t")))
		}
	})
}

func TestNewsHasOneRowAKey(t *testing.T) {
	news := New().Apply([]Row{row("a", 1), row("b", 2), row("a", 3)}, 0)
	if len(news) != 2 || keys(news) != "ba" || news[1].Revision != 3 {
		t.Errorf("%+v", news)
	}
}
