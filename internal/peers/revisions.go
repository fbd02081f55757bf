package peers

import (
	"maps"
	"time"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
)

// nameRevisions names in a datagram what this instance knows of each table. Builds that do not read the
// field known would wait for rows that do not exist, so the revisions of rows are named apart.
func nameRevisions(message *sfv1.Datagram, rows Rows) {
	message.Revisions = rows.RowRevisions()
	for table, revision := range rows.Revisions() {
		if revision > message.Revisions[table] {
			if message.Known == nil {
				message.Known = map[string]int64{}
			}
			message.Known[table] = revision
		}
	}
}

// knownRevisions returns the revisions up to which the sender of a datagram knows its tables.
func knownRevisions(message *sfv1.Datagram) map[string]int64 {
	if len(message.GetKnown()) == 0 {
		return message.GetRevisions()
	}
	known := maps.Clone(message.GetRevisions())
	if known == nil {
		return message.GetKnown()
	}
	maps.Copy(known, message.GetKnown())
	return known
}

// peerRevision is the highest revision of a table that others reported recently.
type peerRevision struct {
	revision int64
	at       time.Duration
}

// applyRevisions records the revisions that a datagram names.
func (e *Exchange) applyRevisions(received map[string]int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for table, revision := range received {
		if last := e.peerRevisions[table]; revision >= last.revision || now-last.at > statusTimeout {
			e.peerRevisions[table] = peerRevision{revision: revision, at: now}
		}
	}
}

// isBehind reports whether others have reported recently that they have rows which this instance
// lacks: it receives their datagrams, but has not been able to pull the rows yet.
func (e *Exchange) isBehind() bool {
	own := e.rows.Revisions()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	behind := false
	for table, last := range e.peerRevisions {
		behind = behind || last.revision > own[table] && now-last.at <= statusTimeout
	}
	e.recordBehind(behind, now)
	return behind
}

// behindLogThreshold is how long an instance must have lacked rows for the recovery to be logged:
// most rows arrive within a few milliseconds.
const behindLogThreshold = 500 * time.Millisecond

// recordBehind records whether this instance lacks rows, and logs when it has caught up after a
// long time. The lock is held.
func (e *Exchange) recordBehind(behind bool, now time.Duration) {
	if behind && !e.wasBehind {
		e.behindSince = now
	}
	if elapsed := now - e.behindSince; e.wasBehind && !behind && elapsed >= behindLogThreshold {
		e.log.Info("peers: caught up with the others", "after", elapsed)
	}
	e.wasBehind = behind
}
