package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
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
		"the entry is gone":                 {endEvidence{removed: true}, endLikelyRegular},
		"the entry is gone, all ended":      {endEvidence{removed: true, endedTogether: true}, endOfProcess},
		"entries do not arrive":             {endEvidence{unknowable: true}, endLikelyRegular},
		"entries do not arrive, all ended":  {endEvidence{unknowable: true, endedTogether: true}, endOfProcess},
		"early":                             {endEvidence{early: true}, endOfProcess},
		"early, the entry is gone":          {endEvidence{early: true, removed: true}, endOfProcess},
		"early, entries do not arrive":      {endEvidence{early: true, unknowable: true}, endOfProcess},
		"early, another answer goes on":     {endEvidence{early: true, otherOpen: true}, endRegular},
		"early, the process answered":       {endEvidence{early: true, answered: true}, endRegular},
	} {
		if got := c.evidence.verdict(); got != c.want {
			t.Errorf("%s: %d instead of %d", name, got, c.want)
		}
	}
}

// TestEndVerdictOfEachCombination guards against an input of the verdict that outranks one that proves more.
func TestEndVerdictOfEachCombination(t *testing.T) {
	const inputs = 6
	for bits := range 1 << inputs {
		is := func(input int) bool { return bits>>input&1 == 1 }
		e := endEvidence{answered: is(0), otherOpen: is(1), endedTogether: is(2), early: is(3), removed: is(4), unknowable: is(5)}
		want := endUnknown
		if e.removed || e.unknowable {
			want = endLikelyRegular
		}
		if e.endedTogether || e.early {
			want = endOfProcess
		}
		if e.answered || e.otherOpen {
			want = endRegular
		}
		if got := e.verdict(); got != want {
			t.Errorf("%+v: %d instead of %d", e, got, want)
		}
	}
}

// TestOnlyProvedEndsAreEnoughWhereARetryCanTell guards against an answer that ends early as whole although another upstream could be
// asked for the rest, and against one that is lost although it may be whole and cannot be asked for again.
func TestOnlyProvedEndsAreEnoughWhereARetryCanTell(t *testing.T) {
	for verdict, want := range map[endVerdict][2]bool{ // once, repeatable
		endUnknown: {false, false}, endRegular: {true, true}, endLikelyRegular: {true, false}, endOfProcess: {false, false},
	} {
		if got := [2]bool{verdict.isWhole(false), verdict.isWhole(true)}; got != want {
			t.Errorf("verdict %d: %v instead of %v", verdict, got, want)
		}
	}
}

// leavingSender returns a sender with one answer, without framing, whose upstream refuses connections after its end. Further sends
// get the rest of a stream, or the same answer. beforeEnd is called before the answer ends, afterEnd a little after it.
func leavingSender(text string, beforeEnd, afterEnd func(upstreamstate.Upstream)) *fakeSender {
	f := &fakeSender{crashed: map[string]bool{}}
	f.run = func(n int, s Send) (*Reply, error) {
		if n > 1 && s.LastEvent != "" {
			return events(""), nil
		}
		if n > 1 {
			return reply(http.StatusOK, strings.NewReader(text)), nil
		}
		f.crashed[s.To.ID] = true
		beforeEnd(s.To)
		time.AfterFunc(2*endSettleTime, func() { afterEnd(s.To) })
		return unframed(http.StatusOK, text), nil
	}
	return f
}

// TestLastAnswerOfLeavingUpstreamIsWhole guards against an answer without framing that is cut off because its upstream,
// which is known to leave, exits with it: for streams, and for calls that must not run twice. Another upstream is asked where that
// is allowed.
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
				r.settings.ServesAfterLeaving = 0
				r.SetEntriesCurrent(func() bool { return !c.storeAway })
				request := call(path)
				if strings.HasPrefix(text, "id:") {
					request = longPrompt(path)
				}
				runs := 1
				if path == "/resumable/1" || path == "/safe/1" {
					runs = 2
				}
				if w, err := serve(r, request); err != nil || w.Body.String() != text || f.runs != runs {
					t.Errorf("%v, %q after %d runs", err, w.Body.String(), f.runs)
				}
			})
		}
	}
}

// TestAnswerThatEndsBeforeItsUpstreamMayLeaveIsNotWhole guards against the first part of an answer without framing that is passed on as
// whole, because the entry of its upstream, which has just announced that it leaves, goes before the end or after it.
func TestAnswerThatEndsBeforeItsUpstreamMayLeaveIsNotWhole(t *testing.T) {
	nothing := func(*Relay, upstreamstate.Upstream) {}
	drain := func(r *Relay, u upstreamstate.Upstream) {
		u.Draining = true
		r.UpdateUpstream(u)
	}
	remove := func(r *Relay, u upstreamstate.Upstream) { r.RemoveUpstream(u.ID) }
	for name, c := range map[string]struct {
		beforeEnd, afterEnd func(*Relay, upstreamstate.Upstream)
		storeAway           bool
	}{
		"draining, removed after it": {beforeEnd: drain, afterEnd: remove},
		"removed before it":          {beforeEnd: remove, afterEnd: nothing},
		"draining, entries unknown":  {beforeEnd: drain, afterEnd: nothing, storeAway: true},
	} {
		for path, text := range map[string]string{"/once/1": numberedEvents(1), "/unsafe/1": "par"} {
			t.Run(name+path, func(t *testing.T) {
				var r *Relay // of this case, as afterEnd may be called after its end
				f := leavingSender(text, func(u upstreamstate.Upstream) { c.beforeEnd(r, u) }, func(u upstreamstate.Upstream) { c.afterEnd(r, u) })
				r = newFake(t, f)
				r.SetEntriesCurrent(func() bool { return !c.storeAway })
				for _, id := range []string{"dec-2", "dec-3"} { // leaves no engine for a copy
					r.RemoveUpstream(id)
				}
				request := call(path)
				if strings.HasPrefix(text, "id:") {
					request = longPrompt(path)
				}
				if w, err := serve(r, request); err == nil {
					t.Errorf("whole: %q after %d runs", w.Body.String(), f.runs)
				}
			})
		}
	}
}

