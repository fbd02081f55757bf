package streamversions

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRecordIsKeptWhileCallersMayComeBack guards against records that expire early, or never.
func TestRecordIsKeptWhileCallersMayComeBack(t *testing.T) {
	r, stream := NewRecords(), IDOf("a")
	r.PutReplica(Record{Stream: stream, Version: "v1", Lifetime: 8 * time.Second}, time.Second)
	if got := r.Get(stream, 8*time.Second); !got.Found || got.Version != "v1" || got.Age != 7*time.Second || got.Source != SourceReplica {
		t.Errorf("within the lifetime: %+v", got)
	}
	if got := r.Get(stream, 9*time.Second); got.Found {
		t.Errorf("after the lifetime: %+v", got)
	}
	r.PutReplica(Record{Stream: stream, Version: "v2", Lifetime: time.Hour}, 10*time.Second)
	if got := r.Get(stream, 10*time.Second+MaxLifetime); got.Found {
		t.Errorf("after the longest lifetime: %+v", got)
	}
}

// TestIDOfTwoStreamsIsAmbiguous guards against a stream that goes on at the version of another one with the same id.
func TestIDOfTwoStreamsIsAmbiguous(t *testing.T) {
	r, stream := NewRecords(), IDOf("a")
	r.Put(Record{Stream: stream, Version: "v1", Lifetime: time.Second}, "s", 0)
	r.PutReplica(Record{Stream: stream, Version: "v1", Lifetime: time.Second}, 0)
	if got := r.Get(stream, 0); !got.Found || got.Ambiguous || got.Source != SourceOwnRecord {
		t.Errorf("recorded twice: %+v", got)
	}
	r.PutReplica(Record{Stream: stream, Version: "v2", Lifetime: time.Second}, 0)
	r.PutReplica(Record{Stream: stream, Version: "v1", Lifetime: time.Second}, 0)
	if got := r.Get(stream, 0); got.Found || !got.Ambiguous {
		t.Errorf("two versions: %+v", got)
	}
	if own := r.OwnOf("s", 0); len(own) != 0 {
		t.Errorf("replicates %v", own)
	}
}

// TestRecordsAreBounded guards against memory that callers fill with long or many ids.
func TestRecordsAreBounded(t *testing.T) {
	r := NewRecords()
	for i := range 3 * maxRecords {
		r.PutReplica(Record{Stream: IDOf(fmt.Sprint(i)), Version: "v1", Lifetime: time.Hour}, 0)
	}
	if r.Len() > maxRecords {
		t.Errorf("%d records", r.Len())
	}
	if newest := r.Get(IDOf(fmt.Sprint(3*maxRecords-1)), 0); !newest.Found {
		t.Error("the newest record was dropped")
	}
	r.PutReplica(Record{Stream: IDOf("long"), Version: strings.Repeat("v", MaxVersionBytes+1), Lifetime: time.Second}, 0)
	if r.Get(IDOf("long"), 0).Found {
		t.Error("a version beyond the bound was recorded")
	}
	r.PutReplica(Record{Stream: IDOf("late"), Version: "v1", Lifetime: time.Second}, 2*MaxLifetime)
	if r.Len() != 1 {
		t.Errorf("%d records after all but one expired", r.Len())
	}
}

// TestStreamRecordedAgainCountsAsNew guards against a stream that is recorded again after its record expired, and then
// keeps the expired records behind it, or is dropped before older ones.
func TestStreamRecordedAgainCountsAsNew(t *testing.T) {
	record := func(stream ID, lifetime time.Duration) Record {
		return Record{Stream: stream, Version: "v1", Lifetime: lifetime}
	}
	r := NewRecords()
	r.PutReplica(record(1, time.Second), 0)
	r.PutReplica(record(2, 3*time.Second), 0)
	r.PutReplica(record(1, time.Minute), 2*time.Second)
	r.PutReplica(record(3, time.Minute), 4*time.Second)
	if r.Len() != 2 {
		t.Errorf("%d records, want 2: one has expired", r.Len())
	}
	r = NewRecords()
	r.PutReplica(record(1, time.Second), 0)
	r.PutReplica(record(2, time.Minute), 0)
	r.PutReplica(record(1, time.Minute), 2*time.Second)
	for i := range maxRecords - 1 {
		r.PutReplica(record(ID(3+i), time.Minute), 2*time.Second)
	}
	if r.Get(2, 2*time.Second).Found || !r.Get(1, 2*time.Second).Found {
		t.Error("dropped the stream that was recorded again, not the oldest one")
	}
	if len(r.order) != r.Len() {
		t.Errorf("%d positions for %d records", len(r.order), r.Len())
	}
}

