package picture

import "time"

// goneFor is for how long the word counts that an upstream could not be reached:
// a crashed one loses its entry within about four seconds, and is told of anew
// by whoever tries it.
const goneFor = 1500 * time.Millisecond

// suspectShare is the part of the upstreams beyond which an instance that cannot
// reach them doubts its own network, and tells of none.
const suspectShare = 3

// noteGone records that an upstream could not be reached from here. The lock is
// held.
func (p *Picture) noteGone(id string, now time.Duration) {
	p.tellGone(id, now+goneFor)
}

// tellGone has the reports name an upstream as gone for a time. The lock is held.
func (p *Picture) tellGone(id string, until time.Duration) {
	p.goneHere[hashOf(id)] = until
	p.goneBeside[hashOf(id)] = until
}

// away records that an upstream takes no requests for a time, whatever was heard
// from it. The lock is held.
func (p *Picture) away(id string, until time.Duration) {
	p.awayHere[hashOf(id)] = until
	p.tellGone(id, until)
}

// goneNow lists those of a table whose word still counts, and drops the others;
// none when they are too many to be believed. The lock is held.
func (p *Picture) goneNow(table map[uint32]time.Duration, now time.Duration) []uint32 {
	var list []uint32
	for hash, until := range table {
		if now >= until {
			delete(table, hash)
			continue
		}
		list = append(list, hash)
	}
	if len(list) > len(p.upstreams)/suspectShare {
		return nil
	}
	return list
}

// toldGone tells whether another instance could not reach an upstream lately,
// and this one has not heard from it since about then. The lock is held.
func (p *Picture) toldGone(id string, now time.Duration) bool {
	if now < p.awayHere[hashOf(id)] {
		return true
	}
	if now >= p.gone[hashOf(id)] {
		return false
	}
	w, ok := p.work[id]
	return !ok || now-w.heardAt > goneFor/2
}
