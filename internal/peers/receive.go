package peers

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sassafrasfield/internal/fanout"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
)

// otherZonesSource names the source of what all other zones have together.
const otherZonesSource = "zones"

// readRetryPause is the pause after the datagrams could not be read.
const readRetryPause = 100 * time.Millisecond

func (r *Reporter) listen(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxUDPDatagram)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.exchange.log.Info("peers: reports cannot be read", "error", err)
			time.Sleep(readRetryPause)
			continue
		}
		message := &sfv1.Datagram{}
		if err := proto.Unmarshal(buffer[:n], message); err != nil {
			r.exchange.log.Info("peers: a report cannot be read", "error", err)
			continue
		}
		r.handleDatagram(ctx, message)
	}
}

// handleDatagram takes a datagram.
func (r *Reporter) handleDatagram(ctx context.Context, message *sfv1.Datagram) {
	k := r.exchange.addPeer(fromMessage(message.GetFrom()))
	if k == nil {
		return
	}
	for _, p := range message.GetPeers() {
		r.exchange.addPeer(fromMessage(p))
	}
	inZone := message.GetFrom().GetZone() == r.exchange.self.Zone
	switch message.GetKind() {
	case sfv1.Datagram_KIND_OWN:
		r.handleOwnReport(message, k, inZone)
	case sfv1.Datagram_KIND_ASK:
		r.handleRetryRequest(message, k)
	case sfv1.Datagram_KIND_GRANT:
		r.retryRequests.resolve(message.GetAsk().GetId(), message.GetAsk().GetGranted())
	case sfv1.Datagram_KIND_LIMIT_ASK:
		r.handleGrantRequest(message.GetLimitAsk(), k)
	case sfv1.Datagram_KIND_LIMIT_VERDICT:
		r.grantRequests.resolve(message.GetLimitVerdict().GetId(), verdictFromMessage(message.GetLimitVerdict()))
	case sfv1.Datagram_KIND_BATCH:
		if !inZone {
			return
		}
		r.handleBatch(message, k)
	case sfv1.Datagram_KIND_ZONE:
		if inZone || !r.handleZoneReport(message, k) {
			return
		}
	}
	r.handleRows(ctx, message, k)
}

// handleRows takes the rows that a datagram brings, and pulls those that it only tells
// of.
func (r *Reporter) handleRows(ctx context.Context, message *sfv1.Datagram, k *peerState) {
	rows := r.exchange.rows
	r.exchange.applyRevisions(message.GetRevisions())
	if !isBehind(rows.Revisions(), message.GetRevisions()) {
		return
	}
	if len(message.GetRows()) > 0 && !isBehind(rows.Revisions(), message.GetSince()) {
		rows.ApplyRows(rowsFromMessages(message.GetRows()), time.Duration(message.GetHoldMs())*time.Millisecond)
		return
	}
	r.exchange.startPull(ctx, k)
}

// handleOwnReport takes an instance's report on itself. One that tells the wrong instance
// is told of better ones.
func (r *Reporter) handleOwnReport(message *sfv1.Datagram, k *peerState, inZone bool) {
	if inZone {
		r.applyReports(message.GetReports(), true)
	}
	if contacts := r.exchange.betterContacts(k); len(contacts) > 0 {
		reply := r.newDatagram(sfv1.Datagram_KIND_CONTACTS)
		reply.Peers = peersToMessages(contacts)
		r.send(reply, []string{k.Address})
	}
}

// applyReports takes the reports of instances of this zone; keep has the next batch
// pass them on.
func (r *Reporter) applyReports(messages []*sfv1.InstanceReport, keep bool) {
	for _, m := range messages {
		own := ownFromMessage(m)
		if own.Source != r.exchange.id && r.exchange.acceptReport(own, keep) {
			r.loads.ApplyReport(sourceOf(own.Source), own.Report)
		}
	}
}

// handleBatch takes what the zone's hub passes on. Of several hubs the one that ranks
// first has the word on the other zones.
func (r *Reporter) handleBatch(message *sfv1.Datagram, k *peerState) {
	r.applyReports(message.GetReports(), false)
	word := batchStatus{instances: int(message.GetInstances()), readers: int(message.GetReaders()), coordinator: message.GetCoordinator()}
	if !r.exchange.acceptBatchStatus(k, word) {
		return
	}
	if message.GetBeyond() != nil {
		r.loads.ApplyReport(otherZonesSource, reportFromMessage(message.GetBeyond()))
	}
}

