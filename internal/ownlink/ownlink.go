// Package ownlink tells whether an instance's own link is to blame that its requests reach
// no upstream: connections to many upstreams at once fall silent, as happens on a small
// link whose queue is longer than a connection's timeout. Others can serve what comes here
// then, and an instance that hears nothing, stood still, or knows that it lacks what others
// have, cannot know which upstreams leave.
//
// It is pure: times are passed in, on the instance's monotonic clock. Caller: relay.
package ownlink

import "time"

// Settings of a Link.
type Settings struct {
	// Window is for how long a silent connection, or an answer, counts.
	Window time.Duration
	// MinUpstreams is how many different ones must have been silent: more than one
	// crash takes with it that one instance happens to ask at the same time.
	MinUpstreams int
	// MaxStaleness is how long an instance may hear nothing of the others until it does
	// not send, if it is its link, and how long it may lack rows that others have: the
	// bound on requests to upstreams that leave, less the time for a request to arrive.
	MaxStaleness time.Duration
	// CatchUpTime is how long an instance that stood still takes to read what the others told
	// meanwhile: they tell it anew within a part of this.
	CatchUpTime time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Window: time.Second, MinUpstreams: 4, MaxStaleness: 1500 * time.Millisecond, CatchUpTime: 300 * time.Millisecond}
}

// Link is what is known of the instance's own link. It is not safe for concurrent use.
type Link struct {
	settings Settings
	// silent and answered are when connections to upstreams last fell silent, and when
	// upstreams last answered.
	silent, answered map[string]time.Duration
	// heardAt is when another instance was last heard of; 0 before the first time.
	heardAt time.Duration
	// behind: others have rows that this instance lacks, as is known since behindAt.
	behind   bool
	behindAt time.Duration
	// looked: it was looked for that, last at lookedAt. The process stood still if it was
	// not for long, and woke at wokeAt.
	looked, woke     bool
	lookedAt, wokeAt time.Duration
}

// New returns a link of which nothing is known.
func New(s Settings) *Link {
	return &Link{settings: s, silent: map[string]time.Duration{}, answered: map[string]time.Duration{}}
}

// RecordTimeout notes that no connection to an upstream came about in time.
func (l *Link) RecordTimeout(upstream string, now time.Duration) { l.silent[upstream] = now }

// RecordAnswer notes that an upstream answered, or that its machine refused a connection.
func (l *Link) RecordAnswer(upstream string, now time.Duration) { l.answered[upstream] = now }

// RecordPeerReport notes a word from another instance.
func (l *Link) RecordPeerReport(now time.Duration) { l.heardAt = now }

// SetBehind notes whether other instances are known to have rows that this one lacks. It is
// to be called a few times a second: the process stood still where it was not.
func (l *Link) SetBehind(behind bool, now time.Duration) {
	if l.stoodStill(now) {
		l.woke, l.wokeAt = true, now
	}
	l.looked, l.lookedAt = true, now
	if behind && !l.behind {
		l.behindAt = now
	}
	l.behind = behind
	l.woke = l.woke && !l.settled(now)
}

// stoodStill tells that nothing was looked for so long that upstreams may have left.
func (l *Link) stoodStill(now time.Duration) bool {
	return l.looked && now-l.lookedAt >= l.settings.MaxStaleness
}

// settled tells whether an instance that woke knows what it missed, or that nobody tells.
func (l *Link) settled(now time.Duration) bool {
	awake := now - l.wokeAt
	heard := l.heardAt > l.wokeAt && !l.behind
	return awake >= l.settings.MaxStaleness || heard && awake >= l.settings.CatchUpTime
}

// Impairment is why nothing should be sent on; empty for none.
type Impairment string

// Troubles.
const (
	// Saturated: connections to many upstreams are not answered.
	Saturated Impairment = "own link is choked"
	// Isolated: besides, no other instance has been heard of for long.
	Isolated Impairment = "own link is choked, and nobody is heard of"
	// Behind: others have had rows for long that this instance lacks.
	Behind Impairment = "others have rows that are not here"
	// Stalled: it was not looked for long at what others tell, or that has just begun
	// again.
	Stalled Impairment = "stood still, and has not caught up"
)

// Impairment tells whether nothing should be sent on now, and why.
func (l *Link) Impairment(now time.Duration) Impairment {
	switch {
	case l.stoodStill(now), l.woke:
		return Stalled // it has not read yet which upstreams left meanwhile
	case l.behind && now-l.behindAt >= l.settings.MaxStaleness:
		return Behind // whatever is answered: it hears of rows, and cannot get them
	case len(l.silent) < l.settings.MinUpstreams:
		return ""
	case l.heardAt > 0 && now-l.heardAt >= l.settings.MaxStaleness:
		return l.deaf()
	default:
		return l.choked(now)
	}
}

// deaf is the trouble of an instance that hears of nobody, if its link fell silent about
// then. What is answered meanwhile does not tell which upstreams leave.
func (l *Link) deaf() Impairment {
	if countSince(l.silent, l.heardAt-l.settings.Window) >= l.settings.MinUpstreams {
		return Isolated
	}
	return ""
}

// choked is the trouble of an instance that reaches many upstreams no more, and fewer still.
func (l *Link) choked(now time.Duration) Impairment {
	since := now - l.settings.Window
	silent, answered := countSince(l.silent, since), countSince(l.answered, since)
	l.forget(since)
	if silent >= l.settings.MinUpstreams && silent > answered {
		return Saturated
	}
	return ""
}

// forget drops what counts no more.
func (l *Link) forget(before time.Duration) {
	for _, list := range []map[string]time.Duration{l.silent, l.answered} {
		for upstream, at := range list {
			if at < before {
				delete(list, upstream)
			}
		}
	}
}

func countSince(list map[string]time.Duration, since time.Duration) int {
	n := 0
	for _, at := range list {
		if at >= since {
			n++
		}
	}
	return n
}
