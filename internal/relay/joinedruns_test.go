package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/streamversions"
	"sassafrasfield/internal/upstreamstate"
)

// TestStreamThatMayNotBeResumedIsNotTakenUp guards against a caller that has events of one run and gets the rest of
// another one, on a route whose requests run once.
func TestStreamThatMayNotBeResumedIsNotTakenUp(t *testing.T) {
	for _, lastEvent := range []string{"1", "0", "-1", "99999999999999999999", "x", "1, 2"} {
		f := &fakeSender{}
		req := call("/once/1")
		req.LastEvent, req.Resumes = lastEvent, "r0"
		w, err := serve(newFake(t, f), req)
		if f.count() != 0 || err == nil {
			t.Errorf("after %q: %d sends, answered %q, %v", lastEvent, f.count(), w.Body, err)
			continue
		}
		if outcome := outcomeOf(t, err); outcome != NotRun {
			t.Errorf("after %q: outcome %v", lastEvent, outcome)
		}
	}
}

// TestForwardedStreamThatMayNotBeResumedIsNotTakenUp guards against the same at the instance that a request is forwarded to.
func TestForwardedStreamThatMayNotBeResumedIsNotTakenUp(t *testing.T) {
	f := &fakeSender{}
	req := call("/once/1")
	req.LastEvent = "1"
	_, err := newFake(t, f).ServeForwarded(context.Background(), &Forwarded{Request: req, Service: serviceHash("llm"), Timeout: time.Second, Version: "v1"}, httptest.NewRecorder())
	if err == nil || outcomeOf(t, err) != NotRun || f.count() != 0 {
		t.Errorf("%v after %d sends", err, f.count())
	}
}

// TestStreamBrokenOffBeforeItsFirstEventIsWhole guards against a stream whose header was sent before its engine crashed,
// and that gets pieces of both runs.
func TestStreamBrokenOffBeforeItsFirstEventIsWhole(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	f := &fakeSender{run: func(n int, s Send) (*Reply, error) {
		if n == 1 {
			return truncated("id: 1\nda"), nil
		}
		if s.LastEvent != "" {
			t.Errorf("goes on after %q", s.LastEvent)
		}
		return events(whole), nil
	}}
	r := newFake(t, f)
	withLargeBudget(r)
	if w, err := serve(r, call("/resumable/1")); err != nil || w.Body.String() != whole {
		t.Errorf("%q, %v", w.Body, err)
	}
	f.runs = 0
	if w, err := serve(r, call("/once/1")); !errors.Is(err, ErrAnswerAborted) || w.Body.Len() != 0 || f.runs != 1 {
		t.Errorf("%q, %v, %d runs", w.Body, err, f.runs)
	}
}

// TestForwardedStreamKeepsItsID guards against the rest of a stream that another instance serves as that of an earlier one,
// and so at another service.
func TestForwardedStreamKeepsItsID(t *testing.T) {
	forwarder := &fakeForwarder{answer: func(n int, _ *Forwarded) (*Reply, error) {
		if n == 1 {
			return truncated("id: 1\ndata: a\n\n"), nil
		}
		return events("id: 2\ndata: b\n\n"), nil
	}}
	req := call("/resumable/1")
	req.Resumes = "r0" // without an event of it
	r := withoutPath(t, &fakeSender{}, forwarder)
	if _, err := serve(r, req); err != nil || len(forwarder.requests) != 2 {
		t.Fatalf("%v, %d forwarded", err, len(forwarder.requests))
	}
	for _, f := range forwarder.requests {
		if f.Request.streamID() != req.ID {
			t.Errorf("after %q: stream %q", f.Request.LastEvent, f.Request.streamID())
		}
	}
}

// splitTable returns a table whose resumable route goes to one of two services.
func splitTable(version int64, service string) *routes.Table {
	shares := []routes.Share{{Service: "llm", Weight: 0}, {Service: "llm-next", Weight: 0}}
	for i := range shares {
		if shares[i].Service == service {
			shares[i].Weight = 1
		}
	}
	return routes.NewTable(version, []routes.Route{{
		Name: "resumable", Host: "h", Prefix: "/resumable/", Kind: routes.Generation, Resumable: true, MaxAttempts: 3, Timeout: 2 * time.Second, Shares: shares,
	}}, nil, routes.Limits{})
}

// newSplit returns a relay before two services of engines.
func newSplit(t *testing.T, f *fakeSender) *Relay {
	t.Helper()
	r := withOneVersion(newFake(t, f))
	withLargeBudget(r)
	r.SetRoutes(splitTable(2, "llm"))
	r.UpdateUpstream(upstreamstate.Upstream{ID: "next-1", Service: "llm-next", Address: "next-1", Zone: "a", Role: config.RoleDecode, Version: "v1"})
	return r
}

// takeUpAfterChange has a stream begun at the service llm, moves the route's traffic to another one, and returns where a
// caller's stream goes on that names the given attempt; empty if it is refused.
func takeUpAfterChange(t *testing.T, restarted bool, resumes string) string {
	t.Helper()
	f := &fakeSender{}
	r := newSplit(t, f)
	if _, err := serve(r, call("/resumable/1")); err != nil {
		t.Fatal(err)
	}
	if restarted {
		r.versions.records = streamversions.NewRecords()
	}
	r.SetRoutes(splitTable(3, "llm-next"))
	again := call("/resumable/1")
	again.ID, again.Resumes, again.LastEvent = "r2", resumes, "1"
	if _, err := serve(r, again); err != nil {
		if outcomeOf(t, err) != NotRun || f.count() != 1 {
			t.Errorf("%v after %d sends", err, f.count())
		}
		return ""
	}
	return f.calls[len(f.calls)-1].send.To.Service
}

