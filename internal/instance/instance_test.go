package instance

import (
	"io"
	"log/slog"
	"testing"

	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/relay"
	"sassafrasfield/internal/replica"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/rowsync"
	"sassafrasfield/internal/upstreamstate"
)

// fakeDocuments decodes rows of upstreams whose value is the name of a role, and rejects all others.
type fakeDocuments struct{}

func (fakeDocuments) Routes([]replica.Row) (*routes.Table, error) { return nil, nil }

func (fakeDocuments) Upstream(row replica.Row) (upstreamstate.Upstream, error) {
	role := config.Role(row.Value)
	if role != config.RoleDecode && role != config.RolePrefill {
		return upstreamstate.Upstream{}, errors.New("no entry")
	}
	return upstreamstate.Upstream{ID: row.Key.Key, Service: "llm", Role: role}, nil
}

// silentSender has upstreams that announce nothing. Nothing is sent to them.
type silentSender struct{ relay.Sender }

func (silentSender) SetStatusHandler(func(upstreamstate.Upstream, upstreamstate.UpstreamStatus)) {}

// newInstance returns an instance that has read its tables, which are empty.
func newInstance() *Instance { return newInstanceWith(silentSender{}) }

func newInstanceWith(sender relay.Sender) *Instance {
	a := Adapter{Sender: sender, Documents: fakeDocuments{}, UpstreamTable: "upstreams", SharedTable: "apart"}
	tables := []string{a.UpstreamTable, a.SharedTable}
	in := New(Settings{Relay: relay.DefaultSettings(), Follow: rowsync.Settings{Tables: tables}}, a, slog.New(slog.NewTextHandler(io.Discard, nil)))
	in.follower.MarkTablesLoaded(tables)
	return in
}

func upstreamRow(id, value string, revision int64) replica.Row {
	return replica.Row{Key: replica.Key{Table: "upstreams", Key: id}, Value: []byte(value), Revision: revision}
}

// TestUpstreamWithInvalidRowIsRemoved guards against an upstream that stays in use after another writer has
// overwritten its row with invalid data. The other upstreams stay.
func TestUpstreamWithInvalidRowIsRemoved(t *testing.T) {
	in := newInstance()
	in.applyRows([]replica.Row{upstreamRow("e-1", "decode", 1), upstreamRow("e-2", "decode", 2), upstreamRow("e-3", "what", 3)})
	if engines := in.Engines()["llm"]; len(engines) != 2 {
		t.Fatalf("%+v", engines)
	}
	in.applyRows([]replica.Row{upstreamRow("e-1", "what", 4)})
	if engines := in.Engines()["llm"]; len(engines) != 1 || engines[0].ID != "e-2" {
		t.Errorf("%+v", engines)
	}
	in.applyRows([]replica.Row{upstreamRow("e-1", "decode", 5)})
	if engines := in.Engines()["llm"]; len(engines) != 2 {
		t.Errorf("not re-added with a valid row: %+v", engines)
	}
}
