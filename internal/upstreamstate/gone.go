package upstreamstate

import "time"

const (
	// goneFor is for how long the word counts that an upstream could not be reached:
	// a crashed one loses its entry within about four seconds, and is told of anew
	// by whoever tries it.
	goneFor = 1500 * time.Millisecond
	// movedFor is for how long an upstream is left out whose address another one has:
	// its entry may be there still for as long as the platform's store is away, and
	// whoever tries it then tells anew.
	movedFor = 15 * time.Second
)

// suspectShare is the part of the upstreams beyond which an instance that cannot
// reach them doubts its own network, and tells of none.
const suspectShare = 3

// untilTable has upstreams by their hashes, each with the end of a word's time.
type untilTable map[uint32]time.Duration

// names tells whether a word on an upstream counts.
func (t untilTable) names(hash uint32, now time.Duration) bool { return now < t[hash] }

// list has those whose word still counts, and drops the others.
func (t untilTable) list(now time.Duration) []uint32 {
	var list []uint32
	for hash, until := range t {
		if now >= until {
			delete(t, hash)
			continue
		}
		list = append(list, hash)
	}
	return list
}

// words are what the instances told of upstreams, by who told it.
type words struct {
	// heard are those of other instances; here are this one's, beside those of its
	// zone with this one's, and beyond those of other zones.
	heard, here, beside, beyond untilTable
}

func newWords() words {
	return words{heard: untilTable{}, here: untilTable{}, beside: untilTable{}, beyond: untilTable{}}
}

// tell takes this instance's own word.
func (w *words) tell(hash uint32, until time.Duration) {
	w.here[hash], w.beside[hash] = until, until
}

// hear takes another instance's word.
func (w *words) hear(hash uint32, until time.Duration, beside bool) {
	w.heard[hash] = until
	if beside {
		w.beside[hash] = until
	} else {
		w.beyond[hash] = until
	}
}

// forget drops the words on an upstream.
func (w *words) forget(hash uint32) {
	for _, t := range []untilTable{w.heard, w.here, w.beside, w.beyond} {
		delete(t, hash)
	}
}

// UnavailableUpstream is an upstream that takes no requests for a time, whatever was heard from it:
// it carries an order out, or another one has its address.
type UnavailableUpstream struct {
	// Upstream is a hash of its incarnation.
	Upstream uint32
	For      time.Duration
}

// awayList is what a table of upstreams that take no requests has to tell.
func awayList(t untilTable, now time.Duration) []UnavailableUpstream {
	var list []UnavailableUpstream
	for _, hash := range t.list(now) {
		list = append(list, UnavailableUpstream{Upstream: hash, For: t[hash] - now})
	}
	return list
}

// goneList is what a table of upstreams that could not be reached has to tell;
// nothing when they are too many to be believed. The lock is held.
func (p *State) goneList(t untilTable, now time.Duration) []uint32 {
	list := t.list(now)
	if len(list) > len(p.nodes)/suspectShare {
		return nil
	}
	return list
}

// noteGone records that an upstream could not be reached from here. The lock is
// held.
func (p *State) noteGone(id string, now time.Duration) {
	p.gone.tell(p.hash(id), now+goneFor)
	p.settings.OnChange()
}

// sendAway records that an upstream takes no requests for a time. The lock is held.
func (p *State) sendAway(id string, until time.Duration) {
	p.away.tell(p.hash(id), until)
	p.settings.OnChange()
}

// hearWords takes what another instance, or other zones, told of upstreams that do not
// answer or take no requests. The lock is held.
func (p *State) hearWords(report Report, beside bool, now time.Duration) {
	for _, hash := range report.Unreachable {
		p.gone.hear(hash, now+goneFor, beside)
	}
	for _, a := range report.Unavailable {
		p.away.hear(a.Upstream, now+a.For, beside)
	}
}

// takesNone tells whether an upstream should be left out: it takes no requests for a
// time, or another instance could not reach it lately and this one has not heard from
// it since about then. The lock is held.
func (p *State) takesNone(n *node, now time.Duration) bool {
	if p.away.here.names(n.hash, now) || p.away.heard.names(n.hash, now) {
		return true
	}
	if !p.gone.heard.names(n.hash, now) {
		return false
	}
	return !n.work.heard || now-n.work.heardAt > goneFor/2
}
