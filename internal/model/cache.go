package model

import (
	"container/list"

	"sassafrasfield/internal/placement"
)

// cache is an engine's memory of prompt parts, of which the one used longest ago
// yields first.
type cache struct {
	size, used int
	order      *list.List // of part; the newest first
	at         map[string]*list.Element
}

func newCache(size int) *cache {
	return &cache{size: size, order: list.New(), at: map[string]*list.Element{}}
}

// has counts the leading tokens of a prompt that are there, and marks them as used.
func (c *cache) has(p placement.Prompt) int {
	tokens := 0
	for _, part := range p.Parts {
		e, ok := c.at[part.ID]
		if !ok {
			break
		}
		c.order.MoveToFront(e)
		tokens += part.Tokens
	}
	return tokens
}

// put keeps a prompt's parts; room is what running requests leave.
func (c *cache) put(p placement.Prompt, room int) {
	for _, part := range p.Parts {
		if e, ok := c.at[part.ID]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.at[part.ID] = c.order.PushFront(part)
		c.used += part.Tokens
	}
	for c.used > room && c.order.Len() > 0 {
		last := c.order.Back()
		part := last.Value.(placement.Part)
		c.order.Remove(last)
		delete(c.at, part.ID)
		c.used -= part.Tokens
	}
}
