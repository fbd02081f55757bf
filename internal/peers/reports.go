package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"sassafrasfield/internal/estimate"
	"sassafrasfield/internal/fanout"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/limit"
	"sassafrasfield/internal/quota"
	"sassafrasfield/internal/streamversions"
	"sassafrasfield/internal/takeover"
	"sassafrasfield/internal/upstreamstate"
)

const (
	// maxDatagramBytes is the size above which a message is split into several datagrams, as far
	// as it can be split. maxUDPDatagram is the largest datagram that UDP carries.
	maxDatagramBytes = 4096
	maxUDPDatagram   = 64 << 10
	// sweepInterval is the time between checks for silent peers.
	sweepInterval = time.Second
)

// LoadState holds the load of the engines as known to this instance; relay.Relay implements it.
type LoadState interface {
	// Changed has a value when this instance's report has changed and should be sent.
	Changed() <-chan struct{}
	// OwnReport returns the report of this instance, ZoneReport the summary of its zone, and
	// OtherZonesReport the summary of all other zones.
	OwnReport() upstreamstate.Report
	ZoneReport() upstreamstate.Report
	OtherZonesReport() upstreamstate.Report
	// LearnedTimes returns the engine timings that this instance has estimated, by service.
	LearnedTimes() map[uint32]estimate.Snapshot
	// ApplyReport applies the report of a source.
	ApplyReport(source string, report upstreamstate.Report)
	// SetBehind sets whether others are known to have rows that this instance lacks.
	SetBehind(behind bool)
	Limits
	// SetGrantShare sets the share of the upstreams' limits that this instance grants as the
	// coordinator; 0 if another one coordinates. DecideGrant decides on one send to an upstream
	// with a limit.
	SetGrantShare(share float64)
	DecideGrant(request quota.GrantRequest) quota.Verdict
	// SetGrantsQuotas sets whether this instance decides on the requests of organisations with
	// quotas. DecideQuotaGrant decides on one, RefundQuotaGrant returns its cost if it did not run.
	SetGrantsQuotas(grants bool)
	DecideQuotaGrant(request limit.GrantRequest) limit.Grant
	RefundQuotaGrant(request limit.GrantRequest)
	StreamVersions
	StreamClaims
	Reservations
	// GrantRetry takes one retry for a service from the retry pool that this instance keeps
	// for its zone, and returns false if none is left.
	GrantRetry(service uint32) bool
}

// StreamVersions holds which software versions began streams, as known to this instance.
type StreamVersions interface {
	// ApplyStreamRecords keeps records of other instances.
	ApplyStreamRecords(records []streamversions.Record)
	// StreamAnswer returns what this instance knows about a stream and its service, by a hash of the service's name.
	StreamAnswer(stream streamversions.ID, service uint32) streamversions.Answer
}

// StreamClaims has the runs of streams at this instance.
type StreamClaims interface {
	// ClaimStream ends the runs of a stream for a claim of another instance, and waits shortly for their end. It may be
	// repeated.
	ClaimStream(ctx context.Context, c takeover.Claim) takeover.Result
}

// Limits holds the limits of upstreams as known to this instance. An instance that has just
// started gets them with the platform's rows from a peer, before it serves.
type Limits interface {
	Limits() []quota.UpstreamLimit
	// ApplyLimits applies limits from an instance of this zone or of another zone.
	ApplyLimits(limits []quota.UpstreamLimit, sameZone bool)
}

// Reporter sends the reports of an exchange and handles the received datagrams.
type Reporter struct {
	exchange *Exchange
	loads    LoadState
	conn     atomic.Pointer[net.UDPConn]
	// write sends a datagram.
	write func(data []byte, to netip.AddrPort) error
	// retryRequests are the open requests to the hub's retry pool, grantRequests those to the
	// coordinator of the grants.
	retryRequests *pendingRequests[bool]
	grantRequests *pendingRequests[quota.Verdict]
	// quotaRequests are the open requests to run a request of an organisation with a quota.
	quotaRequests *pendingRequests[limit.Grant]
	// streamRequests are the open questions for the versions that began streams. relayedAsks bounds those that are asked
	// for instances of other zones.
	streamRequests *pendingRequests[streamversions.Answer]
	relayedAsks    chan struct{}
	// claimRequests are the open claims to streams.
	claimRequests *pendingRequests[takeover.Result]
	// reservationRequests are the open requests for reservations of prompt work.
	reservationRequests *pendingRequests[reservationAnswer]
	// verdicts and quotaVerdicts hold the recent verdicts of this instance as the coordinator.
	verdicts      *verdictCache[quota.Verdict]
	quotaVerdicts *verdictCache[limit.Grant]
	pace          *fanout.Pacer
	// allowance bounds the bytes that a hub sends, so that reports do not saturate its link. Only
	// Run uses it.
	allowance *fanout.Allowance
	// lastRevisions are the revisions in the last batch. otherZonesLast is whether the last batch
	// was filled with the reports of this zone's instances first, and with the report on the
	// other zones last.
	lastRevisions  map[string]int64
	otherZonesLast bool
	// boot and sequence identify a report: boot is a random number of this process, sequence
	// counts its reports.
	boot, sequence uint32
}

