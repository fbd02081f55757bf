package fanout

import (
	"cmp"
	"slices"
	"time"

	"sassafrasfield/internal/quota"
	"sassafrasfield/internal/upstreamstate"
)

// InstanceReport is an instance's report on itself.
type InstanceReport struct {
	Source ID
	// Boot is another number with each start of the instance's process; Sequence
	// counts its reports since.
	Boot, Sequence uint32
	// Reading tells that it follows the platform's store, and that it answers.
	Reading bool
	Report  upstreamstate.Report
}

// placedAtMost bounds the parts that wait with one instance's report.
const placedAtMost = 64

// endsAtMost bounds the ends of upstreams that wait with one instance's report.
const endsAtMost = 32

// Inbox has the reports of a zone's instances: which one of each is the newest, and
// those that wait to be passed on. It is not safe for concurrent use.
type Inbox struct {
	newest  map[ID]stamp
	waiting map[ID]waiting
}

// stamp tells one report of an instance from the others.
type stamp struct {
	boot, sequence uint32
}

// waiting is a report that is to be passed on.
type waiting struct {
	own InstanceReport
	// at is when it came, since when a report of its source has waited.
	at, since time.Duration
}

// NewInbox returns an empty inbox.
func NewInbox() *Inbox { return &Inbox{newest: map[ID]stamp{}, waiting: map[ID]waiting{}} }

// Accept takes a report, and tells whether it is newer than those before. The same one
// may come from several instances that pass it on.
func (b *Inbox) Accept(o InstanceReport) bool {
	last, known := b.newest[o.Source]
	if known && last.boot == o.Boot && int32(o.Sequence-last.sequence) <= 0 {
		return false
	}
	b.newest[o.Source] = stamp{boot: o.Boot, sequence: o.Sequence}
	return true
}

// Enqueue has the next batch pass a report on. One that waits already gives way to it,
// but for the parts, the ends and the limits that it told of.
func (b *Inbox) Enqueue(o InstanceReport, now time.Duration) {
	placed := append(b.waiting[o.Source].own.Report.Placed, o.Report.Placed...)
	o.Report.Placed = placed[max(0, len(placed)-placedAtMost):]
	if o.Report.Times == nil {
		o.Report.Times = b.waiting[o.Source].own.Report.Times
	}
	ends := append(b.waiting[o.Source].own.Report.Crashes, o.Report.Crashes...)
	o.Report.Crashes = ends[max(0, len(ends)-endsAtMost):]
	if w, waits := b.waiting[o.Source]; waits {
		o.Report.Limits = quota.Merge(quota.AddAge(w.own.Report.Limits, now-w.at), o.Report.Limits)
	}
	o.Report.RetryOverflow, o.Report.Usage = nil, nil // these are for those that pass reports on
	since := now
	if w, waits := b.waiting[o.Source]; waits {
		since = w.since
	}
	b.waiting[o.Source] = waiting{own: o, at: now, since: since}
}

// Batch returns the reports that wait, those of the sources that have waited longest
// first, as long as they fit. The others wait on, but for those that are so old that their
// source may be gone.
func (b *Inbox) Batch(now time.Duration, fits func(InstanceReport) bool) []InstanceReport {
	var list []waiting
	for id, w := range b.waiting {
		if now-w.at > aliveFor {
			delete(b.waiting, id)
			continue
		}
		list = append(list, w)
	}
	slices.SortFunc(list, func(x, y waiting) int { return cmp.Compare(x.since, y.since) })
	var batch []InstanceReport
	for _, w := range list {
		if !fits(w.own) {
			break
		}
		w.own.Report.Limits = quota.AddAge(w.own.Report.Limits, now-w.at)
		batch = append(batch, w.own)
		delete(b.waiting, w.own.Source)
	}
	return batch
}

// Forget drops an instance.
func (b *Inbox) Forget(id ID) {
	delete(b.newest, id)
	delete(b.waiting, id)
}
