package peers

import (
	"google.golang.org/protobuf/proto"

	"sassafrasfield/internal/fanout"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
)

// batch is what an instance that passes reports on sends to its zone next. It grows as long
// as the link bears it.
type batch struct {
	reports *Reporter
	message *sfv1.Datagram
	to      []string
	bytes   int // of the message
}

// sendBatch sends a batch to the instances of the zone: the platform's rows and who there is
// each time, and as much of the loads as the link bears. The reports of single instances and
// what the other zones have come first by turns, so that neither waits for good.
func (r *Reporter) sendBatch(times bool) {
	word := r.exchange.nextBatchHeader()
	message := r.newDatagram(sfv1.Datagram_KIND_BATCH)
	message.Peers, message.Instances, message.Readers = peersToMessages(word.peers), uint32(word.instances), uint32(word.readers)
	message.Coordinator = r.exchange.coordinator()
	r.addRows(message)
	b := &batch{reports: r, message: message, to: r.exchange.zoneAddresses(), bytes: proto.Size(message)}
	if r.otherZonesLast = !r.otherZonesLast; r.otherZonesLast {
		b.addReports(times)
		b.addOtherZones()
	} else {
		b.addOtherZones()
		b.addReports(times)
	}
	r.allowance.Spend(r.send(message, b.to))
}

// hasRoom tells whether the link bears more than the batch has.
func (b *batch) hasRoom() bool {
	return b.reports.allowance.Allows(b.bytes*len(b.to), b.reports.exchange.now())
}

// addOtherZones adds what the other zones have.
func (b *batch) addOtherZones() {
	if !b.hasRoom() {
		return
	}
	b.message.Beyond = reportToMessage(b.reports.loads.OtherZonesReport())
	b.bytes += proto.Size(b.message.Beyond)
}

// addReports adds this instance's report, and those of the others that wait.
func (b *batch) addReports(times bool) {
	if !b.hasRoom() {
		return
	}
	for _, own := range b.reports.ownReports(times) {
		b.addReport(own)
	}
	b.reports.exchange.pendingReports(func(o fanout.InstanceReport) bool {
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

// maxRowsBytes bounds the rows that a batch brings: an upstream's entry has some 300
// bytes. More are pulled.
const maxRowsBytes = 2048

// addRows has a batch bring the rows that changed since the last one.
func (r *Reporter) addRows(message *sfv1.Datagram) {
	since := r.lastRevisions
	r.lastRevisions = message.GetRevisions()
	if since == nil || !isBehind(since, message.GetRevisions()) {
		return
	}
	rows, hold := r.exchange.rows.Since(since)
	added := &sfv1.Datagram{Rows: rowsToMessages(rows), Since: since, HoldMs: uint32(hold.Milliseconds())}
	if proto.Size(added) <= maxRowsBytes {
		proto.Merge(message, added)
	}
}
