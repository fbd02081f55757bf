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

// While all engines refuse, there are no successes and so no retry budget: no request may be tried twice,
// and each is answered at once with not_run. After the engines recover all requests succeed, and a later
// failure may use retries for at most a tenth of the successes.
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

// storm sends n requests concurrently and returns the answers.
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
