package gossip

import "time"

// DrainingSet knows which upstreams are leaving by the platform's word, from the
// instance list or from peers. It is pure, and not safe for use by several
// goroutines.
type DrainingSet struct {
	// listLag is how old the instance list may be: a list without the word
	// takes it back only when it was read that long after the word.
	listLag time.Duration
	// listed is when the last list that answered was asked for.
	listed time.Duration
	said   map[string]time.Duration
}

// NewDrainingSet returns a set without any upstream.
func NewDrainingSet(listLag time.Duration) *DrainingSet {
	return &DrainingSet{listLag: listLag, said: map[string]time.Duration{}}
}

// MergeList takes the ids that the instance list calls leaving; the list was
// asked for at a time.
func (l *DrainingSet) MergeList(at time.Duration, ids []string) {
	l.listed = at
	for id, said := range l.said {
		if l.overruled(said) {
			delete(l.said, id)
		}
	}
	for _, id := range ids {
		l.Merge(id, at)
	}
}

// Merge takes the platform's word from a peer: said at a time, or later.
func (l *DrainingSet) Merge(id string, at time.Duration) {
	if l.overruled(at) {
		return
	}
	if said, ok := l.said[id]; !ok || at > said {
		l.said[id] = at
	}
}

// overruled tells whether the last list is newer than a word that it lacks.
func (l *DrainingSet) overruled(said time.Duration) bool {
	return l.listed >= said+l.listLag
}

// Ages returns the time since the platform's last word for each upstream that
// is leaving.
func (l *DrainingSet) Ages(now time.Duration) map[string]time.Duration {
	ages := make(map[string]time.Duration, len(l.said))
	for id, said := range l.said {
		ages[id] = now - said
	}
	return ages
}
