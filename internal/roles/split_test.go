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

func brief(seed int64) testcaller.Chat {
	return testcaller.Chat{Prompt: strings.Repeat("a brief with its style guide ", 60), Model: model, MaxTokens: 60, Seed: seed}
}

func TestPromptAndAnswerOnTwoEngines(t *testing.T) {
	f, prefill, decode := prefillAndDecode(t)
	before := f.book(prefill).Started
	const requests = 5
	for seed := range int64(requests) {
		must(t, f.stream(int(seed)%2, brief(seed)))
	}
	if n := f.book(prefill).Started - before; n != requests {
		t.Errorf("%d prompts on the prefill engine, want %d", n, requests)
	}
	if book := f.book(decode); book.Reused != requests || book.Imported != requests {
		t.Errorf("%d transfers, %d used on the decode engine, want %d", book.Imported, book.Reused, requests)
	}
}

// TestPrefillEngineDiesInTheTransfer kills the prefill engine between export
// and import: the decode engine processes the prompt again.
func TestPrefillEngineDiesInTheTransfer(t *testing.T) {
	f, prefill, decode := prefillAndDecode(t, "--kv-rate", "1")
	whole := make(chan error, 1)
	go func() { whole <- f.stream(0, brief(1)) }()
	must(t, testfleet.Until(f.ctx, "the transfer began", func() bool { return f.book(prefill).Exported == 1 }))
	prefill.Process.Kill()
	must(t, <-whole)
	if book := f.book(decode); book.Imported != 0 {
		t.Errorf("%d transfers arrived from the dead engine", book.Imported)
	}
}

// TestSplitAnswerIsWholeThroughFaults: whichever engine fails, and whenever,
// the answer is whole.
func TestSplitAnswerIsWholeThroughFaults(t *testing.T) {
	f, prefill, decode := prefillAndDecode(t)
	for i, c := range []struct {
		what            string
		prefill, decode testservers.EngineFaults
	}{
		{what: "prefill engine refuses", prefill: testservers.EngineFaults{Refuse: true}},
		{what: "prefill engine breaks the stream", prefill: testservers.EngineFaults{BreakAfter: 1}},
		{what: "decode engine refuses", decode: testservers.EngineFaults{Refuse: true}},
		{what: "decode engine breaks the stream", decode: testservers.EngineFaults{BreakAfter: 9}},
		{what: "pieces out of order and twice", prefill: testservers.EngineFaults{Disorder: true}, decode: testservers.EngineFaults{Disorder: true}},
	} {
		must(t, testfleet.Post(f.ctx, prefill.Address, testservers.PathFault, c.prefill, nil))
		must(t, testfleet.Post(f.ctx, decode.Address, testservers.PathFault, c.decode, nil))
		if err := f.stream(i%2, brief(int64(i))); err != nil {
			t.Errorf("%s: %v", c.what, err)
		}
	}
}

// TestResumeAfterThePrefillEnginesToken: a caller that leaves after the first
// token, which the prefill engine made, gets the rest on another instance.
func TestResumeAfterThePrefillEnginesToken(t *testing.T) {
	f, _, _ := prefillAndDecode(t, "--kv-rate", "1000")
	ctx, leave := context.WithCancel(f.ctx)
	defer leave()
	chat, first := brief(7), ""
	answer, err := f.caller.Stream(ctx, f.Instances[0].EntryAddress, chat, func(_, text string) {
		first = text
		leave()
	})
	if err == nil {
		t.Fatalf("the stream did not break: %+v", answer)
	}
	chat.LastEventID = answer.LastID
	rest, err := f.caller.Stream(f.ctx, f.Instances[1].EntryAddress, chat, nil)
	must(t, err)
	if !rest.Done || first+rest.Text != expected(chat) {
		t.Errorf("%q and then %q (%+v), want %q", first, rest.Text, rest.Error, expected(chat))
	}
}

// TestPlannedChangeWaitsForTheTransfer: an engine whose prompts are processed
// still holds their KV cache, and is not changed until it was read.
func TestPlannedChangeWaitsForTheTransfer(t *testing.T) {
	f, prefill, decode := prefillAndDecode(t, "--kv-rate", "300")
	whole := make(chan error, 1)
	go func() { whole <- f.stream(0, brief(3)) }()
	must(t, testfleet.Until(f.ctx, "the transfer began", func() bool { return f.book(prefill).Exported == 1 }))
	f.confirm("name = \"mixed\"\n[[engine]]\nid = \"engine-1\"\nrole = \"mixed\"\n")
	must(t, <-whole)
	if book := f.book(decode); book.Reused != 1 {
		t.Errorf("%d transfers used, want 1: the change cut it off", book.Reused)
	}
}

// TestRefusalAfterTheFirstTokenIsUnknown: when the decode engine refuses and no
// other takes the rest, the prefill engine has run all the same.
func TestRefusalAfterTheFirstTokenIsUnknown(t *testing.T) {
	f, prefill, decode := prefillAndDecode(t, "--kv-rate", "300")
	got := make(chan testcaller.Answer, 1)
	go func() {
		answer, err := f.caller.Stream(f.ctx, f.Instances[0].EntryAddress, brief(5), nil)
		if err != nil {
			t.Error(err)
		}
		got <- answer
	}()
	must(t, testfleet.Until(f.ctx, "the transfer began", func() bool { return f.book(prefill).Exported == 1 }))
	for _, e := range []*testfleet.Engine{prefill, decode} {
		must(t, testfleet.Post(f.ctx, e.Address, testservers.PathFault, testservers.EngineFaults{Refuse: true}, nil))
	}
	answer := <-got
	if answer.Text == "" || answer.Error == nil || answer.Error.Outcome != callerapi.OutcomeUnknown {
		t.Errorf("%+v, error %+v, want a first token and the outcome unknown", answer, answer.Error)
	}
}
