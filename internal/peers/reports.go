package peers

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sassafrasfield/internal/estimate"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/picture"
	"sassafrasfield/internal/relay"
)

// Pace of the reports.
const (
	// tick is the time between the reports of a busy instance to its zone; a
	// short prompt takes about that long.
	tick = 100 * time.Millisecond
	// idleTicks is how many ticks an instance with nothing new waits.
	idleTicks = 5
	// zoneTicks is how many ticks lie between two reports of a whole zone.
	zoneTicks = 2
	// maxBeside bounds the instances of its zone that one instance tells.
	maxBeside = 48
	// datagramBytes bounds a report. The loads of 90 engines and the parts of
	// 100 requests fit.
	datagramBytes = 4096
	// thousandths is the unit of parts of an engine's time in a report.
	thousandths = 1000
	// placedAtMost bounds the parts that a report names.
	placedAtMost = 120
)

// Reports sends and takes the reports.
type Reports struct {
	exchange *Exchange
	relay    *relay.Relay
	conn     *net.UDPConn
	// quiet counts the ticks since the last report.
	quiet int
}

// NewReports returns the reports of an exchange.
func NewReports(e *Exchange, r *relay.Relay) *Reports { return &Reports{exchange: e, relay: r} }

// Run tells and listens until the context ends.
func (r *Reports) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp", r.exchange.self.Address)
	if err != nil {
		return errors.Wrap(err, "peers: reports")
	}
	if r.conn, err = net.ListenUDP("udp", address); err != nil {
		return errors.Wrap(err, "peers: reports")
	}
	defer r.conn.Close()
	go r.listen(ctx)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-r.exchange.news:
			r.tell(true)
			r.tellZones()
			continue
		case now := <-ticker.C:
			r.exchange.sweep(now)
		}
		r.tell(false)
		if n%zoneTicks == 0 && r.exchange.speaks() {
			r.tellZones()
		}
	}
}

// tell sends this instance's report to its zone. Without news, and with nothing
// under way, it does so now and then only.
func (r *Reports) tell(news bool) {
	report := r.relay.OwnReport()
	busy := len(report.Loads) > 0 || len(report.Placed) > 0 || len(report.Gone) > 0
	if r.quiet++; !busy && !news && r.quiet < idleTicks {
		return
	}
	r.quiet = 0
	r.send(r.message(report, ""), r.exchange.beside())
}

// tellZones sends the zone's report to the other zones.
func (r *Reports) tellZones() {
	others := r.exchange.otherZones()
	if len(others) == 0 {
		return
	}
	message := r.message(r.relay.ZoneReport(), r.exchange.self.Zone)
	message.Reading = r.exchange.zoneReads()
	r.send(message, others)
}

func (r *Reports) message(report picture.Report, zone string) *sfv1.Report {
	message := &sfv1.Report{
		From: toMessage(r.exchange.self), Zone: zone,
		Revisions: r.exchange.rows.Revisions(), Reading: r.exchange.rows.Reading(), Gone: report.Gone,
	}
	for _, load := range report.Loads {
		message.Loads = append(message.Loads, &sfv1.EngineLoad{
			Engine: load.Engine, PrefillMs: uint32(load.Ahead.Milliseconds()), Requests: uint32(load.Requests),
			Use: uint32(load.Use * thousandths), YieldingMs: uint32(load.Yielding.Milliseconds()),
			Inflow: uint32(load.Inflow),
		})
	}
	for service, l := range report.Times {
		message.Times = append(message.Times, &sfv1.EngineTimes{
			Service: service, Speed: float32(l.Speed), Overhead: float32(l.Overhead), Prompts: uint32(l.Prompts),
			Step: float32(l.Step), PerRequest: float32(l.PerRequest), Streams: uint32(l.Streams),
		})
	}
	placed := report.Placed
	for _, p := range placed[max(0, len(placed)-placedAtMost):] {
		message.Placed = append(message.Placed, &sfv1.PartPlaced{Engine: p.Engine, Part: p.Part})
	}
	return message
}

func (r *Reports) send(message *sfv1.Report, to []string) {
	if len(to) == 0 {
		return
	}
	data, err := proto.Marshal(message)
	if err != nil || len(data) > datagramBytes {
		r.exchange.log.Error("peers: report not sent", "bytes", len(data), "error", err)
		return
	}
	r.sendRaw(data, to)
}

func (r *Reports) sendRaw(data []byte, to []string) {
	for _, address := range to {
		udp, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			r.exchange.log.Error("peers: address", "address", address, "error", err)
			continue
		}
		if _, err := r.conn.WriteToUDP(data, udp); err != nil {
			r.exchange.log.Debug("peers: report lost", "address", address, "error", err)
		}
	}
}

func (r *Reports) listen(ctx context.Context) {
	buffer := make([]byte, datagramBytes)
	for {
		n, _, err := r.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			r.exchange.log.Info("peers: reports cannot be read", "error", err)
			time.Sleep(tick)
			continue
		}
		message := &sfv1.Report{}
		if err := proto.Unmarshal(buffer[:n], message); err != nil {
			r.exchange.log.Info("peers: a report cannot be read", "error", err)
			continue
		}
		r.take(ctx, message, buffer[:n])
	}
}

