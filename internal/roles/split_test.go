package roles_test

import (
	"context"
	"strings"
	"testing"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

// prefillAndDecode starts a prefill engine and a decode engine.
func prefillAndDecode(t *testing.T, flags ...string) (f *fleet, prefill, decode *testfleet.Engine) {
	f = startFleet(t, "min_serving = 1", []string{"prefill", "decode"}, append(flags, "--decode-rate", "200")...)
	return f, f.Engines[0], f.Engines[1]
}

// chatRequest returns a request with a long prompt and a short answer.
func chatRequest(seed int64) testcaller.Chat {
	return testcaller.Chat{Prompt: strings.Repeat("a brief with its style guide ", 60), Model: model, MaxTokens: 60, Seed: seed}
}

func TestPrefillAndDecodeOnSeparateEngines(t *testing.T) {
	f, prefill, decode := prefillAndDecode(t)
	before := f.engineRecord(prefill).Started
	const requests = 5
	for seed := range int64(requests) {
		must(t, f.stream(int(seed)%2, chatRequest(seed)))
	}
	if n := f.engineRecord(prefill).Started - before; n != requests {
		t.Errorf("%d prompts on the prefill engine, want %d", n, requests)
	}
	if record := f.engineRecord(decode); record.Reused != requests || record.Imported != requests {
		t.Errorf("%d transfers, %d used on the decode engine, want %d", record.Imported, record.Reused, requests)
	}
}

// TestPrefillEngineCrashDuringTransfer kills the prefill engine between the export and
// the import of the KV cache. The decode engine must process the prompt again.
func TestPrefillEngineCrashDuringTransfer(t *testing.T) {
	f, prefill, decode := prefillAndDecode(t, "--kv-rate", "1")
	result := make(chan error, 1)
	go func() { result <- f.stream(0, chatRequest(1)) }()
	must(t, testfleet.Until(f.ctx, "the transfer began", func() bool { return f.engineRecord(prefill).Exported == 1 }))
	prefill.Process.Kill()
	must(t, <-result)
	if record := f.engineRecord(decode); record.Imported != 0 {
		t.Errorf("%d transfers arrived from the killed engine", record.Imported)
	}
}

// TestSplitAnswerIsCompleteDespiteFaults: the answer is complete whichever engine fails
// and whenever it fails.
func TestSplitAnswerIsCompleteDespiteFaults(t *testing.T) {
	f, prefill, decode := prefillAndDecode(t)
	for i, c := range []struct {
		fault           string
		prefill, decode testservers.EngineFaults
	}{
		{fault: "prefill engine refuses", prefill: testservers.EngineFaults{Refuse: true}},
		{fault: "prefill engine breaks the stream", prefill: testservers.EngineFaults{BreakAfter: 1}},
		{fault: "decode engine refuses", decode: testservers.EngineFaults{Refuse: true}},
		{fault: "decode engine breaks the stream", decode: testservers.EngineFaults{BreakAfter: 9}},
		{fault: "pieces out of order and twice", prefill: testservers.EngineFaults{Disorder: true}, decode: testservers.EngineFaults{Disorder: true}},
	} {
		must(t, testfleet.Post(f.ctx, prefill.Address, testservers.PathFault, c.prefill, nil))
		must(t, testfleet.Post(f.ctx, decode.Address, testservers.PathFault, c.decode, nil))
		if err := f.stream(i%2, chatRequest(int64(i))); err != nil {
			t.Errorf("%s: %v", c.fault, err)
		}
	}
}

// TestResumeAfterFirstToken: a caller disconnects after the first token, which the
// prefill engine generated, and resumes the stream on another instance.
func TestResumeAfterFirstToken(t *testing.T) {
	f, _, _ := prefillAndDecode(t, "--kv-rate", "1000")
	ctx, disconnect := context.WithCancel(f.ctx)
	defer disconnect()
	chat, first := chatRequest(7), ""
	answer, err := f.caller.Stream(ctx, f.Instances[0].EntryAddress, chat, func(_, text string) {
		first = text
		disconnect()
	})
	if err == nil {
		t.Fatalf("the stream was not interrupted: %+v", answer)
	}
	chat.LastEventID = answer.LastID
	resumed, err := f.caller.Stream(f.ctx, f.Instances[1].EntryAddress, chat, nil)
	must(t, err)
	if !resumed.Done || first+resumed.Text != expected(chat) {
		t.Errorf("%q and then %q (%+v), want %q", first, resumed.Text, resumed.Error, expected(chat))
	}
}

// TestPlannedChangeWaitsForTransfer: an engine that has processed its prompts still
// holds their KV cache. Its role must not change before the cache has been read.
func TestPlannedChangeWaitsForTransfer(t *testing.T) {
	f, prefill, decode := prefillAndDecode(t, "--kv-rate", "300")
	result := make(chan error, 1)
	go func() { result <- f.stream(0, chatRequest(3)) }()
	must(t, testfleet.Until(f.ctx, "the transfer began", func() bool { return f.engineRecord(prefill).Exported == 1 }))
	f.confirm("name = \"mixed\"\n[[engine]]\nid = \"engine-1\"\nrole = \"mixed\"\n")
	must(t, <-result)
	if record := f.engineRecord(decode); record.Reused != 1 {
		t.Errorf("%d transfers used, want 1: the role change interrupted it", record.Reused)
	}
}

// TestRefusalAfterFirstTokenHasUnknownOutcome: the decode engine refuses the request and
// no other engine accepts it. The outcome is unknown, because the prefill engine has
// already processed the prompt.
func TestRefusalAfterFirstTokenHasUnknownOutcome(t *testing.T) {
	f, prefill, decode := prefillAndDecode(t, "--kv-rate", "300")
	got := make(chan testcaller.Answer, 1)
	go func() {
		answer, err := f.caller.Stream(f.ctx, f.Instances[0].EntryAddress, chatRequest(5), nil)
		if err != nil {
			t.Error(err)
		}
		got <- answer
	}()
	must(t, testfleet.Until(f.ctx, "the transfer began", func() bool { return f.engineRecord(prefill).Exported == 1 }))
	for _, e := range []*testfleet.Engine{prefill, decode} {
		must(t, testfleet.Post(f.ctx, e.Address, testservers.PathFault, testservers.EngineFaults{Refuse: true}, nil))
	}
	answer := <-got
	if answer.Text == "" || answer.Error == nil || answer.Error.Outcome != callerapi.OutcomeUnknown {
		t.Errorf("%+v, error %+v, want a first token and the outcome unknown", answer, answer.Error)
	}
}
