// Package order defines the journal of orders to engines: the journal rows and
// which order may be written next. Its functions have no side effects. At most
// one order is outstanding for an engine. A new lease holder settles the
// outstanding order before it sends another.
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
	// StateOpen orders are journalled and may have been sent.
	StateOpen State = "open"
	// StateDone orders are confirmed by the engine's status.
	StateDone State = "done"
)

// Row is the journal row of one engine: its newest order.
type Row struct {
	ID     string `json:"id"`
	Engine string `json:"engine"`
	// Epoch is the lease epoch under which the order was last sent.
	Epoch int64 `json:"epoch"`
	// Sends counts the orders sent to the engine under that epoch, including
	// resends.
	Sends int64              `json:"sends"`
	Want  config.EngineState `json:"want"`
	State State              `json:"state"`
	// WriteID identifies the write of this row.
	WriteID string `json:"write_id"`
	// Revision is the revision of the row in the table; 0 if it was not written
	// yet. The next write of the row checks it.
	Revision int64 `json:"-"`
}

// KeyPrefix returns the key prefix of the journal rows of a pool.
func KeyPrefix(pool string) string {
	return "order/" + pool + "/"
}

// Key returns the key of an engine's journal row.
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

// Decode decodes a row's value. The revision is that of the row in the table.
func Decode(data []byte, revision int64) (Row, error) {
	var r Row
	err := json.Unmarshal(data, &r)
	r.Revision = revision
	return r, errors.Wrap(err, "order: decode")
}

// Next returns the order that the lease holder of an epoch may send to an
// engine whose newest row is r. That is the open order again, regardless of
// want, or else a new order with the id.
func (r Row) Next(epoch int64, engineID string, want config.EngineState, id string) Row {
	next := r.AtEpoch(epoch)
	next.Sends++
	if r.State != StateOpen {
		next.ID, next.Engine, next.Want, next.State = id, engineID, want, StateOpen
	}
	return next
}

// AtEpoch returns the row as it applies to the lease holder of an epoch: an
// order that an earlier holder sent counts as not sent. A copy of that order
// that is still in flight has the same effect as the resent order, until the
// resent order is settled.
func (r Row) AtEpoch(epoch int64) Row {
	if r.Epoch != epoch {
		r.Epoch, r.Sends = epoch, 0
	}
	return r
}

// sendBits is the number of low bits of a fencing number that hold the send count.
const sendBits = 32

// Fence returns the order's fencing number: the epoch in the upper half, the
// send count in the lower half. It rises with each send to an engine, so that
// the engine also refuses a delayed copy from the same epoch.
func (r Row) Fence() int64 {
	return r.Epoch<<sendBits | r.Sends
}

// EpochOf returns the epoch of a fencing number.
func EpochOf(fence int64) int64 {
	return fence >> sendBits
}

// Settled reports whether the engine's status shows that the order was carried
// out. A status counts only if it names this order with the fencing number of
// the newest send, which shows that the status is newer than that send.
func (r Row) Settled(status engine.Status) bool {
	accepted := r.Sends > 0 && status.LastOrder == r.ID && status.LastFence == r.Fence()
	return accepted && !status.Changing && status.Fault == "" && status.State.Equal(r.Want)
}

// Message returns the order in the form that is sent to the engine.
func (r Row) Message() engine.Order {
	return engine.Order{ID: r.ID, Fence: r.Fence(), Want: r.Want}
}
