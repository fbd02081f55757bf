package relay

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/upstreamstate"
)

// withVersions gives each version one engine that processes prompts and two that generate.
func withVersions(r *Relay) *Relay {
	for _, version := range []string{"v1", "v2"} {
		r.UpdateUpstream(upstreamstate.Upstream{ID: "pre-" + version, Service: "llm", Address: "pre-" + version, Zone: "a", Role: config.RolePrefill, Version: version})
		for n := range 2 {
			id := fmt.Sprintf("dec-%s-%d", version, n)
			r.UpdateUpstream(upstreamstate.Upstream{ID: id, Service: "llm", Address: id, Zone: "a", Role: config.RoleDecode, Version: version})
		}
	}
	for _, id := range []string{"pre-1", "pre-2", "dec-1", "dec-2", "dec-3"} {
		r.RemoveUpstream(id)
	}
	return r
}

// numbered returns a request with its own id and prompt parts.
func numbered(req *Request, n int) *Request {
	req.ID = fmt.Sprintf("%s-%d", req.ID, n)
	for i := range req.Prompt.Parts {
		req.Prompt.Parts[i].ID += req.ID
	}
	return req
}

// runsOf returns the sends that ran something, in order.
func (f *fakeSender) runsOf() []Send {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Send
	for _, c := range f.calls {
		if !c.prefill {
			list = append(list, c.send)
		}
	}
	return list
}

// TestBrokenStreamGoesOnAtItsVersion guards against answers that hold events of engines of two software versions: after
// an engine broke off, any engine was asked to go on, and any engine got the copy of a run.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	for name, request := range map[string]func() *Request{
		"resumed, long prompt":  func() *Request { return longPrompt("/resumable/1") },
		"resumed, short prompt": func() *Request { return shortPrompt("/resumable/1") },
		"continued at a copy":   func() *Request { return shortPrompt("/once/1") },
	} {
		t.Run(name, func(t *testing.T) {
			for n := range 20 {
				f := &fakeSender{run: func(n int, _ Send) (*Reply, error) {
					if n == 1 {
						return truncated("id: 1\ndata: a\n\n"), nil
					}
					return events("id: 2\ndata: b\n\n"), nil
				}}
				r := withVersions(newFake(t, f))
				withLargeBudget(r)
				if _, err := serve(r, numbered(request(), n)); err != nil {
					t.Fatal(err)
				}
				runs := f.runsOf()
				if len(runs) != 2 || runs[0].To.Version != runs[1].To.Version {
					t.Fatalf("stream %d began at %s (%s) and went on at %s (%s)", n, runs[0].To.ID, runs[0].To.Version, runs[1].To.ID, runs[1].To.Version)
				}
			}
		})
	}
}

// TestStreamEndsAtOnceWithoutEngineOfItsVersion guards against answers that are kept open until their deadline, waiting
// for a retry that no engine can take.
func TestStreamEndsAtOnceWithoutEngineOfItsVersion(t *testing.T) {
	f := &fakeSender{run: func(int, Send) (*Reply, error) { return truncated("id: 1\ndata: a\n\n"), nil }}
	r := withVersions(newFake(t, f))
	r.RemoveUpstream("dec-v1-1")
	r.RemoveUpstream("dec-v2-0")
	r.RemoveUpstream("dec-v2-1")
	r.UpdateUpstream(upstreamstate.Upstream{ID: "dec-v2-0", Service: "llm", Address: "dec-v2-0", Zone: "a", Role: config.RoleDecode, Version: "v2", Draining: true})
	r.SetBudget(BudgetSettings{Share: 0.001, Slack: 0, Window: time.Second}) // a retry would have to wait
	began := time.Now()
	_, err := serve(r, shortPrompt("/resumable/1"))
	if !errors.Is(err, ErrAnswerAborted) || f.count() != 1 || time.Since(began) > 500*time.Millisecond {
		t.Errorf("%v after %d sends and %s", err, f.count(), time.Since(began))
	}
}

// TestSendToEngineOfAnotherVersionIsWithheld guards against streams of two versions where an engine's entry changes after
// the engine was chosen.
func TestSendToEngineOfAnotherVersionIsWithheld(t *testing.T) {
	r := withVersions(newFake(t, &fakeSender{}))
	x, err := r.newExchange(shortPrompt("/resumable/1"))
	if err != nil {
		t.Fatal(err)
	}
	x.requires = requiredVersion{version: "v1", source: versionFromAnswer}
	chosen := r.upstreams.Upstream("dec-v1-0")
	send := x.newSend(chosen, r.now())
	if err := r.admit(context.Background(), x.req, send); err != nil {
		t.Fatalf("engine of the version: %v", err)
	}
	changed := chosen
	changed.Version = "v2"
	r.UpdateUpstream(changed)
	if err := r.admit(context.Background(), x.req, send); !errors.Is(err, ErrOtherVersion) {
		t.Errorf("engine whose entry names another version since: %v", err)
	}
	if err := r.admit(context.Background(), x.req, x.newSend(r.upstreams.Upstream("dec-v2-1"), r.now())); !errors.Is(err, ErrOtherVersion) {
		t.Errorf("engine of another version: %v", err)
	}
}

