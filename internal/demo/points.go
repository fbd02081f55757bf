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

// sfctl runs the operators' tool against an instance.
func (d *Demo) sfctl(ctx context.Context, i *testfleet.Instance, args ...string) (string, error) {
	args = append([]string{"--control", i.ControlAddress, "--operator", "demo", "--timeout", "30s"}, args...)
	output, err := exec.CommandContext(ctx, filepath.Join(d.fleet.Bin, "sfctl"), args...).CombinedOutput()
	return string(output), errors.Wrapf(err, "sfctl %s: %s", strings.Join(args, " "), output)
}

// declareAndConfirm declares an intent, prints its plan, and follows it until
// it is in force on all instances.
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

// streamCompletion streams one answer and prints it.
func (d *Demo) streamCompletion(ctx context.Context) (string, error) {
	chat := testcaller.Chat{Model: ModelName + ":grades", Prompt: d.prompt, MaxTokens: 40, Seed: 7}
	answer, err := d.caller.Stream(ctx, d.fleet.Instances[0].EntryAddress, chat, nil)
	if err != nil {
		return "", err
	}
	if !answer.Done || answer.Finish == "" {
		return "", errors.Errorf("the answer is not whole: %+v", answer)
	}
	fmt.Fprintln(d.Out, answer.Text)
	return fmt.Sprintf("%d words, finish %q", len(strings.Fields(answer.Text)), answer.Finish), nil
}

// callTwice issues one certificate through two instances.
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
	var book testservers.ServiceRecord
	if err := testfleet.Post(ctx, d.fleet.Services[0].Address, testservers.PathRecord, nil, &book); err != nil {
		return "", err
	}
	runs := book.Runs["POST /bales/certificates"]
	if runs != 1 || answers[0] != answers[1] {
		return "", errors.Errorf("%d runs, answers %q", runs, answers)
	}
	return "one run, the same answer twice", nil
}

// drainEngine drains the engine that runs a stream.
func (d *Demo) drainEngine(ctx context.Context) (string, error) {
	chat := testcaller.Chat{Model: ModelName, Prompt: d.prompt, MaxTokens: 150, Seed: 11}
	whole := make(chan error, 1)
	ids := make(chan string, 1)
	go func() {
		answer, err := d.caller.Stream(ctx, d.fleet.Instances[1].EntryAddress, chat, firstID(ids))
		if err == nil && !answer.Done {
			err = errors.Errorf("the stream on the drained engine was cut: %+v", answer)
		}
		whole <- err
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
	if err := <-whole; err != nil {
		return "", err
	}
	return fmt.Sprintf("%s left, its stream was whole", engineID), d.adapterAnswers(ctx)
}

// adapterAnswers asks for the adapter that was just loaded.
func (d *Demo) adapterAnswers(ctx context.Context) error {
	chat := testcaller.Chat{Model: ModelName + ":fields", Prompt: d.prompt, MaxTokens: 8, Seed: 1}
	answer, err := d.caller.Stream(ctx, d.fleet.Instances[2].EntryAddress, chat, nil)
	if err != nil {
		return err
	}
	if !answer.Done {
		return errors.Errorf("the new adapter gave no whole answer: %+v", answer)
	}
	return nil
}

// firstID sends the id of the first event.
func firstID(ids chan<- string) testcaller.Event {
	sent := false
	return func(id, _ string) {
		if !sent {
			sent = true
			ids <- id
		}
	}
}

// engineOf reads the engine from an event's id.
func engineOf(ctx context.Context, ids <-chan string) (string, error) {
	select {
	case <-ctx.Done():
		return "", errors.New("no event came")
	case id := <-ids:
		token, err := stream.ParseResumeToken(id)
		return token.Engine, err
	}
}

// killInstance kills both daemons of an instance in the middle of a stream,
// resumes on another, and compares with an undisturbed run.
func (d *Demo) killInstance(ctx context.Context) (string, error) {
	victim, other := d.fleet.Instances[2], d.fleet.Instances[0]
	chat := testcaller.Chat{Model: ModelName, Prompt: d.prompt, MaxTokens: 100, Seed: 23}
	events := 0
	broken, err := d.caller.Stream(ctx, victim.EntryAddress, chat, func(string, string) {
		events++
		if events == 10 {
			victim.Entry.Kill()
			victim.Control.Kill()
		}
	})
	if err == nil {
		return "", errors.New("the stream did not break")
	}
	chat.LastEventID = broken.LastID
	resumed, err := d.caller.Stream(ctx, other.EntryAddress, chat, nil)
	if err != nil {
		return "", err
	}
	chat.LastEventID = ""
	undisturbed, err := d.caller.Stream(ctx, other.EntryAddress, chat, nil)
	if err != nil {
		return "", err
	}
	if broken.Text+resumed.Text != undisturbed.Text || !resumed.Done {
		return "", errors.Errorf("the texts differ: %q + %q, not %q", broken.Text, resumed.Text, undisturbed.Text)
	}
	fmt.Fprintf(d.Out, "%s was killed after %d events; %s went on\n", victim.ID, events, other.ID)
	return fmt.Sprintf("%d bytes before, %d after, equal to an undisturbed run", len(broken.Text), len(resumed.Text)), nil
}
