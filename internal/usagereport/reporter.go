// Package usagereport reports the usage of each organisation to the platform, one time window after the
// other, as a duty of the lease holder. The holder writes the final counts of a window to a row of the
// platform's table before it sends them, and the next holder sends the counts of that row. So two different
// counts of a window are never sent, no matter which calls or holders fail.
//
// Inputs are the totals of package usage and the stored row. Outputs are the row and the reports to the
// platform's Sender. Caller: instance.
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

// Report is the usage of one window, as the platform receives it.
type Report struct {
	Window usage.Window
	Counts usage.Counts
	// Holder is the name of the instance that sends the report. Epoch is the fencing token of its lease.
	Holder string
	Epoch  int64
}

// Sender sends a report to the platform. An error means that the report may not have arrived.
type Sender interface {
	Report(ctx context.Context, r Report) error
}

// Settings configures a Reporter.
type Settings struct {
	// Instance is the name of this instance, which the reports carry.
	Instance string
	// LeaseName is the name of the lease whose holder reports.
	LeaseName string
	// Length is the length of a window.
	Length time.Duration
	// SettleTime is the time from a window's end until its counts are treated as complete. Totals reach the
	// holder within 0.4 s, and within two more seconds if a datagram was lost.
	SettleTime time.Duration
}

// rowKey is the key of the row with the finalized counts.
const rowKey = "usage"

// MaxUnsent bounds the windows that are finalized but not sent. Older windows are dropped, because a report
// that late counts as missing.
const MaxUnsent = 8

// reportState is the value of the row: the progress of the reports, and the counts that may still be sent.
type reportState struct {
	// Last is the newest finalized window. Sent is the newest window that the platform has accepted.
	Last usage.Window `json:"last"`
	Sent usage.Window `json:"sent"`
	// Windows holds the counts of the windows that may still have to be sent.
	Windows map[usage.Window]usage.Counts `json:"windows"`
	// Generation is the restore generation of the table in which the row was written.
	Generation int64 `json:"era,omitempty"`
}

// Reporter is the duty of reporting usage. It must be used by one goroutine only.
type Reporter struct {
	settings Settings
	table    platform.Table
	sender   Sender
	// total returns the counts of a window that are known at this instance.
	total func(usage.Window) usage.Counts
	// now returns the time of day.
	now func() time.Time
	log *slog.Logger
	// firstWindow is the window in which this process started.
	firstWindow usage.Window

	// loaded is true while state is the value of the table's row at revision.
	loaded   bool
	state    reportState
	revision int64
}

// NewReporter returns a Reporter. total returns the known counts of a window, and now the time of day.
func NewReporter(s Settings, table platform.Table, sender Sender, total func(usage.Window) usage.Counts, now func() time.Time, log *slog.Logger) *Reporter {
	return &Reporter{settings: s, table: table, sender: sender, total: total, now: now, log: log, firstWindow: usage.WindowAt(now(), s.Length)}
}

// Reset implements rolekeeper.Duty.
func (r *Reporter) Reset() { r.loaded = false }

// Do implements rolekeeper.Duty. It finalizes the counts of the complete windows and sends the finalized
// windows that were not sent.
func (r *Reporter) Do(ctx context.Context, grant lease.Grant) {
	if err := r.load(ctx, grant); err != nil {
		r.log.Info("usage: state of the reports not read", "error", err)
		return
	}
	if err := r.finalize(ctx, grant); err != nil {
		r.loaded = false
		r.log.Info("usage: counts not finalized", "epoch", grant.Epoch, "error", err)
		return
	}
	before := r.state.Sent
	for r.state.Sent < r.state.Last && r.send(ctx, grant) {
	}
	if r.state.Sent == before {
		return
	}
	if err := r.write(ctx, grant, r.state); err != nil {
		r.loaded = false
		r.log.Info("usage: sent windows not recorded, the next holder may send them again", "epoch", grant.Epoch, "error", err)
	}
}

