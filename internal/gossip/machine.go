package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Settings of the spread.
type Settings struct {
	// PollEvery is the least mean time between reads of the head.
	PollEvery time.Duration
	// TableReadsPerSecond is how many reads of the head a second all daemons together
	// may cost the table. With many instances each polls less often.
	TableReadsPerSecond float64
	// ExchangeEvery is the mean time between exchanges with a random peer.
	ExchangeEvery time.Duration
	// Fanout is how many peers are told of a version that is learned.
	Fanout int
}

// manyInstances is from where on one exchange a tick brings the news of a
// majority too slowly while the table is down.
const manyInstances = 64

// Action is what the daemon should do. It is one of the types below; each of
// them names a peer by its control address, where it has one.
type Action interface{ action() }

type (
	// PollHead reads the head of the table; TableAnswered takes the version.
	PollHead struct{}
	// Load reads a version from the table.
	Load struct{ Version int64 }
	// Exchange asks a peer what it knows; PeerAnswered takes the version.
	Exchange struct{ Peer string }
	// Offer tells a peer the number of the version held; PeerAnswered takes the
	// version that the peer answers with.
	Offer struct{ Peer string }
	// Send brings a peer, which has an older version, the one held.
	Send struct {
		Peer        string
		PeerVersion int64
	}
	// Fetch asks a peer for the version that it holds.
	Fetch struct{ Peer string }
)

func (PollHead) action() {}
func (Load) action()     {}
func (Exchange) action() {}
func (Offer) action()    {}
func (Send) action()     {}
func (Fetch) action()    {}

// Machine decides whom to ask and whom to tell. It is pure: the caller passes
// the time of a monotonic clock, and carries the actions out. It is not safe
// for use by several goroutines.
//
// A version reaches most daemons by Offer: each daemon tells a few peers once
// when it learns of it. It reaches the rest by Exchange: each tick compares
// the version with that of one random peer, in both directions. So a change
// costs each daemon a fixed number of messages, whatever their number.
type Machine struct {
	settings Settings
	rng      *rand.Rand
	peers    []string
	version  int64
	// pollAt and exchangeAt are when the next of them is due.
	pollAt, exchangeAt time.Duration
	// fetching is the version that is being fetched or loaded, and until when
	// no other source is asked for it.
	fetching      int64
	fetchingUntil time.Duration
	// seenHead is the version that the head was read to have, and loadAt when
	// to load it if no peer has brought it.
	seenHead int64
	loadAt   time.Duration
}

// NewMachine returns a machine that holds version 0 and knows no peer.
func NewMachine(settings Settings, rng *rand.Rand) *Machine {
	return &Machine{settings: settings, rng: rng}
}

// Version is the newest version that was learned.
func (m *Machine) Version() int64 { return m.version }

// SetPeers takes the control addresses of the peers, self excluded.
func (m *Machine) SetPeers(peers []string) {
	m.peers = slices.Clone(peers)
}

// OnNewVersion takes a version that is held now, from whichever source. Peers are
// told of it, unless it is none that is newer.
func (m *Machine) OnNewVersion(version int64) []Action {
	if version <= m.version {
		return nil
	}
	m.version = version
	var actions []Action
	for _, peer := range m.choose(m.settings.Fanout) {
		actions = append(actions, Offer{Peer: peer})
	}
	return actions
}

// Tick returns what is due, and when to call again. Hurried asks for the news
// of a majority, which takes more exchanges among many instances.
func (m *Machine) Tick(now time.Duration, hurried bool) ([]Action, time.Duration) {
	actions := m.tickTable(now)
	if now >= m.exchangeAt {
		n := 1
		if hurried && len(m.peers) >= manyInstances {
			n = 2
		}
		for _, peer := range m.choose(n) {
			actions = append(actions, Exchange{Peer: peer})
		}
		m.exchangeAt = now + m.jitter(m.settings.ExchangeEvery)
	}
	next := min(m.pollAt, m.exchangeAt)
	if m.seenHead > m.version {
		next = min(next, m.loadAt)
	}
	return actions, next
}

func (m *Machine) tickTable(now time.Duration) []Action {
	var actions []Action
	if now >= m.pollAt {
		actions = append(actions, PollHead{})
		m.pollAt = now + m.jitter(m.pollPeriod())
	}
	if m.seenHead > m.version && now >= m.loadAt {
		actions = append(actions, Load{Version: m.seenHead})
		m.loadAt = now + fetchTimeout
	}
	return actions
}

// pollPeriod is the mean time between this daemon's reads of the head.
func (m *Machine) pollPeriod() time.Duration {
	share := time.Duration(float64(len(m.peers)+1) / m.settings.TableReadsPerSecond * float64(time.Second))
	return max(m.settings.PollEvery, share)
}

// jitter spreads a period over half to one and a half of it.
func (m *Machine) jitter(period time.Duration) time.Duration {
	return period/2 + time.Duration(m.rng.Int64N(int64(period)))
}

// choose picks up to n peers at random.
func (m *Machine) choose(n int) []string {
	n = min(n, len(m.peers))
	chosen := make([]string, 0, n)
	for _, i := range m.rng.Perm(len(m.peers))[:n] {
		chosen = append(chosen, m.peers[i])
	}
	return chosen
}

// OnHeadRead takes the version of the head; one below the version held is a
// stale read. A document is large and peers bring it compressed, so the table
// is asked for it only when they have not after a while.
func (m *Machine) OnHeadRead(now time.Duration, head int64) {
	if head <= m.version || head <= m.seenHead {
		return
	}
	m.seenHead, m.loadAt = head, now
	if m.version > 0 && len(m.peers) > 0 {
		m.loadAt = now + time.Duration(m.rng.Int64N(int64(fetchTimeout)))
	}
}

// OnPeerAnswer takes the version that a peer answered an Exchange or an Offer
// with.
func (m *Machine) OnPeerAnswer(now time.Duration, peer string, version int64) []Action {
	switch {
	case version < m.version:
		return []Action{Send{Peer: peer, PeerVersion: version}}
	case m.want(now, version):
		return []Action{Fetch{Peer: peer}}
	}
	return nil
}

// OnOffer takes the number of a version that a peer told of, and returns
// the version to answer with: the one held, or one that is on its way here, so
// that only one peer sends it.
func (m *Machine) OnOffer(now time.Duration, version int64) int64 {
	if m.want(now, version) {
		return m.version
	}
	return max(m.version, min(m.fetching, version))
}

// fetchTimeout is how long one source is waited for before another is asked
// for the same version.
const fetchTimeout = 500 * time.Millisecond

// want tells whether to ask for a version: it is newer, and was not asked for
// just now.
func (m *Machine) want(now time.Duration, version int64) bool {
	if version <= m.version || version <= m.fetching && now < m.fetchingUntil {
		return false
	}
	m.fetching, m.fetchingUntil = version, now+fetchTimeout
	return true
}
