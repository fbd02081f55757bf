package relay

import (
	"fmt"
	"testing"

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
