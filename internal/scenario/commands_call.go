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

// prompt is the prompt of the scripts' requests.
const prompt = "Is this grade claim consistent with the history of lot 4471?"

// streamedAnswer is a streamed answer that a script has started. answer and err are valid once done is
// closed.
type streamedAnswer struct {
	chat   testcaller.Chat
	answer testcaller.Answer
	err    error
	done   chan struct{}
}

// ExpectedAnswer returns the complete answer of any engine to a chat with the model version that the event id
// names.
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

// newChat parses the number of tokens and returns a request with a seed of its own, chosen so that the answer
// of the model's first version has that many tokens.
func (s *script) newChat(tokens string) (testcaller.Chat, error) {
	n, err := strconv.Atoi(tokens)
	chat := testcaller.Chat{Model: ModelName, Prompt: prompt, MaxTokens: n, Seed: int64(len(s.streams)) << 20}
	for err == nil && len(strings.Fields(fullText(chat, "1"))) < n {
		chat.Seed++
	}
	return chat, errors.WithStack(err)
}

// cmdAsk implements "ask inst-1 20". It requests an answer of up to 20 tokens until it gets one, and requires
// that the answer is complete.
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

// cmdStream implements "stream NAME inst-1 150". It starts an answer, waits for its first event, and sets
// $NAME to the engine that runs it. A refused request is retried.
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

// follow starts an answer and returns it with the id of its first event, or "" if it ended before.
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

// cmdWhole implements "whole NAME". It waits for the end of an answer and requires that it is complete, byte
// for byte.
func cmdWhole(s *script, _ *testscript.TestScript, args []string) error {
	f, err := s.waitForStream(args)
	if err != nil {
		return err
	}
	if want := ExpectedAnswer(f.chat, f.answer.LastID); f.err != nil || !f.answer.Done || f.answer.Text != want {
		return errors.Errorf("the answer is not complete (%v): %+v, want %q", f.err, f.answer, want)
	}
	return nil
}

// cmdBroken implements "broken NAME". It waits for the end of an answer and requires that it was cut off.
func cmdBroken(s *script, _ *testscript.TestScript, args []string) error {
	f, err := s.waitForStream(args)
	if err == nil && f.answer.Done {
		return errors.New("the answer is complete")
	}
	return err
}

// waitForStream waits for the end of the answer that the only argument names.
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

// cmdResume implements "resume NAME inst-2". It resumes a broken answer and requires the remaining part, byte
// for byte.
func cmdResume(s *script, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 || s.harness.Instance(args[1]) == nil {
		return errors.New("resume: want the name of a stream and an instance")
	}
	f, err := s.waitForStream(args[:1])
	if err != nil {
		return err
	}
	f.chat.LastEventID = f.answer.LastID
	remainder, err := s.harness.Caller.Stream(s.ctx, s.harness.Instance(args[1]).EntryAddress, f.chat, nil)
	want := ExpectedAnswer(f.chat, f.answer.LastID)
	if err != nil || !remainder.Done || f.answer.Text+remainder.Text != want {
		return errors.Errorf("the answer is not complete (%v): %q then %+v, want %q", err, f.answer.Text, remainder, want)
	}
	return nil
}

// cmdIssue implements "issue inst-1 KEY". It sends one request for a certificate under an idempotency key,
// and prints status, outcome and answer.
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

// cmdRuns implements "runs 1". It requires that number of certificates in the records of the services.
func cmdRuns(s *script, _ *testscript.TestScript, args []string) error {
	total := 0
	for _, service := range s.harness.Fleet.Services {
		var record testservers.ServiceRecord
		if err := testfleet.Post(s.ctx, service.Address, testservers.PathRecord, nil, &record); err != nil {
			return err
		}
		total += record.Runs["POST /bales/certificates"]
	}
	if len(args) != 1 || strconv.Itoa(total) != args[0] {
		return errors.Errorf("%d runs, want %v", total, args)
	}
	return nil
}

// cmdCutStreams implements "cut-streams 0". It requires that number of streams cut off by orders or crashes,
// in the records of the engines.
func cmdCutStreams(s *script, _ *testscript.TestScript, args []string) error {
	total := 0
	for _, e := range s.harness.Fleet.Engines {
		var record testservers.EngineRecord
		if err := testfleet.Post(s.ctx, e.Address, testservers.PathRecord, nil, &record); err != nil {
			return err
		}
		total += record.Cut
	}
	if len(args) != 1 || strconv.Itoa(total) != args[0] {
		return errors.Errorf("%d streams were cut, want %v", total, args)
	}
	return nil
}
