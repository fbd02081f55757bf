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

// Decode reads a row's value.
func Decode(data []byte) (Row, error) {
	var r Row
	return r, errors.Wrap(json.Unmarshal(data, &r), "order: decode")
}

// Settled tells whether the engine's read-back shows that the order was
// carried out.
func (r Row) Settled(status engine.Status) bool {
	return !status.Changing && status.Fault == "" && status.State.Equal(r.Want)
}

// Message returns the order as it is sent to the engine.
func (r Row) Message() engine.Order {
	return engine.Order{ID: r.ID, Fence: r.Epoch, Want: r.Want}
}
