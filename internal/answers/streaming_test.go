package answers

import (
	"context"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/stream"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testservers"
)

// newChat returns a request whose answer has exactly length tokens.
func newChat(seed int64, length int) testcaller.Chat {
	for ; ; seed++ {
		c := testcaller.Chat{Model: modelName, Prompt: prompt, MaxTokens: length, Seed: seed}
		if c.MaxTokens <= 8 || len(strings.Fields(expectedText(c))) == length {
			return c
		}
	}
}

// streamAnswer reads a streamed answer. It calls act after the event with number at; at 0 means never.
func (f *fixture) streamAnswer(address string, c testcaller.Chat, at int, act func(id string)) testcaller.Answer {
	f.t.Helper()
	events := 0
	answer, err := f.caller.Stream(f.ctx, address, c, func(id, _ string) {
		events++
		if events == at {
			act(id)
		}
	})
	if err != nil && at == 0 {
		f.t.Fatal(err)
	}
	return answer
}

// engineOf returns the index of the engine that an event's id names.
func (f *fixture) engineOf(id string) int {
	f.t.Helper()
	token, err := stream.ParseResumeToken(id)
	f.must(err)
	for n, e := range f.Engines {
		if e.ID == token.Engine {
			return n
		}
	}
	f.t.Fatalf("no engine %q", token.Engine)
	return 0
}

func (f *fixture) wantComplete(what string, got testcaller.Answer, want string) {
	f.t.Helper()
	if !got.Done || got.Finish == "" || got.Text != want {
		f.t.Errorf("%s: incomplete or wrong answer: done %v, %q, error %+v, want %q", what, got.Done, got.Text, got.Error, want)
	}
}

// TestEngineFailureMidStreamKeepsTheText makes the engine of a running stream crash, freeze and be killed,
// and lets engines send pieces out of order. The caller's text must equal that of a run without failures, and
// an engine that resumes after a freeze must add nothing to it.
func TestEngineFailureMidStreamKeepsTheText(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{
		instances: 1, engines: 5, engineFlags: []string{"--decode-rate", "200"},
		entryTables: "[stall]\nleast = \"300ms\"\naccept_timeout = \"500ms\"\nprobe_every = \"200ms\"\n[engine]\nattempts = 5\n",
	})
	entry := f.Instances[0].EntryAddress
	c := newChat(1, 120)
	undisturbed := f.streamAnswer(entry, c, 0, nil)
	f.wantComplete("undisturbed", undisturbed, expectedText(c))
	frozen := -1
	failures := []struct {
		name string
		act  func(engine int)
	}{
		{"crash", func(n int) { f.engineFault(n, testservers.EngineFaults{Crash: true}) }},
		{"freeze", func(n int) { frozen = n; f.Engines[n].Process.Signal(syscall.SIGSTOP) }},
		{"kill", func(n int) { f.Engines[n].Process.Kill() }},
	}
	for _, failure := range failures {
		got := f.streamAnswer(entry, c, 20, func(id string) { failure.act(f.engineOf(id)) })
		f.wantComplete(failure.name, got, undisturbed.Text)
	}
	f.Engines[frozen].Process.Signal(syscall.SIGCONT)
	for n := range f.Engines {
		if !isClosed(f.Engines[n].Process.Done()) {
			f.engineFault(n, testservers.EngineFaults{Disorder: true})
		}
	}
	f.wantComplete("disorder", f.streamAnswer(entry, c, 0, nil), undisturbed.Text)
}

// TestFrozenEngineIsProbedBeforeTheFirstPiece freezes an engine before its first piece. Only a probe that
// gets no reply distinguishes a frozen engine from a busy one.
func TestFrozenEngineIsProbedBeforeTheFirstPiece(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{
		instances: 1, engines: 2, engineFlags: []string{"--prefill-rate", "400"},
		entryTables: "[stall]\naccept_timeout = \"500ms\"\nprobe_every = \"200ms\"\nfirst_piece_timeout = \"10m\"\n",
	})
	c := testcaller.Chat{Model: modelName, Prompt: strings.Repeat(prompt, 60), MaxTokens: 8, Seed: 3} // over 1 s
	got := make(chan testcaller.Answer, 1)
	go func() {
		answer, _ := f.caller.Stream(f.ctx, f.Instances[0].EntryAddress, c, nil) // the answer is checked instead
		got <- answer
	}()
	chosen := -1
	f.waitUntil("an engine has the request", func() bool {
		for n := range f.Engines {
			if f.engineRecord(n).Started > 0 {
				chosen = n
			}
		}
		return chosen >= 0
	})
	f.Engines[chosen].Process.Signal(syscall.SIGSTOP)
	f.wantComplete("frozen before the first piece", <-got, expectedText(c))
}

