package peers

import (
	"context"
	"slices"
	"strconv"
	"time"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/rendezvous"
	"sassafrasfield/internal/streamversions"
)

// Which version began a stream is recorded at the instance that serves the stream, at two more of its zone, and in one
// other zone at two. They rank first for the stream by rendezvous hashing, so an instance that a caller comes back to
// knows whom to ask. Instances of a large fleet know only some of the other zones' instances; the one that is reached
// there passes records and questions on to those that rank first in its zone.
const (
	// zoneReplicas is the number of instances of the own zone that get a record, passedOnTo that of the instances of the
	// receiver's zone to which a record from another zone is passed on.
	zoneReplicas, passedOnTo = 2, 1
	// askedZones is the number of other zones that are asked. The first one may be the zone of the stream.
	askedZones = 2
	// relayedAskTimeout bounds the questions that are asked for an instance of another zone, which waits for
	// grantRequestTimeout.
	relayedAskTimeout = 50 * time.Millisecond
	// maxRelayedAsks bounds such questions at a time.
	maxRelayedAsks = 64
	// maxRecordsPerDatagram bounds the records in one message.
	maxRecordsPerDatagram = 64
)

// streamKey returns the key by which instances and zones are ranked for a stream.
func streamKey(stream streamversions.ID) string { return strconv.FormatUint(uint64(stream), 16) }

// zoneReplicasOf returns the addresses of the live instances of this zone, other than this one, that rank first for a
// stream.
func (e *Exchange) zoneReplicasOf(stream streamversions.ID, count int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, key := e.now(), streamKey(stream)
	var list []*peerState
	for id, peer := range e.byID {
		if peer.Zone == e.self.Zone && e.roster.Alive(id, now) {
			list = append(list, peer)
		}
	}
	slices.SortFunc(list, func(a, b *peerState) int { return rendezvous.Compare(key, a.Name, b.Name) })
	var addresses []string
	for _, peer := range list[:min(count, len(list))] {
		addresses = append(addresses, peer.Address)
	}
	return addresses
}

// zoneContactsOf returns the addresses of instances of those other zones that rank first for a stream.
func (e *Exchange) zoneContactsOf(stream streamversions.ID, zones int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, key := e.now(), streamKey(stream)
	var names []string
	for zone := range e.otherZones() {
		names = append(names, zone)
	}
	slices.SortFunc(names, func(a, b string) int { return rendezvous.Compare(key, a, b) })
	var addresses []string
	for _, zone := range names[:min(zones, len(names))] {
		for _, peer := range e.contactsOf(zone, now) {
			addresses = append(addresses, peer.Address)
		}
	}
	return addresses
}

// ReplicateStreams sends records of this instance's streams to the instances that keep them too. It returns once they
// are sent; a lost datagram leaves fewer replicas.
func (r *Reporter) ReplicateStreams(records []streamversions.Record) {
	inZone, beyond := map[string][]streamversions.Record{}, map[string][]streamversions.Record{}
	for _, record := range records {
		for _, address := range r.exchange.zoneReplicasOf(record.Stream, zoneReplicas) {
			inZone[address] = append(inZone[address], record)
		}
		for _, address := range r.exchange.zoneContactsOf(record.Stream, 1) {
			beyond[address] = append(beyond[address], record)
		}
	}
	for address, list := range inZone {
		r.sendStreamRecords(list, address, false)
	}
	for address, list := range beyond {
		r.sendStreamRecords(list, address, true)
	}
}

func (r *Reporter) sendStreamRecords(records []streamversions.Record, to string, passOn bool) {
	for part := range slices.Chunk(records, maxRecordsPerDatagram) {
		message := r.newPlainDatagram(sfv1.Datagram_KIND_STREAM_RECORDS)
		message.StreamRecords = &sfv1.StreamRecords{Records: streamRecordsToMessage(part), PassOn: passOn}
		r.send(message, []string{to})
	}
}

// newPlainDatagram returns a message without the revisions of this instance's rows.
func (r *Reporter) newPlainDatagram(kind sfv1.Datagram_Kind) *sfv1.Datagram {
	return &sfv1.Datagram{Kind: kind, From: toMessage(r.exchange.self)}
}

// handleStreamRecords keeps records, and passes those from another zone on.
func (r *Reporter) handleStreamRecords(message *sfv1.StreamRecords, inZone bool) {
	records := streamRecordsFromMessage(message.GetRecords())
	r.loads.ApplyStreamRecords(records)
	if inZone || !message.GetPassOn() {
		return
	}
	next := map[string][]streamversions.Record{}
	for _, record := range records {
		for _, address := range r.exchange.zoneReplicasOf(record.Stream, passedOnTo) {
			next[address] = append(next[address], record)
		}
	}
	for address, list := range next {
		r.sendStreamRecords(list, address, false)
	}
}

