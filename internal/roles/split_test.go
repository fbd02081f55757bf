package roles_test

import (
	"strings"
	"testing"

	"sassafrasfield/internal/standin"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
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
		prefill, decode standin.EngineFaults
	}{
		{what: "prefill engine refuses", prefill: standin.EngineFaults{Refuse: true}},
		{what: "prefill engine breaks the stream", prefill: standin.EngineFaults{BreakAfter: 1}},
		{what: "decode engine refuses", decode: standin.EngineFaults{Refuse: true}},
		{what: "decode engine breaks the stream", decode: standin.EngineFaults{BreakAfter: 9}},
		{what: "pieces out of order and twice", prefill: standin.EngineFaults{Disorder: true}, decode: standin.EngineFaults{Disorder: true}},
	} {
		must(t, testfleet.Post(f.ctx, prefill.Address, standin.PathFault, c.prefill, nil))
		must(t, testfleet.Post(f.ctx, decode.Address, standin.PathFault, c.decode, nil))
		if err := f.stream(i%2, brief(int64(i))); err != nil {
			t.Errorf("%s: %v", c.what, err)
		}
	}
}
