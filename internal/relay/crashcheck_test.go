package relay

import (
	"syscall"
	"testing"
	"time"
)

// TestContentIsServedAfterPathIsLost guards against quarantining the requests that were in progress when this
// instance lost its path to all upstreams: their connections are reset, and new ones are refused, as after a crash.
func TestContentIsServedAfterPathIsLost(t *testing.T) {
	f := crashingSender()
	f.run = func(int, Send) (*Reply, error) { return nil, WrapReadError(syscall.ECONNRESET) }
	r := newFake(t, f)
	withLargeBudget(r)
	for _, u := range r.upstreams.AllUpstreams() {
		f.crashed[u.ID] = true // as seen from here
	}
	for range 3 {
		_, _ = serve(r, call("/resumable/1")) // it is reset by two upstreams
	}
	for !r.quarantine.allChecked() {
		time.Sleep(time.Millisecond)
	}
	f.run, f.crashed = nil, map[string]bool{}
	if _, err := serve(r, call("/resumable/1")); err != nil {
		t.Errorf("refused, though no upstream crashed: %v", err)
	}
}