// TestDepartureIsThatOfTheAnnouncement guards against a process that is taken for killed because this instance learned late that it
// leaves, and against announcements that are kept for good.
func TestDepartureIsThatOfTheAnnouncement(t *testing.T) {
	d, now := newDepartures(), time.Minute
	d.note(1, departure{at: now}, now)
	d.note(1, departure{at: now + time.Second}, now+time.Second) // its entry is removed
	d.note(2, departure{at: now, earlier: true}, now)
	if lasted, known := d.lasted(1, now+3*time.Second); !known || lasted != 3*time.Second {
		t.Errorf("known %t since %s", known, lasted)
	}
	if _, known := d.lasted(2, now+time.Second); known {
		t.Error("an announcement of an unknown time is taken for one of now")
	}
	if _, known := d.lasted(3, now); known {
		t.Error("an upstream that stays is known to leave")
	}
	d.note(5, departure{at: now, byResponse: true}, now)
	d.note(5, departure{at: now + time.Second}, now+time.Second) // its entry says so now
	d.note(5, departure{at: now + 2*time.Second, byResponse: true}, now+2*time.Second)
	if lasted, known := d.lasted(5, now+3*time.Second); !known || lasted != 2*time.Second {
		t.Errorf("known %t since %s, announced by a response before its entry", known, lasted)
	}
	d.note(4, departure{at: now + 2*departureKept}, now+2*departureKept)
	if len(d.at) != 1 {
		t.Errorf("%d announcements are kept", len(d.at))
	}
}

// TestUpstreamThatIsFoundDrainingMayLeaveAtOnce guards against an upstream that announced that it leaves before this instance started, and
// is taken for killed when it does.
func TestUpstreamThatIsFoundDrainingMayLeaveAtOnce(t *testing.T) {
	r := newFake(t, &fakeSender{})
	u := upstreamstate.Upstream{ID: "found", Service: "app", Address: "found", Zone: "a", Draining: true}
	r.UpdateUpstream(u)
	if r.servesOn(u, r.now()) {
		t.Error("it would still have served")
	}
	known := r.upstreams.Upstream("app-1")
	known.Draining = true
	r.UpdateUpstream(known)
	if !r.servesOn(known, r.now()) {
		t.Error("one that has just announced that it leaves may have left")
	}
}

// TestDepartureOfAnEntryThatCameBackIsRevoked guards against an upstream whose entry expired and came back, and whose process is taken
// for one that has left when it is killed after it announces that it leaves.
func TestDepartureOfAnEntryThatCameBackIsRevoked(t *testing.T) {
	r := newFake(t, &fakeSender{})
	u := r.upstreams.Upstream("app-1")
	r.RemoveUpstream(u.ID)
	r.UpdateUpstream(u)
	if _, known := r.departures.lasted(u.Incarnation(), r.now()); known || r.leaves(u) {
		t.Error("an upstream that is back is known to leave")
	}
	r.settings.ServesAfterLeaving = 0
	r.RemoveUpstream(u.ID)
	if _, known := r.departures.lasted(u.Incarnation(), r.now()); !known || r.servesOn(u, r.now()) {
		t.Error("the second departure is not known")
	}
}

// TestForwardedAnswerOfAKilledLeavingUpstreamIsNotWhole guards against the first part of an answer that is passed on as whole to
// the instance that forwarded the request.
func TestForwardedAnswerOfAKilledLeavingUpstreamIsNotWhole(t *testing.T) {
	var r *Relay
	remove := func(u upstreamstate.Upstream) { r.RemoveUpstream(u.ID) }
	for path, text := range map[string]string{"/once/1": numberedEvents(1), "/unsafe/1": "par", "/resumable/1": numberedEvents(1), "/safe/1": "par"} {
		f := leavingSender(text, remove, func(upstreamstate.Upstream) {})
		r = newFake(t, f) // its budget allows no retry
		request := call(path)
		if strings.HasPrefix(text, "id:") {
			request = longPrompt(path)
		}
		forwarded := &Forwarded{Request: request, From: "peer", Service: serviceHash("llm"), Timeout: time.Second, ConfigVersion: 1}
		w := httptest.NewRecorder()
		if _, err := r.ServeForwarded(context.Background(), forwarded, w); err == nil {
			t.Errorf("%s: whole: %q after %d runs", path, w.Body.String(), f.runs)
		}
	}
}

// TestAnswerOfAnUpstreamThatHasLeftIsNoFailure guards against an upstream that left as it announced and counts as failed, because an
// answer is asked for elsewhere only to prove its end; and against a wait for the end of its run.
func TestAnswerOfAnUpstreamThatHasLeftIsNoFailure(t *testing.T) {
	err := WrapReadError(errors.WithMessage(errUnprovenEnd, "read"))
	if !errors.Is(err, ErrNoValidAnswer) || errors.Is(err, ErrCutOff) || !upstreamDidNotFail(err) || mayWorkOn(runUnknown, err) {
		t.Errorf("%v: failed %t, may work on %t", err, !upstreamDidNotFail(err), mayWorkOn(runUnknown, err))
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
