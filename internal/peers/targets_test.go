package peers

import (
	"testing"
	"time"

	"sassafrasfield/internal/fanout"
	"sassafrasfield/internal/upstreamstate"
)

// reportUnreached passes a report of a peer through a message, as a hub does.
func reportUnreached(e *Exchange, from Peer, sequence uint32, services ...uint32) {
	message := ownToMessage(fanout.InstanceReport{Source: from.ID(), Sequence: sequence, Report: upstreamstate.Report{Unreached: services}})
	e.acceptReport(ownFromMessage(message), false)
}

// TestInstancesWithoutPathAreNoTargets guards against requests that are forwarded to instances that have reported the
// same loss, to those of another zone, or to those that are gone.
func TestInstancesWithoutPathAreNoTargets(t *testing.T) {
	now := time.Second
	e := newExchange(Peer{Name: "self", Address: "127.0.0.1:1", Zone: "a"}, nil, &node{}, discardLogger(), func() time.Duration { return now })
	cut, sound := Peer{Name: "cut", Address: "127.0.0.2:1", Zone: "a"}, Peer{Name: "sound", Address: "127.0.0.3:1", Zone: "a"}
	other := Peer{Name: "other", Address: "127.0.0.4:1", Zone: "b"}
	for _, p := range []Peer{cut, sound, other} {
		e.addPeer(p)
	}
	reportUnreached(e, cut, 1, 7)
	reportUnreached(e, sound, 1)
	if got := e.ZoneTargets(7); len(got) != 1 || got[0] != sound {
		t.Errorf("for the lost service: %v", got)
	}
	if got := e.ZoneTargets(8); len(got) != 2 {
		t.Errorf("for another service: %v", got)
	}
	reportUnreached(e, cut, 2)
	if got := e.ZoneTargets(7); len(got) != 2 {
		t.Errorf("the path is back: %v", got)
	}
	if got := e.ZoneContacts()["b"]; len(got) != 1 || got[0] != other {
		t.Errorf("contacts: %v", got)
	}
	if !e.KnowsHost("127.0.0.3") || e.KnowsHost("127.0.0.9") {
		t.Error("hosts are not told apart")
	}
	now += time.Minute
	if got := e.ZoneTargets(8); len(got) != 0 {
		t.Errorf("silent for a minute: %v", got)
	}
}
