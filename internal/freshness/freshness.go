// Package freshness decides whether a daemon may treat its configuration as the
// newest one. Its inputs are reads of the table's head and answers of peers, and its
// output is a Status. It does no I/O and reads no clock: callers pass the time of
// their own monotonic clock, and times of different processes are never compared.
//
// A daemon is fresh when one of these rules held within the last FreshFor:
//
//   - Table: the daemon read the table's head, or a peer answered that it had read
//     the head, or that a peer of that peer had, and so on.
//   - Majority: the daemon knows of answers of a majority of the listed own instances,
//     directly or through peers, and none of them knew of a newer version that was
//     being accepted. A version is accepted only after a majority has answered a
//     Prepare, so at least one of these instances would have reported it.
//   - All: the daemon knows of answers of all listed own instances. No instance holds
//     a newer version then, even if one that was being accepted reached the table.
//
// An instance counts for the last two rules only if it knows of a read of the head that
// was made AcceptWithin or more after its start. Otherwise it may have answered a Prepare
// before a restart, and not know of it although the write can still take effect.
//
// Ages come only from answers, and count from when the query was sent: a message that
// was delayed in a buffer cannot make anything look newer.
package freshness

import (
	"fmt"
	"slices"
	"time"
)

// Settings of the decision.
type Settings struct {
	// FreshFor is how long evidence is valid. No daemon serves a version for
	// longer than that after the next one was accepted.
	FreshFor time.Duration
	// AcceptWithin bounds the time from a Prepare to the end of the write that
	// it announces.
	AcceptWithin time.Duration
	// ReadLag is how old the platform's answer to a read may be. It is added to
	// the age of each read.
	ReadLag time.Duration
}

// contact is the newest known answer of one instance.
type contact struct {
	at    time.Duration // the instance answered at this time or later
	voter bool
}

// State holds what one daemon knows. It is not safe for concurrent use.
type State struct {
	settings Settings
	self     string
	started  time.Duration

	members []string // listed own instances, sorted
	held    int64
	// highest is the highest version that is known to exist.
	highest int64
	// headSeen is whether the head was ever read. At headSeenAt, no version above
	// held had been accepted.
	headSeen   bool
	headSeenAt time.Duration
	// newerHead is a version above held that the head had at newerHeadAt.
	newerHead   int64
	newerHeadAt time.Duration
	// promised is the highest version that was prepared. The last Prepare was
	// sent at promisedAt at the latest.
	promised   int64
	promisedAt time.Duration
	contacts   map[string]contact
}

// New returns the state of a daemon that starts now and has no data yet.
func New(self string, settings Settings, now time.Duration) *State {
	return &State{settings: settings, self: self, started: now, contacts: map[string]contact{}}
}

// SetMembers sets the IDs of the own instances that the platform lists.
func (s *State) SetMembers(ids []string) {
	s.members = slices.Clone(ids)
	slices.Sort(s.members)
	for id := range s.contacts {
		if !slices.Contains(s.members, id) {
			delete(s.contacts, id)
		}
	}
}

// Members returns the listed own instances in order. Callers must not modify it.
func (s *State) Members() []string { return s.members }

// SetHeld sets the version that the daemon holds. A lower version than before is ignored.
func (s *State) SetHeld(version int64) {
	s.held = max(s.held, version)
	s.NoteVersion(version)
	if s.newerHead > 0 && s.held >= s.newerHead {
		s.setHeadSeen(s.newerHeadAt)
		s.newerHead = 0
	}
}

// NoteVersion records that a version exists, known from any source.
func (s *State) NoteVersion(version int64) {
	s.highest = max(s.highest, version)
}

// HeadRead records the result of a read of the head that was sent at a time. A read
// of a version above the held one counts once that version is held. A read of a version
// below the held one is stale and does not count.
func (s *State) HeadRead(sent time.Duration, head int64) {
	s.NoteVersion(head)
	if head >= s.held {
		s.noteHead(head, sent-s.settings.ReadLag)
	}
}

