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

// tellZone sends a batch to the instances of the zone: the platform's rows and who there is
// each time, and as much of the loads as the link bears. The reports of single instances and
// what the other zones have come first by turns, so that neither waits for good.
func (r *Reporter) tellZone(times bool) {
	word := r.exchange.zonesWord()
	message := r.message(sfv1.Datagram_KIND_BATCH)
	message.Peers, message.Instances, message.Readers = peersToMessages(word.peers), uint32(word.instances), uint32(word.readers)
	message.Coordinator = r.exchange.coordinator()
	r.addRows(message)
	b := &batch{reports: r, message: message, to: r.exchange.beside(), bytes: proto.Size(message)}
	if r.zonesLast = !r.zonesLast; r.zonesLast {
		b.addInstances(times)
		b.addZones()
	} else {
		b.addZones()
		b.addInstances(times)
	}
	r.allowance.Spend(r.send(message, b.to))
}

// room tells whether the link bears more than the batch has.
func (b *batch) room() bool {
	return b.reports.allowance.Allows(b.bytes*len(b.to), b.reports.exchange.now())
}

// addZones adds what the other zones have.
func (b *batch) addZones() {
	if !b.room() {
		return
	}
	b.message.Beyond = reportToMessage(b.reports.loads.OtherZonesReport())
	b.bytes += proto.Size(b.message.Beyond)
}

// addInstances adds this instance's report, and those of the others that wait.
func (b *batch) addInstances(times bool) {
	if !b.room() {
		return
	}
	for _, own := range b.reports.own(times) {
		b.addInstance(own)
	}
	b.reports.exchange.nextReports(func(o fanout.InstanceReport) bool {
		if !b.room() {
			return false
		}
		b.addInstance(ownToMessage(o))
		return true
	})
}

func (b *batch) addInstance(report *sfv1.InstanceReport) {
	b.message.Reports = append(b.message.Reports, report)
	b.bytes += proto.Size(report)
}

// rowsBytes bounds the rows that a batch brings: an upstream's entry has some 300
// bytes. More are pulled.
const rowsBytes = 2048

// addRows has a batch bring the rows that changed since the last one.
func (r *Reporter) addRows(message *sfv1.Datagram) {
	since := r.told
	r.told = message.GetRevisions()
	if since == nil || !behind(since, message.GetRevisions()) {
		return
	}
	rows, hold := r.exchange.rows.Since(since)
	added := &sfv1.Datagram{Rows: rowsToMessages(rows), Since: since, HoldMs: uint32(hold.Milliseconds())}
	if proto.Size(added) <= rowsBytes {
		proto.Merge(message, added)
	}
}
