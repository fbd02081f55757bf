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

// beyondSource names the source of what all other zones have together.
const beyondSource = "zones"

// readAgainAfter is the pause after the datagrams could not be read.
const readAgainAfter = 100 * time.Millisecond

func (r *Reporter) listen(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, longestDatagram)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.exchange.log.Info("peers: reports cannot be read", "error", err)
			time.Sleep(readAgainAfter)
			continue
		}
		message := &sfv1.Datagram{}
		if err := proto.Unmarshal(buffer[:n], message); err != nil {
			r.exchange.log.Info("peers: a report cannot be read", "error", err)
			continue
		}
		r.take(ctx, message)
	}
}

// take takes a datagram.
func (r *Reporter) take(ctx context.Context, message *sfv1.Datagram) {
	k := r.exchange.meet(fromMessage(message.GetFrom()))
	if k == nil {
		return
	}
	for _, p := range message.GetPeers() {
		r.exchange.meet(fromMessage(p))
	}
	inZone := message.GetFrom().GetZone() == r.exchange.self.Zone
	switch message.GetKind() {
	case sfv1.Datagram_KIND_OWN:
		r.takeOwn(message, k, inZone)
	case sfv1.Datagram_KIND_ASK:
		r.takeAsk(message, k)
	case sfv1.Datagram_KIND_GRANT:
		r.asks.answered(message.GetAsk().GetId(), message.GetAsk().GetGranted())
	case sfv1.Datagram_KIND_LIMIT_ASK:
		r.takeLimitAsk(message.GetLimitAsk(), k)
	case sfv1.Datagram_KIND_LIMIT_VERDICT:
		r.limitAsks.answered(message.GetLimitVerdict().GetId(), verdictFromMessage(message.GetLimitVerdict()))
	case sfv1.Datagram_KIND_BATCH:
		if !inZone {
			return
		}
		r.takeBatch(message, k)
	case sfv1.Datagram_KIND_ZONE:
		if inZone || !r.takeZone(message, k) {
			return
		}
	}
	r.takeRows(ctx, message, k)
}

// takeRows takes the rows that a datagram brings, and pulls those that it only tells
// of.
func (r *Reporter) takeRows(ctx context.Context, message *sfv1.Datagram, k *known) {
	rows := r.exchange.rows
	r.exchange.heardRevisions(message.GetRevisions())
	if !behind(rows.Revisions(), message.GetRevisions()) {
		return
	}
	if len(message.GetRows()) > 0 && !behind(rows.Revisions(), message.GetSince()) {
		rows.ApplyRows(rowsFromMessages(message.GetRows()), time.Duration(message.GetHoldMs())*time.Millisecond)
		return
	}
	r.exchange.pullOnce(ctx, k)
}

// takeOwn takes an instance's report on itself. One that tells the wrong instance
// is told of better ones.
func (r *Reporter) takeOwn(message *sfv1.Datagram, k *known, inZone bool) {
	if inZone {
		r.takeReports(message.GetReports(), true)
	}
	if contacts := r.exchange.betterFor(k); len(contacts) > 0 {
		reply := r.message(sfv1.Datagram_KIND_CONTACTS)
		reply.Peers = peersToMessages(contacts)
		r.send(reply, []string{k.Address})
	}
}

// takeReports takes the reports of instances of this zone; keep has the next batch
// pass them on.
func (r *Reporter) takeReports(messages []*sfv1.InstanceReport, keep bool) {
	for _, m := range messages {
		own := ownFromMessage(m)
		if own.Source != r.exchange.id && r.exchange.takeOwn(own, keep) {
			r.loads.ApplyReport(sourceOf(own.Source), own.Report)
		}
	}
}

// takeBatch takes what the zone's hub passes on. Of several hubs the one that ranks
// first has the word on the other zones.
func (r *Reporter) takeBatch(message *sfv1.Datagram, k *known) {
	r.takeReports(message.GetReports(), false)
	word := batchWord{instances: int(message.GetInstances()), readers: int(message.GetReaders()), coordinator: message.GetCoordinator()}
	if !r.exchange.batched(k, word) {
		return
	}
	if message.GetBeyond() != nil {
		r.loads.ApplyReport(beyondSource, reportFromMessage(message.GetBeyond()))
	}
}

// takeZone takes the report of another zone, or gives it to those that pass reports
// on, and tells whether it is taken here.
func (r *Reporter) takeZone(message *sfv1.Datagram, k *known) bool {
	zone := message.GetFrom().GetZone()
	word := zoneWord{
		hub: k, instances: int(message.GetInstances()), reading: message.GetReaders() > 0, mayCoordinate: message.GetMayCoordinate(),
	}
	if !r.exchange.heardZone(zone, word) {
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

// behind tells whether any of the other's revisions is above the own.
func behind(own, other map[string]int64) bool {
	for table, revision := range other {
		if revision > own[table] {
			return true
		}
	}
	return false
}

// takeOwn notes an instance's report, and tells whether it is news.
func (e *Exchange) takeOwn(o fanout.InstanceReport, keep bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.inbox.Accept(o) {
		return false
	}
	now := e.now()
	e.heardOwn(o, now)
	if keep {
		e.inbox.Enqueue(o, now)
	}
	return true
}

// batched notes a batch, and tells whether its sender has the word on other zones.
func (e *Exchange) batched(k *known, word batchWord) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, id := e.now(), k.ID()
	k.heardAt = now
	e.roster.BatchReceived(id, now)
	if e.passes(now) {
		return false // this instance hears of them itself
	}
	word.at = now
	e.batch = word
	return true
}

// heardZone notes the report of another zone's hub, and tells whether this instance
// is to take it.
func (e *Exchange) heardZone(zone string, word zoneWord) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if !e.passes(now) {
		return false
	}
	word.hub.heardAt, word.at = now, now
	e.zones[zone] = word
	return true
}

// state tells whether this instance passes reports on, and whether batches reach it.
func (e *Exchange) state() (passes, hears bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	return e.passes(now), e.roster.ReceivesBatches(now)
}

// betterFor lists whom a peer should tell its reports instead of this instance; none
// when it is one of them.
func (e *Exchange) betterFor(k *known) []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if k.Zone != e.self.Zone {
		return e.contacts(k.Zone)
	}
	now := e.now()
	if e.passes(now) || e.roster.Rank(now) <= 1 {
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
	return append(list, e.greeted()...)
}

// seedAddresses are the addresses of the seeds, but for this instance's own.
func (e *Exchange) seedAddresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.greeted()
}

// beside are the addresses of the instances of this zone.
func (e *Exchange) beside() []string {
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

// beyond are the addresses of those who are told this zone's reports.
func (e *Exchange) beyond() []string {
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

// zoneWord is how many instances this zone has, and readers of the store.
func (e *Exchange) zoneWord() (instances, readers uint32) {
	self := e.rows.Reading()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.zoneReads(e.now(), self) {
		readers = 1
	}
	return uint32(e.roster.KnownCount()), readers
}

// zonesWord is what a batch tells besides reports.
type zonesWord struct {
	peers              []Peer
	instances, readers int
}

// zonesWord returns what the next batch tells besides reports.
func (e *Exchange) zonesWord() zonesWord {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	word := zonesWord{peers: e.introduce(now), instances: e.counted(now)}
	for _, z := range e.zones {
		if z.reading && now-z.at <= aliveFor {
			word.readers++
		}
	}
	return word
}

// nextReports returns the reports that are passed on now.
func (e *Exchange) nextReports(fits func(fanout.InstanceReport) bool) []fanout.InstanceReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inbox.Batch(e.now(), fits)
}
