package freshness

import "time"

// Digest is the answer of a daemon to a query of a peer.
type Digest struct {
	// Version is the version that the daemon holds.
	Version int64
	// HeadSeen is whether the head is known to have been read, and HeadAge the age
	// of the newest known read. No version above Version had been accepted then.
	HeadSeen bool
	HeadAge  time.Duration
	// Promised is the highest prepared version, and PromisedAge the age of its
	// Prepare.
	Promised    int64
	PromisedAge time.Duration
	// Voter is whether the daemon counts towards a majority.
	Voter bool
	// Contacts are the newest known answers of the other listed instances.
	Contacts map[string]Contact
}

// Contact is the newest known answer of an instance.
type Contact struct {
	Age   time.Duration
	Voter bool
}

// Digest returns the answer to a query of a peer now.
func (s *State) Digest(now time.Duration, withContacts bool) Digest {
	d := Digest{
		Version: s.held, HeadSeen: s.headSeen, HeadAge: now - s.headSeenAt,
		Promised: s.promised, PromisedAge: now - s.promisedAt, Voter: s.Voter(),
	}
	if !withContacts || s.highest > s.held {
		return d
	}
	d.Contacts = map[string]Contact{}
	for id, c := range s.contacts {
		d.Contacts[id] = Contact{Age: now - c.at, Voter: c.voter}
	}
	return d
}

// MergeAnswer merges a peer's answer to a query that was sent at a time. If the peer
// holds a newer version, its answer is no evidence until that version is held here too.
func (s *State) MergeAnswer(sent, now time.Duration, peer string, d Digest) {
	s.NoteVersion(d.Version)
	if d.Promised > 0 {
		s.promise(d.Promised, now-d.PromisedAge)
	}
	if d.HeadSeen {
		s.noteHead(d.Version, sent-d.HeadAge)
	}
	s.mergeContact(peer, contact{at: sent, voter: d.Voter})
	for id, c := range d.Contacts {
		s.mergeContact(id, contact{at: sent - c.Age, voter: c.Voter})
	}
}

func (s *State) mergeContact(id string, c contact) {
	if id == s.self || !s.isMember(id) {
		return
	}
	if known, ok := s.contacts[id]; !ok || c.at > known.at {
		s.contacts[id] = c
	}
}

func (s *State) isMember(id string) bool {
	for _, member := range s.members {
		if member == id {
			return true
		}
	}
	return false
}
