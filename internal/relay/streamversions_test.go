package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/streamversions"
	"sassafrasfield/internal/upstreamstate"
)

// fakeReplicas stands for the other instances: it keeps what is replicated, and answers questions from a script.
type fakeReplicas struct {
	answers []streamversions.Answer
	silent  bool

	mu      sync.Mutex // protects all below
	records []streamversions.Record
	asked   int
}

func (f *fakeReplicas) replicate(records []streamversions.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, records...)
}

func (f *fakeReplicas) ask(context.Context, streamversions.ID, uint32) ([]streamversions.Answer, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	if f.silent {
		return nil, 2
	}
	return f.answers, len(f.answers)
}

func withReplicas(r *Relay, f *fakeReplicas) *Relay {
	r.SetStreamReplicator(f.replicate, f.ask)
	return r
}

// withOneVersion gives all upstreams one version, as if they had never had another one.
func withOneVersion(r *Relay) *Relay {
	r.versions = newVersionRecords()
	r.SetVersionTable(func() streamversions.Table { return streamversions.Table{Loaded: true} })
	for _, u := range r.upstreams.AllUpstreams() {
		u.Version = "v1"
		r.UpdateUpstream(u)
	}
	return r
}

// takeUp returns the request of a caller that takes a stream up.
func takeUp(id, resumes string) *Request {
	req := shortPrompt("/resumable/1")
	req.ID, req.Resumes, req.LastEvent = id, resumes, "1"
	return req
}

// TestCallerTakesStreamUpAtItsVersion guards against callers that hold events of two versions after they came back: to
// the instance that began the stream, to one with a replica of its record, and to one that has to ask.
func TestCallerTakesStreamUpAtItsVersion(t *testing.T) {
	for n := range 20 {
		f, others := &fakeSender{}, &fakeReplicas{}
		r := withReplicas(withVersions(newFake(t, f)), others)
		if _, err := serve(r, numbered(shortPrompt("/resumable/1"), n)); err != nil {
			t.Fatal(err)
		}
		began := f.runsOf()[0].To.Version
		expect := func(from string, r *Relay, f *fakeSender, id, resumes string) {
			t.Helper()
			if _, err := serve(r, takeUp(id, resumes)); err != nil {
				t.Fatalf("%s: %v", from, err)
			}
			if runs := f.runsOf(); runs[len(runs)-1].To.Version != began || runs[len(runs)-1].LastEvent != "1" {
				t.Fatalf("%s: began at %s, goes on with %+v", from, began, runs[len(runs)-1])
			}
		}
		first := fmt.Sprintf("r1-%d", n)
		expect("the same instance", r, f, "try-2", first)
		expect("its own second try", r, f, "try-3", "try-2")
		expect("its own third try, of the first", r, f, "try-4", first)
		f = &fakeSender{}
		replica := withReplicas(withVersions(newFake(t, f)), &fakeReplicas{})
		replica.ApplyStreamRecords(others.records)
		expect("a replica", replica, f, "try-5", first)
		f = &fakeSender{}
		answer := r.StreamAnswer(streamversions.IDOf(first), serviceHash("llm"))
		asking := withReplicas(withVersions(newFake(t, f)), &fakeReplicas{answers: []streamversions.Answer{{SeveralVersions: true}, answer}})
		expect("an instance that asks", asking, f, "try-6", first)
		expect("its second try there", asking, f, "try-7", "try-6")
	}
}

