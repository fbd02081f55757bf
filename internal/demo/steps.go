package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"sassafrasfield/internal/stream"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

// sfctl runs sfctl with an instance's sf-control and returns its output.
func (d *Demo) sfctl(ctx context.Context, i *testfleet.Instance, args ...string) (string, error) {
	args = append([]string{"--control", i.ControlAddress, "--operator", "demo", "--timeout", "30s"}, args...)
	output, err := exec.CommandContext(ctx, filepath.Join(d.fleet.Bin, "sfctl"), args...).CombinedOutput()
	return string(output), errors.Wrapf(err, "sfctl %s: %s", strings.Join(args, " "), output)
}

// declareAndConfirm declares an intent, prints and confirms its plan, and follows it
// until it is in force on all instances.
func (d *Demo) declareAndConfirm(ctx context.Context, path string) error {
	operator := d.fleet.Instances[0]
	output, err := d.sfctl(ctx, operator, "--output", "json", "declare", path)
	if err != nil {
		return err
	}
	var plan struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal([]byte(output), &plan); err != nil {
		return errors.Wrap(err, output)
	}
	shown, err := d.sfctl(ctx, operator, "plan", plan.ID)
	if err != nil {
		return err
	}
	fmt.Fprint(d.Out, shown)
	followed, err := d.sfctl(ctx, operator, "confirm", "--follow", plan.ID)
	fmt.Fprint(d.Out, followed)
	return err
}

// streamCompletion requests a streamed completion and prints its text.
func (d *Demo) streamCompletion(ctx context.Context) (string, error) {
	chat := testcaller.Chat{Model: ModelName + ":grades", Prompt: d.prompt, MaxTokens: 40, Seed: 7}
	answer, err := d.caller.Stream(ctx, d.fleet.Instances[0].EntryAddress, chat, nil)
	if err != nil {
		return "", err
	}
	if !answer.Done || answer.Finish == "" {
		return "", errors.Errorf("the answer is incomplete: %+v", answer)
	}
	fmt.Fprintln(d.Out, answer.Text)
	return fmt.Sprintf("%d words, finish %q", len(strings.Fields(answer.Text)), answer.Finish), nil
}

// callTwice sends a call with the same idempotency key to two instances. The service
// must run it once, and both answers must be equal.
func (d *Demo) callTwice(ctx context.Context) (string, error) {
	header := http.Header{"Idempotency-Key": []string{"certificate-88120"}}
	var answers []string
	for _, i := range d.fleet.Instances[:2] {
		res, err := d.caller.Post(ctx, i.EntryAddress, "/bales/certificates", header, []byte(`{"lot": 4471}`))
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(res.Body)
		res.Body.Close()
		if err != nil || res.StatusCode != http.StatusOK {
			return "", errors.Errorf("status %d: %s", res.StatusCode, body)
		}
		fmt.Fprintf(d.Out, "%s answers %s\n", i.ID, strings.TrimSpace(string(body)))
		answers = append(answers, string(body))
	}
	var record testservers.ServiceRecord
	if err := testfleet.Post(ctx, d.fleet.Services[0].Address, testservers.PathRecord, nil, &record); err != nil {
		return "", err
	}
	runs := record.Runs["POST /bales/certificates"]
	if runs != 1 || answers[0] != answers[1] {
		return "", errors.Errorf("%d runs, answers %q", runs, answers)
	}
	return "one run, the same answer twice", nil
}

// drainEngine drains an engine while it generates a stream, which must be completed.
func (d *Demo) drainEngine(ctx context.Context) (string, error) {
	chat := testcaller.Chat{Model: ModelName, Prompt: d.prompt, MaxTokens: 150, Seed: 11}
	streamed := make(chan error, 1)
	ids := make(chan string, 1)
	go func() {
		answer, err := d.caller.Stream(ctx, d.fleet.Instances[1].EntryAddress, chat, firstID(ids))
		if err == nil && !answer.Done {
			err = errors.Errorf("the stream on the drained engine was cut: %+v", answer)
		}
		streamed <- err
	}()
	engineID, err := engineOf(ctx, ids)
	if err != nil {
		return "", err
	}
	path, err := d.render("drain.toml", map[string]any{"Engine": engineID})
	if err != nil {
		return "", err
	}
	if err := d.declareAndConfirm(ctx, path); err != nil {
		return "", err
	}
	if err := <-streamed; err != nil {
		return "", err
	}
	return fmt.Sprintf("%s left, its stream was whole", engineID), d.adapterAnswers(ctx)
}

// adapterAnswers checks that the adapter that was just loaded serves a completion.
func (d *Demo) adapterAnswers(ctx context.Context) error {
	chat := testcaller.Chat{Model: ModelName + ":fields", Prompt: d.prompt, MaxTokens: 8, Seed: 1}
	answer, err := d.caller.Stream(ctx, d.fleet.Instances[2].EntryAddress, chat, nil)
	if err != nil {
		return err
	}
	if !answer.Done {
		return errors.Errorf("the answer of the new adapter is incomplete: %+v", answer)
	}
	return nil
}

// firstID returns an event handler that sends the id of the first event to ids.
func firstID(ids chan<- string) testcaller.Event {
	sent := false
	return func(id, _ string) {
		if !sent {
			sent = true
			ids <- id
		}
	}
}

// engineOf waits for the id of an event, which is a resume token, and returns its engine.
func engineOf(ctx context.Context, ids <-chan string) (string, error) {
	select {
	case <-ctx.Done():
		return "", errors.New("no event received")
	case id := <-ids:
		token, err := stream.ParseResumeToken(id)
		return token.Engine, err
	}
}

// killInstance kills both daemons of an instance during a stream, and resumes the
// stream on another instance. The text must equal that of an uninterrupted run.
func (d *Demo) killInstance(ctx context.Context) (string, error) {
	killed, other := d.fleet.Instances[2], d.fleet.Instances[0]
	chat := testcaller.Chat{Model: ModelName, Prompt: d.prompt, MaxTokens: 100, Seed: 23}
	events := 0
	interrupted, err := d.caller.Stream(ctx, killed.EntryAddress, chat, func(string, string) {
		events++
		if events == 10 {
			killed.Entry.Kill()
			killed.Control.Kill()
		}
	})
	if err == nil {
		return "", errors.New("the stream was not interrupted")
	}
	chat.LastEventID = interrupted.LastID
	resumed, err := d.caller.Stream(ctx, other.EntryAddress, chat, nil)
	if err != nil {
		return "", err
	}
	chat.LastEventID = ""
	uninterrupted, err := d.caller.Stream(ctx, other.EntryAddress, chat, nil)
	if err != nil {
		return "", err
	}
	if interrupted.Text+resumed.Text != uninterrupted.Text || !resumed.Done {
		return "", errors.Errorf("the texts differ: %q + %q, not %q", interrupted.Text, resumed.Text, uninterrupted.Text)
	}
	fmt.Fprintf(d.Out, "%s was killed after %d events; %s went on\n", killed.ID, events, other.ID)
	return fmt.Sprintf("%d bytes before, %d after, equal to an undisturbed run", len(interrupted.Text), len(resumed.Text)), nil
}