// TestStreamIsTakenUpAtItsService guards against a caller that has events of one service's run and gets the rest from
// another service, as the shares of the traffic changed meanwhile.
func TestStreamIsTakenUpAtItsService(t *testing.T) {
	for name, c := range map[string]struct {
		restarted bool
		resumes   string
		want      string
	}{
		"instance that served it":          {false, "r1", "llm"},
		"instance without a record":        {true, "r1", ""},
		"caller that names no attempt":     {false, "", ""},
		"caller that names an unknown one": {false, "r0", ""},
		"no record, and no attempt's name": {true, "", ""},
	} {
		if got := takeUpAfterChange(t, c.restarted, c.resumes); got != c.want {
			t.Errorf("%s: goes on at %q, want %q", name, got, c.want)
		}
	}
}

// TestStreamIsTakenUpOnceAllRunsHaveEnded guards against refusals that outlast the streams of the earlier configuration.
func TestStreamIsTakenUpOnceAllRunsHaveEnded(t *testing.T) {
	var p pastTables
	p.add(splitTable(2, "llm"), splitTable(3, "llm-next"), 0)
	p.add(splitTable(3, "llm-next"), splitTable(4, "llm-next"), 0) // the same shares
	for want, now := range []time.Duration{1: streamversions.MaxLifetime - 1, 0: streamversions.MaxLifetime} {
		q := pastTables{list: slices.Clone(p.list)}
		if got := len(q.match("h", "/resumable/1", now)); got != want {
			t.Errorf("after %s: %d earlier routes", now, got)
		}
	}
}

// TestForwardedStreamGoesOnAtItsService guards against the same at the instance that the rest of a stream is forwarded to,
// which may have a newer configuration.
func TestForwardedStreamGoesOnAtItsService(t *testing.T) {
	f := &fakeSender{}
	r := newSplit(t, f)
	r.SetRoutes(splitTable(3, "llm-next"))
	req := call("/resumable/1")
	req.LastEvent = "1"
	_, err := r.ServeForwarded(context.Background(), &Forwarded{Request: req, Service: serviceHash("llm"), Timeout: time.Second, ConfigVersion: 2, Version: "v1"}, httptest.NewRecorder())
	if err != nil || f.count() != 1 || f.calls[0].send.To.Service != "llm" {
		t.Errorf("%v, sent %+v", err, f.calls)
	}
}

// TestCallerReturnsWhileItsAnswerIsWritten guards against two answers to one caller of which one gets events of the other.
func TestCallerReturnsWhileItsAnswerIsWritten(t *testing.T) {
	first, write := io.Pipe()
	f := &fakeSender{run: func(n int, s Send) (*Reply, error) {
		if n == 1 {
			return reply(http.StatusOK, first), nil
		}
		if s.LastEvent != "1" {
			t.Errorf("goes on after %q", s.LastEvent)
		}
		return events("id: 2\ndata: again\n\n"), nil
	}}
	r := withOneVersion(newFake(t, f))
	began := make(chan *httptest.ResponseRecorder)
	go func() {
		w, err := serve(r, call("/resumable/1"))
		if err != nil {
			t.Error(err)
		}
		began <- w
	}()
	send := func(event string) {
		t.Helper()
		if _, err := io.WriteString(write, event); err != nil {
			t.Fatal(err)
		}
	}
	send("id: 1\ndata: a\n\n")
	w, err := serve(r, takeUp("r2", "r1"))
	if err != nil || w.Body.String() != "id: 2\ndata: again\n\n" {
		t.Errorf("second answer %q, %v", w.Body, err)
	}
	send("id: 2\ndata: b\n\n")
	write.Close()
	if w := <-began; w.Body.String() != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Errorf("first answer %q", w.Body)
	}
}

// TestEventsWithoutIDsAreNotRepeated guards against a second run that begins at the start although the caller has events,
// as these had no id to go on after.
func TestEventsWithoutIDsAreNotRepeated(t *testing.T) {
	t.Run("own", func(t *testing.T) {
		f := &fakeSender{run: func(n int, _ Send) (*Reply, error) {
			if n == 1 {
				return truncated("data: a\n\n"), nil
			}
			return events("data: a\n\ndata: b\n\n"), nil
		}}
		r := newFake(t, f)
		withLargeBudget(r)
		w, err := serve(r, call("/resumable/1"))
		checkNotRepeated(t, w, err)
	})
	t.Run("forwarded", func(t *testing.T) {
		forwarder := &fakeForwarder{answer: func(n int, _ *Forwarded) (*Reply, error) {
			if n == 1 {
				return truncated("data: a\n\n"), nil
			}
			return events("data: a\n\ndata: b\n\n"), nil
		}}
		w, err := serve(withoutPath(t, &fakeSender{}, forwarder), call("/resumable/1"))
		checkNotRepeated(t, w, err)
	})
}

func checkNotRepeated(t *testing.T, w *httptest.ResponseRecorder, err error) {
	t.Helper()
	if strings.Count(w.Body.String(), "data: a") > 1 || !errors.Is(err, ErrAnswerAborted) {
		t.Errorf("%q, %v", w.Body, err)
	}
}
