package peers

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/relay"
)

// Loads tells the other instances what this one has under way on the engines,
// in datagrams: they are small, many, and the next one makes up for a lost one.
type Loads struct {
	exchange *Exchange
	relay    *relay.Relay
	every    time.Duration
}

// NewLoads returns the exchange of loads. Every is the time between reports
// while there is something to tell.
func NewLoads(e *Exchange, r *relay.Relay, every time.Duration) *Loads {
	return &Loads{exchange: e, relay: r, every: every}
}

// datagramBytes bounds a report: it must fit one packet.
const datagramBytes = 1400

// Run tells and listens until the context ends.
func (l *Loads) Run(ctx context.Context) error {
	address, err := net.ResolveUDPAddr("udp", l.exchange.self.Address)
	if err != nil {
		return errors.Wrap(err, "peers: loads")
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return errors.Wrap(err, "peers: loads")
	}
	go l.listen(conn)
	defer conn.Close()
	ticker := time.NewTicker(l.every)
	defer ticker.Stop()
	told := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		report := l.relay.OwnReport()
		busy := len(report.Loads) > 0 || len(report.Placed) > 0
		if busy || told {
			l.tell(conn, report)
		}
		told = busy
	}
}

func (l *Loads) tell(conn *net.UDPConn, report relay.Report) {
	data, err := proto.Marshal(l.message(report))
	if err != nil || len(data) > datagramBytes {
		l.exchange.log.Error("peers: load report not sent", "bytes", len(data), "error", err)
		return
	}
	for _, k := range l.exchange.some(maxTold) {
		to, err := net.ResolveUDPAddr("udp", k.Address)
		if err != nil {
			l.exchange.log.Error("peers: address", "peer", k.Name, "error", err)
			continue
		}
		if _, err := conn.WriteToUDP(data, to); err != nil {
			l.exchange.log.Debug("peers: load report lost", "peer", k.Name, "error", err)
		}
	}
}

// maxTold bounds the peers that are told at once.
const maxTold = 16

func (l *Loads) listen(conn *net.UDPConn) {
	buffer := make([]byte, datagramBytes)
	for {
		n, _, err := conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.exchange.log.Info("peers: load reports", "error", err)
			time.Sleep(l.every)
			continue
		}
		var report sfv1.LoadReport
		if err := proto.Unmarshal(buffer[:n], &report); err != nil {
			l.exchange.log.Info("peers: a load report cannot be read", "error", err)
			continue
		}
		l.relay.TakeReport(report.GetFrom(), reportOf(&report))
	}
}

func (l *Loads) message(report relay.Report) *sfv1.LoadReport {
	message := &sfv1.LoadReport{From: l.exchange.self.Name}
	for _, load := range report.Loads {
		message.Loads = append(message.Loads, &sfv1.EngineLoad{
			Engine: load.Engine, PrefillMs: uint32(load.Ahead.Milliseconds()), Requests: uint32(load.Requests),
		})
	}
	for _, placed := range report.Placed {
		message.Placed = append(message.Placed, &sfv1.PartPlaced{Engine: placed.Engine, Part: placed.Part})
	}
	return message
}

func reportOf(message *sfv1.LoadReport) relay.Report {
	var report relay.Report
	for _, m := range message.GetLoads() {
		report.Loads = append(report.Loads, relay.EngineLoad{
			Engine: m.GetEngine(), Ahead: time.Duration(m.GetPrefillMs()) * time.Millisecond, Requests: int(m.GetRequests()),
		})
	}
	for _, m := range message.GetPlaced() {
		report.Placed = append(report.Placed, relay.Placed{Engine: m.GetEngine(), Part: m.GetPart()})
	}
	return report
}
