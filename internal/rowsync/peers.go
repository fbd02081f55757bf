package rowsync

import (
	"context"
	"time"

	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/replica"
)

// LoadedTables lists the tables of which all rows are known, as of some time.
func (f *Follower) LoadedTables() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var tables []string
	for _, table := range f.settings.Tables {
		if f.informed(table) {
			tables = append(tables, table)
		}
	}
	return tables
}

// MarkTablesLoaded takes the tables that a peer knows which gave all its rows: one may have none.
func (f *Follower) MarkTablesLoaded(tables []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, table := range tables {
		f.told[table] = true
	}
}

// ApplyRows gets rows from a peer, which does not believe deletions for a while.
func (f *Follower) ApplyRows(rows []replica.Row, hold time.Duration) {
	f.mu.Lock()
	if hold > 0 {
		f.copy.HoldDeletions(f.now() + hold)
	}
	news := f.copy.Apply(rows, f.now())
	f.publish(news)
	f.mu.Unlock()
	f.tellNews(news)
	if len(news) > 0 {
		f.log.Info("follow: heard from a peer", "rows", len(news))
	}
}

// Since returns the rows above revisions, for a peer, and for how much longer
// deletions are not believed.
func (f *Follower) Since(revisions map[string]int64) ([]replica.Row, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Since(revisions), f.copy.HoldRemaining(f.now())
}

// Revisions are the highest ones that are held, by table.
func (f *Follower) Revisions() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Newest()
}

// Reading tells whether this instance follows the store, and it answers.
func (f *Follower) Reading() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.resting && len(f.lost) == 0 && len(f.synced) == len(f.settings.Tables)
}

// Rows returns the rows of a table.
func (f *Follower) Rows(table string) []replica.Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Table(table)
}

// askPeers pulls from a peer while the store gives nothing.
func (f *Follower) askPeers(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		without := len(f.lost) > 0 || !f.allInformed()
		f.mu.Unlock()
		if without && f.peers != nil {
			if err := f.peers.Pull(ctx); err != nil {
				f.log.Debug("follow: a peer gave nothing", "error", err)
			}
		}
		pause.For(ctx, jittered(f.settings.PullEvery))
	}
}

// releaseEvery is how late a deletion that was held back may be believed.
const releaseEvery = 100 * time.Millisecond

// release believes the deletions whose time has come.
func (f *Follower) release(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		news := f.copy.Release(f.now())
		f.publish(news)
		f.mu.Unlock()
		pause.For(ctx, releaseEvery)
	}
}
