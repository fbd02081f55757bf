// Package platform defines the interfaces to the platform's services: a
// transactional table, an object store, an instance list that lags behind, and
// a rate-limited weight store. The rest of the system depends on these
// interfaces only. Client implements them over HTTP.
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
	// ErrUnavailable: the service did not accept the call; nothing was written.
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
	// Revision rises with each write to the table, see RevisionOf. It is never 0
	// for a row that exists.
	Revision int64 `json:"revision"`
}

// Check is a condition of a transaction: the row must have the revision. A
// revision of 0, or one whose counter is 0, requires that the row does not exist.
type Check struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction. All its writes are applied if every check holds;
// otherwise none is.
type Txn struct {
	Checks []Check `json:"checks,omitempty"`
	Writes []Write `json:"writes,omitempty"`
}

// Table is the transactional table service. Reads may be served from a stale
// copy; the checks of a transaction never are.
type Table interface {
	// Get returns a row, or ErrNotFound. With ErrNotFound, the restore generation
	// of the returned row's revision is the one in which the row did not exist.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose key has the prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies the transaction and returns its revision. Its errors are
	// ErrConflict, ErrUnavailable and ErrUnknown.
	Commit(ctx context.Context, txn Txn) (int64, error)
}

// Objects is the object store. Callers write each object only once.
type Objects interface {
	// PutObject writes an object. Writing the same name again replaces it.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object, or ErrNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// InstanceState is the state of an instance as the platform reports it.
type InstanceState string

// States of an instance.
const (
	// InstanceLive instances are running.
	InstanceLive InstanceState = "live"
	// InstanceShuttingDown instances are about to be removed by the platform.
	InstanceShuttingDown InstanceState = "leaving"
)

// InstanceKind is the kind of process that an instance runs.
type InstanceKind string

// Kinds of instance.
const (
	// KindOwn instances run sf-entry and sf-control.
	KindOwn InstanceKind = "own"
	// KindUpstream instances run an engine or a plain service.
	KindUpstream InstanceKind = "upstream"
)

// Instance is one entry of the instance list.
type Instance struct {
	ID    string        `json:"id"`
	Kind  InstanceKind  `json:"kind"`
	Zone  string        `json:"zone"`
	State InstanceState `json:"state"`
	// Control is the host:port of sf-control; set if Kind is KindOwn.
	Control string `json:"control,omitempty"`
	// Entry is the host:port of sf-entry; set if Kind is KindOwn.
	Entry string `json:"entry,omitempty"`
}

// InstanceList lists the platform's instances. The list lags behind the real
// state.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// WeightStore reports the rate limit on loading model weights.
type WeightStore interface {
	// WeightRate returns the limit in bytes per second that all loads share.
	WeightRate(ctx context.Context) (float64, error)
}

// Platform combines all services of the platform.
type Platform interface {
	Table
	Objects
	InstanceList
	WeightStore
}
