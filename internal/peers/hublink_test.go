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
	// reportsShare is the divisor for the part of the link that reports may take. The rest must
	// be left to the callers.
	reportsShare = 4
)

// busyFleet is a virtual fleet with many engines, whose instances receive requests from callers.
type busyFleet struct {
	*virtualFleet
	requests  int
	scheduled map[time.Duration][]func()
}

const (
	busyEngines = 60
	// prefillOf18 is how many of 18 engines prefill; the others decode.
	prefillOf18 = 13
	// prefillTime and decodeTime are how long the prefill and the decode of a request take.
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

// serve has each instance accept requests at a rate for a time, and calls then after each step.
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

// schedule calls do after a time.
func (b *busyFleet) schedule(in time.Duration, do func()) {
	b.scheduled[b.now+in] = append(b.scheduled[b.now+in], do)
}

// place has an instance accept a request with a prefill on one engine and a decode on another.
func (b *busyFleet) place(n *virtualNode) {
	b.requests++
	request := upstreamstate.PlacementRequest{ID: fmt.Sprint("r", b.requests), Service: "llm", Objective: time.Second, RemainingWait: 2 * time.Second}
	request.Prompt = placement.Prompt{Tokens: 9200, MaxOutput: 2, Parts: []placement.Part{
		{ID: fmt.Sprint("part-", b.rng.IntN(2000)), Tokens: 6300}, {ID: "own", Tokens: 2900},
	}}
	start, turn, ok := n.loads.PickPrefill(request, n.loads.now())
	if !ok {
		return
	}
	b.schedule(prefillTime, func() {
		n.loads.PromptDone(start.Engine.ID, start.BusyTime, turn)
		n.loads.RequestDone(start.Engine.ID, request.ID, n.loads.now())
		chosen, ok := n.loads.PickDecode(request, "z0", n.loads.now())
		if !ok {
			return
		}
		b.schedule(decodeTime, func() { n.loads.RequestDone(chosen.ID, request.ID, n.loads.now()) })
	})
}

// TestHubReportsDoNotSaturateLink guards against hubs whose batches saturate their own link. In a
// fleet of 62 instances with links of 10 Mbit/s, the first instances of each zone lost their
// connections to the store, to peers and to upstreams for seconds at a time, one after another. One
// of them sent requests to an upstream more than 3 s after it had announced that it was draining.
//
// The cause was that a batch was as large as what had changed: the hubs wrote up to 2.8 MB of
// batches a second to links that carry 1.25 MB, and each instance that took over saturated its
// link next. The load here is the same: callers repeat failed requests, so each instance has 28
// requests a second, two and a half times the mean, and all instances of a zone report to its hub
// ten times a second what they have on some of 60 engines. The cause was found by the bytes of
// reports a second, by kind and part, of the instances with saturated links; batches bounded by
// the link fixed it.
func TestHubReportsDoNotSaturateLink(t *testing.T) {
	t.Parallel()
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

// TestInstanceMissingRowsRefusesRequests guards against an instance that knows that it lacks rows
// and still sends requests. An instance whose own link was saturated received datagrams naming
// newer revisions, but could not pull the rows. It went on sending requests to an upstream that
// had shut down.
//
// The cause was that only an instance without any reports from others refused requests, and these
// reports kept coming. Of 62 instances, the one at fault had the others' revisions in each
// datagram, and none of its pulls from 15 of them was answered. It lacked the rows for 1.9 to 4
// s, and an upstream must get no requests from 3 s after it began to drain. Once an instance has
// caught up, it serves again.
func TestInstanceMissingRowsRefusesRequests(t *testing.T) {
	n := newNode(t, "behind", "a")
	newer := &sfv1.Datagram{
		Kind: sfv1.Datagram_KIND_OWN, Revisions: map[string]int64{"t": 9},
		From: &sfv1.ReplicaPeer{Name: "other", Address: "127.0.0.1:1", Zone: "a"},
	}
	refuses := func() bool {
		n.reporter.handleDatagram(context.Background(), newer)
		return n.relay.Impaired()
	}
	if refuses() {
		t.Error("refuses requests before it could pull")
	}
	if !eventually(10*time.Second, refuses) {
		t.Error("serves requests although it lacks rows")
	}
	n.ApplyRows(rowAt(9), 0)
	if !eventually(10*time.Second, func() bool { return !refuses() }) {
		t.Error("refuses requests although it has all rows")
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