// instancesToAsk returns the addresses of the instances that may have the record of a stream, and how many should answer:
// also one if there are others of which none can be asked now.
func (e *Exchange) instancesToAsk(stream streamversions.ID) (inZone, beyond []string, expected int) {
	inZone, beyond = e.zoneReplicasOf(stream, zoneReplicas), e.zoneContactsOf(stream, askedZones)
	expected = len(inZone) + len(beyond)
	if expected == 0 && e.knowsOthers() {
		expected = 1
	}
	return inZone, beyond, expected
}

// AskStream asks the instances that may have the record of a stream, and returns their answers and how many should have
// answered. Service is a hash of the name of the stream's service. It returns early once one has a record.
func (r *Reporter) AskStream(ctx context.Context, stream streamversions.ID, service uint32) (answers []streamversions.Answer, expected int) {
	inZone, beyond, expected := r.exchange.instancesToAsk(stream)
	return r.askStream(ctx, stream, service, inZone, beyond), expected
}

func (r *Reporter) askStream(ctx context.Context, stream streamversions.ID, service uint32, inZone, beyond []string) []streamversions.Answer {
	asked := len(inZone) + len(beyond)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	received := make(chan *streamversions.Answer, asked)
	question := func(to string, passOn bool) {
		answer, ok := ask(ctx, r.streamRequests, func(id uint64) { r.sendStreamAsk(id, stream, service, passOn, to) })
		if !ok {
			received <- nil
			return
		}
		received <- &answer
	}
	for _, to := range inZone {
		go question(to, false)
	}
	for _, to := range beyond {
		go question(to, true)
	}
	var answers []streamversions.Answer
	for range asked {
		if answer := <-received; answer != nil {
			answers = append(answers, *answer)
			if answer.Found {
				break
			}
		}
	}
	return answers
}

func (r *Reporter) sendStreamAsk(id uint64, stream streamversions.ID, service uint32, passOn bool, to string) {
	message := r.newPlainDatagram(sfv1.Datagram_KIND_STREAM_ASK)
	message.StreamAsk = &sfv1.StreamAsk{Id: id, Stream: uint64(stream), Service: service, PassOn: passOn}
	r.send(message, []string{to})
}

// handleStreamAsk answers a question, after it has asked others of its zone if the question is from another zone and
// this instance has no record.
func (r *Reporter) handleStreamAsk(ctx context.Context, m *sfv1.StreamAsk, peer *peerState) {
	stream := streamversions.ID(m.GetStream())
	own := r.loads.StreamAnswer(stream, m.GetService())
	if own.Found || own.Ambiguous || !m.GetPassOn() {
		r.sendStreamAnswer(m.GetId(), own, peer)
		return
	}
	select {
	case r.relayedAsks <- struct{}{}:
	default:
		r.sendStreamAnswer(m.GetId(), own, peer)
		return
	}
	go func() {
		defer func() { <-r.relayedAsks }()
		ctx, cancel := context.WithTimeout(ctx, relayedAskTimeout)
		defer cancel()
		answers := r.askStream(ctx, stream, m.GetService(), r.exchange.zoneReplicasOf(stream, zoneReplicas), nil)
		r.sendStreamAnswer(m.GetId(), streamversions.Merge(own, answers), peer)
	}()
}

func (r *Reporter) sendStreamAnswer(id uint64, a streamversions.Answer, peer *peerState) {
	reply := r.newPlainDatagram(sfv1.Datagram_KIND_STREAM_ANSWER)
	reply.StreamAnswer = &sfv1.StreamAnswer{
		Id: id, Found: a.Found, Ambiguous: a.Ambiguous, Version: a.Version, AgeMs: uint32(a.Age.Milliseconds()),
		SeveralVersions: a.SeveralVersions, OnlyVersion: a.OnlyVersion, Complete: a.Complete, Current: a.Current,
	}
	r.send(reply, []string{peer.Address})
}

func streamAnswerFromMessage(m *sfv1.StreamAnswer) streamversions.Answer {
	return streamversions.Answer{
		Knowledge: streamversions.Knowledge{
			Found: m.GetFound(), Ambiguous: m.GetAmbiguous(), Version: m.GetVersion(), Age: time.Duration(m.GetAgeMs()) * time.Millisecond,
		},
		SeveralVersions: m.GetSeveralVersions(), OnlyVersion: m.GetOnlyVersion(), Complete: m.GetComplete(), Current: m.GetCurrent(),
	}
}

func streamRecordsToMessage(records []streamversions.Record) []*sfv1.StreamRecord {
	var list []*sfv1.StreamRecord
	for _, record := range records {
		list = append(list, &sfv1.StreamRecord{
			Stream: uint64(record.Stream), Version: record.Version, LifetimeMs: uint32(record.Lifetime.Milliseconds()),
		})
	}
	return list
}

func streamRecordsFromMessage(messages []*sfv1.StreamRecord) []streamversions.Record {
	var list []streamversions.Record
	for _, m := range messages {
		list = append(list, streamversions.Record{
			Stream: streamversions.ID(m.GetStream()), Version: m.GetVersion(), Lifetime: time.Duration(m.GetLifetimeMs()) * time.Millisecond,
		})
	}
	return list
}
