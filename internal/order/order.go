// Package order holds the journal of orders to engines: what a row says, and
// which order may be written next. It is pure. One order is outstanding for an
// engine; a successor settles it before any other.
package order

import (
	"encoding/json"

	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/engine"
)

// State of a journalled order.
type State string

// States of an order.
const (
	// StateOpen orders were written and may have been sent.
	StateOpen State = "open"
	// StateDone orders were read back from the engine.
	StateDone State = "done"
)

// Row is the newest order of one engine.
type Row struct {
	ID     string `json:"id"`
	Engine string `json:"engine"`
	// Epoch is the lease's epoch that it was last sent under.
	Epoch int64              `json:"epoch"`
	Want  config.EngineState `json:"want"`
	State State              `json:"state"`
	// WriteID names the write of this row.
	WriteID string `json:"write_id"`
	// Revision is the row's in the table, 0 for one that was not written yet.
	// The next write of the row checks it.
	Revision int64 `json:"-"`
}

// KeyPrefix is the prefix of the journal rows of a pool.
func KeyPrefix(pool string) string {
	return "order/" + pool + "/"
}

// Key is the key of an engine's journal row.
func Key(pool, engineID string) string {
	return KeyPrefix(pool) + engineID
}

// Encode returns the row's value.
func (r Row) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "order: encode")) // plain data always marshals
	}
	return data
}

// Decode reads a row's value, which has the revision in the table.
func Decode(data []byte, revision int64) (Row, error) {
	var r Row
	err := json.Unmarshal(data, &r)
	r.Revision = revision
	return r, errors.Wrap(err, "order: decode")
}

// Next returns the order that may go to an engine whose newest row is r: the
// open one again, whatever is wanted now, or else a new one with the id.
func (r Row) Next(engineID string, want config.EngineState, id string) Row {
	if r.State == StateOpen {
		return r
	}
	return Row{ID: id, Engine: engineID, Want: want, State: StateOpen, Revision: r.Revision}
}

// Under returns the row as the holder of an epoch has to settle it: an open
// order of an earlier epoch counts only once the engine has taken it again
// with the new one. A copy that the earlier holder sent can then do no more
// than was asked last.
func (r Row) Under(epoch int64) Row {
	if r.State == StateOpen {
		r.Epoch = epoch
	}
	return r
}

// Settled tells whether the engine's read-back shows that the order was
// carried out. A read-back counts only if it names this order with this
// epoch: it is newer than the order's arrival then.
func (r Row) Settled(status engine.Status) bool {
	taken := status.LastOrder == r.ID && status.LastFence == r.Epoch
	return taken && !status.Changing && status.Fault == "" && status.State.Equal(r.Want)
}

// Message returns the order as it is sent to the engine.
func (r Row) Message() engine.Order {
	return engine.Order{ID: r.ID, Fence: r.Epoch, Want: r.Want}
}
