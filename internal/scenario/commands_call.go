package scenario

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/stream"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

// prompt of the scripts' requests.
const prompt = "Is this grade claim consistent with the history of lot 4471?"

// streamedAnswer is a streamed answer that a script follows.
type streamedAnswer struct {
	chat   testcaller.Chat
	answer testcaller.Answer
	err    error
	done   chan struct{}
}

// ExpectedAnswer returns the whole answer that each engine makes to a chat with one
// version of the model, which the id of an event names.
func ExpectedAnswer(chat testcaller.Chat, eventID string) string {
	token, err := stream.ParseResumeToken(eventID)
	if err != nil {
		return "an answer with event ids; " + err.Error()
	}
	return fullText(chat, token.Version)
}

func fullText(chat testcaller.Chat, version string) string {
	name, adapter, _ := callerapi.SplitModel(chat.Model)
	body := callerapi.Request{Messages: []callerapi.Message{{Role: "user", Content: callerapi.Content(chat.Prompt)}}}
	return testservers.NewText(engine.Request{
		Model: name, Adapter: adapter, Version: version, Prompt: body.Text(), MaxTokens: chat.MaxTokens, Seed: chat.Seed,
	}).FullText()
}

// newChat reads the number of tokens and makes a request with a seed of its
// own, whose answer by the first version of the model has that many.
func (s *script) newChat(tokens string) (testcaller.Chat, error) {
	n, err := strconv.Atoi(tokens)
	chat := testcaller.Chat{Model: ModelName, Prompt: prompt, MaxTokens: n, Seed: int64(len(s.streams)) << 20}
	for err == nil && len(strings.Fields(fullText(chat, "1"))) < n {
		chat.Seed++
	}
	return chat, errors.WithStack(err)
}

// cmdAsk: ask inst-1 20. It asks for an answer of up to 20 tokens until it gets
// one, and wants it whole.
func cmdAsk(s *script, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 || s.harness.Instance(args[0]) == nil {
		return errors.New("ask: want an instance and a number of tokens")
	}
	chat, err := s.newChat(args[1])
	if err != nil {
		return err
	}
	var answer testcaller.Answer
	err = s.until("an answer from "+args[0], func() bool {
		answer, err = s.harness.Caller.Stream(s.ctx, s.harness.Instance(args[0]).EntryAddress, chat, nil)
		return err == nil && answer.Done
	})
	if want := ExpectedAnswer(chat, answer.LastID); err == nil && answer.Text != want {
		return errors.Errorf("got %q, want %q", answer.Text, want)
	}
	return err
}

// cmdStream: stream NAME inst-1 150. It starts an answer, waits for its first
// event, and sets $NAME to the engine that it runs on. A refusal is tried
// again.
func cmdStream(s *script, ts *testscript.TestScript, args []string) error {
	if len(args) != 3 || s.harness.Instance(args[1]) == nil {
		return errors.New("stream: want a name, an instance and a number of tokens")
	}
	chat, err := s.newChat(args[2])
	if err != nil {
		return err
	}
	var f *streamedAnswer
	id := ""
	err = s.until("a first event", func() bool {
		f, id = s.follow(s.harness.Instance(args[1]).EntryAddress, chat)
		return id != ""
	})
	if err != nil {
		return errors.Wrapf(err, "%+v, %v", f.answer, f.err)
	}
	s.streams[args[0]] = f
	token, err := stream.ParseResumeToken(id)
	ts.Setenv(args[0], token.Engine)
	return errors.WithStack(err)
}

// follow starts an answer and returns with the id of its first event, or with
// "" when it ended before.
func (s *script) follow(entry string, chat testcaller.Chat) (*streamedAnswer, string) {
	f := &streamedAnswer{chat: chat, done: make(chan struct{})}
	first := make(chan string, 1)
	go func() {
		defer close(f.done)
		f.answer, f.err = s.harness.Caller.Stream(s.ctx, entry, chat, func(id, _ string) {
			select {
			case first <- id:
			default:
			}
		})
	}()
	select {
	case id := <-first:
		return f, id
	case <-f.done:
		return f, ""
	}
}

