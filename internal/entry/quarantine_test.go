package entry_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

// crashingPrompt is the prompt that crashes the engines of the test.
const crashingPrompt = "a prompt that crashes its engine"

// TestQuarantineStopsCrashingContent guards against a content that crashes all engines. All generations
// may be repeated here, so one request crashes as many engines as it is sent to, and callers send it
// again. Without the quarantine all five engines crashed.
func TestQuarantineStopsCrashingContent(t *testing.T) {
	ctx := testContext(t)
	fleet := startFleet(ctx, t, fleetOptions{instances: 1, engines: 5})
	for _, e := range fleet.Engines {
		setFaults(ctx, t, e, testservers.EngineFaults{CrashOn: crashingPrompt})
	}
	ask := func(prompt string) testcaller.Answer { return askFleet(ctx, t, fleet, prompt) }
	for range 4 {
		ask(crashingPrompt)
	}
	crashed := countCrashed(fleet)
	if crashed == 0 || crashed > 2 {
		t.Errorf("%d of %d engines crashed, want 1 or 2", crashed, len(fleet.Engines))
	}
	answer := ask(crashingPrompt)
	if answer.Error == nil || answer.Error.Code != "content_set_apart" || answer.Error.Outcome != callerapi.OutcomeNotRun || answer.RetryAfter != "" {
		t.Errorf("the quarantined content: %+v, %+v", answer, answer.Error)
	}
	err := testfleet.Until(ctx, "another content is served", func() bool { return ask("another prompt").Done })
	if err != nil {
		t.Error(err)
	}
}

func askFleet(ctx context.Context, t *testing.T, fleet *testfleet.Fleet, prompt string) testcaller.Answer {
	t.Helper()
	chat := testcaller.Chat{Model: modelName, Prompt: prompt, MaxTokens: 2, Seed: 1}
	answer, err := testcaller.New(apiKey).Stream(ctx, fleet.Instances[0].EntryAddress, chat, nil)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

func countCrashed(fleet *testfleet.Fleet) int {
	crashed := 0
	for _, e := range fleet.Engines {
		select {
		case <-e.Process.Done():
			crashed++
		default:
		}
	}
	return crashed
}

// TestQuarantineStopsCrashingPart guards against prompts of which no two are alike, that crash all engines because they
// begin with the same text.
func TestQuarantineStopsCrashingPart(t *testing.T) {
	const engines, allowed = 7, 4 // two requests, each of which is sent to two engines
	ctx := testContext(t)
	fleet := startFleet(ctx, t, fleetOptions{instances: 1, engines: engines})
	for _, e := range fleet.Engines {
		setFaults(ctx, t, e, testservers.EngineFaults{CrashOn: crashingPrompt})
	}
	shared := crashingPrompt + strings.Repeat(", as all of them do", 10)
	for i := range 6 {
		askFleet(ctx, t, fleet, fmt.Sprintf("%s, number %d", shared, i))
		time.Sleep(600 * time.Millisecond) // of crashes that come together, only one counts against a part
	}
	if crashed := countCrashed(fleet); crashed == 0 || crashed > allowed {
		t.Errorf("%d of %d engines crashed, want 1 to %d", crashed, engines, allowed)
	}
	answer := askFleet(ctx, t, fleet, shared+", another one")
	if answer.Error == nil || answer.Error.Code != "part_set_apart" || answer.Error.Outcome != callerapi.OutcomeNotRun || answer.RetryAfter != "" {
		t.Errorf("a prompt that begins with the quarantined part: %+v, %+v", answer, answer.Error)
	}
	err := testfleet.Until(ctx, "another prompt is served", func() bool { return askFleet(ctx, t, fleet, "another prompt").Done })
	if err != nil {
		t.Error(err)
	}
}
