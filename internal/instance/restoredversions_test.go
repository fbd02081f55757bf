package instance

import (
	"context"
	"testing"

	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/replica"
	"sassafrasfield/internal/upstreamstate"
)

// TestVersionsAreWrittenAfterStoreWasRestored guards against versions that are never stored again, because the store was
// restored and the row came back unchanged, with a revision of the new restore generation.
func TestVersionsAreWrittenAfterStoreWasRestored(t *testing.T) {
	in, restored := newInstance(), platform.RevisionOf(1, 3)
	in.adapter.Table = &checkingTable{revisions: map[string]int64{VersionsPrefix + "llm": restored}}
	in.relay.UpdateUpstream(upstreamstate.Upstream{ID: "e-1", Service: "llm", Version: "v1"})
	for _, revision := range []int64{3, restored} {
		in.follower.ApplyRows([]replica.Row{versionsRowOf(`{"versions":["v1"]}`, revision)}, 0)
	}
	in.relay.UpdateUpstream(upstreamstate.Upstream{ID: "e-2", Service: "llm", Version: "v2"})
	if !in.writeVersions(context.Background(), false) {
		t.Error("not written")
	}
}