// TestForwardedStreamGoesOnAtItsVersion guards against streams of two versions where the instance that serves the
// callers has others serve its requests.
func TestForwardedStreamGoesOnAtItsVersion(t *testing.T) {
	forwarder := &fakeForwarder{answer: func(n int, _ *Forwarded) (*Reply, error) {
		if n == 1 {
			broken := truncated("id: 1\ndata: a\n\n")
			broken.Version = "v1"
			return broken, nil
		}
		return events("id: 2\ndata: b\n\n"), nil
	}}
	r := withoutPath(t, &fakeSender{}, forwarder)
	withVersions(r)
	if _, err := serve(r, shortPrompt("/resumable/1")); err != nil {
		t.Fatal(err)
	}
	if len(forwarder.requests) != 2 || forwarder.requests[0].Version != "" || forwarder.requests[1].Version != "v1" {
		t.Errorf("forwarded %+v", forwarder.requests)
	}
}

// TestForwardedStreamOfUnknownVersionEnds guards against streams of two versions where an instance of an earlier build
// serves another one's request: its answer does not name the version.
func TestForwardedStreamOfUnknownVersionEnds(t *testing.T) {
	forwarder := &fakeForwarder{answer: func(int, *Forwarded) (*Reply, error) { return truncated("id: 1\ndata: a\n\n"), nil }}
	r := withoutPath(t, &fakeSender{}, forwarder)
	withVersions(r)
	if _, err := serve(r, shortPrompt("/resumable/1")); !errors.Is(err, ErrAnswerAborted) || len(forwarder.requests) != 1 {
		t.Errorf("%v after %d forwards", err, len(forwarder.requests))
	}
}

// versionRecorder records the version that the relay names before the answer's header.
type versionRecorder struct {
	*httptest.ResponseRecorder
	version string
}

func (w *versionRecorder) SetVersion(version string) { w.version = version }

// TestForwardedRequestKeepsItsVersion guards against an instance that serves another one's request at any version, or
// does not say at which.
func TestForwardedRequestKeepsItsVersion(t *testing.T) {
	for n := range 20 {
		f := &fakeSender{}
		r := withVersions(newFake(t, f))
		w := &versionRecorder{ResponseRecorder: httptest.NewRecorder()}
		forwarded := &Forwarded{
			Request: numbered(shortPrompt("/resumable/1"), n), Service: serviceHash("llm"), Timeout: time.Second, ConfigVersion: 1, Version: "v2",
		}
		forwarded.Request.LastEvent = "1"
		if _, err := r.ServeForwarded(context.Background(), forwarded, w); err != nil {
			t.Fatal(err)
		}
		if runs := f.runsOf(); len(runs) != 1 || runs[0].To.Version != "v2" || w.version != "v2" {
			t.Fatalf("request %d ran at %+v, the answer names %q", n, runs, w.version)
		}
	}
}

// TestKVStaysWithinItsVersion guards against engines that generate from the KV cache of another software version, or
// fetch from it.
func TestKVStaysWithinItsVersion(t *testing.T) {
	for n := range 20 {
		f := &fakeSender{}
		r := withVersions(newFake(t, f))
		if _, err := serve(r, numbered(longPrompt("/once/1"), n)); err != nil {
			t.Fatal(err)
		}
		prefill, run := f.calls[0].send, f.calls[1].send
		if prefill.To.Version != run.To.Version || run.KV.Engine.Version != run.To.Version {
			t.Fatalf("request %d: prompt at %s, answer at %s", n, prefill.To.ID, run.To.ID)
		}
	}
	r := withVersions(newFake(t, &fakeSender{}))
	v1, v2 := r.upstreams.Upstream("dec-v1-0"), r.upstreams.Upstream("dec-v2-0")
	for name, send := range map[string]Send{
		"memory to go on from": {To: v1, KV: KV{Engine: v2, Handle: "h"}}, "memory to fetch": {To: v1, FetchFrom: v2}, "a copy": {To: v1, Backup: v2},
	} {
		if !r.hasOtherVersion(send) {
			t.Errorf("%s of another version is sent", name)
		}
	}
	r.settings.Placement.KVAcrossVersions = true
	if r.hasOtherVersion(Send{To: v1, KV: KV{Engine: v2, Handle: "h"}}) {
		t.Error("memory of another version is not sent although it fits")
	}
}

// TestProcessedPromptIsGivenUpWithoutEngineOfItsVersion guards against requests that fail, although engines of another
// version are idle, because the engines that could use their KV cache have gone.
func TestProcessedPromptIsGivenUpWithoutEngineOfItsVersion(t *testing.T) {
	f := &fakeSender{}
	r := withVersions(newFake(t, f))
	withLargeBudget(r)
	f.prefill = func(n int, s Send) (KV, error) {
		if n == 1 {
			r.RemoveUpstream("dec-" + s.To.Version + "-0")
			r.RemoveUpstream("dec-" + s.To.Version + "-1")
		}
		return KV{Engine: s.To, Handle: "h"}, nil
	}
	if _, err := serve(r, longPrompt("/once/1")); err != nil {
		t.Fatal(err)
	}
	runs := f.runsOf()
	if len(runs) != 1 || runs[0].To.Version == f.calls[0].send.To.Version {
		t.Errorf("first prompt at %s, ran %+v", f.calls[0].to, runs)
	}
	waitFor(t, func() bool { return f.freedCount() == 1 })
}
