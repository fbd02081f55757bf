package standin

import (
	"github.com/cespare/xxhash/v2"

	"sassafrasfield/internal/engine"
)

// eventsKept bounds the cache events that can still be read.
const eventsKept = 4096

// prefixCache remembers which blocks of prompts were processed, the oldest
// dropped first.
type prefixCache struct {
	capacity int
	blocks   map[uint64]bool
	order    []uint64
	events   []engine.CacheEvent
	seq      int64
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: map[uint64]bool{}}
}

// BlockHashes returns the chained hashes of a prompt's whole blocks.
func BlockHashes(prompt string, blockTokens int) []uint64 {
	size := blockTokens * charsPerToken
	var hashes []uint64
	for end := size; end <= len(prompt); end += size {
		hashes = append(hashes, xxhash.Sum64String(prompt[:end]))
	}
	return hashes
}

// use returns how many tokens of the prompt are cached, and caches the rest.
func (c *prefixCache) use(prompt string, blockTokens int) int {
	hit := 0
	missed := false
	for _, block := range BlockHashes(prompt, blockTokens) {
		if c.blocks[block] && !missed {
			hit += blockTokens
			continue
		}
		missed = true
		c.store(block)
	}
	return hit
}

func (c *prefixCache) store(block uint64) {
	if c.blocks[block] {
		return
	}
	c.blocks[block] = true
	c.order = append(c.order, block)
	c.event(block, true)
	if len(c.order) > c.capacity {
		oldest := c.order[0]
		c.order = c.order[1:]
		delete(c.blocks, oldest)
		c.event(oldest, false)
	}
}

func (c *prefixCache) event(block uint64, stored bool) {
	c.seq++
	c.events = append(c.events, engine.CacheEvent{Seq: c.seq, Block: block, Stored: stored})
	if len(c.events) > eventsKept {
		c.events = c.events[1:]
	}
}

// since returns the events after a sequence number; gaps leaves each third
// out.
func (c *prefixCache) since(after int64, gaps bool) []engine.CacheEvent {
	events := []engine.CacheEvent{}
	for _, event := range c.events {
		if event.Seq <= after || (gaps && event.Seq%3 == 0) {
			continue
		}
		events = append(events, event)
	}
	return events
}
