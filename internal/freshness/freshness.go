// Package freshness decides whether a daemon may take its configuration for
// the newest one. It is pure: callers pass the time of their own monotonic
// clock, and no clock of another process is compared with it.
//
// A daemon is fresh when one of these holds, within the last FreshFor:
//
//   - Table: it read the table's head, or a peer answered that it had, or that
//     a peer of that peer had, and so on.
//   - Majority: it knows of answers of a majority of the listed own instances,
//     directly or through peers, and none of them heard that a newer version
//     was being accepted. A version is accepted only after a majority has
//     answered a Prepare, so one instance would have told.
//   - All: it knows of answers of every listed own instance. Then nobody holds
//     a newer version, even if one that was being accepted reached the table.
//
// An instance counts for the last two only when it has known of the table for
// long enough since its start to remember each Prepare that matters.
//
// Ages are taken from answers alone, and counted from when the question was
// sent: a message that lay in a buffer can't make anything look newer.
package freshness

import (
	"fmt"
	"slices"
	"time"
)

// Settings of the decision.
type Settings struct {
	// FreshFor is how long evidence is good for: no daemon serves a version
	// longer than that after the next one was accepted.
	FreshFor time.Duration
	// AcceptWithin bounds the time from a Prepare to the end of the write that
	// it is for.
	AcceptWithin time.Duration
	// ReadLag is how old the platform's answer to a read may be; it counts into
	// the age of each read.
	ReadLag time.Duration
}

// contact is what is known of one instance.
type contact struct {
	at    time.Duration // it answered then, or later
	voter bool
}

// State is what one daemon knows. It is not safe for use by several
// goroutines.
type State struct {
	settings Settings
	self     string
	started  time.Duration

	members []string // listed own instances, sorted
	held    int64
	// heard is the highest version that is known to exist.
	heard int64
	// seen tells whether the head was ever read; at seenAt, no version above
	// held had been accepted.
	seen   bool
	seenAt time.Duration
	// ahead is a version above held that the head had at aheadAt.
	ahead   int64
	aheadAt time.Duration
	// promised is the highest version that was prepared; the last Prepare was
	// sent at promisedAt at the latest.
	promised   int64
	promisedAt time.Duration
	contacts   map[string]contact
}

// New returns the state of a daemon that starts now and knows nothing.
func New(self string, settings Settings, now time.Duration) *State {
	return &State{settings: settings, self: self, started: now, contacts: map[string]contact{}}
}

// SetMembers takes the ids of the own instances that the platform lists.
func (s *State) SetMembers(ids []string) {
	s.members = slices.Clone(ids)
	slices.Sort(s.members)
	for id := range s.contacts {
		if !slices.Contains(s.members, id) {
			delete(s.contacts, id)
		}
	}
}

// Members returns the listed own instances in order. Treat it as read-only.
func (s *State) Members() []string { return s.members }

// SetHeld tells the version that the daemon holds now. It never falls.
func (s *State) SetHeld(version int64) {
	s.held = max(s.held, version)
	s.NoteVersion(version)
	if s.ahead > 0 && s.held >= s.ahead {
		s.see(s.aheadAt)
		s.ahead = 0
	}
}

// NoteVersion tells of a version that exists, from whichever source.
func (s *State) NoteVersion(version int64) {
	s.heard = max(s.heard, version)
}

// HeadRead takes a read of the head that was sent at a time. A read of a
// version above the one held counts once that is held; one below it is stale.
func (s *State) HeadRead(sent time.Duration, head int64) {
	s.NoteVersion(head)
	if head >= s.held {
		s.headWas(head, sent-s.settings.ReadLag)
	}
}

// headWas takes that no version above one had been accepted at a time.
func (s *State) headWas(version int64, at time.Duration) {
	if version <= s.held {
		s.see(at)
		return
	}
	if version >= s.ahead {
		s.ahead, s.aheadAt = version, at
	}
}

func (s *State) see(at time.Duration) {
	if !s.seen || at > s.seenAt {
		s.seenAt = at
	}
	s.seen = true
}

// Prepare takes the word that a version is about to be accepted.
func (s *State) Prepare(now time.Duration, version int64) {
	s.promise(version, now)
}

