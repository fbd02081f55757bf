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

// chat returns a request for an answer of exactly length tokens.
func chat(seed int64, length int) testcaller.Chat {
	for ; ; seed++ {
		c := testcaller.Chat{Model: modelName, Prompt: prompt, MaxTokens: length, Seed: seed}
		if c.MaxTokens <= 8 || len(strings.Fields(undisturbedText(c))) == length {
			return c
		}
	}
}

// stream reads an answer; at calls act after the event of that number.
func (f *fixture) stream(address string, c testcaller.Chat, at int, act func(id string)) testcaller.Answer {
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

// engineOf returns the engine that an event's id names.
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

func (f *fixture) wantWhole(what string, got testcaller.Answer, want string) {
	f.t.Helper()
	if !got.Done || got.Finish == "" || got.Text != want {
		f.t.Errorf("%s: the answer is not whole: done %v, %q, error %+v, want %q", what, got.Done, got.Text, got.Error, want)
	}
}

// TestEngineFailsMidStream has the engine of a running stream crash, break
// off, freeze, be killed and send in disorder. The caller's text is that of an
// undisturbed run, and a frozen engine that wakes up adds nothing to it.
func TestEngineFailsMidStream(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{
		instances: 1, engines: 5, engineFlags: []string{"--decode-rate", "200"},
		entryTables: "[stall]\nleast = \"300ms\"\naccept_timeout = \"500ms\"\nprobe_every = \"200ms\"\n[engine]\nattempts = 5\n",
	})
	entry := f.Instances[0].EntryAddress
	c := chat(1, 120)
	whole := f.stream(entry, c, 0, nil)
	f.wantWhole("undisturbed", whole, undisturbedText(c))
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
		got := f.stream(entry, c, 20, func(id string) { failure.act(f.engineOf(id)) })
		f.wantWhole(failure.name, got, whole.Text)
	}
	f.Engines[frozen].Process.Signal(syscall.SIGCONT)
	for n := range f.Engines {
		if !ended(f.Engines[n].Process.Done()) {
			f.engineFault(n, testservers.EngineFaults{Disorder: true})
		}
	}
	f.wantWhole("disorder", f.stream(entry, c, 0, nil), whole.Text)
}

// TestEngineFrozenBeforeTheFirstPiece: nothing tells a frozen engine from a
// busy one but its silence on a probe.
func TestEngineFrozenBeforeTheFirstPiece(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{
		instances: 1, engines: 2, engineFlags: []string{"--prefill-rate", "400"},
		entryTables: "[stall]\naccept_timeout = \"500ms\"\nprobe_every = \"200ms\"\nfirst_piece_timeout = \"10m\"\n",
	})
	c := testcaller.Chat{Model: modelName, Prompt: strings.Repeat(prompt, 60), MaxTokens: 8, Seed: 3} // over 1 s
	got := make(chan testcaller.Answer, 1)
	go func() {
		answer, _ := f.caller.Stream(f.ctx, f.Instances[0].EntryAddress, c, nil) // judged by the answer
		got <- answer
	}()
	chosen := -1
	f.until("an engine has the request", func() bool {
		for n := range f.Engines {
			if f.engineBook(n).Started > 0 {
				chosen = n
			}
		}
		return chosen >= 0
	})
	f.Engines[chosen].Process.Signal(syscall.SIGSTOP)
	f.wantWhole("frozen before the first piece", <-got, undisturbedText(c))
}

// TestBreaksAgainAndAgain: each engine breaks off after a few pieces, so one
// answer is put together from several, in the entry and by the caller.
func TestBreaksAgainAndAgain(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{instances: 2, engines: 3, engineFlags: []string{"--decode-rate", "3000"}})
	for n := range f.Engines {
		f.engineFault(n, testservers.EngineFaults{BreakAfter: 15, Disorder: true})
	}
	c := chat(5, 100)
	text := ""
	for n := 0; n < 100 && f.ctx.Err() == nil; n++ {
		answer := f.stream(f.Instances[n%2].EntryAddress, c, 0, nil)
		text += answer.Text
		if answer.Done {
			break
		}
		if answer.LastID != "" {
			c.LastEventID = answer.LastID
		}
		if answer.Error == nil || answer.Error.Outcome == callerapi.OutcomeNotRun && text != "" {
			t.Fatalf("told %+v after %d bytes", answer.Error, len(text))
		}
		time.Sleep(200 * time.Millisecond) // failed engines are back after a while
	}
	c.LastEventID = ""
	if want := undisturbedText(c); text != want {
		t.Fatalf("got %q, want %q", text, want)
	}
}

