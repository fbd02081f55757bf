package entry_test

import (
	"context"
	"strings"
	"sync"
	"testing"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

// All engines refuse: without successes there is no budget, so no request is
// tried twice, and each is told at once that it did not run. Once the engines
// are back all requests succeed, and a tenth of the successes is what the next
// failure may spend.
func TestRetryStormKeepsToBudget(t *testing.T) {
	ctx := testContext(t)
	fleet := startFleet(ctx, t, fleetOptions{
		instances: 1, engines: 3, entryTables: "[retry]\nbudget_floor = 0.0\n",
	})
	entry := fleet.Instances[0].EntryAddress
	refuse := func(on bool) {
		for _, e := range fleet.Engines {
			setFaults(ctx, t, e, testservers.EngineFaults{Refuse: on})
		}
	}
	const requests = 40
	refuse(true)
	for _, answer := range storm(ctx, t, fleet, requests) {
		if answer.Done || answer.Error == nil || answer.Error.Outcome != callerapi.OutcomeNotRun || answer.RetryAfter == "" {
			t.Errorf("while all engines refuse: %+v", answer)
		}
	}
	if retries := gauge(t, entry, "entry.retries"); retries != 0 || started(ctx, t, fleet) != 0 {
		t.Errorf("%d retries without a success, %d streams at the engines", retries, started(ctx, t, fleet))
	}
	refuse(false)
	err := testfleet.Until(ctx, "a request succeeds again", func() bool {
		return storm(ctx, t, fleet, 1)[0].Done
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, answer := range storm(ctx, t, fleet, requests) {
		if !answer.Done {
			t.Errorf("after the fault: %+v", answer)
		}
	}
	answered := gauge(t, entry, "entry.answered")
	refuse(true)
	storm(ctx, t, fleet, requests)
	if retries := gauge(t, entry, "entry.retries"); retries == 0 || retries > answered/10 {
		t.Errorf("%d retries after %d successes, want up to a tenth", retries, answered)
	}
}

// storm sends requests at once and returns the answers.
func storm(ctx context.Context, t *testing.T, fleet *testfleet.Fleet, n int) []testcaller.Answer {
	t.Helper()
	caller := testcaller.New(apiKey)
	answers := make([]testcaller.Answer, n)
	var work sync.WaitGroup
	for i := range n {
		work.Go(func() {
			chat := testcaller.Chat{Model: modelName, Prompt: strings.Repeat("word ", 10), MaxTokens: 2, Seed: int64(i)}
			answer, err := caller.Stream(ctx, fleet.Instances[0].EntryAddress, chat, nil)
			if err != nil {
				t.Error(err)
			}
			answers[i] = answer
		})
	}
	work.Wait()
	return answers
}