// TestSourceOfVersionIsNamed guards against log lines that name the wrong source of a stream's version.
func TestSourceOfVersionIsNamed(t *testing.T) {
	stream := streamversions.IDOf("r1")
	answer := streamversions.Answer{Knowledge: streamversions.Knowledge{Found: true, Version: "v1"}}
	for name, c := range map[string]struct {
		versions func(*Relay) *Relay
		others   *fakeReplicas
		prepare  func(*Relay)
		want     versionSource
	}{
		"its own record": {withVersions, &fakeReplicas{}, func(r *Relay) {
			r.versions.records.Put(streamversions.Record{Stream: stream, Version: "v1", Lifetime: time.Second}, "llm", r.now())
		}, "own record"},
		"a replica": {withVersions, &fakeReplicas{}, func(r *Relay) {
			r.ApplyStreamRecords([]streamversions.Record{{Stream: stream, Version: "v1", Lifetime: time.Second}})
		}, "replica"},
		"an answer, several versions":        {withVersions, &fakeReplicas{answers: []streamversions.Answer{answer}}, func(*Relay) {}, "instance"},
		"an answer, one version here":        {withOneVersion, &fakeReplicas{answers: []streamversions.Answer{answer}}, func(*Relay) {}, "instance"},
		"no record, one version":             {withOneVersion, &fakeReplicas{answers: []streamversions.Answer{{}}}, func(*Relay) {}, "only version"},
		"no record, one version, no replica": {withOneVersion, &fakeReplicas{}, func(*Relay) {}, "only version"},
	} {
		r := withReplicas(c.versions(newFake(t, &fakeSender{})), c.others)
		c.prepare(r)
		x, err := r.newExchange(takeUp("try-2", "r1"))
		if err != nil {
			t.Fatal(err)
		}
		if err := r.requireBegunVersion(context.Background(), x); err != nil || x.requires.version != "v1" || x.requires.source != c.want {
			t.Errorf("%s: %+v, %v, want %q", name, x.requires, err, c.want)
		}
	}
}

// TestEntriesAreAppliedWhileStreamsAreTakenUp guards against an instance that stands still for good: the check whether entries are
// current waits until the change of an entry is applied, which waits for the records of versions.
func TestEntriesAreAppliedWhileStreamsAreTakenUp(t *testing.T) {
	r := withVersions(newFake(t, &fakeSender{}))
	known := r.upstreams.Upstream("dec-1")
	r.SetEntriesCurrent(func() bool {
		r.UpdateUpstream(known)
		return true
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.knowledgeOf(streamversions.IDOf("r1"), "llm")
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the records of versions are held while another component is asked")
	}
}

// TestStreamOfUnknownVersionIsRefused guards against streams that go on at any version, and refusals that wait or lie.
func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		resumes string
		others  *fakeReplicas
	}{
		"nobody has a record":     {"made-up", &fakeReplicas{answers: []streamversions.Answer{{SeveralVersions: true}}}},
		"nobody answers":          {"made-up", &fakeReplicas{silent: true}},
		"the caller names no try": {"", &fakeReplicas{}},
		"an id of two streams":    {"r1", &fakeReplicas{answers: []streamversions.Answer{{Knowledge: streamversions.Knowledge{Ambiguous: true}}}}},
	} {
		f := &fakeSender{}
		r := withReplicas(withVersions(newFake(t, f)), c.others)
		began := time.Now()
		_, err := serve(r, takeUp("try-2", c.resumes))
		if refusal, ok := err.(*Refusal); !ok || refusal.Outcome != NotRun || refusal.RetryIn <= 0 || f.count() != 0 || time.Since(began) > 500*time.Millisecond {
			t.Errorf("%s: %#v after %d sends", name, err, f.count())
		}
	}
}

// TestStreamIsNotTakenUpBeforeHistoryIsKnown guards against streams that an instance takes up at the only version that it
// has seen since it started.
func TestStreamIsNotTakenUpBeforeHistoryIsKnown(t *testing.T) {
	f, others, loaded := &fakeSender{}, &fakeReplicas{answers: []streamversions.Answer{{OnlyVersion: "v1"}}}, false
	r := withReplicas(withOneVersion(newFake(t, f)), others)
	r.SetVersionTable(func() streamversions.Table { return streamversions.Table{Loaded: loaded} })
	expect := func(step string, taken bool) {
		t.Helper()
		before := f.count()
		_, err := serve(r, takeUp("try-2", "of an earlier process, "+step))
		refusal, refused := err.(*Refusal)
		if taken && err != nil || !taken && (!refused || refusal.Outcome != NotRun || refusal.RetryIn <= 0 || f.count() != before) {
			t.Errorf("%s: %#v", step, err)
		}
	}
	expect("before the history is loaded", false)
	others.answers = []streamversions.Answer{{OnlyVersion: "v1", Complete: true}}
	expect("another instance knows it", true)
	others.answers, loaded = []streamversions.Answer{{OnlyVersion: "v1"}}, true
	expect("it names no other version", true)
	r.ApplyVersionHistory(streamversions.History{Service: "llm", Versions: []string{"v0", "v1"}, Revision: 3})
	expect("it names another version", false)
}

