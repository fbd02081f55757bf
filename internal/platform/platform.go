// Package platform is the edge to what the platform gives: a transactional
// table, an object store, a lagging instance list and a rate-limited weight
// store. The rest of the system knows these interfaces alone; Client is the
// one adapter.
package platform

import (
	"context"

	"github.com/pkg/errors"
)

// Errors of the table and the object store. Compare with errors.Is.
var (
	// ErrConflict: a check of the transaction did not hold; nothing was
	// written.
	ErrConflict = errors.New("platform: conflict")
	// ErrUnavailable: the service did not take the call; nothing was written.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown: the call may or may not have taken effect. Read back before
	// anything depends on it.
	ErrUnknown = errors.New("platform: outcome unknown")
	// ErrNotFound: no such row or object.
	ErrNotFound = errors.New("platform: not found")
)

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision rises with each write to the table, see RevisionOf; it is never 0 for
	// a row that exists.
	Revision int64 `json:"revision"`
}

// Check is a condition of a transaction: the row has the revision; 0, or a
// revision with a counter of 0, means that there is no such row.
type Check struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

// Write sets a row, or removes it.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is applied whole if each check holds, and else not at all.
type Txn struct {
	Checks []Check `json:"checks,omitempty"`
	Writes []Write `json:"writes,omitempty"`
}

// Table is the transactional table service. Reads may be served from a stale
// copy; the checks of a transaction never are.
type Table interface {
	// Get returns a row, or ErrNotFound. With it, the row's revision has the era
	// in which there was none.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose key has the prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies the transaction and returns its revision. Its errors are
	// ErrConflict, ErrUnavailable and ErrUnknown.
	Commit(ctx context.Context, txn Txn) (int64, error)
}

// Objects is the object store. Objects are written once.
type Objects interface {
	// PutObject writes an object; writing the same name again replaces it.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object, or ErrNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// InstanceState is the platform's word on an instance.
type InstanceState string

// States of an instance.
const (
	// InstanceLive instances run.
	InstanceLive InstanceState = "live"
	// InstanceShuttingDown instances are about to be taken away.
	InstanceShuttingDown InstanceState = "leaving"
)

// InstanceKind tells what an instance runs.
type InstanceKind string

// Kinds of instance.
const (
	// KindOwn instances run sf-entry and sf-control.
	KindOwn InstanceKind = "own"
	// KindUpstream instances run an engine or a plain service.
	KindUpstream InstanceKind = "upstream"
)

// Instance is one line of the instance list.
type Instance struct {
	ID    string        `json:"id"`
	Kind  InstanceKind  `json:"kind"`
	Zone  string        `json:"zone"`
	State InstanceState `json:"state"`
	// Control is host:port of sf-control on an own instance.
	Control string `json:"control,omitempty"`
	// Entry is host:port of sf-entry on an own instance.
	Entry string `json:"entry,omitempty"`
}

// InstanceList is the lagging list of instances.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// WeightStore tells the limit on loading weights.
type WeightStore interface {
	// WeightRate returns the bytes a second that all loads share.
	WeightRate(ctx context.Context) (float64, error)
}

// Platform is all of it.
type Platform interface {
	Table
	Objects
	InstanceList
	WeightStore
}
