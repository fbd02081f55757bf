// Package gossip decides how configuration versions reach every instance. Each
// sf-control process periodically reads the head of the table, offers each new
// version to a few peers, and compares versions with a random peer. Machine,
// DrainingSet and Delta do no I/O: their inputs are the time and the answers of
// the table and of peers, and their outputs are the actions that the daemon
// carries out, the set of draining upstreams, and changes between versions.
// Holder keeps the newest version. The version held never decreases.
package gossip

import (
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
)

// maxDeltas bounds the deltas that a holder keeps for peers with an older version.
const maxDeltas = 32

// encodedDelta is an encoded Delta.
type encodedDelta struct {
	base int64
	data []byte
}

// Holder holds the newest configuration that this process knows. The version held
// never decreases. A Holder is safe for concurrent use.
type Holder struct {
	mu sync.Mutex // protects all below
	// doc is never changed once it is held.
	doc *config.Config
	// encoded is doc as JSON; nil until it is first needed.
	encoded []byte
	// deltas lead from older versions to doc without a gap, oldest first.
	deltas []encodedDelta
	// changed is closed and replaced with each new version.
	changed chan struct{}
}

// NewHolder returns a holder of version 0.
func NewHolder() *Holder {
	return &Holder{doc: &config.Config{}, changed: make(chan struct{})}
}

// Current returns the newest configuration. Treat it as read-only.
func (h *Holder) Current() *config.Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.doc
}

// Encoded returns the newest configuration as JSON. Treat it as read-only.
func (h *Holder) Encoded() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.encode()
}

func (h *Holder) encode() []byte {
	if h.encoded == nil {
		h.encoded = h.doc.Encode()
	}
	return h.encoded
}

// Update is what a peer needs to reach a version: either deltas or the whole
// document.
type Update struct {
	Version  int64
	Deltas   [][]byte
	Document []byte
	// Sum is the checksum of the resulting document.
	Sum uint64
}

// UpdateSince returns the update for a peer that holds the given version.
func (h *Holder) UpdateSince(version int64) Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	update := Update{Version: h.doc.Version, Sum: Sum(h.encode())}
	for _, d := range h.deltas {
		if d.base == version || len(update.Deltas) > 0 {
			update.Deltas = append(update.Deltas, d.data)
		}
	}
	if len(update.Deltas) == 0 {
		update.Document = h.encode()
	}
	return update
}

// appendDelta adds the delta to the next document. If a delta can't express the
// change, it drops all deltas. The caller holds the mutex.
func (h *Holder) appendDelta(next *config.Config) {
	if h.doc.Version == 0 {
		return
	}
	d, ok := Diff(h.doc, next)
	if !ok {
		h.deltas = nil
		return
	}
	data, err := json.Marshal(d)
	if err != nil {
		panic(errors.Wrap(err, "spread: delta")) // plain data always marshals
	}
	h.deltas = append(h.deltas, encodedDelta{base: d.Base, data: data})
	if len(h.deltas) > maxDeltas {
		h.deltas = h.deltas[1:]
	}
}

// SetIfNewer replaces the configuration if doc is newer than the one held, and
// reports whether it was. The source of doc does not matter.
func (h *Holder) SetIfNewer(doc *config.Config) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if doc.Version <= h.doc.Version {
		return false
	}
	h.appendDelta(doc)
	h.doc, h.encoded = doc, nil
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when a newer version is set.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
