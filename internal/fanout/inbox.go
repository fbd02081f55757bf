package fanout

import (
	"cmp"
	"slices"
	"time"

	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/quota"
	"sassafrasfield/internal/upstreamstate"
)

// InstanceReport is an instance's report on itself.
type InstanceReport struct {
	Source ID
	// Boot is a different number after each start of the instance's process. Sequence
	// numbers the reports of that process.
	Boot, Sequence uint32
	// Reading is true if the instance follows the platform's store and gets answers.
	Reading bool
	Report  upstreamstate.Report
}

// maxPlaced bounds the placed prompt parts that are queued with one instance's report.
const maxPlaced = 64

// Inbox holds, for each instance of a zone, the number of its newest report and the report that is
// queued to be passed on. It is not safe for concurrent use.
type Inbox struct {
	newest map[ID]reportNumber
	queued map[ID]queuedReport
}

// reportNumber identifies a report among those of one instance.
type reportNumber struct {
	boot, sequence uint32
}

// queuedReport is a report that waits to be passed on.
type queuedReport struct {
	report InstanceReport
	// at is when the report arrived. since is the start of the uninterrupted time in which a report of its
	// source has been queued.
	at, since time.Duration
}

// NewInbox returns an empty inbox.
func NewInbox() *Inbox { return &Inbox{newest: map[ID]reportNumber{}, queued: map[ID]queuedReport{}} }

// Accept records a report, and reports whether it is newer than the earlier ones of its source. The
// same report may arrive from several instances that pass it on.
func (b *Inbox) Accept(o InstanceReport) bool {
	last, known := b.newest[o.Source]
	if known && last.boot == o.Boot && int32(o.Sequence-last.sequence) <= 0 {
		return false
	}
	b.newest[o.Source] = reportNumber{boot: o.Boot, sequence: o.Sequence}
	return true
}

// Enqueue queues a report for the next batch. It replaces a queued report of the same source, but keeps
// that report's placed parts, evidence on crashes and limits.
func (b *Inbox) Enqueue(o InstanceReport, now time.Duration) {
	placed := append(b.queued[o.Source].report.Report.Placed, o.Report.Placed...)
	o.Report.Placed = placed[max(0, len(placed)-maxPlaced):]
	if o.Report.Times == nil {
		o.Report.Times = b.queued[o.Source].report.Report.Times
	}
	o.Report.Evidence = b.queued[o.Source].report.Report.Evidence.Merge(o.Report.Evidence, quarantine.MaxReported)
	if w, ok := b.queued[o.Source]; ok {
		o.Report.Limits = quota.Merge(quota.AddAge(w.report.Report.Limits, now-w.at), o.Report.Limits)
	}
	o.Report.RetryOverflow, o.Report.Usage = nil, nil // only hubs use these
	since := now
	if w, ok := b.queued[o.Source]; ok {
		since = w.since
	}
	b.queued[o.Source] = queuedReport{report: o, at: now, since: since}
}

// Batch removes and returns queued reports as long as they fit, those of the sources that have waited
// longest first. The others stay queued. Reports that are so old that their source may have departed
// are dropped.
func (b *Inbox) Batch(now time.Duration, fits func(InstanceReport) bool) []InstanceReport {
	var list []queuedReport
	for id, w := range b.queued {
		if now-w.at > aliveFor {
			delete(b.queued, id)
			continue
		}
		list = append(list, w)
	}
	slices.SortFunc(list, func(x, y queuedReport) int { return cmp.Compare(x.since, y.since) })
	var batch []InstanceReport
	for _, w := range list {
		if !fits(w.report) {
			break
		}
		w.report.Report.Limits = quota.AddAge(w.report.Report.Limits, now-w.at)
		batch = append(batch, w.report)
		delete(b.queued, w.report.Source)
	}
	return batch
}

// Remove drops all data of an instance.
func (b *Inbox) Remove(id ID) {
	delete(b.newest, id)
	delete(b.queued, id)
}
