package entry_test

import (
	"testing"

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
	ask := func(prompt string) testcaller.Answer {
		t.Helper()
		chat := testcaller.Chat{Model: modelName, Prompt: prompt, MaxTokens: 2, Seed: 1}
		answer, err := testcaller.New(apiKey).Stream(ctx, fleet.Instances[0].EntryAddress, chat, nil)
		if err != nil {
			t.Fatal(err)
		}
		return answer
	}
	for range 4 {
		ask(crashingPrompt)
	}
	crashed := 0
	for _, e := range fleet.Engines {
		select {
		case <-e.Process.Done():
			crashed++
		default:
		}
	}
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
