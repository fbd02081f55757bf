// Package spread decides how configuration versions reach every instance: each
// sf-control process reads the head of the table now and then, tells a few
// peers of what it learns, and compares versions with a random peer. The
// decisions are pure (Machine, Leaving); Holder keeps the newest version. A
// version never falls.
package spread

import (
	"sync"

	"sassafrasfield/internal/config"
)

// Holder holds the newest configuration that this process knows. A version
// never falls. It is safe for use by several goroutines.
type Holder struct {
	mu sync.Mutex // protects all below
	// doc is never changed once it is held.
	doc *config.Config
	// encoded is doc as JSON, made when it is first asked for; nil before.
	encoded []byte
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
	if h.encoded == nil {
		h.encoded = h.doc.Encode()
	}
	return h.encoded
}

// Learn takes a configuration, from whichever source, and tells whether it was
// newer than the one held.
func (h *Holder) Learn(doc *config.Config) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if doc.Version <= h.doc.Version {
		return false
	}
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