// TestOwnRecordsAreListed guards against streams that nobody else knows once a second version appears.
func TestOwnRecordsAreListed(t *testing.T) {
	r := NewRecords()
	r.Put(Record{Stream: 1, Version: "v1", Lifetime: 5 * time.Second}, "a", 0)
	r.Put(Record{Stream: 2, Version: "v1", Lifetime: 5 * time.Second}, "b", 0)
	r.Put(Record{Stream: 3, Version: "v1", Lifetime: time.Second}, "a", 0)
	r.PutReplica(Record{Stream: 4, Version: "v1", Lifetime: 5 * time.Second}, 0)
	want := []Record{{Stream: 1, Version: "v1", Lifetime: 3 * time.Second}}
	if got := r.OwnOf("a", 2*time.Second); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// TestVersionCountsWhileItsStreamsMayContinue guards against a service that counts as one of a single version while
// callers may come back with streams of another one.
func TestVersionCountsWhileItsStreamsMayContinue(t *testing.T) {
	c := NewCensus()
	c.Update("a", "s", "v1", 0)
	c.Update("b", "s", "v1", 0)
	c.Update("x", "other", "v7", 0)
	expect := func(step string, now time.Duration, want ...string) {
		t.Helper()
		if got := c.Versions("s", now); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", step, got, want)
		}
	}
	expect("one version", 0, "v1")
	c.Update("b", "s", "v2", time.Second) // its entry names another version now
	expect("changed in place", time.Second, "v1", "v2")
	c.Remove("a", 2*time.Second)
	c.Remove("unknown", 2*time.Second)
	expect("removed", 2*time.Second, "v1", "v2")
	expect("removed for a while", 2*time.Second+MaxLifetime, "v1", "v2")
	expect("removed for long", 3*time.Second+MaxLifetime, "v2")
	c.Update("a", "s", "v1", 4*time.Second+MaxLifetime)
	expect("back", 4*time.Second+MaxLifetime, "v1", "v2")
}

// TestResolve guards against streams that go on although it is not known which version began them.
func TestResolve(t *testing.T) {
	record := func(version string) Answer {
		return Answer{Knowledge: Knowledge{Found: true, Version: version}, SeveralVersions: true}
	}
	one, two := View{Versions: []string{"v1"}, Complete: true, Current: true, Asked: 2}, View{Versions: []string{"v1", "v2"}, Complete: true, Asked: 2}
	restarted := View{Versions: []string{"v1"}, Current: true, Asked: 2}
	outOfStep := View{Versions: []string{"v1"}, Complete: true, Asked: 2}
	for name, c := range map[string]struct {
		view    View
		answers []Answer
		want    string // empty for unknown
	}{
		"a record":                           {two, []Answer{{}, record("v2")}, "v2"},
		"a record of a version that is gone": {one, []Answer{record("v0")}, "v0"},
		"two records that agree":             {two, []Answer{record("v2"), record("v2")}, "v2"},
		"two records that differ":            {two, []Answer{record("v2"), record("v1")}, ""},
		"an id of several streams":           {one, []Answer{{Knowledge: Knowledge{Ambiguous: true}}}, ""},
		"several versions, no record":        {two, []Answer{{}}, ""},
		"several versions, no answer":        {two, nil, ""},
		"one version":                        {one, []Answer{{}}, "v1"},
		"one version, others know several":   {one, []Answer{{}, {SeveralVersions: true}}, ""},
		"one version, cut off":               {one, nil, ""},
		"one version, others know another":   {one, []Answer{{OnlyVersion: "v1"}, {OnlyVersion: "v2", Complete: true}}, ""},
		"one version, no other instance":     {View{Versions: []string{"v1"}, Complete: true}, nil, "v1"},
		"no upstream":                        {View{Complete: true, Asked: 1}, []Answer{{}}, ""},
		"restarted, all others too":          {restarted, []Answer{{OnlyVersion: "v1"}}, ""},
		"restarted, no other instance":       {View{Versions: []string{"v1"}}, nil, ""},
		"restarted, another one has not":     {restarted, []Answer{{OnlyVersion: "v1"}, {OnlyVersion: "v1", Complete: true}}, "v1"},
		"restarted, a record":                {restarted, []Answer{record("v1")}, "v1"},
		"out of step, one did not answer":    {outOfStep, []Answer{{}}, ""},
		"out of step, all answered":          {outOfStep, []Answer{{}, {}}, "v1"},
		"out of step, another one is not":    {outOfStep, []Answer{{Current: true}}, "v1"},
		"out of step, a record":              {outOfStep, []Answer{record("v1")}, "v1"},
	} {
		got, ok := Resolve(c.view, c.answers)
		if ok != (c.want != "") || got.Version != c.want {
			t.Errorf("%s: %+v %t, want %q", name, got, ok, c.want)
		}
	}
}

// TestRecordsNeverNameAnotherVersion compares the records with a plain list, under any sequence of records.
func TestRecordsNeverNameAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type put struct {
			Record
			at time.Duration
		}
		r, now := NewRecords(), time.Duration(0)
		var puts []put
		for range rapid.IntRange(1, 40).Draw(t, "puts") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			p := put{Record{
				Stream: ID(rapid.IntRange(1, 4).Draw(t, "stream")), Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
				Lifetime: time.Duration(rapid.IntRange(-1, 8).Draw(t, "lifetime")) * time.Second,
			}, now}
			puts = append(puts, p)
			if rapid.Bool().Draw(t, "own") {
				r.Put(p.Record, "s", now)
			} else {
				r.PutReplica(p.Record, now)
			}
			for stream := ID(1); stream <= 4; stream++ {
				live := map[string]bool{}
				for _, p := range puts {
					if p.Stream == stream && now < p.at+p.Lifetime {
						live[p.Version] = true
					}
				}
				got := r.Get(stream, now)
				if got.Found && !live[got.Version] && len(live) > 0 || len(live) > 1 && got.Found || len(live) == 1 && !got.Found && !got.Ambiguous {
					t.Fatalf("stream %d: %+v, recorded %v", stream, got, live)
				}
			}
		}
	})
}
