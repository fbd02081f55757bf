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

// otherZonesSource is the source name of the report on all other zones.
const otherZonesSource = "zones"

// readRetryPause is the pause after a failed read from the socket.
const readRetryPause = 100 * time.Millisecond

func (r *Reporter) listen(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxUDPDatagram)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.exchange.log.Info("peers: datagrams cannot be read", "error", err)
			time.Sleep(readRetryPause)
			continue
		}
		message := &sfv1.Datagram{}
		if err := proto.Unmarshal(buffer[:n], message); err != nil {
			r.exchange.log.Info("peers: invalid datagram", "error", err)
			continue
		}
		r.handleDatagram(ctx, message)
	}
}

// handleDatagram handles a received datagram.
func (r *Reporter) handleDatagram(ctx context.Context, message *sfv1.Datagram) {
	peer := r.exchange.addPeer(fromMessage(message.GetFrom()))
	if peer == nil {
		return
	}
	for _, p := range message.GetPeers() {
		r.exchange.addPeer(fromMessage(p))
	}
	inZone := message.GetFrom().GetZone() == r.exchange.self.Zone
	switch message.GetKind() {
	case sfv1.Datagram_KIND_OWN:
		r.handleOwnReport(message, peer, inZone)
	case sfv1.Datagram_KIND_ASK:
		r.handleRetryRequest(message, peer)
	case sfv1.Datagram_KIND_GRANT:
		r.retryRequests.resolve(message.GetAsk().GetId(), message.GetAsk().GetGranted())
	case sfv1.Datagram_KIND_LIMIT_ASK:
		r.handleGrantRequest(message.GetLimitAsk(), peer)
	case sfv1.Datagram_KIND_LIMIT_VERDICT:
		r.grantRequests.resolve(message.GetLimitVerdict().GetId(), verdictFromMessage(message.GetLimitVerdict()))
	case sfv1.Datagram_KIND_QUOTA_ASK:
		r.handleQuotaAsk(message.GetQuotaAsk(), peer)
	case sfv1.Datagram_KIND_QUOTA_VERDICT:
		r.quotaRequests.resolve(message.GetQuotaVerdict().GetId(), quotaGrantFromMessage(message.GetQuotaVerdict()))
	case sfv1.Datagram_KIND_STREAM_RECORDS:
		r.handleStreamRecords(message.GetStreamRecords(), inZone)
		return
	case sfv1.Datagram_KIND_STREAM_ASK:
		r.handleStreamAsk(ctx, message.GetStreamAsk(), peer)
		return
	case sfv1.Datagram_KIND_STREAM_ANSWER:
		answer := message.GetStreamAnswer()
		r.streamRequests.resolve(answer.GetId(), streamAnswerFromMessage(answer))
		return
	case sfv1.Datagram_KIND_STREAM_CLAIM:
		go r.handleStreamClaim(ctx, message.GetStreamClaim(), peer)
		return
	case sfv1.Datagram_KIND_STREAM_CLAIM_RESULT:
		result := message.GetStreamClaimResult()
		r.claimRequests.resolve(result.GetId(), claimResultFromMessage(result))
		return
	case sfv1.Datagram_KIND_RESERVE_ASK:
		r.handleReserveAsk(message.GetReserveAsk(), peer)
		return
	case sfv1.Datagram_KIND_RESERVE_GRANT:
		grant := message.GetReserveGrant()
		r.reservationRequests.resolve(grant.GetId(), reserveGrantFromMessage(grant))
		return
	case sfv1.Datagram_KIND_RESERVE_END:
		end := message.GetReserveEnd()
		r.loads.EndReservation(end.GetPrompt(), end.GetEngine(), end.GetProcessed())
		return
	case sfv1.Datagram_KIND_PACE:
		r.handlePace(message.GetPace())
		return
	case sfv1.Datagram_KIND_SPEEDS:
		r.loads.ApplySpeeds(speedsFromMessage(message))
		return
	case sfv1.Datagram_KIND_BATCH:
		if !inZone {
			return
		}
		r.handleBatch(message, peer)
	case sfv1.Datagram_KIND_ZONE:
		if inZone || !r.handleZoneReport(message, peer) {
			return
		}
	}
	r.handleRows(ctx, message, peer)
}

// handleRows applies the rows in a datagram. If the datagram only names newer revisions, it
// starts a pull from the sender.
func (r *Reporter) handleRows(ctx context.Context, message *sfv1.Datagram, peer *peerState) {
	rows, known := r.exchange.rows, knownRevisions(message)
	r.exchange.applyRevisions(known)
	if !isBehind(rows.Revisions(), known) {
		return
	}
	if len(message.GetRows()) > 0 && !isBehind(rows.Revisions(), message.GetSince()) {
		rows.ApplyRows(rowsFromMessages(message.GetRows(), nil), time.Duration(message.GetHoldMs())*time.Millisecond)
		return
	}
	r.exchange.startPull(ctx, peer)
}

// handleOwnReport handles an instance's report on itself. A sender that should report to other
// instances gets their addresses.
func (r *Reporter) handleOwnReport(message *sfv1.Datagram, peer *peerState, inZone bool) {
	if inZone {
		r.applyReports(message.GetReports(), true)
	}
	if contacts := r.exchange.betterContacts(peer); len(contacts) > 0 {
		reply := r.newDatagram(sfv1.Datagram_KIND_CONTACTS)
		reply.Peers = peersToMessages(contacts)
		r.send(reply, []string{peer.Address})
	}
}