// load reads the row that the previous holder wrote. A row of an earlier restore generation comes from an
// older copy of the store, and it may lack windows that were reported. If no other process held the lease
// since, this process still has these windows in memory. Otherwise the complete windows are dropped, because
// two different counts of a window must not be sent.
func (r *Reporter) load(ctx context.Context, grant lease.Grant) error {
	if r.loaded {
		return nil
	}
	stored, revision, err := r.read(ctx)
	if err != nil {
		return err
	}
	switch generation := platform.RestoreGenerationOf(grant.EpochRevision); {
	case stored.Generation >= generation:
	case grant.TableRestored && grant.Resumed && r.state.Last > 0:
		r.log.Warn("usage: store restored from an older copy, keeping the finalized windows", "up_to", r.state.Last, "store_has", stored.Last)
		stored = r.state
	default:
		upTo := max(stored.Last, r.lastComplete())
		r.log.Warn("usage: windows dropped, the restored store may lack the record of their reports", "after", stored.Sent, "up_to", upTo)
		counter("given_up").Inc(int64(upTo - stored.Sent))
		stored = reportState{Last: upTo, Sent: upTo}
	}
	r.state, r.revision, r.loaded = stored, revision, true
	return nil
}

// read returns the value of the row and its revision. The revision is 0 if there is no row.
func (r *Reporter) read(ctx context.Context) (reportState, int64, error) {
	row, err := r.table.Get(ctx, rowKey)
	if errors.Is(err, platform.ErrNotFound) {
		before := r.firstWindow - 1
		return reportState{Last: before, Sent: before}, 0, nil
	}
	if err != nil {
		return reportState{}, 0, err
	}
	var stored reportState
	err = json.Unmarshal(row.Value, &stored)
	return stored, row.Revision, errors.Wrap(err, "usage: decode the state of the reports")
}

// lastComplete returns the newest window whose counts are complete.
func (r *Reporter) lastComplete() usage.Window {
	return usage.WindowAt(r.now().Add(-r.settings.SettleTime), r.settings.Length) - 1
}

// finalize writes the counts of the complete windows to the row.
func (r *Reporter) finalize(ctx context.Context, grant lease.Grant) error {
	next := r.stateUpTo(r.lastComplete())
	if next.Last == r.state.Last {
		return nil
	}
	if dropped := next.Sent - r.state.Sent; r.revision > 0 && dropped > 0 {
		r.log.Warn("usage: windows dropped, not sent in time", "windows", int64(dropped), "up_to", next.Sent, "epoch", grant.Epoch)
		counter("given_up").Inc(int64(dropped))
	}
	return r.write(ctx, grant, next)
}

// write writes the row. The check of its revision ensures that an earlier write that arrives late does not
// overwrite it. The check of the epoch ensures that only the newest holder writes.
func (r *Reporter) write(ctx context.Context, grant lease.Grant, next reportState) error {
	next.Generation = platform.RestoreGenerationOf(grant.EpochRevision)
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "usage: encode the state of the reports")
	}
	revision, err := r.table.Commit(ctx, platform.Txn{
		Checks: []platform.Check{
			{Key: leaserows.EpochKey(r.settings.LeaseName), Revision: grant.EpochRevision},
			{Key: rowKey, Revision: r.revision},
		},
		Writes: []platform.Write{{Key: rowKey, Value: value}},
	})
	if err != nil {
		return err
	}
	r.state, r.revision = next, revision
	return nil
}

// stateUpTo returns the state with the windows up to upTo. Windows without requests are left out until the
// first window with counts.
func (r *Reporter) stateUpTo(upTo usage.Window) reportState {
	next := reportState{Generation: r.state.Generation, Last: r.state.Last, Sent: max(r.state.Sent, upTo-MaxUnsent), Windows: map[usage.Window]usage.Counts{}}
	for window := next.Sent + 1; window <= r.state.Last; window++ {
		next.Windows[window] = r.state.Windows[window]
	}
	started := r.revision > 0
	for window := max(r.state.Last, next.Sent) + 1; window <= upTo; window++ {
		counts := r.total(window)
		if !started && len(counts) == 0 {
			continue
		}
		if !started {
			started, next.Sent = true, window-1
		}
		next.Windows[window], next.Last = counts, window
	}
	return next
}

// send sends the oldest window that was not sent, and reports whether the platform accepted it.
func (r *Reporter) send(ctx context.Context, grant lease.Grant) bool {
	window := r.state.Sent + 1
	counts := r.state.Windows[window]
	err := r.sender.Report(ctx, Report{Window: window, Counts: counts, Holder: r.settings.Instance, Epoch: grant.Epoch})
	age := r.now().Sub(window.End(r.settings.Length))
	r.log.Info("usage: reported", "window", window, "organisations", len(counts), "requests", counts.Sum(),
		"holder", r.settings.Instance, "epoch", grant.Epoch, "after_end", age, "error", err)
	if err != nil {
		counter("failed").Inc(1)
		return false
	}
	counter("reported").Inc(1)
	r.state.Sent = window
	return true
}

func counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter("usage."+name, metrics.DefaultRegistry)
}
