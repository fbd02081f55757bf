package testservers

import (
	"container/list"

	"sassafrasfield/internal/engine"
)

// eventsKept bounds the cache events that can still be read.
const eventsKept = 8192

// prefixCache remembers which blocks of prompts were processed; the least
// recently used one is dropped first.
type prefixCache struct {
	capacity int
	blocks   map[uint64]*list.Element
	used     *list.List // of uint64, the most recently used first
	events   []engine.CacheEvent
	seq      int64
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: map[uint64]*list.Element{}, used: list.New()}
}

// hit returns how many tokens of the prompt are cached.
func (c *prefixCache) hit(hashes []uint64, blockTokens int) int {
	for i, block := range hashes {
		element, ok := c.blocks[block]
		if !ok {
			return i * blockTokens
		}
		c.used.MoveToFront(element)
	}
	return len(hashes) * blockTokens
}

// store caches the blocks of a prompt that was processed.
func (c *prefixCache) store(hashes []uint64) {
	for _, block := range hashes {
		if element, ok := c.blocks[block]; ok {
			c.used.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.used.PushFront(block)
		c.event(block, true)
		if c.used.Len() > c.capacity {
			oldest := c.used.Remove(c.used.Back()).(uint64)
			delete(c.blocks, oldest)
			c.event(oldest, false)
		}
	}
}

func (c *prefixCache) event(block uint64, stored bool) {
	c.seq++
	c.events = append(c.events, engine.CacheEvent{Seq: c.seq, Block: block, Stored: stored})
	if len(c.events) > 2*eventsKept {
		c.events = append([]engine.CacheEvent(nil), c.events[eventsKept:]...)
	}
}

// since returns the events after a sequence number; gaps leaves each third
// out.
func (c *prefixCache) since(after int64, gaps bool) []engine.CacheEvent {
	events := []engine.CacheEvent{}
	if len(c.events) == 0 {
		return events
	}
	for _, event := range c.events[max(0, min(after-c.events[0].Seq+1, int64(len(c.events)))):] {
		if gaps && event.Seq%3 == 0 {
			continue
		}
		events = append(events, event)
	}
	return events
}
