package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Settings are the settings of a Machine.
type Settings struct {
	// PollEvery is the minimum mean time between a daemon's reads of the head.
	PollEvery time.Duration
	// TableReadsPerSecond bounds the reads of the head by all daemons together.
	// With many instances, each one polls less often.
	TableReadsPerSecond float64
	// ExchangeEvery is the mean time between exchanges with a random peer.
	ExchangeEvery time.Duration
	// Fanout is how many peers a new version is offered to.
	Fanout int
}

// largeFleetPeers is the number of peers from which one exchange at a time is too
// slow to collect the answers of a majority while the table is down.
const largeFleetPeers = 64

// Action is what the daemon must do. It is one of the types below. The field Peer
// is the peer's control address.
type Action interface{ action() }

type (
	// PollHead reads the head of the table; pass its version to OnHeadRead.
	PollHead struct{}
	// Load reads a version from the table.
	Load struct{ Version int64 }
	// Exchange compares the state with a peer; pass the version in the peer's
	// answer to OnPeerAnswer.
	Exchange struct{ Peer string }
	// Offer sends a peer the number of the version held; pass the version in the
	// peer's answer to OnPeerAnswer.
	Offer struct{ Peer string }
	// Send sends the version held to a peer that has the older PeerVersion.
	Send struct {
		Peer        string
		PeerVersion int64
	}
	// Fetch requests from a peer the version that it holds.
	Fetch struct{ Peer string }
)

func (PollHead) action() {}
func (Load) action()     {}
func (Exchange) action() {}
func (Offer) action()    {}
func (Send) action()     {}
func (Fetch) action()    {}

// Machine decides which peers to exchange versions with, and when to read the
// table. It is a pure state machine: the caller passes the time of a monotonic
// clock and carries out the actions. It is not safe for concurrent use.
//
// A version reaches most daemons by Offer: each daemon offers a new version once
// to a few peers. It reaches the rest by Exchange: daemons periodically compare
// versions with one random peer, in both directions. The number of messages that
// a change costs each daemon is therefore independent of the number of daemons.
type Machine struct {
	settings Settings
	rng      *rand.Rand
	peers    []string
	version  int64
	// pollAt and exchangeAt are when the next poll and exchange are due.
	pollAt, exchangeAt time.Duration
	// fetching is the version that was last requested from a peer, also by the
	// answer to its offer. It is not requested from another peer until
	// fetchingUntil.
	fetching      int64
	fetchingUntil time.Duration
	// headVersion is the highest version of the head that was read. loadAt is when
	// to load it from the table if no peer has sent it by then.
	headVersion int64
	loadAt      time.Duration
}

// NewMachine returns a machine with version 0 and no peers.
func NewMachine(settings Settings, rng *rand.Rand) *Machine {
	return &Machine{settings: settings, rng: rng}
}

// Version returns the newest version that OnNewVersion was called with.
func (m *Machine) Version() int64 { return m.version }

// SetPeers sets the control addresses of the peers, without this daemon's own.
func (m *Machine) SetPeers(peers []string) {
	m.peers = slices.Clone(peers)
}

// OnNewVersion records that the daemon now holds a version, from whatever source.
// If the version is newer than the last one, it returns offers to a few peers.
func (m *Machine) OnNewVersion(version int64) []Action {
	if version <= m.version {
		return nil
	}
	m.version = version
	var actions []Action
	for _, peer := range m.randomPeers(m.settings.Fanout) {
		actions = append(actions, Offer{Peer: peer})
	}
	return actions
}

// Tick returns the actions that are due, and when to call it again. The parameter
// needMajority means that the answers of a majority of peers may soon be needed,
// which takes more exchanges in a large fleet.
func (m *Machine) Tick(now time.Duration, needMajority bool) ([]Action, time.Duration) {
	actions := m.tableActions(now)
	if now >= m.exchangeAt {
		n := 1
		if needMajority && len(m.peers) >= largeFleetPeers {
			n = 2
		}
		for _, peer := range m.randomPeers(n) {
			actions = append(actions, Exchange{Peer: peer})
		}
		m.exchangeAt = now + m.jitter(m.settings.ExchangeEvery)
	}
	next := min(m.pollAt, m.exchangeAt)
	if m.headVersion > m.version {
		next = min(next, m.loadAt)
	}
	return actions, next
}

func (m *Machine) tableActions(now time.Duration) []Action {
	var actions []Action
	if now >= m.pollAt {
		actions = append(actions, PollHead{})
		m.pollAt = now + m.jitter(m.pollPeriod())
	}
	if m.headVersion > m.version && now >= m.loadAt {
		actions = append(actions, Load{Version: m.headVersion})
		m.loadAt = now + fetchTimeout
	}
	return actions
}

// pollPeriod returns the mean time between this daemon's reads of the head.
func (m *Machine) pollPeriod() time.Duration {
	share := time.Duration(float64(len(m.peers)+1) / m.settings.TableReadsPerSecond * float64(time.Second))
	return max(m.settings.PollEvery, share)
}

// jitter returns a random time between 0.5 and 1.5 periods.
func (m *Machine) jitter(period time.Duration) time.Duration {
	return period/2 + time.Duration(m.rng.Int64N(int64(period)))
}

// randomPeers returns up to n peers at random.
func (m *Machine) randomPeers(n int) []string {
	n = min(n, len(m.peers))
	chosen := make([]string, 0, n)
	for _, i := range m.rng.Perm(len(m.peers))[:n] {
		chosen = append(chosen, m.peers[i])
	}
	return chosen
}

// OnHeadRead processes the version of the head. A version below the one held is a
// stale read and is ignored. A document is large, and peers send it compressed;
// it is therefore loaded from the table only if no peer has sent it after a random
// delay of up to fetchTimeout.
func (m *Machine) OnHeadRead(now time.Duration, head int64) {
	if head <= m.version || head <= m.headVersion {
		return
	}
	m.headVersion, m.loadAt = head, now
	if m.version > 0 && len(m.peers) > 0 {
		m.loadAt = now + time.Duration(m.rng.Int64N(int64(fetchTimeout)))
	}
}

// OnPeerAnswer processes the version in a peer's answer to an Exchange or an
// Offer.
func (m *Machine) OnPeerAnswer(now time.Duration, peer string, version int64) []Action {
	switch {
	case version < m.version:
		return []Action{Send{Peer: peer, PeerVersion: version}}
	case m.startFetch(now, version):
		return []Action{Fetch{Peer: peer}}
	}
	return nil
}

// OnOffer processes the number of a version that a peer offered, and returns the
// version to answer with. This is the version held, or the offered one if another
// peer is already sending it, so that only one peer sends it.
func (m *Machine) OnOffer(now time.Duration, version int64) int64 {
	if m.startFetch(now, version) {
		return m.version
	}
	return max(m.version, min(m.fetching, version))
}

// fetchTimeout is how long to wait for a version from one source before it is
// requested from another source.
const fetchTimeout = 500 * time.Millisecond

// startFetch reports whether to fetch a version: it must be newer than the one
// held, and not requested within fetchTimeout. If so, it records the fetch.
func (m *Machine) startFetch(now time.Duration, version int64) bool {
	if version <= m.version || version <= m.fetching && now < m.fetchingUntil {
		return false
	}
	m.fetching, m.fetchingUntil = version, now+fetchTimeout
	return true
}
