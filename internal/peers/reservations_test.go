package peers

import (
	"testing"
	"time"

	"sassafrasfield/internal/reservation"
)

// reserve requests an engine of a zone for a prompt as RequestReservation does, without waiting for the answer. The
// channel is nil if the zone's hub is not known; a hub decides at once.
func (n *virtualNode) reserve(zone string, request reservation.Request) <-chan reservationAnswer {
	hub, self := n.exchange.hubOf(zone)
	if self {
		granted, ok := n.loads.Reserve(request)
		answer := make(chan reservationAnswer, 1)
		answer <- reservationAnswer{Grant: granted, ok: ok}
		return answer
	}
	if hub == "" {
		return nil
	}
	_, answer := n.startReservation(hub, request)
	return answer
}

// reserveFromAll has each live instance reserve one of the engines of a zone for a prompt of 100 ms. It returns how many
// prompts each engine got, and how many instances got no answer.
func (f *virtualFleet) reserveFromAll(zone string, engines, firstPrompt int) (granted map[uint32]int, unanswered int) {
	var candidates []reservation.Candidate
	for engine := range engines {
		candidates = append(candidates, reservation.Candidate{Engine: uint32(engine + 1), Busy: 100 * time.Millisecond})
	}
	var answers []<-chan reservationAnswer
	for i, n := range f.nodes {
		if n.up {
			answers = append(answers, n.reserve(zone, reservation.Request{ID: uint64(firstPrompt + i), Candidates: candidates}))
		}
	}
	f.run(4 * virtualTick)
	granted = map[uint32]int{}
	for _, answer := range answers {
		select {
		case a := <-answer:
			if a.ok {
				granted[a.Engine]++
				continue
			}
		default:
		}
		unanswered++
	}
	return granted, unanswered
}

// TestSimultaneousPromptsSpreadOverEngines guards against instances that send to the same engine because the report of
// one is not yet known to the other: 75 instances place a prompt each in the same 20 ms. Each of 16 equal engines may
// get five at most.
func TestSimultaneousPromptsSpreadOverEngines(t *testing.T) {
	f := newVirtualFleet(75, 4, 0, 1)
	f.run(startupTime + engineTimesCycle)
	granted, unanswered := f.reserveFromAll("z1", 16, 1)
	if unanswered > 0 {
		t.Errorf("%d of 75 instances got no answer", unanswered)
	}
	for engine, prompts := range granted {
		if prompts > 5 {
			t.Errorf("engine %d got %d prompts of 75", engine, prompts)
		}
	}
}

// engineTimesCycle is the interval at which batches name the hubs and speeds are published, and one batch.
const engineTimesCycle = 1200 * time.Millisecond

// TestReservationsContinueAfterTheHubFails guards against instances that go on asking a hub that died: within 2.5 s all
// other instances, of all zones, are answered by the next hub.
func TestReservationsContinueAfterTheHubFails(t *testing.T) {
	f := newVirtualFleet(40, 4, 0, 1)
	f.run(startupTime + engineTimesCycle)
	for _, n := range f.nodes {
		if n.exchange.self.Zone == "z1" && n.exchange.IsHub() {
			n.up = false
		}
	}
	if _, unanswered := f.reserveFromAll("z1", 16, 1); unanswered == 0 {
		t.Error("the failed hub answered")
	}
	f.run(2500 * time.Millisecond)
	if _, unanswered := f.reserveFromAll("z1", 16, 1000); unanswered > 0 {
		t.Errorf("%d instances are still without an answer", unanswered)
	}
}

// TestOnlyTheHubReserves guards against two instances that reserve the same engines without knowing of each other: an
// instance that is not the hub refuses a request that reaches it.
func TestOnlyTheHubReserves(t *testing.T) {
	f := newVirtualFleet(8, 2, 0, 1)
	f.run(startupTime)
	var from, to *virtualNode
	for _, n := range f.nodes {
		if n.exchange.IsHub() {
			continue
		}
		from, to = to, n
	}
	_, answer := from.startReservation(to.exchange.self.Address, reservation.Request{ID: 1, Candidates: []reservation.Candidate{{Engine: 1}}})
	f.run(4 * virtualTick)
	select {
	case a := <-answer:
		if a.ok {
			t.Error("an instance that is not the hub granted a reservation")
		}
	default:
		t.Error("no answer")
	}
}

// TestHubThatDoesNotAnswerIsPaused guards against requests that each wait for a hub that is frozen.
func TestHubThatDoesNotAnswerIsPaused(t *testing.T) {
	f := newVirtualFleet(8, 2, 0, 1)
	f.run(startupTime + engineTimesCycle)
	for _, n := range f.nodes {
		if n.exchange.self.Zone != "z0" || n.exchange.IsHub() {
			continue
		}
		n.exchange.pauseHub("z1")
		if hub, _ := n.exchange.hubOf("z1"); hub != "" {
			t.Errorf("%s is asked during the pause", hub)
		}
		f.run(reservationPause + virtualTick)
		if hub, _ := n.exchange.hubOf("z1"); hub == "" {
			t.Error("no hub is asked after the pause")
		}
		return
	}
}

// TestSpeedsReachAllInstances guards against instances that place generations on a slow engine which another one has
// found to be slow: 1% of datagrams are lost.
func TestSpeedsReachAllInstances(t *testing.T) {
	f := newVirtualFleet(75, 4, 0.01, 1)
	f.run(startupTime + engineTimesCycle)
	engine := upstreamHash(f.nodes[0])
	for _, n := range f.nodes {
		if n.exchange.self.Zone == "z2" && n.exchange.IsHub() {
			for range 5 {
				n.loads.ObservePace(engine, 2*time.Second, time.Second)
			}
		}
	}
	f.run(3 * time.Second)
	unaware := 0
	for _, n := range f.nodes {
		if speeds := n.loads.Speeds(); len(speeds) != 1 || speeds[0].Speed < 1.2 {
			unaware++
		}
	}
	if unaware > 0 {
		t.Errorf("%d of 75 instances do not know the slow engine", unaware)
	}
}

// upstreamHash returns the hash of the only engine of the virtual fleet.
func upstreamHash(n *virtualNode) uint32 { return n.loads.Upstream("e").Incarnation() }

// FuzzReserveAsk guards against a datagram with lists of different lengths that stops the instance which decodes it.
func FuzzReserveAsk(f *testing.F) {
	f.Add(3, 2, 1, 2, uint32(7))
	f.Fuzz(func(t *testing.T, engines, busy, extra, copies int, value uint32) {
		const most = 64
		list := func(n int) []uint32 {
			values := make([]uint32, min(max(0, n), most))
			for i := range values {
				values[i] = value
			}
			return values
		}
		m := reserveAskToMessage(1, reservation.Request{ID: 1})
		m.Engines, m.Busy, m.Extra, m.Copy = list(engines), list(busy), list(extra), list(copies)
		request := reserveAskFromMessage(m)
		reservation.NewLedger().Reserve(request, time.Second)
	})
}
