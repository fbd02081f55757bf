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
	Epoch int64 `json:"epoch"`
	// Sends counts the orders sent to the engine under that epoch, repeated
	// ones included.
	Sends int64              `json:"sends"`
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

// Next returns what the holder of an epoch may send to an engine whose newest
// row is r: the open order again, whatever is wanted now, or else a new one
// with the id.
func (r Row) Next(epoch int64, engineID string, want config.EngineState, id string) Row {
	next := r.AtEpoch(epoch)
	next.Sends++
	if r.State != StateOpen {
		next.ID, next.Engine, next.Want, next.State = id, engineID, want, StateOpen
	}
	return next
}

// AtEpoch returns the row as the holder of an epoch sees it: an order that an
// earlier holder sent counts as not sent. A copy of it that is still on its
// way can do no more than the same order sent again, until that is settled.
func (r Row) AtEpoch(epoch int64) Row {
	if r.Epoch != epoch {
		r.Epoch, r.Sends = epoch, 0
	}
	return r
}

// sendBits is how many bits of a fencing number count the sends.
const sendBits = 32

// Fence is the order's fencing number: the epoch in the upper half, the number
// of the send in the lower. It rises with each send to an engine, so that a
// late copy is refused within an epoch as well.
func (r Row) Fence() int64 {
	return r.Epoch<<sendBits | r.Sends
}

// EpochOf returns the epoch of a fencing number.
func EpochOf(fence int64) int64 {
	return fence >> sendBits
}

// Settled tells whether the engine's read-back shows that the order was
// carried out. A read-back counts only if it names this order with the
// fencing number of its newest send: it is newer than the send then.
func (r Row) Settled(status engine.Status) bool {
	taken := r.Sends > 0 && status.LastOrder == r.ID && status.LastFence == r.Fence()
	return taken && !status.Changing && status.Fault == "" && status.State.Equal(r.Want)
}

// Message returns the order as it is sent to the engine.
func (r Row) Message() engine.Order {
	return engine.Order{ID: r.ID, Fence: r.Fence(), Want: r.Want}
}
