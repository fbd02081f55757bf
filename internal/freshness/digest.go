package freshness

import "time"

// Digest is what a daemon tells a peer that asked.
type Digest struct {
	// Version that the daemon holds.
	Version int64
	// HeadSeen and SeenAge tell of the newest known read of the head: no version
	// above Version had been accepted then.
	HeadSeen bool
	HeadAge  time.Duration
	// Promised and PromisedAge tell of the highest prepared version.
	Promised    int64
	PromisedAge time.Duration
	// Voter tells whether the daemon counts in a majority.
	Voter bool
	// Contacts are the other listed instances that the daemon knows answers of.
	Contacts map[string]Contact
}

// Contact is the newest known answer of an instance.
type Contact struct {
	Age   time.Duration
	Voter bool
}

// Digest returns what to tell a peer now.
func (s *State) Digest(now time.Duration, withContacts bool) Digest {
	d := Digest{
		Version: s.held, HeadSeen: s.seen, HeadAge: now - s.seenAt,
		Promised: s.promised, PromisedAge: now - s.promisedAt, Voter: s.Voter(),
	}
	if !withContacts || s.heard > s.held {
		return d
	}
	d.Contacts = map[string]Contact{}
	for id, c := range s.contacts {
		d.Contacts[id] = Contact{Age: now - c.at, Voter: c.voter}
	}
	return d
}

// MergeAnswer takes a peer's answer to a question that was sent at a time. A peer
// that holds a newer version proves nothing until that is held here too.
func (s *State) MergeAnswer(sent, now time.Duration, peer string, d Digest) {
	s.NoteVersion(d.Version)
	if d.Promised > 0 {
		s.promise(d.Promised, now-d.PromisedAge)
	}
	if d.HeadSeen {
		s.headWas(d.Version, sent-d.HeadAge)
	}
	s.met(peer, contact{at: sent, voter: d.Voter})
	for id, c := range d.Contacts {
		s.met(id, contact{at: sent - c.Age, voter: c.Voter})
	}
}

func (s *State) met(id string, c contact) {
	if id == s.self || !s.lists(id) {
		return
	}
	if known, ok := s.contacts[id]; !ok || c.at > known.at {
		s.contacts[id] = c
	}
}

func (s *State) lists(id string) bool {
	for _, member := range s.members {
		if member == id {
			return true
		}
	}
	return false
}
