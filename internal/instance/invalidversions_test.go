package instance

import (
	"context"
	"testing"

	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/replica"
	"sassafrasfield/internal/upstreamstate"
)

// checkingTable is a table that checks revisions.
type checkingTable struct {
	platform.Table

	revisions map[string]int64
}

func (t *checkingTable) Commit(_ context.Context, txn platform.Txn) (int64, error) {
	for _, check := range txn.Checks {
		if t.revisions[check.Key] != check.Revision {
			return 0, platform.ErrConflict
		}
	}
	for _, write := range txn.Writes {
		t.revisions[write.Key] = 9
	}
	return 9, nil
}

// TestInvalidVersionsRowKeepsNoOtherFromBeingWritten guards against services whose versions are never stored, because
// the row of another service cannot be read.
func TestInvalidVersionsRowKeepsNoOtherFromBeingWritten(t *testing.T) {
	in, table := newInstance(), &checkingTable{revisions: map[string]int64{VersionsPrefix + "other": 3}}
	in.adapter.Table = table
	in.follower.ApplyRows([]replica.Row{{Key: replica.Key{Table: "apart", Key: VersionsPrefix + "other"}, Value: []byte("what"), Revision: 3}}, 0)
	in.relay.UpdateUpstream(upstreamstate.Upstream{ID: "e-1", Service: "llm", Version: "v1"})
	in.relay.UpdateUpstream(upstreamstate.Upstream{ID: "e-2", Service: "other", Version: "v1"})
	for range 3 {
		in.writeVersions(context.Background(), false)
	}
	if table.revisions[VersionsPrefix+"llm"] == 0 {
		t.Error("the versions of the service are never stored")
	}
	if table.revisions[VersionsPrefix+"other"] == 3 {
		t.Error("the row that cannot be read is never replaced")
	}
}
