package relay

import (
	"testing"

	"github.com/pkg/errors"
)

// TestAChokedInstanceRefusesAtOnce: its connections to all upstreams fall silent. After
// those that found this out, requests are refused without a send, and may be sent again.
// Once an upstream answers to each that is silent, they are served.
func TestAChokedInstanceRefusesAtOnce(t *testing.T) {
	f := &fakeSender{}
	f.run = func(int, Send) (*Reply, error) { return nil, errors.WithMessage(ErrConnectTimeout, "dial") }
	f.prefill = func(int, Send) (KV, error) { return KV{}, errors.WithMessage(ErrConnectTimeout, "dial") }
	r := newFake(t, f)
	plentiful(r)
	_, _ = serve(r, call("/safe/1")) // three of them
	_, _ = serve(r, longPrompt("/once/1"))
	if !r.Impaired() {
		t.Fatal("not choked")
	}
	sends := f.count()
	_, err := serve(r, call("/unsafe/1"))
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != NotRun || refusal.RetryIn <= 0 || f.count() != sends {
		t.Errorf("%v after %d sends", err, f.count()-sends)
	}
	for _, id := range []string{"app-1", "app-2", "app-3", "pre-1", "pre-2", "dec-1", "dec-2", "dec-3"} {
		r.recordSendError(id, ErrRefused) // an answer
	}
	f.run = nil
	if _, err := serve(r, call("/unsafe/1")); err != nil {
		t.Errorf("refused still: %v", err)
	}
}
