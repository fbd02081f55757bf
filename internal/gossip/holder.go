// Package gossip decides how configuration versions reach every instance: each
// sf-control process reads the head of the table now and then, tells a few
// peers of what it learns, and compares versions with a random peer. The
// decisions are pure (Machine, Leaving, Delta); Holder keeps the newest
// version. A version never falls.
package gossip

import (
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
)

// deltasKept bounds the deltas that a holder keeps for peers that are behind.
const deltasKept = 32

// keptDelta is an encoded Delta.
type keptDelta struct {
	base int64
	data []byte
}

// Holder holds the newest configuration that this process knows. A version
// never falls. It is safe for use by several goroutines.
type Holder struct {
	mu sync.Mutex // protects all below
	// doc is never changed once it is held.
	doc *config.Config
	// encoded is doc as JSON, made when it is first asked for; nil before.
	encoded []byte
	// deltas lead from older versions to doc without a gap, oldest first.
	deltas  []keptDelta
	changed chan struct{}
}

// NewHolder returns a holder that holds version 0.
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

// Update brings a peer to a version: by deltas, or by the whole document.
type Update struct {
	Version  int64
	Deltas   [][]byte
	Document []byte
	// Sum of the document that the deltas make.
	Sum uint64
}

// UpdateSince returns the update for a peer that holds a version.
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

// keepDelta keeps what changes with the next document. The mutex is held.
func (h *Holder) keepDelta(next *config.Config) {
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
	h.deltas = append(h.deltas, keptDelta{base: d.Base, data: data})
	if len(h.deltas) > deltasKept {
		h.deltas = h.deltas[1:]
	}
}

// SetIfNewer takes a configuration, from whichever source, and tells whether it was
// newer than the one held.
func (h *Holder) SetIfNewer(doc *config.Config) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if doc.Version <= h.doc.Version {
		return false
	}
	h.keepDelta(doc)
	h.doc, h.encoded = doc, nil
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when a newer version is learned.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