// TestStreamsBeginAtStoredVersions guards against streams of a version that no instance would know of after a restart of
// all, and against streams that wait for the store.
func TestStreamsBeginAtStoredVersions(t *testing.T) {
	for name, c := range map[string]struct {
		stored []string
		want   int
	}{
		"none is stored, as without the store": {nil, 2},
		"one is stored":                        {[]string{"v1"}, 1},
		"both are stored":                      {[]string{"v1", "v2"}, 2},
	} {
		f := &fakeSender{}
		r := withReplicas(withVersions(newFake(t, f)), &fakeReplicas{})
		r.ApplyVersionHistory(streamversions.History{Service: "llm", Versions: c.stored, Revision: 3})
		for n := range 20 {
			if _, err := serve(r, numbered(shortPrompt("/resumable/1"), n)); err != nil {
				t.Fatal(err)
			}
		}
		versions := map[string]bool{}
		for _, call := range f.calls {
			versions[call.send.To.Version] = true
		}
		if len(versions) != c.want || !versions["v1"] {
			t.Errorf("%s: streams begin at %v", name, versions)
		}
	}
}

// TestFirstStreamWaitsForStoredVersion guards against streams that begin before anything would tell an instance that
// starts of their version, and against those that wait for a store that does not answer.
func TestFirstStreamWaitsForStoredVersion(t *testing.T) {
	for name, c := range map[string]struct {
		wait   time.Duration
		stored bool
	}{
		"stored soon":                 {time.Minute, true},
		"not stored, begins after it": {100 * time.Millisecond, false},
	} {
		f := &fakeSender{}
		r := newFake(t, f)
		r.settings.VersionStoreWait = c.wait
		withReplicas(withOneVersion(r), &fakeReplicas{})
		done := make(chan error, 1)
		go func() {
			_, err := serve(r, shortPrompt("/resumable/1"))
			done <- err
		}()
		if c.stored {
			r.ApplyVersionHistory(streamversions.History{Service: "app", Versions: []string{"v1"}, Revision: 1})
			select {
			case <-done:
				t.Errorf("%s: began at a version that is not stored", name)
			case <-time.After(20 * time.Millisecond):
			}
			r.ApplyVersionHistory(streamversions.History{Service: "llm", Versions: []string{"v1"}, Revision: 2})
		}
		if err := <-done; err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestStreamWithoutEngineOfItsVersionIsRefusedAtOnce guards against callers that wait, or come back, for a version that
// has no engine any more.
func TestStreamWithoutEngineOfItsVersionIsRefusedAtOnce(t *testing.T) {
	f := &fakeSender{}
	r := withReplicas(withVersions(newFake(t, f)), &fakeReplicas{})
	r.ApplyStreamRecords([]streamversions.Record{{Stream: streamversions.IDOf("r1"), Version: "v0", Lifetime: time.Second}})
	_, err := serve(r, takeUp("try-2", "r1"))
	if refusal, ok := err.(*Refusal); !ok || refusal.Outcome != NotRun || refusal.RetryIn != 0 || f.count() != 0 {
		t.Errorf("%#v after %d sends", err, f.count())
	}
}

// TestOneVersionCostsNoMessages guards against messages on a day with one software version, and against streams of such
// a day that cannot be taken up.
func TestOneVersionCostsNoMessages(t *testing.T) {
	f, others := &fakeSender{}, &fakeReplicas{answers: []streamversions.Answer{{}}}
	r := withReplicas(withOneVersion(newFake(t, f)), others)
	for n := range 10 {
		if _, err := serve(r, numbered(shortPrompt("/resumable/1"), n)); err != nil {
			t.Fatal(err)
		}
	}
	if len(others.records) != 0 || others.asked != 0 {
		t.Errorf("replicated %d records, asked %d times", len(others.records), others.asked)
	}
	if _, err := serve(r, takeUp("try-2", "of another instance")); err != nil {
		t.Errorf("taken up: %v", err)
	}
	others.silent = true
	if _, err := serve(r, takeUp("try-2", "r1-3")); err != nil {
		t.Errorf("taken up here while no other instance answers: %v", err)
	}
}

// TestStoppingInstanceHandsItsRecordsOver guards against streams that nobody can take up after a planned restart of all
// instances, as each took its records with it.
func TestStoppingInstanceHandsItsRecordsOver(t *testing.T) {
	others := &fakeReplicas{}
	r := withReplicas(withOneVersion(newFake(t, &fakeSender{})), others)
	if _, err := serve(r, numbered(shortPrompt("/resumable/1"), 1)); err != nil {
		t.Fatal(err)
	}
	r.ApplyStreamRecords([]streamversions.Record{{Stream: streamversions.IDOf("of another instance"), Version: "v1", Lifetime: time.Second}})
	r.HandOverStreams()
	if len(others.records) != 2 {
		t.Errorf("handed over %+v, want its own record and that of another instance", others.records)
	}
	if _, err := serve(r, numbered(shortPrompt("/resumable/1"), 2)); err != nil {
		t.Fatal(err)
	}
	if len(others.records) != 3 {
		t.Errorf("a stream that begins while the instance stops: %+v", others.records)
	}
}

// TestRecordsAreReplicatedOnceASecondVersionAppears guards against streams that began at the only version and that
// other instances know nothing about once there are two.
func TestRecordsAreReplicatedOnceASecondVersionAppears(t *testing.T) {
	others := &fakeReplicas{}
	r := withReplicas(withOneVersion(newFake(t, &fakeSender{})), others)
	if _, err := serve(r, shortPrompt("/resumable/1")); err != nil {
		t.Fatal(err)
	}
	r.UpdateUpstream(upstreamstate.Upstream{ID: "dec-9", Service: "llm", Address: "dec-9", Zone: "a", Role: config.RoleDecode, Version: "v2"})
	if len(others.records) != 1 || others.records[0].Stream != streamversions.IDOf("r1") || others.records[0].Version != "v1" || others.records[0].Lifetime <= 0 {
		t.Fatalf("replicated %+v", others.records)
	}
	r.UpdateUpstream(upstreamstate.Upstream{ID: "dec-10", Service: "llm", Address: "dec-10", Zone: "a", Role: config.RoleDecode, Version: "v2"})
	if len(others.records) != 1 {
		t.Errorf("replicated again: %+v", others.records)
	}
}

// orderedWriter records whether a record had been replicated when the caller received the first byte.
type orderedWriter struct {
	*httptest.ResponseRecorder
	others   *fakeReplicas
	recorded bool
}

func (w *orderedWriter) WriteHeader(status int) {
	w.others.mu.Lock()
	w.recorded = len(w.others.records) > 0
	w.others.mu.Unlock()
	w.ResponseRecorder.WriteHeader(status)
}

// TestRecordIsReplicatedBeforeTheCallerHasAnEvent guards against streams whose record is lost with the instance that
// began them, although the caller has events.
func TestRecordIsReplicatedBeforeTheCallerHasAnEvent(t *testing.T) {
	others := &fakeReplicas{}
	r := withReplicas(withVersions(newFake(t, &fakeSender{})), others)
	w := &orderedWriter{ResponseRecorder: httptest.NewRecorder(), others: others}
	if err := r.Serve(context.Background(), shortPrompt("/resumable/1"), w); err != nil {
		t.Fatal(err)
	}
	if !w.recorded || w.Code != http.StatusOK {
		t.Errorf("recorded %t, status %d", w.recorded, w.Code)
	}
	if lifetime := others.records[0].Lifetime; lifetime < time.Second || lifetime > time.Second+comebackMargin {
		t.Errorf("kept for %s, the caller waits 1 s", lifetime)
	}
}

// TestTakenUpStreamKeepsItsService guards against a stream that goes on at another service of its route.
func TestTakenUpStreamKeepsItsService(t *testing.T) {
	r := newFake(t, &fakeSender{})
	r.SetRoutes(routes.NewTable(2, []routes.Route{{
		Name: "split", Host: "h", Prefix: "/split/", Kind: routes.Generation, Resumable: true, MaxAttempts: 2, Timeout: time.Second,
		Shares: []routes.Share{{Service: "llm", Weight: 1}, {Service: "other", Weight: 1}},
	}}, nil, routes.Limits{}))
	for n := range 50 {
		first := shortPrompt("/split/1")
		first.ID = fmt.Sprint(n)
		x, err := r.newExchange(first)
		if err != nil {
			t.Fatal(err)
		}
		next := shortPrompt("/split/1")
		next.ID, next.Resumes, next.LastEvent = fmt.Sprint("again-", n), first.ID, "1"
		again, err := r.newExchange(next)
		if err != nil || again.service != x.service {
			t.Fatalf("stream %d began at %s and goes on at %s, %v", n, x.service, again.service, err)
		}
	}
}
