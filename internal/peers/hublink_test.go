package peers

import (
	"context"
	"fmt"
	"testing"
	"time"

	"sassafrasfield/internal/config"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/upstreamstate"
)

const (
	// narrowLinkBytes is what a link of 10 Mbit/s carries, in bytes a second.
	narrowLinkBytes = 1_250_000
	// reportsShare is the part of it that reports may take, one in so many: what an
	// instance does for the others must leave the link to its callers.
	reportsShare = 4
)

// busyFleet is a fleet before many engines, with callers.
type busyFleet struct {
	*virtualFleet
	requests  int
	scheduled map[time.Duration][]func()
}

const (
	busyEngines = 60
	// prefillOf18 of 18 engines process prompts.
	prefillOf18 = 13
	// prefillTime and answerFor are how long a prompt and an answer take.
	prefillTime = 60 * time.Millisecond
	decodeTime  = 200 * time.Millisecond
)

func newBusyFleet(instances, zones int, seed uint64, links func(int) float64) *busyFleet {
	b := &busyFleet{virtualFleet: newFleetWithLinks(instances, zones, 0, seed, links), scheduled: map[time.Duration][]func(){}}
	for _, n := range b.nodes {
		n.loads.SetRoutes(routes.NewTable(1, nil, []routes.Service{{Name: "llm", Engine: &routes.EngineLimits{
			Slots: 64, KVTokens: 370000, TransferTime: 100, EventTokens: 1,
		}}}, routes.Limits{}), 0)
		for i := range busyEngines {
			role := config.RoleDecode
			if i%18 < prefillOf18 {
				role = config.RolePrefill
			}
			n.loads.UpdateUpstream(upstreamstate.Upstream{
				ID: fmt.Sprintf("engine-%d", i), Service: "llm", Address: "a", Zone: fmt.Sprintf("z%d", i%zones), Role: role,
			})
		}
	}
	return b
}

// serve has each instance take requests at a rate for a time, and calls then after each
// step.
func (b *busyFleet) serve(each float64, d time.Duration, then func()) {
	due := 0.0
	for range int(d / virtualTick) {
		due += each * virtualTick.Seconds() * float64(len(b.nodes))
		for ; due >= 1; due-- {
			b.place(b.nodes[b.rng.IntN(len(b.nodes))])
		}
		for _, end := range b.scheduled[b.now] {
			end()
		}
		delete(b.scheduled, b.now)
		b.run(virtualTick)
		then()
	}
}

// schedule has something done later.
func (b *busyFleet) schedule(in time.Duration, do func()) {
	b.scheduled[b.now+in] = append(b.scheduled[b.now+in], do)
}

// place has an instance take a request whose prompt one engine processes and whose answer
// another one generates.
func (b *busyFleet) place(n *virtualNode) {
	b.requests++
	ask := upstreamstate.PlacementRequest{ID: fmt.Sprint("r", b.requests), Service: "llm", Objective: time.Second, RemainingWait: 2 * time.Second}
	ask.Prompt = placement.Prompt{Tokens: 9200, MaxOutput: 2, Parts: []placement.Part{
		{ID: fmt.Sprint("part-", b.rng.IntN(2000)), Tokens: 6300}, {ID: "own", Tokens: 2900},
	}}
	start, turn, ok := n.loads.PickPrefill(ask, n.loads.now())
	if !ok {
		return
	}
	b.schedule(prefillTime, func() {
		n.loads.PromptDone(start.Engine.ID, start.BusyTime, turn)
		n.loads.RequestDone(start.Engine.ID, ask.ID, n.loads.now())
		chosen, ok := n.loads.PickDecode(ask, "z0", n.loads.now())
		if !ok {
			return
		}
		b.schedule(decodeTime, func() { n.loads.RequestDone(chosen.ID, ask.ID, n.loads.now()) })
	})
}

// TestHubReportsDoNotSaturateLink.
//
// Seen: on a fleet of 62 instances whose links carry 10 Mbit/s, the first instances of each
// zone lost the platform's store, the others and upstreams for seconds at a time, in turn.
// One of them sent requests to an upstream more than 3 s after it had said that it leaves.
//
// Pattern: callers repeat what fails, so each instance has 28 requests a second, two and a
// half times the mean; all instances of a zone tell its hub ten times a second what they
// have on some of 60 engines. Grounds: the hubs of such a day wrote up to 2.8 MB a second of
// batches, on a link that carries 1.25, and whoever took over choked next.
//
// Cause: batches were as large as what had changed. What proved it: the bytes of reports by
// kind and part, a second, of the instances that choked; bounded by the link the test holds.
func TestHubReportsDoNotSaturateLink(t *testing.T) {
	b := newBusyFleet(62, 3, 1, func(int) float64 { return 10 })
	b.serve(28, startupTime, func() {})
	const second = int(time.Second / virtualTick)
	sent := make([][]int, len(b.nodes))
	b.serve(28, 3*time.Second, func() {
		for i, n := range b.nodes {
			sent[i] = append(sent[i], n.bytes)
		}
	})
	most := 0
	for _, s := range sent {
		for i := second; i < len(s); i++ {
			most = max(most, s[i]-s[i-second])
		}
	}
	t.Logf("%d requests; an instance sends up to %d kB a second", b.requests, most/1000)
	if most > narrowLinkBytes/reportsShare {
		t.Errorf("an instance sends %d bytes of reports in a second, its link carries %d", most, narrowLinkBytes)
	}
}

// TestInstanceMissingRowsRefusesRequests.
//
// Seen: an instance whose own link was choked heard from the others that they had newer rows,
// and could not ask for them; it sent requests on all the while, to an upstream that had left.
//
// Pattern: datagrams come in that name a newer revision, nothing else comes through. Grounds:
// it was without the rows for 1.9 to 4 s, of the 3 s after which an upstream that leaves must
// get no requests. Once it has caught up, it serves.
//
// Cause: only to hear of nobody was a reason to refuse, and reports came in all the while. What
// proved it: of 62 instances the one that broke the rule had the others' revisions in each
// datagram, and its own questions to 15 of them were not answered.
func TestInstanceMissingRowsRefusesRequests(t *testing.T) {
	n := newNode(t, "behind", "a")
	newer := &sfv1.Datagram{
		Kind: sfv1.Datagram_KIND_OWN, Revisions: map[string]int64{"t": 9},
		From: &sfv1.ReplicaPeer{Name: "other", Address: "127.0.0.1:1", Zone: "a"},
	}
	refuses := func() bool {
		n.reports.handleDatagram(context.Background(), newer)
		return n.relay.Impaired()
	}
	if refuses() {
		t.Error("it refuses before it could ask")
	}
	if !eventually(10*time.Second, refuses) {
		t.Error("it goes on sending")
	}
	n.ApplyRows(rowAt(9), 0)
	if !eventually(10*time.Second, func() bool { return !refuses() }) {
		t.Error("it does not serve though it has all rows")
	}
}

func eventually(d time.Duration, holds func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
