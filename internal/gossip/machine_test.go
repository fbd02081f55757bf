package gossip

import (
	"math/rand/v2"
	"testing"
	"time"

	"sassafrasfield/internal/config"
)

func newTestMachine(peers ...string) *Machine {
	m := NewMachine(Settings{
		PollEvery: time.Second, TableReadsPerSecond: 100, ExchangeEvery: time.Second / 2, Fanout: 3,
	}, rand.New(rand.NewPCG(1, 2)))
	m.SetPeers(peers)
	return m
}

func TestVersionNeverFalls(t *testing.T) {
	m := newTestMachine("p", "q", "r", "s")
	if actions := m.OnNewVersion(7); len(actions) != 3 {
		t.Errorf("%d peers are told, want 3", len(actions))
	}
	if actions := m.OnNewVersion(6); actions != nil || m.Version() != 7 {
		t.Errorf("version %d, %v", m.Version(), actions)
	}
	m.OnHeadRead(0, 6)
	actions, _ := m.Tick(time.Hour, false)
	for _, action := range actions {
		if load, ok := action.(Load); ok {
			t.Errorf("a stale head is loaded: %+v", load)
		}
	}
	if actions := m.OnPeerAnswer(0, "p", 6); len(actions) != 1 || actions[0] != (Send{Peer: "p", PeerVersion: 6}) {
		t.Errorf("a peer that is behind: %v", actions)
	}
}

func TestHolderNeverFalls(t *testing.T) {
	h := NewHolder()
	if !h.SetIfNewer(&config.Config{Version: 2}) || h.SetIfNewer(&config.Config{Version: 1}) {
		t.Error("want version 2 taken and version 1 not")
	}
	if v := h.Current().Version; v != 2 {
		t.Errorf("version %d is held, want 2", v)
	}
}

func TestOnePeerSendsAVersion(t *testing.T) {
	m := newTestMachine("p", "q")
	m.OnNewVersion(1)
	if answer := m.OnOffer(0, 2); answer != 1 {
		t.Errorf("the first that offers is answered %d, want 1", answer)
	}
	if answer := m.OnOffer(fetchTimeout/2, 2); answer != 2 {
		t.Errorf("the second is answered %d, want 2", answer)
	}
	if answer := m.OnOffer(2*fetchTimeout, 2); answer != 1 {
		t.Errorf("one after the first did not send is answered %d, want 1", answer)
	}
}

func TestPollsFitTheTable(t *testing.T) {
	m := newTestMachine(make([]string, 399)...)
	polls := 0
	for now := time.Duration(0); now < 1000*time.Second; {
		actions, next := m.Tick(now, false)
		for _, action := range actions {
			if action == (PollHead{}) {
				polls++
			}
		}
		now = next
	}
	if polls < 200 || polls > 300 {
		t.Errorf("%d reads in 1000 s, want about 250: 100 a second among 400", polls)
	}
}

func TestLeavingIsTakenBackByALaterListAlone(t *testing.T) {
	l := NewDrainingSet(10 * time.Second)
	l.Merge("e", 20*time.Second)
	l.MergeList(29*time.Second, nil) // may be older than the word
	if len(l.Ages(30*time.Second)) != 1 {
		t.Error("a list that may be older took the word back")
	}
	l.MergeList(30*time.Second, nil)
	l.Merge("e", 20*time.Second) // a peer's old word
	if len(l.Ages(31*time.Second)) != 0 {
		t.Error("an old word came back")
	}
}