// noteHead records that no version above the given one had been accepted at a time.
func (s *State) noteHead(version int64, at time.Duration) {
	if version <= s.held {
		s.setHeadSeen(at)
		return
	}
	if version >= s.newerHead {
		s.newerHead, s.newerHeadAt = version, at
	}
}

func (s *State) setHeadSeen(at time.Duration) {
	if !s.headSeen || at > s.headSeenAt {
		s.headSeenAt = at
	}
	s.headSeen = true
}

// Prepare records that a version is about to be accepted.
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

// Voter reports whether this daemon knows of each Prepare whose write can still
// take effect, including those that an earlier process of it answered.
func (s *State) Voter() bool {
	return s.headSeen && s.headSeenAt >= s.started+s.settings.AcceptWithin
}

// mayBeAccepted reports whether a prepared version above the held one may have been
// accepted.
func (s *State) mayBeAccepted() bool {
	if s.promised <= s.held {
		return false
	}
	settled := s.headSeen && s.headSeenAt >= s.promisedAt+s.settings.AcceptWithin
	return !settled
}

// Status is the decision whether the held version is fresh.
type Status struct {
	Fresh bool
	// Until is when the evidence expires.
	Until time.Duration
	// Rule is the rule that Until follows from: "table", "majority" or "all".
	Rule string
	// Reason says why the held version is not fresh.
	Reason string
}

// Status returns the decision at a time.
func (s *State) Status(now time.Duration) Status {
	if s.held == 0 {
		return Status{Reason: "no configuration known yet"}
	}
	best := Status{Until: s.headSeenAt + s.settings.FreshFor, Rule: "table"}
	if !s.headSeen {
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
		best.Reason = s.reason(now)
	}
	return best
}

// Majority returns the smallest number of instances that is a majority of those listed.
func Majority(listed int) int { return listed/2 + 1 }

// byMajority returns until when the answers of a majority are valid evidence.
func (s *State) byMajority(now time.Duration) (time.Duration, bool) {
	if len(s.members) == 0 || s.highest > s.held || s.mayBeAccepted() {
		return 0, false
	}
	return s.nthContact(now, Majority(len(s.members)))
}

// byAll returns until when the answers of all listed instances are valid evidence.
func (s *State) byAll(now time.Duration) (time.Duration, bool) {
	if len(s.members) == 0 || s.highest > s.held {
		return 0, false
	}
	return s.nthContact(now, len(s.members))
}

// nthContact returns until when the newest answers of n listed voters are valid evidence.
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

// reason says which evidence is missing.
func (s *State) reason(now time.Duration) string {
	table := "the table has not been read, here or by a peer"
	if s.headSeen {
		table = fmt.Sprintf("the table was last read, here or by a peer, %s ago", (now - s.headSeenAt).Round(time.Millisecond))
	}
	switch {
	case len(s.members) == 0:
		return table + "; no instance list is known"
	case s.highest > s.held:
		return fmt.Sprintf("%s; version %d exists, held is %d", table, s.highest, s.held)
	case s.mayBeAccepted():
		return fmt.Sprintf("%s; version %d may have been accepted, held is %d", table, s.promised, s.held)
	}
	return fmt.Sprintf("%s; %d of %d listed instances answer, a majority is %d",
		table, s.countAnswering(now), len(s.members), Majority(len(s.members)))
}

func (s *State) countAnswering(now time.Duration) int {
	n := 0
	for _, id := range s.members {
		if c, ok := s.contactOf(id, now); ok && c.voter && c.at+s.settings.FreshFor > now {
			n++
		}
	}
	return n
}

// TableAge returns the time since the newest known read of the head, and whether there was one.
func (s *State) TableAge(now time.Duration) (time.Duration, bool) {
	return now - s.headSeenAt, s.headSeen
}
