package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/upstreamstate"
)

// TestEndVerdict guards against an unframed answer that is taken for whole without evidence, or for cut off against it.
func TestEndVerdict(t *testing.T) {
	for name, c := range map[string]struct {
		evidence endEvidence
		want     endVerdict
	}{
		"nothing known":                     {endEvidence{}, endUnknown},
		"the process answered":              {endEvidence{answered: true}, endRegular},
		"another answer goes on":            {endEvidence{otherOpen: true}, endRegular},
		"one goes on, others ended with it": {endEvidence{otherOpen: true, endedTogether: true}, endRegular},
		"the entry is gone":                 {endEvidence{removed: true}, endRegular},
		"the entry is gone, all ended":      {endEvidence{removed: true, endedTogether: true}, endOfProcess},
		"entries do not arrive":             {endEvidence{unknowable: true}, endRegular},
		"entries do not arrive, all ended":  {endEvidence{unknowable: true, endedTogether: true}, endOfProcess},
	} {
		if got := c.evidence.verdict(); got != c.want {
			t.Errorf("%s: %d instead of %d", name, got, c.want)
		}
	}
}

// leavingSender returns a sender with one answer, without framing, whose upstream refuses connections after its end.
// beforeEnd is called before the answer ends, afterEnd a little after it.
func leavingSender(text string, beforeEnd, afterEnd func(upstreamstate.Upstream)) *fakeSender {
	f := &fakeSender{crashed: map[string]bool{}}
	f.run = func(n int, s Send) (*Reply, error) {
		if n > 1 {
			return events(""), nil
		}
		f.crashed[s.To.ID] = true
		beforeEnd(s.To)
		time.AfterFunc(2*endSettleTime, func() { afterEnd(s.To) })
		return unframed(http.StatusOK, text), nil
	}
	return f
}

// TestLastAnswerOfLeavingUpstreamIsWhole guards against an answer without framing that is cut off because its upstream,
// which is known to leave, exits with it: for streams, and for calls that must not run twice.
func TestLastAnswerOfLeavingUpstreamIsWhole(t *testing.T) {
	var r *Relay
	nothing := func(upstreamstate.Upstream) {}
	drain := func(u upstreamstate.Upstream) {
		u.Draining = true
		r.UpdateUpstream(u)
	}
	remove := func(u upstreamstate.Upstream) { r.RemoveUpstream(u.ID) }
	for name, c := range map[string]struct {
		beforeEnd, afterEnd func(upstreamstate.Upstream)
		storeAway           bool
	}{
		"draining, removed after it": {beforeEnd: drain, afterEnd: remove},
		"removed before it":          {beforeEnd: remove, afterEnd: nothing},
		"draining, entries unknown":  {beforeEnd: drain, afterEnd: nothing, storeAway: true},
	} {
		for path, text := range map[string]string{"/resumable/1": numberedEvents(1, 2), "/once/1": numberedEvents(1, 2), "/safe/1": "whole", "/unsafe/1": "whole"} {
			t.Run(name+path, func(t *testing.T) {
				f := leavingSender(text, c.beforeEnd, c.afterEnd)
				r = newFake(t, f)
				withLargeBudget(r)
				r.SetEntriesCurrent(func() bool { return !c.storeAway })
				request := call(path)
				if strings.HasPrefix(text, "id:") {
					request = longPrompt(path)
				}
				if w, err := serve(r, request); err != nil || w.Body.String() != text || f.runs != 1 {
					t.Errorf("%v, %q after %d runs", err, w.Body.String(), f.runs)
				}
			})
		}
	}
}

// TestAnswerOfKilledDrainingUpstreamIsNotWhole guards against the first part of an answer without framing that is passed on
// as whole because its upstream is draining, although its entry shows that it did not end regularly.
func TestAnswerOfKilledDrainingUpstreamIsNotWhole(t *testing.T) {
	var r *Relay
	drain := func(u upstreamstate.Upstream) {
		u.Draining = true
		r.UpdateUpstream(u)
	}
	f := leavingSender(numberedEvents(1), drain, func(upstreamstate.Upstream) {})
	r = newFake(t, f)
	for _, id := range []string{"dec-2", "dec-3"} { // leaves no engine for a copy
		r.RemoveUpstream(id)
	}
	request := longPrompt("/once/1")
	request.WaitBudget = 2 * time.Second
	if w, err := serve(r, request); !errors.Is(err, ErrAnswerAborted) {
		t.Errorf("%v, %q after %d runs", err, w.Body.String(), f.runs)
	}
}

// openBody is a body whose reads wait until it is closed from the other side.
type openBody struct{ ended chan error }

func (b openBody) Read([]byte) (int, error) { return 0, <-b.ended }

func (b openBody) Close() error { return nil }

// startReads tracks answers of an upstream and reads them.
func startReads(r *Relay, upstream uint32, n int) []openBody {
	bodies := make([]openBody, n)
	for i := range bodies {
		bodies[i] = openBody{make(chan error, 1)}
		tracked := r.answers.track(context.Background(), upstream, &Reply{Body: bodies[i], Unframed: true}, r.now)
		go func() { _, _ = io.Copy(io.Discard, tracked.Body) }() // ends with the body
	}
	time.Sleep(2 * waitingFor)
	return bodies
}

// TestOtherAnswersOfALeavingUpstreamTellHowOneEnded guards against a process that was killed and is taken for one that
// finished its answers, and against one that is still finishing the others and is taken for killed.
func TestOtherAnswersOfALeavingUpstreamTellHowOneEnded(t *testing.T) {
	const answers = 4
	for name, c := range map[string]struct {
		ended int
		err   error
		want  endVerdict
	}{
		"one of several ended": {1, io.EOF, endRegular},
		"all ended at once":    {answers, io.EOF, endOfProcess},
		"all were reset":       {answers, errors.New("connection reset"), endOfProcess},
		"all but one ended":    {answers - 1, io.EOF, endRegular},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFake(t, &fakeSender{})
			u := r.upstreams.Upstream("dec-1")
			bodies := startReads(r, u.Incarnation(), answers)
			r.RemoveUpstream(u.ID)
			at := r.now()
			for _, body := range bodies[:c.ended] {
				body.ended <- c.err
			}
			ctx, cancel := context.WithTimeout(context.Background(), endConfirmTimeout)
			defer cancel()
			if evidence := r.awaitEvidence(ctx, u, true, at); evidence.verdict() != c.want {
				t.Errorf("%+v", evidence)
			}
			for _, body := range bodies[c.ended:] {
				body.ended <- io.EOF
			}
		})
	}
}

// TestOpenAnswersAreForgotten guards against records of upstreams that no longer exist and that pile up.
func TestOpenAnswersAreForgotten(t *testing.T) {
	o, now := newOpenAnswers(), time.Duration(0)
	for i := range uint32(100) {
		now += endsKept
		reply := o.track(context.Background(), i, unframed(http.StatusOK, fmt.Sprint(i)), func() time.Duration { return now })
		if _, err := io.Copy(io.Discard, reply.Body); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(o.byUpstream); n > 3 {
		t.Errorf("%d upstreams are kept", n)
	}
}