// NewReporter returns the reporter of an exchange.
func NewReporter(e *Exchange, l LoadState) *Reporter {
	r := &Reporter{
		exchange: e, loads: l, retryRequests: newPendingRequests[bool](), grantRequests: newPendingRequests[quota.Verdict](),
		quotaRequests: newPendingRequests[limit.Grant](), streamRequests: newPendingRequests[streamversions.Answer](), claimRequests: newPendingRequests[takeover.Result](), reservationRequests: newPendingRequests[reservationAnswer](),
		relayedAsks: make(chan struct{}, maxRelayedAsks), verdicts: newVerdictCache[quota.Verdict](), quotaVerdicts: newVerdictCache[limit.Grant](), pace: fanout.NewPacer(e.now()),
		allowance: fanout.NewAllowance(e.self.LinkMbps, e.now()), boot: rand.Uint32(),
	}
	r.write = r.writeTo
	e.setLimits(l)
	return r
}

// errNotListening is returned for datagrams that are sent before Run listens.
var errNotListening = errors.New("peers: not listening yet")

func (r *Reporter) writeTo(data []byte, to netip.AddrPort) error {
	conn := r.conn.Load()
	if conn == nil {
		return errNotListening
	}
	_, err := conn.WriteToUDPAddrPort(data, to)
	return err
}

// Run sends reports and handles datagrams until the context ends.
func (r *Reporter) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp", r.exchange.self.Address)
	if err != nil {
		return errors.Wrap(err, "peers: reports")
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return errors.Wrap(err, "peers: reports")
	}
	defer conn.Close()
	r.conn.Store(conn)
	go r.listen(ctx, conn)
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return nil
		case <-sweep.C:
			r.exchange.sweep()
		case <-r.exchange.rowsChanged:
			urgent = true
		case <-r.loads.Changed():
			r.pace.MarkChanged()
		case <-timer.C:
		}
		timer.Reset(r.sendDue(urgent))
	}
}

// sendDue sends what is due and returns the time until something may be due again.
func (r *Reporter) sendDue(urgent bool) time.Duration {
	r.loads.SetBehind(r.exchange.isBehind())
	r.loads.SetGrantShare(r.exchange.grantShare())
	r.loads.SetGrantsQuotas(r.exchange.grantsQuotas())
	isHub, receivesBatches := r.exchange.hubState()
	due, wait := r.pace.Next(r.exchange.now(), isHub, receivesBatches, urgent)
	if due.OwnReport {
		r.sendOwnReport(due.EngineTimes)
	}
	if due.Batch {
		r.sendBatch(due.EngineTimes)
	}
	if due.Batch && due.EngineTimes {
		r.sendSpeeds()
	}
	if due.ZoneReport {
		r.sendZoneReport(due.EngineTimes)
	}
	if due.SeedReport {
		r.send(r.newDatagram(sfv1.Datagram_KIND_OWN), r.exchange.seedAddresses())
	}
	return wait
}

// ownReports returns this instance's next report, split into parts if it is long.
func (r *Reporter) ownReports(times bool) []*sfv1.InstanceReport {
	report := r.loads.OwnReport()
	if times {
		report.Times = r.loads.LearnedTimes()
	}
	var messages []*sfv1.InstanceReport
	for _, part := range report.Split() {
		r.sequence++
		messages = append(messages, ownToMessage(fanout.InstanceReport{
			Source: r.exchange.id, Boot: r.boot, Sequence: r.sequence, Reading: r.exchange.rows.Reading(), Report: part,
		}))
	}
	return messages
}

// sendOwnReport sends this instance's report to the instances that relay it.
func (r *Reporter) sendOwnReport(times bool) {
	message := r.newDatagram(sfv1.Datagram_KIND_OWN)
	message.Reports = r.ownReports(times)
	r.send(message, r.exchange.receivers())
}

