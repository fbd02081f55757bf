package peers

import "time"

// revisionWord is a table's highest revision that others told lately.
type revisionWord struct {
	revision int64
	at       time.Duration
}

// heardRevisions takes the revisions that a datagram names.
func (e *Exchange) heardRevisions(told map[string]int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for table, revision := range told {
		if word := e.revisions[table]; revision >= word.revision || now-word.at > aliveFor {
			e.revisions[table] = revisionWord{revision: revision, at: now}
		}
	}
}

// lacksRows tells whether others have told lately that they have rows which this instance
// lacks: it hears of them, and could not get them yet.
func (e *Exchange) lacksRows() bool {
	own := e.rows.Revisions()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	lacks := false
	for table, word := range e.revisions {
		lacks = lacks || word.revision > own[table] && now-word.at <= aliveFor
	}
	e.noteBehind(lacks, now)
	return lacks
}

// behindShown is how long an instance lacks rows before it is worth a line: most come
// within some milliseconds.
const behindShown = 500 * time.Millisecond

// noteBehind logs that this instance has caught up after long. The lock is held.
func (e *Exchange) noteBehind(lacks bool, now time.Duration) {
	if lacks && !e.lacking {
		e.lackingAt = now
	}
	if late := now - e.lackingAt; e.lacking && !lacks && late >= behindShown {
		e.log.Info("peers: caught up with the others", "after", late)
	}
	e.lacking = lacks
}
