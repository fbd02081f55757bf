package relay

import (
	"sync/atomic"
	"testing"
	"time"

	"sassafrasfield/internal/streamversions"
)

// TestRetryDoesNotBeginAtAVersionThatIsNotStored guards against streams of two versions after a restart of all instances:
// the engines of the stored version refused the first attempt, and the retry began the stream at one that no row names.
func TestRetryDoesNotBeginAtAVersionThatIsNotStored(t *testing.T) {
	var stored atomic.Bool
	var r *Relay
	f := &fakeSender{run: func(_ int, s Send) (*Reply, error) {
		if s.To.Version == "v1" {
			time.AfterFunc(20*time.Millisecond, func() {
				stored.Store(true)
				r.ApplyVersionHistory(streamversions.History{Service: "llm", Versions: []string{"v1", "v2"}, Revision: 2})
			})
			return nil, ErrRefused
		}
		if !stored.Load() {
			t.Error("began at v2 before it was stored")
		}
		return events("id: 1\ndata: a\n\n"), nil
	}}
	r = withReplicas(withVersions(newFake(t, f)), &fakeReplicas{})
	withLargeBudget(r)
	r.settings.VersionStoreWait = time.Minute
	r.ApplyVersionHistory(streamversions.History{Service: "llm", Versions: []string{"v1"}, Revision: 1})
	for _, id := range []string{"dec-v1-1", "pre-v1"} { // one engine of v1 is left, for one attempt
		r.RemoveUpstream(id)
	}
	if _, err := serve(r, shortPrompt("/resumable/1")); err != nil {
		t.Error(err)
	}
}