// TestRepeatedEngineFailuresKeepTheText makes each engine break off after a few pieces, so that one answer is
// assembled from several engines by the entry, and from several responses by the caller.
func TestRepeatedEngineFailuresKeepTheText(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{instances: 2, engines: 3, engineFlags: []string{"--decode-rate", "3000"}})
	for n := range f.Engines {
		f.engineFault(n, testservers.EngineFaults{BreakAfter: 15, Disorder: true})
	}
	c := newChat(5, 100)
	text := ""
	for n := 0; n < 100 && f.ctx.Err() == nil; n++ {
		answer := f.streamAnswer(f.Instances[n%2].EntryAddress, c, 0, nil)
		text += answer.Text
		if answer.Done {
			break
		}
		if answer.LastID != "" {
			c.LastEventID = answer.LastID
		}
		if answer.Error == nil || answer.Error.Outcome == callerapi.OutcomeNotRun && text != "" {
			t.Fatalf("got %+v after %d bytes", answer.Error, len(text))
		}
		time.Sleep(200 * time.Millisecond) // ejected engines return after a while
	}
	c.LastEventID = ""
	if want := expectedText(c); text != want {
		t.Fatalf("got %q, want %q", text, want)
	}
}

// TestResumeAfterEntryIsKilled kills the entry after the first event, in the middle and after the last piece.
// The caller resumes on another instance, which attaches to the engine's stream, or uses another engine if
// the first engine is killed too.
func TestResumeAfterEntryIsKilled(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{instances: 2, engines: 3, engineFlags: []string{"--decode-rate", "100"}})
	victim, other := f.Instances[0], f.Instances[1]
	c := newChat(7, 40)
	want := expectedText(c)
	for _, step := range []struct {
		event      int
		killEngine bool
	}{{1, false}, {20, false}, {41, false}, {20, true}} {
		first := f.streamAnswer(victim.EntryAddress, c, step.event, func(id string) {
			victim.Entry.Kill()
			if step.killEngine {
				f.Engines[f.engineOf(id)].Process.Kill()
			}
		})
		resumed := c
		resumed.LastEventID = first.LastID
		rest := f.streamAnswer(other.EntryAddress, resumed, 0, nil)
		rest.Text = first.Text + rest.Text
		if rest.Finish == "" {
			rest.Finish = first.Finish
		}
		f.wantComplete(fmt.Sprintf("%+v", step), rest, want)
		f.restartEntry(victim, "")
	}
}

// TestDivergingEngineCannotResume checks that an engine which generates a different text does not continue an
// answer. The caller must be told that the answer cannot be resumed.
func TestDivergingEngineCannotResume(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{instances: 1, engines: 2, engineFlags: []string{"--decode-rate", "100"}})
	c := newChat(9, 60)
	got := f.streamAnswer(f.Instances[0].EntryAddress, c, 20, func(id string) {
		n := f.engineOf(id)
		f.engineFault(1-n, testservers.EngineFaults{OtherText: true})
		f.Engines[n].Process.Kill()
	})
	if got.Done || got.Error == nil || got.Error.Code != "cannot_resume" || got.Error.Outcome != callerapi.OutcomeUnknown {
		t.Errorf("got %+v, done %v", got.Error, got.Done)
	}
	if !strings.HasPrefix(expectedText(c), got.Text) {
		t.Errorf("the text diverges: %q", got.Text)
	}
}