// TestEntryKilledMidStream kills the entry after the first event, in the
// middle and after the last piece, and resumes on another: attached to the
// engine's stream, and from another engine when that one is dead too.
func TestEntryKilledMidStream(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{instances: 2, engines: 3, engineFlags: []string{"--decode-rate", "100"}})
	victim, other := f.Instances[0], f.Instances[1]
	c := chat(7, 40)
	want := undisturbedText(c)
	for _, step := range []struct {
		event      int
		killEngine bool
	}{{1, false}, {20, false}, {41, false}, {20, true}} {
		first := f.stream(victim.EntryAddress, c, step.event, func(id string) {
			victim.Entry.Kill()
			if step.killEngine {
				f.Engines[f.engineOf(id)].Process.Kill()
			}
		})
		resumed := c
		resumed.LastEventID = first.LastID
		rest := f.stream(other.EntryAddress, resumed, 0, nil)
		rest.Text = first.Text + rest.Text
		if rest.Finish == "" {
			rest.Finish = first.Finish
		}
		f.wantWhole(fmt.Sprintf("%+v", step), rest, want)
		f.restartEntry(victim, "")
	}
}

// TestNeverAMixedText: an engine that makes another text may not go on with an
// answer; the caller is told that the answer cannot be resumed.
func TestNeverAMixedText(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{instances: 1, engines: 2, engineFlags: []string{"--decode-rate", "100"}})
	c := chat(9, 60)
	got := f.stream(f.Instances[0].EntryAddress, c, 20, func(id string) {
		n := f.engineOf(id)
		f.engineFault(1-n, testservers.EngineFaults{OtherText: true})
		f.Engines[n].Process.Kill()
	})
	if got.Done || got.Error == nil || got.Error.Code != "cannot_resume" || got.Error.Outcome != callerapi.OutcomeUnknown {
		t.Errorf("told %+v, done %v", got.Error, got.Done)
	}
	if !strings.HasPrefix(undisturbedText(c), got.Text) {
		t.Errorf("a mixed text: %q", got.Text)
	}
}

// TestResumeIsBound: a token works for the same question of the same
// organisation alone.
func TestResumeIsBound(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{instances: 1, engines: 1})
	entry := f.Instances[0].EntryAddress
	c := chat(11, 8)
	first := f.stream(entry, c, 0, nil)
	other := c
	other.Prompt, other.LastEventID = "another question", first.LastID
	if got := f.stream(entry, other, 0, nil); got.Status != 400 {
		t.Errorf("another question: told %+v", got)
	}
	token, err := stream.ParseResumeToken(first.LastID)
	f.must(err)
	token.Done, token.Next = false, 100
	c.LastEventID = token.String()
	if got := f.stream(entry, c, 0, nil); got.Status != 400 {
		t.Errorf("a number behind the end: told %+v", got)
	}
	token.Next = 6
	for n := range 6 { // and the engine is not ejected for it
		c.LastEventID = token.String()
		token.Request = fmt.Sprintf("%d%s", n, token.Request[1:]) // the engine has no such stream
		if got := f.stream(entry, c, 0, nil); got.Error == nil || got.Error.Code != "cannot_resume" || got.Text != "" {
			t.Errorf("another number: told %+v", got)
		}
	}
	if got := f.metric(entry, "route.ejections"); got != 0 {
		t.Errorf("%d ejections of a healthy engine", got)
	}
	f.caller.Key, c.LastEventID = otherKey, first.LastID
	if got := f.stream(entry, c, 0, nil); got.Status != 400 {
		t.Errorf("another organisation: told %+v", got)
	}
}

// TestCallerGone: the engine's work ends when the caller leaves, while it
// streams, while it waits in the engine's queue, and for an answer in one
// piece.
func TestCallerGone(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{
		instances: 1, engines: 1, engineFlags: []string{"--max-running", "1", "--decode-rate", "20"},
		// The requests wait at the engine, not at the admission's gate.
		entryTables: "[admission]\nlimit_concurrency = false\nearly_refusal = false\nbacklog = \"0s\"\n",
	})
	entry := f.Instances[0].EntryAddress
	long := chat(13, 400)
	leave := func(body func(ctx context.Context)) (left func()) {
		ctx, cancel := context.WithCancel(f.ctx)
		done := make(chan struct{})
		go func() { body(ctx); close(done) }()
		return func() { cancel(); <-done }
	}
	streamed := func(ctx context.Context) { _, _ = f.caller.Stream(ctx, entry, long, nil) } // it leaves
	running := leave(streamed)
	f.until("the stream runs", func() bool { return f.engineBook(0).Started == 1 })
	queued := leave(streamed)
	f.until("a second waits", func() bool { return f.engineBook(0).Started == 2 })
	whole := leave(func(ctx context.Context) {
		body := fmt.Sprintf(`{"model": %q, "messages": [{"role": "user", "content": %q}], "max_tokens": 400}`, modelName, prompt)
		_, _ = f.caller.Post(ctx, entry, "/v1/chat/completions", nil, []byte(body)) // it leaves
	})
	f.until("a third waits", func() bool { return f.engineBook(0).Started == 3 })
	for n, left := range []func(){whole, queued, running} {
		left()
		f.until("it is cancelled", func() bool { return f.engineBook(0).Cancelled == n+1 })
	}
}

