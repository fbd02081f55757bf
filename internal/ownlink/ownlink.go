// Package ownlink determines whether an instance should stop forwarding requests because of its own network
// link or its outdated state. Other instances can then serve these requests.
//
// On a saturated link, connections to many upstreams time out at once. This happens on a small link whose
// queue delays packets for longer than a connection's timeout. An instance that receives no reports, was
// suspended, or knows that it lacks rows that others have, cannot know which upstreams are draining.
//
// Inputs are the results of connections to upstreams, the arrival of reports of other instances, and whether
// rows are missing. The output is the Impairment. The package does no I/O: times are passed in, on the
// instance's monotonic clock. Caller: relay.
package ownlink

import "time"

// Settings configures a Link.
type Settings struct {
	// Window is how long a connection timeout or an answer counts.
	Window time.Duration
	// MinUpstreams is the number of different upstreams whose connections must have timed out. It must exceed
	// the number of upstreams that one crash takes down and that one instance happens to contact at the same
	// time.
	MinUpstreams int
	// MaxStaleness is how long an instance may receive no reports of other instances because of its link, and
	// how long it may lack rows that others have, before it stops sending. A gap of this length between calls
	// of SetBehind counts as a suspension. The value is the time within which requests to a draining upstream
	// must end, less the time for a request to arrive.
	MaxStaleness time.Duration
	// CatchUpTime is the time after a suspension in which an instance reads what the others reported
	// meanwhile. They republish it within a part of this time.
	CatchUpTime time.Duration
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Window: time.Second, MinUpstreams: 4, MaxStaleness: 1500 * time.Millisecond, CatchUpTime: 300 * time.Millisecond}
}

// Link is the state of the instance's own link. It is not safe for concurrent use.
type Link struct {
	settings Settings
	// timeouts and answers hold when connections to each upstream last timed out, and when each upstream last
	// answered.
	timeouts, answers map[string]time.Duration
	// peerReportAt is when the last report of another instance arrived; 0 before the first one.
	peerReportAt time.Duration
	// behind is true while others are known to have rows that this instance lacks, since behindSince.
	behind      bool
	behindSince time.Duration
	// updated is true after the first call of SetBehind. The last call was at updatedAt. After a long gap
	// between calls, the process resumed at resumedAt, and catchingUp is true until it has caught up.
	updated, catchingUp  bool
	updatedAt, resumedAt time.Duration
}

// New returns a Link without any observations.
func New(s Settings) *Link {
	return &Link{settings: s, timeouts: map[string]time.Duration{}, answers: map[string]time.Duration{}}
}

// RecordTimeout records that a connection to an upstream was not established in time.
func (l *Link) RecordTimeout(upstream string, now time.Duration) { l.timeouts[upstream] = now }

// RecordAnswer records that an upstream answered, or that its machine refused a connection.
func (l *Link) RecordAnswer(upstream string, now time.Duration) { l.answers[upstream] = now }

// RecordPeerReport records that a report of another instance arrived.
func (l *Link) RecordPeerReport(now time.Duration) { l.peerReportAt = now }

// SetBehind records whether other instances are known to have rows that this one lacks. It must be called
// several times per second: a long gap between calls counts as a suspension of the process.
func (l *Link) SetBehind(behind bool, now time.Duration) {
	if l.stalled(now) {
		l.catchingUp, l.resumedAt = true, now
	}
	l.updated, l.updatedAt = true, now
	if behind && !l.behind {
		l.behindSince = now
	}
	l.behind = behind
	l.catchingUp = l.catchingUp && !l.caughtUp(now)
}

// Evidence is what an Impairment is based on.
type Evidence struct {
	// Timeouts and Answers are the numbers of upstreams whose connections timed out within the window, and that
	// answered within it.
	Timeouts, Answers int
	// ReportAge is the time since the last report of another instance; negative before the first one.
	ReportAge time.Duration
}

// Evidence returns what an impairment is based on now.
func (l *Link) Evidence(now time.Duration) Evidence {
	since := now - l.settings.Window
	e := Evidence{Timeouts: countSince(l.timeouts, since), Answers: countSince(l.answers, since), ReportAge: -1}
	if l.peerReportAt > 0 {
		e.ReportAge = now - l.peerReportAt
	}
	return e
}

// stalled reports whether SetBehind was not called for so long that upstreams may have begun to drain
// unnoticed.
func (l *Link) stalled(now time.Duration) bool {
	return l.updated && now-l.updatedAt >= l.settings.MaxStaleness
}

// caughtUp reports whether a resumed instance has received what it missed, or has waited so long that no
// instance seems to send it.
func (l *Link) caughtUp(now time.Duration) bool {
	elapsed := now - l.resumedAt
	current := l.peerReportAt > l.resumedAt && !l.behind
	return elapsed >= l.settings.MaxStaleness || current && elapsed >= l.settings.CatchUpTime
}

// Impairment is the reason why requests should not be forwarded; empty for none.
type Impairment string

// The impairments. Their texts are the reasons in refusals.
const (
	// Saturated: connections to many upstreams time out.
	Saturated Impairment = "own link is choked"
	// Isolated: in addition, no report of another instance has arrived for MaxStaleness.
	Isolated Impairment = "own link is choked, and nobody is heard of"
	// Behind: for MaxStaleness, this instance has lacked rows that others have.
	Behind Impairment = "others have rows that are not here"
	// Stalled: the process was suspended, or it has just resumed and has not caught up.
	Stalled Impairment = "stood still, and has not caught up"
)

// Impairment returns why requests should not be forwarded now; empty if they should.
func (l *Link) Impairment(now time.Duration) Impairment {
	switch {
	case l.stalled(now), l.catchingUp:
		return Stalled // it does not know yet which upstreams began to drain meanwhile
	case l.behind && now-l.behindSince >= l.settings.MaxStaleness:
		return Behind // even if upstreams answer: it learns of newer rows but cannot get them
	case len(l.timeouts) < l.settings.MinUpstreams:
		return ""
	case l.peerReportAt > 0 && now-l.peerReportAt >= l.settings.MaxStaleness:
		return l.isolated()
	default:
		return l.saturated(now)
	}
}

// isolated returns Isolated if connections to many upstreams timed out since shortly before the last report
// of another instance. Later answers do not show which upstreams are draining.
func (l *Link) isolated() Impairment {
	if countSince(l.timeouts, l.peerReportAt-l.settings.Window) >= l.settings.MinUpstreams {
		return Isolated
	}
	return ""
}

// saturated returns Saturated if recently connections to many upstreams timed out, and fewer upstreams
// answered.
func (l *Link) saturated(now time.Duration) Impairment {
	since := now - l.settings.Window
	timeouts, answers := countSince(l.timeouts, since), countSince(l.answers, since)
	l.dropBefore(since)
	if timeouts >= l.settings.MinUpstreams && timeouts > answers {
		return Saturated
	}
	return ""
}

// dropBefore drops the entries that no longer count.
func (l *Link) dropBefore(before time.Duration) {
	for _, list := range []map[string]time.Duration{l.timeouts, l.answers} {
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
