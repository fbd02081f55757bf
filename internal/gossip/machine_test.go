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

func TestVersionNeverDecreases(t *testing.T) {
	m := newTestMachine("p", "q", "r", "s")
	if actions := m.OnNewVersion(7); len(actions) != 3 {
		t.Errorf("version offered to %d peers, want 3", len(actions))
	}
	if actions := m.OnNewVersion(6); actions != nil || m.Version() != 7 {
		t.Errorf("version %d, %v", m.Version(), actions)
	}
	m.OnHeadRead(0, 6)
	actions, _ := m.Tick(time.Hour, false)
	for _, action := range actions {
		if load, ok := action.(Load); ok {
			t.Errorf("the version of a stale head is loaded: %+v", load)
		}
	}
	if actions := m.OnPeerAnswer(0, "p", 6); len(actions) != 1 || actions[0] != (Send{Peer: "p", PeerVersion: 6}) {
		t.Errorf("answer of a peer with an older version: actions %v", actions)
	}
}

func TestHolderVersionNeverDecreases(t *testing.T) {
	h := NewHolder()
	if !h.SetIfNewer(&config.Config{Version: 2}) || h.SetIfNewer(&config.Config{Version: 1}) {
		t.Error("want version 2 accepted and version 1 rejected")
	}
	if v := h.Current().Version; v != 2 {
		t.Errorf("version %d is held, want 2", v)
	}
}

func TestOnlyOnePeerSendsAVersion(t *testing.T) {
	m := newTestMachine("p", "q")
	m.OnNewVersion(1)
	if answer := m.OnOffer(0, 2); answer != 1 {
		t.Errorf("first offer: answer %d, want 1", answer)
	}
	if answer := m.OnOffer(fetchTimeout/2, 2); answer != 2 {
		t.Errorf("second offer: answer %d, want 2", answer)
	}
	if answer := m.OnOffer(2*fetchTimeout, 2); answer != 1 {
		t.Errorf("offer after the first peer timed out: answer %d, want 1", answer)
	}
}

func TestPollRateStaysWithinTableReads(t *testing.T) {
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

func TestDrainingIsRevokedOnlyByALaterList(t *testing.T) {
	s := NewDrainingSet(10 * time.Second)
	s.Merge("e", 20*time.Second)
	s.MergeList(29*time.Second, nil) // may be older than the announcement
	if len(s.Ages(30*time.Second)) != 1 {
		t.Error("a list that may be older revoked the announcement")
	}
	s.MergeList(30*time.Second, nil)
	s.Merge("e", 20*time.Second) // an old announcement from a peer
	if len(s.Ages(31*time.Second)) != 0 {
		t.Error("an old announcement was merged after a newer list")
	}
}