// TestEntryFrozenMidStream: an entry that sleeps for longer than its patience
// with engines reads on when it wakes; the engine is not blamed, and no other
// one makes the answer.
func TestEntryFrozenMidStream(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{
		instances: 1, engines: 2, engineFlags: []string{"--decode-rate", "50"},
		entryTables: "[stall]\nleast = \"3s\"\nmost = \"3s\"\n",
	})
	frozen := f.Instances[0]
	c := chat(17, 60)
	events := 0
	got, err := f.caller.Stream(f.ctx, frozen.EntryAddress, c, func(string, string) {
		if events++; events == 10 {
			frozen.Entry.Signal(syscall.SIGSTOP)
			time.Sleep(5 * time.Second)
			frozen.Entry.Signal(syscall.SIGCONT)
		}
	})
	f.must(err)
	f.wantWhole("frozen", got, undisturbedText(c))
	if started := f.engineBook(0).Started + f.engineBook(1).Started; started != 1 {
		t.Errorf("%d engines made the answer, want 1", started)
	}
}

// TestSlowCaller: a caller that takes nothing has its stream cancelled after
// the write timeout; one that is merely slow gets its whole answer.
func TestSlowCaller(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{
		instances: 1, engines: 1, engineFlags: []string{"--decode-rate", "5000"},
		entrySettings: "write_timeout = \"1s\"\n", entryTables: "[stall]\nleast = \"300ms\"\n",
	})
	entry := f.Instances[0].EntryAddress
	c := chat(15, 500)
	dialer := net.Dialer{Control: smallBuffer}
	conn, err := dialer.DialContext(f.ctx, "tcp", entry)
	f.must(err)
	defer conn.Close()
	body := fmt.Sprintf(`{"model": %q, "stream": true, "max_tokens": 500, "seed": %d, "messages": [{"role": "user", "content": %q}]}`, modelName, c.Seed, prompt)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", apiKey, len(body), body)
	f.must(err)
	f.until("the stream of the stuck caller ends", func() bool {
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
	f.wantWhole("slow", slow, undisturbedText(c))
}

// TestVersionGone: an answer that was begun by a version which is not served
// any more is not resumed, and told so.
func TestVersionGone(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{instances: 1, engines: 2, engineFlags: []string{"--change-time", "100ms"}})
	entry := f.Instances[0].EntryAddress
	c := chat(17, 60)
	ctx, leave := context.WithCancel(f.ctx)
	events := 0
	first, err := f.caller.Stream(ctx, entry, c, func(string, string) {
		if events++; events == 20 {
			leave()
		}
	})
	if err == nil {
		t.Fatal("the caller did not leave")
	}
	f.confirm("second", fmt.Sprintf("name = \"second\"\n[[model]]\nname = %q\nversion = \"2\"\n", modelName))
	f.until("the new version answers", func() bool {
		status, _ := f.send("/v1/completions", fmt.Sprintf(`{"model": "%s@2", "prompt": "x", "max_tokens": 1}`, modelName))
		return status == 200
	})
	resumed := c
	resumed.LastEventID = first.LastID
	got := f.stream(entry, resumed, 0, nil)
	if got.Text != "" || got.Error == nil || got.Error.Code != "cannot_resume" || got.Error.Outcome != callerapi.OutcomeUnknown {
		t.Fatalf("told %+v, %q", got.Error, got.Text)
	}
	if !strings.Contains(got.Error.Message, "version") {
		t.Errorf("an engine of another version was asked: %+v", got.Error)
	}
}

// TestCallerMovesAtOnce: a caller breaks its connection and resumes on another
// instance at the same moment. The entry that it left cancels the stream to
// which the other attaches, and the text is whole all the same.
func TestCallerMovesAtOnce(t *testing.T) {
	t.Parallel()
	f := newFixture(t, size{instances: 2, engines: 3, engineFlags: []string{"--decode-rate", "200"}})
	for seed := range int64(8) {
		c := chat(41+100*seed, 60)
		ctx, leave := context.WithCancel(f.ctx)
		events := 0
		first, err := f.caller.Stream(ctx, f.Instances[0].EntryAddress, c, func(string, string) {
			if events++; events == 20 {
				leave()
			}
		})
		if err == nil {
			t.Fatal("the caller did not leave")
		}
		resumed := c
		resumed.LastEventID = first.LastID
		rest := f.stream(f.Instances[1].EntryAddress, resumed, 0, nil)
		rest.Text = first.Text + rest.Text
		f.wantWhole("moved", rest, undisturbedText(c))
	}
}
