// Package usagereport reports the use of each organisation to the platform, a window of
// time after the other, as a duty of the lease's holder. The holder fixes a window's counts
// in a row of the platform's table before it sends them, and whoever takes over sends that
// row: so no two counts of a window are ever sent, whatever becomes of calls and holders.
//
// Caller: instance.
package usagereport

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/leaserows"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/usage"
)

// Report is what the platform gets of a window.
type Report struct {
	Window usage.Window
	Counts usage.Counts
	// Holder is the name of the instance that sends it, Epoch the fencing number.
	Holder string
	Epoch  int64
}

// Sender sends a report to the platform. An error means that it may not have come.
type Sender interface {
	Report(ctx context.Context, r Report) error
}

// Settings of a Reporter.
type Settings struct {
	// Instance sends the reports under its name.
	Instance string
	// Lease names the lease whose holder reports.
	Lease string
	// Length of a window.
	Length time.Duration
	// SettleTime is the time from a window's end until its counts are taken for complete.
	// Totals reach the holder within 0.4 s, and within two seconds more where a
	// datagram was lost.
	SettleTime time.Duration
}

// rowKey is the key of the row with the counts that were fixed.
const rowKey = "usage"

// MaxUnsent bounds the windows that are fixed and not sent. What is older is late by so
// much that it counts as missing.
const MaxUnsent = 8

// fixed is the row's value: what was reported, or will be.
type fixed struct {
	// Last is the newest window that is fixed, Sent the newest that the platform took.
	Last usage.Window `json:"last"`
	Sent usage.Window `json:"sent"`
	// Windows are those that may still have to be sent.
	Windows map[usage.Window]usage.Counts `json:"windows"`
	// Generation of the table in which the row was written.
	Generation int64 `json:"era,omitempty"`
}

// Reporter does the duty of reporting. It is used by one goroutine.
type Reporter struct {
	settings Settings
	table    platform.Table
	sender   Sender
	// total returns what is known of a window.
	total func(usage.Window) usage.Counts
	// now is the time of day.
	now func() time.Time
	log *slog.Logger
	// first is the window in which this process began.
	first usage.Window

	// loaded tells that row is the one that the table has, at revision.
	loaded   bool
	row      fixed
	revision int64
}

// NewReporter returns a reporter.
func NewReporter(s Settings, table platform.Table, sender Sender, total func(usage.Window) usage.Counts, now func() time.Time, log *slog.Logger) *Reporter {
	return &Reporter{settings: s, table: table, sender: sender, total: total, now: now, log: log, first: usage.WindowAt(now(), s.Length)}
}

// Reset implements rolekeeper.Duty.
func (r *Reporter) Reset() { r.loaded = false }

// Do implements rolekeeper.Duty: it fixes the counts of the windows that are complete, and
// sends those that were not sent.
func (r *Reporter) Do(ctx context.Context, grant lease.Grant) {
	if err := r.load(ctx, grant); err != nil {
		r.log.Info("usage: what was reported could not be read", "error", err)
		return
	}
	if err := r.fix(ctx, grant); err != nil {
		r.loaded = false
		r.log.Info("usage: counts were not fixed", "epoch", grant.Epoch, "error", err)
		return
	}
	before := r.row.Sent
	for r.row.Sent < r.row.Last && r.send(ctx, grant) {
	}
	if r.row.Sent == before {
		return
	}
	if err := r.write(ctx, grant, r.row); err != nil {
		r.loaded = false
		r.log.Info("usage: what was sent was not kept, the next holder may send it again", "epoch", grant.Epoch, "error", err)
	}
}

// load reads the row that the holder before left. A row of an earlier era is that of an older
// copy: windows may have been reported that it lacks. This process knows them if nobody else had
// the lease; else those that are complete are given up, as no two counts of a window are sent.
func (r *Reporter) load(ctx context.Context, grant lease.Grant) error {
	if r.loaded {
		return nil
	}
	kept, revision, err := r.read(ctx)
	if err != nil {
		return err
	}
	switch era := platform.EraOf(grant.EpochRevision); {
	case kept.Generation >= era:
	case grant.TableRestored && grant.Resumed && r.row.Last > 0:
		r.log.Warn("usage: the store came back from a copy, what was fixed is kept", "up_to", r.row.Last, "store_has", kept.Last)
		kept = r.row
	default:
		upTo := max(kept.Last, r.complete())
		r.log.Warn("usage: windows given up, the store may have lost that they were reported", "after", kept.Sent, "up_to", upTo)
		meter("given_up").Inc(int64(upTo - kept.Sent))
		kept = fixed{Last: upTo, Sent: upTo}
	}
	r.row, r.revision, r.loaded = kept, revision, true
	return nil
}

