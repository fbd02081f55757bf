package instance

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/replica"
)

// ApartPrefix begins the keys of the rows of contents that no upstream may get. All
// instances follow them, so that a content is refused by one that has just started, and
// by all after a start of all.
const ApartPrefix = "apart/"

// Timings of these rows.
const (
	// keepAgain is the pause after rows could not be written.
	keepAgain = time.Second
	// sweepApartEvery is the time between looks for rows that have lapsed.
	sweepApartEvery = time.Minute
	// informedWithin is how long after its start an instance waits for these rows before
	// it is ready without them: the store may have lost their table alone.
	informedWithin = 3 * time.Second
)

// rowsAtOnce bounds the rows of one transaction; the platform's takes 100.
const rowsAtOnce = 100

// apartRow tells operators where a content was set apart.
type apartRow struct {
	Instance string `json:"instance"`
}

// ready tells whether this instance can serve.
func (in *Instance) ready() bool {
	if !in.relay.Ready() {
		return false
	}
	return time.Since(in.started) > informedWithin || slices.Contains(in.follower.Informed(), in.adapter.ApartTable)
}

// setApart takes changes of the rows of contents.
func (in *Instance) setApart(news []replica.Row) {
	for _, row := range news {
		if row.Table != in.adapter.ApartTable {
			continue
		}
		content, err := quarantine.ParseContent(strings.TrimPrefix(row.Key.Key, ApartPrefix))
		if err != nil {
			in.log.Error("instance: a content's row cannot be read", "key", row.Key.Key, "error", err)
			continue
		}
		if row.Deleted {
			in.relay.Release(content)
		} else {
			in.relay.SetApart(content)
		}
		in.log.Info("instance: content", "content", content, "apart", !row.Deleted, "revision", row.Revision)
	}
}

// keepApart writes the contents that this instance is to keep for all, and removes those
// that have lapsed.
func (in *Instance) keepApart(ctx context.Context) {
	wait := sweepApartEvery
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-in.relay.Decided():
		case <-timer.C:
			in.releaseLapsed(ctx)
		}
		timer.Stop()
		wait = sweepApartEvery
		if !in.writeApart(ctx) {
			wait = keepAgain
		}
	}
}

// writeApart writes the rows of contents that are not kept yet, and tells whether all
// are.
func (in *Instance) writeApart(ctx context.Context) bool {
	contents := in.relay.Unkept()
	if len(contents) == 0 {
		return true
	}
	value, err := json.Marshal(apartRow{Instance: in.settings.Self.Name})
	if err != nil {
		in.log.Error("instance: a content's row cannot be encoded", "error", err)
		return true
	}
	var txn platform.Txn
	contents = contents[:min(len(contents), rowsAtOnce)]
	for _, content := range contents {
		txn.Writes = append(txn.Writes, platform.Write{Key: ApartPrefix + content.String(), Value: value})
	}
	if _, err := in.adapter.Table.Commit(ctx, txn); err != nil {
		in.log.Info("instance: contents are not kept yet", "contents", contents, "error", err)
		return false
	}
	for _, content := range contents {
		in.relay.SetApart(content)
	}
	in.log.Info("instance: contents kept apart", "contents", contents)
	return len(in.relay.Unkept()) == 0
}

// releaseLapsed removes the rows of contents that were set apart for long enough. One
// instance of each zone does so; a row that is gone already does no harm.
func (in *Instance) releaseLapsed(ctx context.Context) {
	lapsed := in.relay.Lapsed()
	if len(lapsed) == 0 || !in.peers.Passes() {
		return
	}
	var txn platform.Txn
	for _, content := range lapsed[:min(len(lapsed), rowsAtOnce)] {
		txn.Writes = append(txn.Writes, platform.Write{Key: ApartPrefix + content.String(), Delete: true})
	}
	if _, err := in.adapter.Table.Commit(ctx, txn); err != nil {
		in.log.Info("instance: contents are not released yet", "contents", lapsed, "error", err)
		return
	}
	in.log.Info("instance: contents released", "contents", lapsed)
}