// applyReports applies the reports of instances of this zone. With relay set, the next batch
// relays them.
func (r *Reporter) applyReports(messages []*sfv1.InstanceReport, relay bool) {
	for _, m := range messages {
		own := ownFromMessage(m)
		if own.Source != r.exchange.id && r.exchange.acceptReport(own, relay) {
			r.loads.ApplyReport(sourceOf(own.Source), own.Report)
		}
	}
}

// handleBatch handles a batch from a hub of this zone.
func (r *Reporter) handleBatch(message *sfv1.Datagram, peer *peerState) {
	r.applyReports(message.GetReports(), false)
	status := batchStatus{instances: int(message.GetInstances()), readers: int(message.GetReaders()), coordinator: message.GetCoordinator()}
	if !r.exchange.acceptBatchStatus(peer, status) {
		return
	}
	r.exchange.noteHubs(message.GetHubs())
	if message.GetBeyond() != nil {
		r.loads.ApplyReport(otherZonesSource, reportFromMessage(message.GetBeyond()))
	}
}

// handleZoneReport handles the report of another zone and returns whether this instance applied
// it. An instance that is not the hub forwards the report to those that relay reports.
func (r *Reporter) handleZoneReport(message *sfv1.Datagram, peer *peerState) bool {
	zone := message.GetFrom().GetZone()
	status := zoneStatus{
		hub: peer, instances: int(message.GetInstances()), reading: message.GetReaders() > 0, mayCoordinate: message.GetMayCoordinate(),
	}
	if !r.exchange.acceptZoneStatus(zone, status) {
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

// isBehind reports whether any revision in other is above the own one.
func isBehind(own, other map[string]int64) bool {
	for table, revision := range other {
		if revision > own[table] {
			return true
		}
	}
	return false
}

// acceptReport records an instance's report, and returns whether it is newer than the previous
// ones.
func (e *Exchange) acceptReport(o fanout.InstanceReport, relay bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.inbox.Accept(o) {
		return false
	}
	now := e.now()
	e.recordReport(o, now)
	if relay {
		e.inbox.Enqueue(o, now)
	}
	return true
}

// acceptBatchStatus records the status in a batch, and returns whether to apply the batch's
// report on the other zones.
func (e *Exchange) acceptBatchStatus(peer *peerState, status batchStatus) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, id := e.now(), peer.ID()
	peer.lastSeen = now
	e.roster.BatchReceived(id, now)
	if e.isHub(now) {
		return false // a hub receives the reports of the other zones itself
	}
	status.at = now
	e.lastBatch = status
	return true
}

// acceptZoneStatus records the report of another zone's hub, and returns whether this instance
// should apply it.
func (e *Exchange) acceptZoneStatus(zone string, status zoneStatus) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if !e.isHub(now) {
		return false
	}
	status.hub.lastSeen, status.at = now, now
	e.zones[zone] = status
	return true
}

// hubState returns whether this instance is the hub, and whether it receives batches.
func (e *Exchange) hubState() (isHub, receivesBatches bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	return e.isHub(now), e.roster.ReceivesBatches(now)
}

// betterContacts lists the instances to which a peer should send its reports instead of this one;
// none if this instance is the right receiver.
func (e *Exchange) betterContacts(peer *peerState) []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if peer.Zone != e.self.Zone {
		return e.contacts(peer.Zone)
	}
	now := e.now()
	if e.isHub(now) || e.roster.Rank(now) <= 1 {
		return nil
	}
	var list []Peer
	for _, id := range e.roster.Receivers(now) {
		if better, ok := e.byID[id]; ok && better != peer {
			list = append(list, better.Peer)
		}
	}
	return list
}

// contactsFor lists the live instances of a zone, and some of each other zone.
func (e *Exchange) contactsFor(zone string) []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.contacts(zone)
}

// receivers returns the addresses to which this instance sends its reports. They include the
// seeds while it receives no batches.
func (e *Exchange) receivers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	var list []string
	for _, id := range e.roster.Receivers(now) {
		if peer, ok := e.byID[id]; ok {
			list = append(list, peer.Address)
		}
	}
	if e.roster.ReceivesBatches(now) {
		return list
	}
	return append(list, e.otherSeeds()...)
}

// seedAddresses returns the addresses of the seeds other than this instance.
func (e *Exchange) seedAddresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.otherSeeds()
}

// zoneAddresses returns the addresses of the instances of this zone.
func (e *Exchange) zoneAddresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []string
	for _, peer := range e.byID {
		if peer.Zone == e.self.Zone {
			list = append(list, peer.Address)
		}
	}
	return list
}

// otherZoneAddresses returns the addresses to which this zone's reports are sent.
func (e *Exchange) otherZoneAddresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	var list []string
	for zone := range e.otherZones() {
		for _, peer := range e.contactsOf(zone, now) {
			list = append(list, peer.Address)
		}
	}
	return list
}

// zoneCounts returns the number of instances of this zone, and 1 reader if any of them follows
// the store.
func (e *Exchange) zoneCounts() (instances, readers uint32) {
	self := e.rows.Reading()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.zoneHasReader(e.now(), self) {
		readers = 1
	}
	return uint32(e.roster.KnownCount()), readers
}

// batchHeader is what a batch has besides rows and reports.
type batchHeader struct {
	peers              []Peer
	instances, readers int
}

// nextBatchHeader returns the header of the next batch.
func (e *Exchange) nextBatchHeader() batchHeader {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	header := batchHeader{peers: e.nextIntroductions(now), instances: e.currentCount(now)}
	for _, z := range e.zones {
		if z.reading && now-z.at <= statusTimeout {
			header.readers++
		}
	}
	return header
}

// pendingReports returns the pending reports to relay now, as long as they fit.
func (e *Exchange) pendingReports(fits func(fanout.InstanceReport) bool) []fanout.InstanceReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inbox.Batch(e.now(), fits)
}