func (s *State) promise(version int64, at time.Duration) {
	if version < s.promised {
		return
	}
	s.promised = version
	s.promisedAt = max(s.promisedAt, at)
}

// Voter tells whether this daemon remembers each Prepare whose write can still
// take effect, those that a former run of it answered included.
func (s *State) Voter() bool {
	return s.seen && s.seenAt >= s.started+s.settings.AcceptWithin
}

// open tells whether a prepared version above the one held may have been
// accepted.
func (s *State) open() bool {
	if s.promised <= s.held {
		return false
	}
	settled := s.seen && s.seenAt >= s.promisedAt+s.settings.AcceptWithin
	return !settled
}

// Status is the decision.
type Status struct {
	Fresh bool
	// Until is when the evidence ends.
	Until time.Duration
	// Rule names the rule that Until follows from: "table", "majority" or "all".
	Rule string
	// Reason says why it is not fresh.
	Reason string
}

// Status decides.
func (s *State) Status(now time.Duration) Status {
	if s.held == 0 {
		return Status{Reason: "no configuration known yet"}
	}
	best := Status{Until: s.seenAt + s.settings.FreshFor, Rule: "table"}
	if !s.seen {
		best.Until = -1
	}
	if until, ok := s.byMajority(now); ok && until > best.Until {
		best = Status{Until: until, Rule: "majority"}
	}
	if until, ok := s.byAll(now); ok && until > best.Until {
		best = Status{Until: until, Rule: "all"}
	}
	best.Fresh = best.Until > now
	if !best.Fresh {
		best.Reason = s.why(now)
	}
	return best
}

// Majority is how many of a number of listed instances are a majority.
func Majority(listed int) int { return listed/2 + 1 }

// byMajority returns until when the answers of a majority are good.
func (s *State) byMajority(now time.Duration) (time.Duration, bool) {
	if len(s.members) == 0 || s.heard > s.held || s.open() {
		return 0, false
	}
	return s.nthContact(now, Majority(len(s.members)))
}

// byAll returns until when the answers of all listed instances are good.
func (s *State) byAll(now time.Duration) (time.Duration, bool) {
	if len(s.members) == 0 || s.heard > s.held {
		return 0, false
	}
	return s.nthContact(now, len(s.members))
}

// nthContact returns until when n listed voters count as having answered.
func (s *State) nthContact(now time.Duration, n int) (time.Duration, bool) {
	var times []time.Duration
	for _, id := range s.members {
		c, ok := s.contactOf(id, now)
		if ok && c.voter {
			times = append(times, c.at)
		}
	}
	if len(times) < n {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-n] + s.settings.FreshFor, true
}

func (s *State) contactOf(id string, now time.Duration) (contact, bool) {
	if id == s.self {
		return contact{at: now, voter: s.Voter()}, true
	}
	c, ok := s.contacts[id]
	return c, ok
}

// why names what is missing.
func (s *State) why(now time.Duration) string {
	table := "the table has not been read, here or by a peer"
	if s.seen {
		table = fmt.Sprintf("the table was last read, here or by a peer, %s ago", (now - s.seenAt).Round(time.Millisecond))
	}
	switch {
	case len(s.members) == 0:
		return table + "; no instance list is known"
	case s.heard > s.held:
		return fmt.Sprintf("%s; version %d exists, held is %d", table, s.heard, s.held)
	case s.open():
		return fmt.Sprintf("%s; version %d may have been accepted, held is %d", table, s.promised, s.held)
	}
	return fmt.Sprintf("%s; %d of %d listed instances answer, a majority is %d",
		table, s.answering(now), len(s.members), Majority(len(s.members)))
}

func (s *State) answering(now time.Duration) int {
	n := 0
	for _, id := range s.members {
		if c, ok := s.contactOf(id, now); ok && c.voter && c.at+s.settings.FreshFor > now {
			n++
		}
	}
	return n
}

// TableAge is the time since the newest known read of the head.
func (s *State) TableAge(now time.Duration) (time.Duration, bool) {
	return now - s.seenAt, s.seen
}
