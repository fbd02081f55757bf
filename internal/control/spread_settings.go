package control

import (
	"time"

	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/tomlfile"
)

// SpreadSettings configure how configuration versions are distributed.
type SpreadSettings struct {
	// Seeds are addresses (ip:port) of other sf-control processes, which are used
	// as peers while no instance list is known. Default none.
	Seeds []string `toml:"seeds"`
	// PollEvery is the minimum mean time between reads of the head. Default 1s.
	PollEvery time.Duration `toml:"poll_every"`
	// TableReads is the maximum number of reads of the head per second by all
	// instances together. Default 100.
	TableReads int `toml:"table_reads"`
	// ExchangeEvery is the mean time between exchanges with a random peer.
	// Default 500ms.
	ExchangeEvery time.Duration `toml:"exchange_every"`
	// PeerTimeout bounds each call to a peer. Default 1s.
	PeerTimeout time.Duration `toml:"peer_timeout"`
	// FreshFor is how long the instance accepts new work after the last evidence
	// that its configuration is the newest. Default 5s.
	FreshFor time.Duration `toml:"fresh_for"`
	// AcceptWithin bounds the duration of accepting a version. Default 10s.
	AcceptWithin time.Duration `toml:"accept_within"`
	// ReadLag is the maximum age of the table's answer to a read. Default 500ms.
	ReadLag time.Duration `toml:"read_lag"`
	// ListLag is the maximum age of the instance list. Default 10s.
	ListLag time.Duration `toml:"list_lag"`
	// Fanout is the number of peers that a new version is offered to. Default 3.
	Fanout int `toml:"fanout"`
	// ApplyEvery is the time between heartbeats to sf-entry. Default 250ms.
	ApplyEvery time.Duration `toml:"apply_every"`
	// ListEvery is the minimum time between reads of the instance list. Default
	// 1s.
	ListEvery time.Duration `toml:"list_every"`
	// ListReads is the number of reads of the instance list per second by all
	// instances together. Default 4.
	ListReads int `toml:"list_reads"`
}

func defaultSpreadSettings() SpreadSettings {
	return SpreadSettings{
		PollEvery: time.Second, TableReads: 100, ExchangeEvery: 500 * time.Millisecond,
		PeerTimeout: time.Second, Fanout: 3,
		FreshFor: 5 * time.Second, AcceptWithin: 10 * time.Second,
		ReadLag: 500 * time.Millisecond, ListLag: 10 * time.Second,
		ApplyEvery: 250 * time.Millisecond, ListEvery: time.Second, ListReads: 4,
	}
}

// check records errors in the settings.
func (s *SpreadSettings) check(file *tomlfile.File, addresses settings.Addresses) {
	for _, seed := range s.Seeds {
		addresses.Peer("spread.seeds", seed)
	}
	settings.Between(file, "spread.poll_every", s.PollEvery, minDuration, maxDuration)
	settings.IntBetween(file, "spread.table_reads", s.TableReads, 1, 10000)
	settings.Between(file, "spread.exchange_every", s.ExchangeEvery, minDuration, s.FreshFor/2)
	settings.Between(file, "spread.peer_timeout", s.PeerTimeout, minDuration, maxDuration)
	settings.IntBetween(file, "spread.fanout", s.Fanout, 1, maxFanout)
	settings.Between(file, "spread.fresh_for", s.FreshFor, 10*minDuration, 10*time.Minute)
	settings.Between(file, "spread.accept_within", s.AcceptWithin, minDuration, maxDuration)
	settings.Between(file, "spread.read_lag", s.ReadLag, 0, s.FreshFor/2)
	settings.Between(file, "spread.list_lag", s.ListLag, 0, maxDuration)
	settings.Between(file, "spread.apply_every", s.ApplyEvery, minDuration, s.FreshFor/2)
	settings.IntBetween(file, "spread.list_reads", s.ListReads, 1, 10000)
	settings.Between(file, "spread.list_every", s.ListEvery, minDuration, maxDuration)
}
