package relay

import (
	"testing"

	"github.com/pkg/errors"
)

// TestInstanceWithSaturatedLinkRefuses: connections to all upstreams time out. After the requests
// that find this out, others are refused without a send and may be retried. They are served again
// once each silent upstream has answered.
func TestInstanceWithSaturatedLinkRefuses(t *testing.T) {
	f := &fakeSender{}
	f.run = func(int, Send) (*Reply, error) { return nil, errors.WithMessage(ErrConnectTimeout, "dial") }
	f.prefill = func(int, Send) (KV, error) { return KV{}, errors.WithMessage(ErrConnectTimeout, "dial") }
	r := newFake(t, f)
	withLargeBudget(r)
	_, _ = serve(r, call("/safe/1")) // it is sent to three upstreams
	_, _ = serve(r, longPrompt("/once/1"))
	if !r.Impaired() {
		t.Fatal("not impaired, though all connections time out")
	}
	sends := f.count()
	_, err := serve(r, call("/unsafe/1"))
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != NotRun || refusal.RetryIn <= 0 || f.count() != sends {
		t.Errorf("%v after %d sends", err, f.count()-sends)
	}
	for _, id := range []string{"app-1", "app-2", "app-3", "pre-1", "pre-2", "dec-1", "dec-2", "dec-3"} {
		r.recordSendError(id, ErrRefused) // the upstream has answered
	}
	f.run = nil
	if _, err := serve(r, call("/unsafe/1")); err != nil {
		t.Errorf("still refused: %v", err)
	}
}
