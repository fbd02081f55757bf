package peers

import "time"

// peerRevision is a table's highest revision that others told lately.
type peerRevision struct {
	revision int64
	at       time.Duration
}

// applyRevisions takes the revisions that a datagram names.
func (e *Exchange) applyRevisions(told map[string]int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for table, revision := range told {
		if word := e.peerRevisions[table]; revision >= word.revision || now-word.at > statusTimeout {
			e.peerRevisions[table] = peerRevision{revision: revision, at: now}
		}
	}
}

// isBehind tells whether others have told lately that they have rows which this instance
// lacks: it hears of them, and could not get them yet.
func (e *Exchange) isBehind() bool {
	own := e.rows.Revisions()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	lacks := false
	for table, word := range e.peerRevisions {
		lacks = lacks || word.revision > own[table] && now-word.at <= statusTimeout
	}
	e.recordBehind(lacks, now)
	return lacks
}

// behindLogThreshold is how long an instance lacks rows before it is worth a line: most come
// within some milliseconds.
const behindLogThreshold = 500 * time.Millisecond

// recordBehind logs that this instance has caught up after long. The lock is held.
func (e *Exchange) recordBehind(lacks bool, now time.Duration) {
	if lacks && !e.wasBehind {
		e.behindSince = now
	}
	if late := now - e.behindSince; e.wasBehind && !lacks && late >= behindLogThreshold {
		e.log.Info("peers: caught up with the others", "after", late)
	}
	e.wasBehind = lacks
}
