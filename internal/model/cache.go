package model

import (
	"container/list"

	"sassafrasfield/internal/placement"
)

// promptCache is the prefix cache of an engine. It holds prompt parts and evicts the least recently
// used ones.
type promptCache struct {
	size, used int
	lru        *list.List // of placement.Part, most recently used first
	byID       map[string]*list.Element
}

func newPromptCache(size int) *promptCache {
	return &promptCache{size: size, lru: list.New(), byID: map[string]*list.Element{}}
}

// cachedTokens returns the number of leading tokens of a prompt that are cached, and marks their parts
// as used.
func (c *promptCache) cachedTokens(p placement.Prompt) int {
	tokens := 0
	for _, part := range p.Parts {
		e, ok := c.byID[part.ID]
		if !ok {
			break
		}
		c.lru.MoveToFront(e)
		tokens += part.Tokens
	}
	return tokens
}

// insert adds a prompt's parts, then evicts parts until the cache fits into room, the tokens that running
// requests leave free.
func (c *promptCache) insert(p placement.Prompt, room int) {
	for _, part := range p.Parts {
		if e, ok := c.byID[part.ID]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.byID[part.ID] = c.lru.PushFront(part)
		c.used += part.Tokens
	}
	for c.used > room && c.lru.Len() > 0 {
		last := c.lru.Back()
		part := last.Value.(placement.Part)
		c.lru.Remove(last)
		delete(c.byID, part.ID)
		c.used -= part.Tokens
	}
}