// sendZoneReport sends the summary of this zone to the other zones.
func (r *Reporter) sendZoneReport(times bool) {
	to := r.exchange.otherZoneAddresses()
	if len(to) == 0 {
		return
	}
	report := r.loads.ZoneReport()
	if times {
		report.Times = r.loads.LearnedTimes()
	}
	message := r.newDatagram(sfv1.Datagram_KIND_ZONE)
	message.Beyond = reportToMessage(report)
	message.Instances, message.Readers = r.exchange.zoneCounts()
	message.MayCoordinate = r.exchange.mayCoordinate()
	r.allowance.Spend(r.send(message, to))
}

func (r *Reporter) newDatagram(kind sfv1.Datagram_Kind) *sfv1.Datagram {
	message := &sfv1.Datagram{Kind: kind, From: toMessage(r.exchange.self)}
	nameRevisions(message, r.exchange.rows)
	return message
}

// send sends a message in as many datagrams as needed and returns their total size in bytes,
// counted once per receiver.
func (r *Reporter) send(message *sfv1.Datagram, to []string) int {
	if len(to) == 0 {
		return 0
	}
	bytes := 0
	for _, part := range splitDatagram(message) {
		data, err := proto.Marshal(part)
		if err != nil {
			r.exchange.log.Error("peers: report could not be encoded", "error", err)
			continue
		}
		sentBytes(message.GetKind()).Inc(int64(len(data) * len(to)))
		bytes += len(data) * len(to)
		r.sendRaw(data, to)
	}
	return bytes
}

// sentBytes returns the counter of the bytes sent in datagrams of a kind, counted once per
// receiver.
func sentBytes(kind sfv1.Datagram_Kind) metrics.Counter {
	name := strings.ToLower(strings.TrimPrefix(kind.String(), "KIND_"))
	return metrics.GetOrRegisterCounter("peers.sent_bytes."+name, metrics.DefaultRegistry)
}

// splitDatagram splits a message into messages that each fit into a datagram. Reports, loads and
// placed parts are distributed over them. Each has the fields that cloneHeader copies, and the
// first one has the rest.
func splitDatagram(message *sfv1.Datagram) []*sfv1.Datagram {
	if proto.Size(message) <= maxDatagramBytes {
		return []*sfv1.Datagram{message}
	}
	if n := len(message.GetReports()); n > 1 {
		head, tail := cloneHeader(message), cloneHeader(message)
		head.Reports, tail.Reports = message.Reports[:n/2], message.Reports[n/2:]
		head.Beyond, head.Peers = message.Beyond, message.Peers
		head.Rows, head.Since, head.HoldMs = message.Rows, message.Since, message.HoldMs
		return append(splitDatagram(head), splitDatagram(tail)...)
	}
	if loads := message.GetBeyond().GetLoads(); len(loads) > 1 {
		head, tail := cloneHeader(message), cloneHeader(message)
		head.Reports, head.Peers = message.Reports, message.Peers
		head.Rows, head.Since, head.HoldMs = message.Rows, message.Since, message.HoldMs
		head.Beyond = &sfv1.EngineReport{Loads: loads[:len(loads)/2], Gone: message.Beyond.Gone, Away: message.Beyond.Away, Times: message.Beyond.Times, Ends: message.Beyond.Ends, Served: message.Beyond.Served, Usage: message.Beyond.Usage, Limits: message.Beyond.Limits}
		tail.Beyond = &sfv1.EngineReport{Loads: loads[len(loads)/2:], Placed: message.Beyond.Placed}
		return append(splitDatagram(head), splitDatagram(tail)...)
	}
	if placed := message.GetBeyond().GetPlaced(); len(placed) > 2 {
		// Dropped entries are sent again when the parts are placed again.
		message.Beyond.Placed = placed[len(placed)/4*2:]
		return splitDatagram(message)
	}
	return []*sfv1.Datagram{message}
}

// cloneHeader copies the fields that each datagram of a message has.
func cloneHeader(m *sfv1.Datagram) *sfv1.Datagram {
	return &sfv1.Datagram{
		Kind: m.Kind, From: m.From, Revisions: m.Revisions, Known: m.Known, Instances: m.Instances, Readers: m.Readers, Forwarded: m.Forwarded,
		MayCoordinate: m.MayCoordinate, Coordinator: m.Coordinator,
	}
}

func (r *Reporter) sendRaw(data []byte, to []string) {
	for _, address := range to {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			r.exchange.log.Error("peers: invalid address", "address", address, "error", err)
			continue
		}
		if err := r.write(data, to); err != nil {
			r.exchange.log.Debug("peers: report could not be sent", "address", address, "error", err)
		}
	}
}