// TestResumeTokenIsBoundToItsRequest checks that a token is valid only for the same request of the same
// organisation.
func TestResumeTokenIsBoundToItsRequest(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{instances: 1, engines: 1})
	entry := f.Instances[0].EntryAddress
	c := newChat(11, 8)
	first := f.streamAnswer(entry, c, 0, nil)
	other := c
	other.Prompt, other.LastEventID = "another question", first.LastID
	if got := f.streamAnswer(entry, other, 0, nil); got.Status != 400 {
		t.Errorf("another prompt: got %+v", got)
	}
	token, err := stream.ParseResumeToken(first.LastID)
	f.must(err)
	token.Done, token.Next = false, 100
	c.LastEventID = token.String()
	if got := f.streamAnswer(entry, c, 0, nil); got.Status != 400 {
		t.Errorf("a piece number after the end: got %+v", got)
	}
	token.Next = 6
	for n := range 6 { // must not eject the engine
		c.LastEventID = token.String()
		token.Request = fmt.Sprintf("%d%s", n, token.Request[1:]) // the engine has no such stream
		if got := f.streamAnswer(entry, c, 0, nil); got.Error == nil || got.Error.Code != "cannot_resume" || got.Text != "" {
			t.Errorf("another stream id: got %+v", got)
		}
	}
	if got := f.metric(entry, "route.ejections"); got != 0 {
		t.Errorf("%d ejections of a healthy engine", got)
	}
	f.caller.Key, c.LastEventID = otherKey, first.LastID
	if got := f.streamAnswer(entry, c, 0, nil); got.Status != 400 {
		t.Errorf("another organisation: got %+v", got)
	}
}

// TestCallerDisconnectCancelsGeneration checks that the engine's work is cancelled when the caller
// disconnects: while the answer is streamed, while the request waits in the engine's queue, and for an answer
// that is not streamed.
func TestCallerDisconnectCancelsGeneration(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{
		instances: 1, engines: 1, engineFlags: []string{"--max-running", "1", "--decode-rate", "20"},
		// Admission control is off, so that the requests wait in the engine's queue.
		entryTables: "[admission]\nlimit_concurrency = false\nearly_refusal = false\nbacklog = \"0s\"\n",
	})
	entry := f.Instances[0].EntryAddress
	long := newChat(13, 400)
	startCaller := func(body func(ctx context.Context)) (disconnect func()) {
		ctx, cancel := context.WithCancel(f.ctx)
		done := make(chan struct{})
		go func() { body(ctx); close(done) }()
		return func() { cancel(); <-done }
	}
	streamed := func(ctx context.Context) { _, _ = f.caller.Stream(ctx, entry, long, nil) } // the caller disconnects
	running := startCaller(streamed)
	f.waitUntil("the stream runs", func() bool { return f.engineRecord(0).Started == 1 })
	queued := startCaller(streamed)
	f.waitUntil("a second request waits", func() bool { return f.engineRecord(0).Started == 2 })
	notStreamed := startCaller(func(ctx context.Context) {
		body := fmt.Sprintf(`{"model": %q, "messages": [{"role": "user", "content": %q}], "max_tokens": 400}`, modelName, prompt)
		_, _ = f.caller.Post(ctx, entry, "/v1/chat/completions", nil, []byte(body)) // the caller disconnects
	})
	f.waitUntil("a third request waits", func() bool { return f.engineRecord(0).Started == 3 })
	for n, disconnect := range []func(){notStreamed, queued, running} {
		disconnect()
		f.waitUntil("the request is cancelled", func() bool { return f.engineRecord(0).Cancelled == n+1 })
	}
}

// TestFrozenEntryContinuesTheStream freezes the entry for longer than its timeout for engines. It must
// continue to read when it resumes: the engine must not be treated as failed, and no other engine may
// generate the answer.
func TestFrozenEntryContinuesTheStream(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{
		instances: 1, engines: 2, engineFlags: []string{"--decode-rate", "50"},
		entryTables: "[stall]\nleast = \"3s\"\nmost = \"3s\"\n",
	})
	frozen := f.Instances[0]
	c := newChat(17, 60)
	events := 0
	got, err := f.caller.Stream(f.ctx, frozen.EntryAddress, c, func(string, string) {
		if events++; events == 10 {
			frozen.Entry.Signal(syscall.SIGSTOP)
			time.Sleep(5 * time.Second)
			frozen.Entry.Signal(syscall.SIGCONT)
		}
	})
	f.must(err)
	f.wantComplete("frozen", got, expectedText(c))
	if started := f.engineRecord(0).Started + f.engineRecord(1).Started; started != 1 {
		t.Errorf("%d streams were started, want 1", started)
	}
}