// cmdWhole: whole NAME. It waits for the end of an answer and wants all of it,
// byte for byte.
func cmdWhole(s *script, _ *testscript.TestScript, args []string) error {
	f, err := s.waitForStream(args)
	if err != nil {
		return err
	}
	if want := ExpectedAnswer(f.chat, f.answer.LastID); f.err != nil || !f.answer.Done || f.answer.Text != want {
		return errors.Errorf("the answer is not whole (%v): %+v, want %q", f.err, f.answer, want)
	}
	return nil
}

// cmdBroken: broken NAME. It waits for the end of an answer and wants it cut.
func cmdBroken(s *script, _ *testscript.TestScript, args []string) error {
	f, err := s.waitForStream(args)
	if err == nil && f.answer.Done {
		return errors.New("the answer is whole")
	}
	return err
}

func (s *script) waitForStream(args []string) (*streamedAnswer, error) {
	if len(args) != 1 || s.streams[args[0]] == nil {
		return nil, errors.New("want the name of a stream")
	}
	select {
	case <-s.streams[args[0]].done:
		return s.streams[args[0]], nil
	case <-s.ctx.Done():
		return nil, errors.New("the stream did not end")
	}
}

// cmdResume: resume NAME inst-2. It goes on with a broken answer and wants the
// rest of it, byte for byte.
func cmdResume(s *script, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 || s.harness.Instance(args[1]) == nil {
		return errors.New("resume: want the name of a stream and an instance")
	}
	f, err := s.waitForStream(args[:1])
	if err != nil {
		return err
	}
	f.chat.LastEventID = f.answer.LastID
	rest, err := s.harness.Caller.Stream(s.ctx, s.harness.Instance(args[1]).EntryAddress, f.chat, nil)
	want := ExpectedAnswer(f.chat, f.answer.LastID)
	if err != nil || !rest.Done || f.answer.Text+rest.Text != want {
		return errors.Errorf("the answer is not whole (%v): %q then %+v, want %q", err, f.answer.Text, rest, want)
	}
	return nil
}

// cmdIssue: issue inst-1 KEY. It asks for a certificate under an idempotency
// key, once, and prints status, outcome and answer.
func cmdIssue(s *script, ts *testscript.TestScript, args []string) error {
	if len(args) != 2 || s.harness.Instance(args[0]) == nil {
		return errors.New("issue: want an instance and a key")
	}
	header := http.Header{"Idempotency-Key": []string{args[1]}}
	ctx, cancel := context.WithTimeout(s.ctx, 20*time.Second)
	defer cancel()
	res, err := s.harness.Caller.Post(ctx, s.harness.Instance(args[0]).EntryAddress, "/bales/certificates", header, []byte(`{"lot": 4471}`))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.WithStack(err)
	}
	line := strings.Join([]string{res.Status, res.Header.Get("X-Outcome"), res.Header.Get("Retry-After"), string(body)}, " ")
	_, err = ts.Stdout().Write([]byte(line))
	return errors.WithStack(err)
}

// cmdRuns: runs 1. It wants that many certificates in the services' own books.
func cmdRuns(s *script, _ *testscript.TestScript, args []string) error {
	total := 0
	for _, service := range s.harness.Fleet.Services {
		var book testservers.ServiceRecord
		if err := testfleet.Post(s.ctx, service.Address, testservers.PathRecord, nil, &book); err != nil {
			return err
		}
		total += book.Runs["POST /bales/certificates"]
	}
	if len(args) != 1 || strconv.Itoa(total) != args[0] {
		return errors.Errorf("%d runs, want %v", total, args)
	}
	return nil
}

// cmdCutStreams: cut-streams 0. It wants that many streams cut off by orders or
// crashes, by the engines' own books.
func cmdCutStreams(s *script, _ *testscript.TestScript, args []string) error {
	total := 0
	for _, e := range s.harness.Fleet.Engines {
		var book testservers.EngineRecord
		if err := testfleet.Post(s.ctx, e.Address, testservers.PathRecord, nil, &book); err != nil {
			return err
		}
		total += book.Cut
	}
	if len(args) != 1 || strconv.Itoa(total) != args[0] {
		return errors.Errorf("%d streams were cut, want %v", total, args)
	}
	return nil
}
