package testservers

import (
	"container/list"

	"sassafrasfield/internal/engine"
)

// maxEvents is the least number of recent cache events that stay readable.
const maxEvents = 8192

// prefixCache is an LRU cache of the prompt blocks that were processed.
type prefixCache struct {
	capacity int
	blocks   map[uint64]*list.Element
	recency  *list.List // of uint64 block hashes, most recently used first
	events   []engine.CacheEvent
	seq      int64
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: map[uint64]*list.Element{}, recency: list.New()}
}

// hit returns the number of leading prompt tokens that are cached, and marks their blocks as used.
func (c *prefixCache) hit(hashes []uint64, blockTokens int) int {
	for i, block := range hashes {
		element, ok := c.blocks[block]
		if !ok {
			return i * blockTokens
		}
		c.recency.MoveToFront(element)
	}
	return len(hashes) * blockTokens
}

// store adds the blocks of a processed prompt, evicts the least recently used blocks above the
// capacity, and records an event for each change.
func (c *prefixCache) store(hashes []uint64) {
	for _, block := range hashes {
		if element, ok := c.blocks[block]; ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.recency.PushFront(block)
		c.addEvent(block, true)
		if c.recency.Len() > c.capacity {
			oldest := c.recency.Remove(c.recency.Back()).(uint64)
			delete(c.blocks, oldest)
			c.addEvent(oldest, false)
		}
	}
}

func (c *prefixCache) addEvent(block uint64, stored bool) {
	c.seq++
	c.events = append(c.events, engine.CacheEvent{Seq: c.seq, Block: block, Stored: stored})
	if len(c.events) > 2*maxEvents {
		c.events = append([]engine.CacheEvent(nil), c.events[maxEvents:]...)
	}
}

// since returns the events after a sequence number. With gaps, every third event is left out.
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
