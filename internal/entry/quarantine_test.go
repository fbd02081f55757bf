package entry_test

import (
	"testing"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

// ending is the prompt that ends the engines of the test.
const ending = "a prompt that ends its engine"

// TestAContentThatEndsEnginesLeavesTheOthersAlone: all generations may be repeated here,
// so that one request ends as many engines as it is sent to, and it comes again. Seen
// before it was mended: all five engines ended.
func TestAContentThatEndsEnginesLeavesTheOthersAlone(t *testing.T) {
	ctx := testContext(t)
	fleet := startFleet(ctx, t, fleetOptions{instances: 1, engines: 5})
	for _, e := range fleet.Engines {
		setFaults(ctx, t, e, testservers.EngineFaults{EndOn: ending})
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
		ask(ending)
	}
	ended := 0
	for _, e := range fleet.Engines {
		select {
		case <-e.Process.Done():
			ended++
		default:
		}
	}
	if ended == 0 || ended > 2 {
		t.Errorf("%d of %d engines ended, want two at most", ended, len(fleet.Engines))
	}
	answer := ask(ending)
	if answer.Error == nil || answer.Error.Code != "content_set_apart" || answer.Error.Outcome != callerapi.OutcomeNotRun || answer.RetryAfter != "" {
		t.Errorf("the content again: %+v, %+v", answer, answer.Error)
	}
	err := testfleet.Until(ctx, "another content is served", func() bool { return ask("another prompt").Done })
	if err != nil {
		t.Error(err)
	}
}
