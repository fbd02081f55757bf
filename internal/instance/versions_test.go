package instance

import (
	"context"
	"encoding/json"
	"slices"
	"testing"

	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/replica"
	"sassafrasfield/internal/upstreamstate"
)

func versionsRowOf(value string, revision int64) replica.Row {
	return replica.Row{Key: replica.Key{Table: "apart", Key: VersionsPrefix + "llm"}, Value: []byte(value), Revision: revision, Deleted: value == ""}
}

// TestVersionsRowIsWrittenForOtherInstances guards against instances that start without a word of the versions whose
// streams callers hold: because the store failed once, another instance's row was replaced, or the row was lost.
func TestVersionsRowIsWrittenForOtherInstances(t *testing.T) {
	in, table := newInstance(), &fakeTable{failures: 1}
	in.adapter.Table = table
	ctx := context.Background()
	in.relay.UpdateUpstream(upstreamstate.Upstream{ID: "e-1", Service: "llm", Version: "v2"})
	select {
	case <-in.relay.VersionHistoriesNeeded():
	default:
		t.Error("no write is requested")
	}
	in.follower.ApplyRows([]replica.Row{versionsRowOf(`{"versions":["v1"]}`, 3)}, 0)
	if in.writeVersions(ctx, false) {
		t.Error("counts as written, though the store failed")
	}
	if !in.writeVersions(ctx, false) {
		t.Fatal("not written")
	}
	if len(table.checks) != 1 || table.checks[0] != (platform.Check{Key: "versions/llm", Revision: 3}) {
		t.Errorf("another instance's row may be replaced: %+v", table.checks)
	}
	var row versionsRow
	writes := table.written()
	if err := json.Unmarshal(writes[0].Value, &row); err != nil || !slices.Equal(row.Versions, []string{"v1", "v2"}) {
		t.Errorf("%+v, %v", row, err)
	}
	in.follower.ApplyRows([]replica.Row{versionsRowOf(string(writes[0].Value), 4)}, 0)
	if !in.writeVersions(ctx, true) || len(table.written()) != 1 {
		t.Error("written twice")
	}
	in.follower.ApplyRows([]replica.Row{versionsRowOf("", 5)}, 0)
	if !in.writeVersions(ctx, false) || len(table.written()) != 2 {
		t.Error("not written again after the row was lost")
	}
	if check := table.checks[len(table.checks)-1]; check.Revision != 0 {
		t.Errorf("%+v", check)
	}
}
