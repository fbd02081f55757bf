package picture

import "time"

// goneFor is for how long the word counts that an upstream could not be reached:
// a crashed one loses its entry within about four seconds, and is told of anew
// by whoever tries it.
const goneFor = 1500 * time.Millisecond

// suspectShare is the part of the upstreams beyond which an instance that cannot
// reach them doubts its own network, and tells of none.
const suspectShare = 3

// goneTable has upstreams that could not be reached, by their hashes, with the end
// of that word's time.
type goneTable map[uint32]time.Duration

// note takes a word on upstreams.
func (t goneTable) note(hashes []uint32, until time.Duration) {
	for _, hash := range hashes {
		t[hash] = until
	}
}

// list has those whose word still counts, and drops the others; none when there are
// more than so many, too many to be believed.
func (t goneTable) list(now time.Duration, atMost int) []uint32 {
	var list []uint32
	for hash, until := range t {
		if now >= until {
			delete(t, hash)
			continue
		}
		list = append(list, hash)
	}
	if len(list) > atMost {
		return nil
	}
	return list
}

// mostGone is how many gone upstreams are believed. The lock is held.
func (p *Picture) mostGone() int { return len(p.nodes) / suspectShare }

// noteGone records that an upstream could not be reached from here. The lock is
// held.
func (p *Picture) noteGone(id string, now time.Duration) {
	p.tellGone(id, now+goneFor)
}

// tellGone has the reports name an upstream as gone for a time. The lock is held.
func (p *Picture) tellGone(id string, until time.Duration) {
	p.goneHere[hashOf(id)] = until
	p.goneBeside[hashOf(id)] = until
	p.settings.Changed()
}

// away records that an upstream takes no requests for a time, whatever was heard
// from it. The lock is held.
func (p *Picture) away(id string, until time.Duration) {
	p.awayHere[hashOf(id)] = until
	p.tellGone(id, until)
}

// toldGone tells whether another instance could not reach an upstream lately,
// and this one has not heard from it since about then. The lock is held.
func (p *Picture) toldGone(n *node, now time.Duration) bool {
	if now < p.awayHere[n.hash] {
		return true
	}
	if now >= p.gone[n.hash] {
		return false
	}
	return !n.work.heard || now-n.work.heardAt > goneFor/2
}