// take takes a report. One of another zone goes on to the instances beside this
// one, unless it came from one of them.
func (r *Reports) take(ctx context.Context, message *sfv1.Report, raw []byte) {
	from := fromMessage(message.GetFrom())
	k := r.exchange.meet(from)
	if k == nil {
		return
	}
	if behind(r.exchange.rows.Revisions(), message.GetRevisions()) {
		r.exchange.pullOnce(ctx, k)
	}
	report := reportOf(message)
	switch zone := message.GetZone(); {
	case zone == "":
		r.exchange.heard(k, message.GetReading())
		r.relay.TakeReport("instance "+from.Name, report)
	case zone != r.exchange.self.Zone:
		r.exchange.heardZone(k, zone, message.GetReading())
		r.relay.TakeReport("zone "+zone, report)
		r.passOn(message, raw)
	}
}

// passOn gives another zone's report to the instances beside this one. It names
// this instance as its sender, so that they pull rows from here.
func (r *Reports) passOn(message *sfv1.Report, raw []byte) {
	if message.GetFrom().GetZone() == r.exchange.self.Zone {
		return // it came from beside: it is not passed on twice
	}
	message.From = toMessage(r.exchange.self)
	message.Revisions = r.exchange.rows.Revisions()
	data, err := proto.Marshal(message)
	if err != nil {
		data = raw
	}
	r.sendRaw(data, r.exchange.beside())
}

// behind tells whether any of the other's revisions is above the own.
func behind(own, other map[string]int64) bool {
	for table, revision := range other {
		if revision > own[table] {
			return true
		}
	}
	return false
}

func reportOf(message *sfv1.Report) picture.Report {
	report := picture.Report{Gone: message.GetGone(), Times: map[uint32]estimate.Learned{}}
	for _, m := range message.GetTimes() {
		report.Times[m.GetService()] = estimate.Learned{
			Speed: float64(m.GetSpeed()), Overhead: time.Duration(m.GetOverhead()), Prompts: int(m.GetPrompts()),
			Step: time.Duration(m.GetStep()), PerRequest: time.Duration(m.GetPerRequest()), Streams: int(m.GetStreams()),
		}
	}
	for _, m := range message.GetLoads() {
		report.Loads = append(report.Loads, picture.EngineLoad{
			Engine: m.GetEngine(), Ahead: time.Duration(m.GetPrefillMs()) * time.Millisecond, Requests: int(m.GetRequests()),
			Use: float64(m.GetUse()) / thousandths, Yielding: time.Duration(m.GetYieldingMs()) * time.Millisecond,
			Inflow: float64(m.GetInflow()),
		})
	}
	for _, m := range message.GetPlaced() {
		report.Placed = append(report.Placed, picture.Placed{Engine: m.GetEngine(), Part: m.GetPart()})
	}
	return report
}

// heard notes a sign of a peer.
func (e *Exchange) heard(k *known, reading bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k.heardAt, k.reading = time.Now(), reading
}

// heardZone notes the report of a whole zone, which a peer sent or passed on.
func (e *Exchange) heardZone(k *known, zone string, reading bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k.heardAt = time.Now()
	if reading {
		e.zoneReading[zone] = time.Now()
	}
}

// beside lists the addresses of the instances of this zone.
func (e *Exchange) beside() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []string
	for _, k := range e.peers {
		if k.Zone == e.self.Zone && len(list) < maxBeside {
			list = append(list, k.Address)
		}
	}
	return list
}

// speaks tells whether this instance reports for its zone: the first by name of
// those heard of lately.
func (e *Exchange) speaks() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, k := range e.peers {
		if k.Zone == e.self.Zone && k.Name < e.self.Name && now.Sub(k.heardAt) <= aliveFor {
			return false
		}
	}
	return true
}

// zoneReads tells whether any instance of this zone follows the store.
func (e *Exchange) zoneReads() bool {
	if e.rows.Reading() {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, k := range e.peers {
		if k.Zone == e.self.Zone && k.reading && now.Sub(k.heardAt) <= aliveFor {
			return true
		}
	}
	return false
}

// otherZones lists the addresses of two instances of each other zone: the one
// heard of last, which speaks for its zone, and any other one, should the first
// be gone.
func (e *Exchange) otherZones() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	zones := map[string][]*known{}
	for _, k := range e.peers {
		if k.Zone != "" && k.Zone != e.self.Zone {
			zones[k.Zone] = append(zones[k.Zone], k)
		}
	}
	var list []string
	for _, members := range zones {
		slices.SortFunc(members, func(a, b *known) int { return b.heardAt.Compare(a.heardAt) })
		list = append(list, members[0].Address)
		if rest := members[1:]; len(rest) > 0 {
			list = append(list, rest[rand.IntN(len(rest))].Address)
		}
	}
	return list
}
