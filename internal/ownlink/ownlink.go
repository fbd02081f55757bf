// Package ownlink tells whether an instance's own link is to blame that its requests reach
// no upstream: connections to many upstreams at once fall silent, as happens on a small
// link whose queue is longer than a connection's timeout. Others can serve what comes here
// then, and an instance that hears nothing, or knows that it lacks what others have, cannot
// know which upstreams leave.
//
// It is pure: times are passed in, on the instance's monotonic clock. Caller: relay.
package ownlink

import "time"

// Settings of a Link.
type Settings struct {
	// Recent is for how long a silent connection, or an answer, counts.
	Recent time.Duration
	// Upstreams is how many different ones must have been silent: more than one
	// crash takes with it that one instance happens to ask at the same time.
	Upstreams int
	// DeafAfter is how long an instance may hear nothing of the others until it does
	// not send, if it is its link, and how long it may lack rows that others have: the
	// bound on requests to upstreams that leave, less the time for a request to arrive.
	DeafAfter time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Recent: time.Second, Upstreams: 4, DeafAfter: 1500 * time.Millisecond}
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
}

// New returns a link of which nothing is known.
func New(s Settings) *Link {
	return &Link{settings: s, silent: map[string]time.Duration{}, answered: map[string]time.Duration{}}
}

// Silent notes that no connection to an upstream came about in time.
func (l *Link) Silent(upstream string, now time.Duration) { l.silent[upstream] = now }

// Answered notes that an upstream answered, or that its machine refused a connection.
func (l *Link) Answered(upstream string, now time.Duration) { l.answered[upstream] = now }

// Heard notes a word from another instance.
func (l *Link) Heard(now time.Duration) { l.heardAt = now }

// Behind notes whether other instances are known to have rows that this one lacks.
func (l *Link) Behind(behind bool, now time.Duration) {
	if behind && !l.behind {
		l.behindAt = now
	}
	l.behind = behind
}

// Choked tells whether nothing should be sent on now.
func (l *Link) Choked(now time.Duration) bool {
	if l.behind && now-l.behindAt >= l.settings.DeafAfter {
		return true // whatever is answered: it hears of rows, and cannot get them
	}
	if len(l.silent) < l.settings.Upstreams {
		return false
	}
	if l.heardAt > 0 && now-l.heardAt >= l.settings.DeafAfter {
		// what is answered meanwhile does not tell which upstreams leave
		return countSince(l.silent, l.heardAt-l.settings.Recent) >= l.settings.Upstreams
	}
	since := now - l.settings.Recent
	silent, answered := countSince(l.silent, since), countSince(l.answered, since)
	l.forget(since)
	return silent >= l.settings.Upstreams && silent > answered
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