// TestStuckCallerIsCancelledAndSlowCallerIsNot checks that the stream of a caller which reads nothing is
// cancelled after the write timeout, and that a caller which reads slowly gets its complete answer.
func TestStuckCallerIsCancelledAndSlowCallerIsNot(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{
		instances: 1, engines: 1, engineFlags: []string{"--decode-rate", "5000"},
		entrySettings: "write_timeout = \"1s\"\n", entryTables: "[stall]\nleast = \"300ms\"\n",
	})
	entry := f.Instances[0].EntryAddress
	c := newChat(15, 500)
	dialer := net.Dialer{Control: setSmallReceiveBuffer}
	conn, err := dialer.DialContext(f.ctx, "tcp", entry)
	f.must(err)
	defer conn.Close()
	body := fmt.Sprintf(`{"model": %q, "stream": true, "max_tokens": 500, "seed": %d, "messages": [{"role": "user", "content": %q}]}`, modelName, c.Seed, prompt)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", apiKey, len(body), body)
	f.must(err)
	f.waitUntil("the stream of the stuck caller ends", func() bool {
		return f.metric(entry, "entry.caller_gone") == 1
	})
	events := 0
	slow, err := f.caller.Stream(f.ctx, entry, c, func(string, string) {
		events++
		if events%100 == 0 {
			time.Sleep(400 * time.Millisecond)
		}
	})
	f.must(err)
	f.wantComplete("slow", slow, expectedText(c))
}

// TestResumeFailsWhenVersionIsRemoved checks that an answer of a version that is no longer served is not
// resumed, and that the caller is told so.
func TestResumeFailsWhenVersionIsRemoved(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{instances: 1, engines: 2, engineFlags: []string{"--change-time", "100ms"}})
	entry := f.Instances[0].EntryAddress
	c := newChat(17, 60)
	ctx, disconnect := context.WithCancel(f.ctx)
	events := 0
	first, err := f.caller.Stream(ctx, entry, c, func(string, string) {
		if events++; events == 20 {
			disconnect()
		}
	})
	if err == nil {
		t.Fatal("the caller did not disconnect")
	}
	f.confirmIntent("second", fmt.Sprintf("name = \"second\"\n[[model]]\nname = %q\nversion = \"2\"\n", modelName))
	f.waitUntil("the new version answers", func() bool {
		status, _ := f.post("/v1/completions", fmt.Sprintf(`{"model": "%s@2", "prompt": "x", "max_tokens": 1}`, modelName))
		return status == 200
	})
	resumed := c
	resumed.LastEventID = first.LastID
	got := f.streamAnswer(entry, resumed, 0, nil)
	if got.Text != "" || got.Error == nil || got.Error.Code != "cannot_resume" || got.Error.Outcome != callerapi.OutcomeUnknown {
		t.Fatalf("got %+v, %q", got.Error, got.Text)
	}
	if !strings.Contains(got.Error.Message, "version") {
		t.Errorf("an engine of another version was used: %+v", got.Error)
	}
}

// TestResumeWhileTheFirstEntryCancels makes a caller disconnect and resume on another instance at the same
// moment. The first entry cancels the stream to which the second one attaches. The text must still be
// complete.
func TestResumeWhileTheFirstEntryCancels(t *testing.T) {
	t.Parallel()
	f := newFixture(t, fleetSize{instances: 2, engines: 3, engineFlags: []string{"--decode-rate", "200"}})
	for seed := range int64(8) {
		c := newChat(41+100*seed, 60)
		ctx, disconnect := context.WithCancel(f.ctx)
		events := 0
		first, err := f.caller.Stream(ctx, f.Instances[0].EntryAddress, c, func(string, string) {
			if events++; events == 20 {
				disconnect()
			}
		})
		if err == nil {
			t.Fatal("the caller did not disconnect")
		}
		resumed := c
		resumed.LastEventID = first.LastID
		rest := f.streamAnswer(f.Instances[1].EntryAddress, resumed, 0, nil)
		rest.Text = first.Text + rest.Text
		f.wantComplete("moved", rest, expectedText(c))
	}
}
