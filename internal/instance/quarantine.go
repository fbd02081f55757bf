package instance

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/replica"
)

// QuarantinePrefix begins the keys of the rows of contents that no upstream may get. All
// instances follow them, so that a content is refused by one that has just started, and
// by all after a start of all.
const QuarantinePrefix = "apart/"

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

// apartRow is a content that was set apart.
type apartRow struct {
	// Times that it was.
	Times int `json:"times"`
	// Instance that set it apart, for operators.
	Instance string `json:"instance"`
}

// ready tells whether this instance can serve.
func (in *Instance) ready() bool {
	if !in.relay.Ready() || in.relay.Impaired() {
		return false
	}
	return time.Since(in.started) > informedWithin || slices.Contains(in.follower.LoadedTables(), in.adapter.QuarantineTable)
}

// setApart takes changes of the rows of contents.
func (in *Instance) setApart(news []replica.Row) {
	for _, row := range news {
		if row.Table != in.adapter.QuarantineTable {
			continue
		}
		if err := in.takeApart(row); err != nil {
			in.log.Error("instance: a content's row cannot be read", "key", row.Key.Key, "error", err)
		}
	}
}

func (in *Instance) takeApart(row replica.Row) error {
	content, err := quarantine.ParseContent(strings.TrimPrefix(row.Key.Key, QuarantinePrefix))
	if err != nil {
		return err
	}
	if row.MissingAfterRestore {
		in.keepLost(content, row.Revision)
		return nil
	}
	if row.Deleted {
		in.relay.Release(content)
		in.log.Info("instance: content released", "content", content, "revision", row.Revision)
		return nil
	}
	var told apartRow
	if err := json.Unmarshal(row.Value, &told); err != nil {
		return errors.Wrap(err, "instance: content")
	}
	in.relay.Quarantine(content, told.Times)
	in.log.Info("instance: content set apart", "content", content, "times", told.Times, "by", told.Instance, "revision", row.Revision)
	return nil
}

// keepLost has the row of a content written again that the store came back without. The content
// stays apart. All instances know it, so that those who pass reports on write it.
func (in *Instance) keepLost(content quarantine.Content, revision int64) {
	writes := in.peers.IsHub()
	if writes {
		in.relay.PersistAgain(content)
	}
	in.log.Warn("instance: the store lost a content that is set apart", "content", content, "revision", revision, "writes_it_again", writes)
}

// keepApart writes how often contents were set apart, and removes the rows of those that
// are released.
func (in *Instance) keepApart(ctx context.Context) {
	wait := sweepApartEvery
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-in.relay.PersistNeeded():
		case <-timer.C:
			in.relay.ExpireQuarantines(in.peers.IsHub())
		}
		timer.Stop()
		wait = sweepApartEvery
		if !in.writeApart(ctx) {
			wait = keepAgain
		}
	}
}

// apartWrite writes a content's row, or removes it when it was set apart no times.
func (in *Instance) apartWrite(content quarantine.Content, times int) platform.Write {
	write := platform.Write{Key: QuarantinePrefix + content.String()}
	if times == 0 {
		write.Delete = true
		return write
	}
	value, err := json.Marshal(apartRow{Times: times, Instance: in.settings.Self.Name})
	if err != nil {
		panic(errors.Wrap(err, "instance: content")) // a number and a text can always be encoded
	}
	write.Value = value
	return write
}

// writeApart writes the rows that are not written yet, and tells whether all are. Rows are
// written without a condition: of two instances that set a content apart, the one that
// lags may be the last to write, and whoever starts then lets it through the earlier.
func (in *Instance) writeApart(ctx context.Context) bool {
	unkept, txn := in.relay.Unpersisted(), platform.Txn{}
	for content, times := range unkept {
		if len(txn.Writes) == rowsAtOnce {
			delete(unkept, content)
			continue
		}
		txn.Writes = append(txn.Writes, in.apartWrite(content, times))
	}
	if len(txn.Writes) == 0 {
		return true
	}
	if _, err := in.adapter.Table.Commit(ctx, txn); err != nil {
		in.log.Info("instance: contents are not kept yet", "contents", len(unkept), "error", err)
		return false
	}
	in.relay.MarkPersisted(unkept)
	in.log.Info("instance: contents kept", "contents", len(unkept))
	return len(in.relay.Unpersisted()) == 0
}