// handleZoneReport takes the report of another zone, or gives it to those that pass reports
// on, and tells whether it is taken here.
func (r *Reporter) handleZoneReport(message *sfv1.Datagram, k *peerState) bool {
	zone := message.GetFrom().GetZone()
	word := zoneStatus{
		hub: k, instances: int(message.GetInstances()), reading: message.GetReaders() > 0, mayCoordinate: message.GetMayCoordinate(),
	}
	if !r.exchange.acceptZoneStatus(zone, word) {
		if !message.GetForwarded() {
			message.Forwarded = true
			r.send(message, r.exchange.receivers())
		}
		return false
	}
	r.loads.ApplyReport(zoneSource(zone), reportFromMessage(message.GetBeyond()))
	return true
}

func zoneSource(zone string) string { return "zone " + zone }

// isBehind tells whether any of the other's revisions is above the own.
func isBehind(own, other map[string]int64) bool {
	for table, revision := range other {
		if revision > own[table] {
			return true
		}
	}
	return false
}

// acceptReport notes an instance's report, and tells whether it is news.
func (e *Exchange) acceptReport(o fanout.InstanceReport, keep bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.inbox.Accept(o) {
		return false
	}
	now := e.now()
	e.recordReport(o, now)
	if keep {
		e.inbox.Enqueue(o, now)
	}
	return true
}

// acceptBatchStatus notes a batch, and tells whether its sender has the word on other zones.
func (e *Exchange) acceptBatchStatus(k *peerState, word batchStatus) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, id := e.now(), k.ID()
	k.lastSeen = now
	e.roster.BatchReceived(id, now)
	if e.isHub(now) {
		return false // this instance hears of them itself
	}
	word.at = now
	e.lastBatch = word
	return true
}

// acceptZoneStatus notes the report of another zone's hub, and tells whether this instance
// is to take it.
func (e *Exchange) acceptZoneStatus(zone string, word zoneStatus) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if !e.isHub(now) {
		return false
	}
	word.hub.lastSeen, word.at = now, now
	e.zones[zone] = word
	return true
}

// hubState tells whether this instance passes reports on, and whether batches reach it.
func (e *Exchange) hubState() (passes, hears bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	return e.isHub(now), e.roster.ReceivesBatches(now)
}

// betterContacts lists whom a peer should tell its reports instead of this instance; none
// when it is one of them.
func (e *Exchange) betterContacts(k *peerState) []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if k.Zone != e.self.Zone {
		return e.contacts(k.Zone)
	}
	now := e.now()
	if e.isHub(now) || e.roster.Rank(now) <= 1 {
		return nil
	}
	var list []Peer
	for _, id := range e.roster.Receivers(now) {
		if better, ok := e.byID[id]; ok && better != k {
			list = append(list, better.Peer)
		}
	}
	return list
}

// contactsFor lists the instances of a zone, and some of each other zone.
func (e *Exchange) contactsFor(zone string) []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.contacts(zone)
}

// receivers are the addresses of those who are told this instance's reports: the
// seeds too while no batches come.
func (e *Exchange) receivers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	var list []string
	for _, id := range e.roster.Receivers(now) {
		if k, ok := e.byID[id]; ok {
			list = append(list, k.Address)
		}
	}
	if e.roster.ReceivesBatches(now) {
		return list
	}
	return append(list, e.otherSeeds()...)
}

// seedAddresses are the addresses of the seeds, but for this instance's own.
func (e *Exchange) seedAddresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.otherSeeds()
}

// zoneAddresses are the addresses of the instances of this zone.
func (e *Exchange) zoneAddresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []string
	for _, k := range e.byID {
		if k.Zone == e.self.Zone {
			list = append(list, k.Address)
		}
	}
	return list
}

// otherZoneAddresses are the addresses of those who are told this zone's reports.
func (e *Exchange) otherZoneAddresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	var list []string
	for zone := range e.otherZones() {
		for _, k := range e.contactsOf(zone, now) {
			list = append(list, k.Address)
		}
	}
	return list
}

// zoneCounts is how many instances this zone has, and readers of the store.
func (e *Exchange) zoneCounts() (instances, readers uint32) {
	self := e.rows.Reading()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.zoneHasReader(e.now(), self) {
		readers = 1
	}
	return uint32(e.roster.KnownCount()), readers
}

// batchHeader is what a batch tells besides reports.
type batchHeader struct {
	peers              []Peer
	instances, readers int
}

// nextBatchHeader returns what the next batch tells besides reports.
func (e *Exchange) nextBatchHeader() batchHeader {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	word := batchHeader{peers: e.nextIntroductions(now), instances: e.currentCount(now)}
	for _, z := range e.zones {
		if z.reading && now-z.at <= statusTimeout {
			word.readers++
		}
	}
	return word
}

// pendingReports returns the reports that are passed on now.
func (e *Exchange) pendingReports(fits func(fanout.InstanceReport) bool) []fanout.InstanceReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inbox.Batch(e.now(), fits)
}
