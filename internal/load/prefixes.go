package load

import "sassafrasfield/internal/engine"

// maxPrefixBlocks bounds the number of blocks tracked for one engine. It is the number of memory blocks of an
// engine, which the brief states as about four thousand.
const maxPrefixBlocks = 4096

// Prefixes are the prompt blocks that an engine is estimated to have cached. They are a hint: they come from
// cache events, which are late and have gaps, and from the instance's own placements. The zero value is
// empty.
type Prefixes struct {
	boot string
	seq  int64
	// blocks maps a block to the age counter at its latest addition.
	blocks map[uint64]uint64
	age    uint64
	// order lists the additions from oldest to newest, including outdated ones; add bounds its length.
	order []blockAge
}

type blockAge struct {
	block uint64
	age   uint64
}

// LastSeq returns the sequence number of the last applied event, after which to request further events.
func (p *Prefixes) LastSeq() int64 { return p.seq }

// Len counts the blocks that are assumed cached.
func (p *Prefixes) Len() int { return len(p.blocks) }

// Apply applies a batch of events. A new boot or a gap in the sequence discards all blocks: a missing event
// may have been the eviction of any block.
func (p *Prefixes) Apply(batch engine.CacheEvents) {
	if batch.Boot != p.boot {
		*p = Prefixes{boot: batch.Boot}
	}
	for _, event := range batch.Events {
		if event.Seq <= p.seq {
			continue
		}
		if event.Seq != p.seq+1 && p.seq != 0 {
			p.clear()
		}
		p.seq = event.Seq
		if event.Stored {
			p.add(event.Block)
		} else {
			delete(p.blocks, event.Block)
		}
	}
}

// AssumeCached adds the blocks of a prompt that was just placed on the engine.
func (p *Prefixes) AssumeCached(blocks []uint64) {
	for _, block := range blocks {
		p.add(block)
	}
}

// Cached returns how many leading blocks are assumed cached.
func (p *Prefixes) Cached(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := p.blocks[block]; !ok {
			return i
		}
	}
	return len(blocks)
}

func (p *Prefixes) clear() {
	p.blocks, p.order = nil, nil
}

// add adds a block and discards the oldest blocks beyond the bounds.
func (p *Prefixes) add(block uint64) {
	if p.blocks == nil {
		p.blocks = map[uint64]uint64{}
	}
	p.age++
	p.blocks[block] = p.age
	p.order = append(p.order, blockAge{block: block, age: p.age})
	for len(p.blocks) > maxPrefixBlocks || len(p.order) > 2*maxPrefixBlocks {
		oldest := p.order[0]
		p.order = p.order[1:]
		if p.blocks[oldest.block] == oldest.age {
			delete(p.blocks, oldest.block)
		}
	}
}