// read returns the row and its revision, 0 for none.
func (r *Reporter) read(ctx context.Context) (fixed, int64, error) {
	row, err := r.table.Get(ctx, rowKey)
	if errors.Is(err, platform.ErrNotFound) {
		begin := r.first - 1
		return fixed{Last: begin, Sent: begin}, 0, nil
	}
	if err != nil {
		return fixed{}, 0, err
	}
	var kept fixed
	err = json.Unmarshal(row.Value, &kept)
	return kept, row.Revision, errors.Wrap(err, "usage: decode what was reported")
}

// complete is the newest window whose counts are complete.
func (r *Reporter) complete() usage.Window {
	return usage.WindowAt(r.now().Add(-r.settings.SettleTime), r.settings.Length) - 1
}

// fix writes the counts of the windows that are complete.
func (r *Reporter) fix(ctx context.Context, grant lease.Grant) error {
	next := r.next(r.complete())
	if next.Last == r.row.Last {
		return nil
	}
	if given := next.Sent - r.row.Sent; r.revision > 0 && given > 0 {
		r.log.Warn("usage: windows given up, they waited for too long", "windows", int64(given), "up_to", next.Sent, "epoch", grant.Epoch)
		meter("given_up").Inc(int64(given))
	}
	return r.write(ctx, grant, next)
}

// write writes the row. Its revision is checked, so that no write that was sent before, and
// arrives late, undoes it; and the epoch, so that only the newest holder writes.
func (r *Reporter) write(ctx context.Context, grant lease.Grant, next fixed) error {
	next.Generation = platform.EraOf(grant.EpochRevision)
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "usage: encode what is to be reported")
	}
	revision, err := r.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{
			{Key: leaserows.EpochKey(r.settings.Lease), Revision: grant.EpochRevision},
			{Key: rowKey, Revision: r.revision},
		},
		Writes: []platform.Write{{Key: rowKey, Value: value}},
	})
	if err != nil {
		return err
	}
	r.row, r.revision = next, revision
	return nil
}

// next is the row with the windows up to one. Windows in which nobody asked for anything
// before the first that has counts are left out.
func (r *Reporter) next(upTo usage.Window) fixed {
	next := fixed{Generation: r.row.Generation, Last: r.row.Last, Sent: max(r.row.Sent, upTo-MaxUnsent), Windows: map[usage.Window]usage.Counts{}}
	for window := next.Sent + 1; window <= r.row.Last; window++ {
		next.Windows[window] = r.row.Windows[window]
	}
	begun := r.revision > 0
	for window := max(r.row.Last, next.Sent) + 1; window <= upTo; window++ {
		counts := r.total(window)
		if !begun && len(counts) == 0 {
			continue
		}
		if !begun {
			begun, next.Sent = true, window-1
		}
		next.Windows[window], next.Last = counts, window
	}
	return next
}

// send sends the oldest window that was not sent, and tells whether the platform took it.
func (r *Reporter) send(ctx context.Context, grant lease.Grant) bool {
	window := r.row.Sent + 1
	counts := r.row.Windows[window]
	err := r.sender.Report(ctx, Report{Window: window, Counts: counts, Holder: r.settings.Instance, Epoch: grant.Epoch})
	age := r.now().Sub(window.End(r.settings.Length))
	r.log.Info("usage: reported", "window", window, "organisations", len(counts), "requests", counts.Sum(),
		"holder", r.settings.Instance, "epoch", grant.Epoch, "after_end", age, "error", err)
	if err != nil {
		meter("failed").Inc(1)
		return false
	}
	meter("reported").Inc(1)
	r.row.Sent = window
	return true
}

func meter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter("usage."+name, metrics.DefaultRegistry)
}
