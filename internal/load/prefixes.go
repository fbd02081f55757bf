package load

import "sassafrasfield/internal/engine"

// prefixesKept bounds the blocks believed cached at one engine: as many as an
// engine has pieces of memory (about four thousand, by the brief).
const prefixesKept = 4096

// Prefixes are the prompt blocks that an engine is believed to have cached: a
// hint, fed by cache events that are late and have gaps, and by the entry's
// own placements. The zero value believes nothing.
type Prefixes struct {
	boot string
	seq  int64
	// blocks maps a believed block to the age of the belief.
	blocks map[uint64]uint64
	age    uint64
	// order holds beliefs by age, stale ones included; it is cut when long.
	order []belief
}

type belief struct {
	block uint64
	age   uint64
}

// LastSeq is the sequence number to ask for events after.
func (p *Prefixes) LastSeq() int64 { return p.seq }

// Len counts the blocks believed cached.
func (p *Prefixes) Len() int { return len(p.blocks) }

// Apply takes a batch of events. A change of boot, or a gap in the sequence,
// drops what was believed: an event that did not come may have been the drop
// of any block.
func (p *Prefixes) Apply(batch engine.CacheEvents) {
	if batch.Boot != p.boot {
		*p = Prefixes{boot: batch.Boot}
	}
	for _, event := range batch.Events {
		if event.Seq <= p.seq {
			continue
		}
		if event.Seq != p.seq+1 && p.seq != 0 {
			p.forget()
		}
		p.seq = event.Seq
		if event.Stored {
			p.believe(event.Block)
		} else {
			delete(p.blocks, event.Block)
		}
	}
}

// AssumeCached believes the blocks of a prompt that was just placed on the engine.
func (p *Prefixes) AssumeCached(blocks []uint64) {
	for _, block := range blocks {
		p.believe(block)
	}
}

// Cached returns how many leading blocks are believed cached.
func (p *Prefixes) Cached(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := p.blocks[block]; !ok {
			return i
		}
	}
	return len(blocks)
}

func (p *Prefixes) forget() {
	p.blocks, p.order = nil, nil
}

func (p *Prefixes) believe(block uint64) {
	if p.blocks == nil {
		p.blocks = map[uint64]uint64{}
	}
	p.age++
	p.blocks[block] = p.age
	p.order = append(p.order, belief{block: block, age: p.age})
	for len(p.blocks) > prefixesKept || len(p.order) > 2*prefixesKept {
		oldest := p.order[0]
		p.order = p.order[1:]
		if p.blocks[oldest.block] == oldest.age {
			delete(p.blocks, oldest.block)
		}
	}
}
