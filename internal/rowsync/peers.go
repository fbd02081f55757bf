package rowsync

import (
	"context"
	"time"

	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/replica"
)

// LoadedTables lists the tables of which this instance has all rows as of some revision.
func (f *Follower) LoadedTables() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var tables []string
	for _, table := range f.settings.Tables {
		if f.loaded(table) {
			tables = append(tables, table)
		}
	}
	return tables
}

// MarkTablesLoaded records the loaded tables of a peer that sent all its rows. It is needed
// because a loaded table may be empty.
func (f *Follower) MarkTablesLoaded(tables []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, table := range tables {
		f.loadedByPeer[table] = true
	}
}

// ApplyRows applies rows from a peer. Hold is for how much longer the peer withholds mass
// deletions; this instance then withholds them too.
func (f *Follower) ApplyRows(rows []replica.Row, hold time.Duration) {
	f.mu.Lock()
	if hold > 0 {
		f.copy.HoldDeletions(f.now() + hold)
	}
	changes := f.copy.Apply(rows, f.now())
	f.publish(changes)
	f.mu.Unlock()
	f.notifyPeers(changes)
	if len(changes) > 0 {
		f.log.Info("follow: applied rows from a peer", "rows", len(changes), "removed", removedCount(changes))
	}
}

// removedCount returns how many of the rows were removed.
func removedCount(rows []replica.Row) int {
	n := 0
	for _, row := range rows {
		if row.Deleted {
			n++
		}
	}
	return n
}

// Since returns the rows and bookmarks that a peer with the given state lacks, and for how much
// longer mass deletions are withheld.
func (f *Follower) Since(state replica.State) ([]replica.Row, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.SinceState(state), f.copy.HoldRemaining(f.now())
}

// State returns the state by which peers determine the rows that this instance lacks.
func (f *Follower) State() replica.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.State()
}

// Revisions returns the revision up to which each table is known.
func (f *Follower) Revisions() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Newest()
}

// RowRevisions returns the highest revision of a row of each table.
func (f *Follower) RowRevisions() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.NewestRows()
}

// Reading reports whether this instance follows the store and gets answers.
func (f *Follower) Reading() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.delegating && len(f.outages) == 0 && len(f.synced) == len(f.settings.Tables)
}

// Rows returns the rows of a table.
func (f *Follower) Rows(table string) []replica.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Table(table)
}

// pullFromPeers pulls from a peer repeatedly while the store does not answer or a table is not
// loaded.
func (f *Follower) pullFromPeers(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		needed := len(f.outages) > 0 || !f.allLoaded()
		f.mu.Unlock()
		if needed && f.peers != nil {
			if err := f.peers.Pull(ctx); err != nil {
				f.log.Debug("follow: pull from a peer failed", "error", err)
			}
		}
		pause.For(ctx, jittered(f.settings.PullEvery))
	}
}

// releaseEvery is the time between two checks for rows whose hold has ended, and so bounds how late they
// are applied.
const releaseEvery = 100 * time.Millisecond

// release applies withheld rows when their hold ends.
func (f *Follower) release(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		changes := f.copy.Release(f.now())
		f.publish(changes)
		f.mu.Unlock()
		pause.For(ctx, releaseEvery)
	}
}
