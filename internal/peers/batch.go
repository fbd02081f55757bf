package peers

import (
	"google.golang.org/protobuf/proto"

	"sassafrasfield/internal/fanout"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/replica"
)

// batch is the next message of a hub to the instances of its zone. Reports are added to it as
// long as the link's allowance permits.
type batch struct {
	reporter *Reporter
	message  *sfv1.Datagram
	to       []string
	bytes    int // size of the message
}

// sendBatch sends a batch to the instances of the zone. Each batch has the new rows and the
// status of the fleet, and as many reports as the link's allowance permits. The reports of this
// zone's instances and the report on the other zones come first in alternate batches, so that
// neither is starved.
func (r *Reporter) sendBatch(times bool) {
	header := r.exchange.nextBatchHeader()
	message := r.newDatagram(sfv1.Datagram_KIND_BATCH)
	message.Peers, message.Instances, message.Readers = peersToMessages(header.peers), uint32(header.instances), uint32(header.readers)
	message.Coordinator = r.exchange.coordinator()
	if times { // the hubs change as rarely as the times of the engines
		message.Hubs = r.exchange.otherHubs()
	}
	r.addRows(message)
	b := &batch{reporter: r, message: message, to: r.exchange.zoneAddresses(), bytes: proto.Size(message)}
	if r.otherZonesLast = !r.otherZonesLast; r.otherZonesLast {
		b.addReports(times)
		b.addOtherZones()
	} else {
		b.addOtherZones()
		b.addReports(times)
	}
	r.allowance.Spend(r.send(message, b.to))
}

// hasRoom reports whether the link's allowance permits more than the batch has.
func (b *batch) hasRoom() bool {
	return b.reporter.allowance.Allows(b.bytes*len(b.to), b.reporter.exchange.now())
}

// addOtherZones adds the report on the other zones.
func (b *batch) addOtherZones() {
	if !b.hasRoom() {
		return
	}
	b.message.Beyond = reportToMessage(b.reporter.loads.OtherZonesReport())
	b.bytes += proto.Size(b.message.Beyond)
}

// addReports adds this instance's report and the pending reports of the others.
func (b *batch) addReports(times bool) {
	if !b.hasRoom() {
		return
	}
	for _, own := range b.reporter.ownReports(times) {
		b.addReport(own)
	}
	b.reporter.exchange.pendingReports(func(o fanout.InstanceReport) bool {
		if !b.hasRoom() {
			return false
		}
		b.addReport(ownToMessage(o))
		return true
	})
}

func (b *batch) addReport(report *sfv1.InstanceReport) {
	b.message.Reports = append(b.message.Reports, report)
	b.bytes += proto.Size(report)
}

// maxRowsBytes bounds the rows in a batch: the row of an upstream has some 300 bytes. Receivers
// pull the rows if there are more.
const maxRowsBytes = 2048

// addRows adds the rows that changed since the last batch. Rows with bookmarks are left out: what a
// receiver needs then depends on its own copy, and it has to pull.
func (r *Reporter) addRows(message *sfv1.Datagram) {
	since := r.lastRevisions
	r.lastRevisions = knownRevisions(message)
	if since == nil || !isBehind(since, r.lastRevisions) {
		return
	}
	rows, hold := r.exchange.rows.Since(replica.State{Revisions: since})
	messages, bookmarks := rowsToMessages(rows)
	if len(bookmarks) > 0 {
		return
	}
	added := &sfv1.Datagram{Rows: messages, Since: since, HoldMs: uint32(hold.Milliseconds())}
	if proto.Size(added) <= maxRowsBytes {
		proto.Merge(message, added)
	}
}
