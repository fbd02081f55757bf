package control

import (
	"time"

	"sassafrasfield/internal/logging"
	"sassafrasfield/internal/roles"
	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/tomlfile"
	"sassafrasfield/internal/tracing"
)

// Settings of sf-control.
type Settings struct {
	// Instance is the id that the platform's instance list has.
	Instance string `toml:"instance"`
	// Zone is the availability zone of the instance.
	Zone string `toml:"zone"`
	// Listen is the address for peers, operators, and the probes.
	Listen string `toml:"listen"`
	// EntryLocal is the local address of sf-entry on the same instance.
	EntryLocal string `toml:"entry_local"`
	// Platform is the address of the platform's service.
	Platform string `toml:"platform"`
	// PlatformTimeout bounds each call to the platform. Default 2s.
	PlatformTimeout time.Duration    `toml:"platform_timeout"`
	Lease           LeaseSettings    `toml:"lease"`
	Spread          SpreadSettings   `toml:"spread"`
	Rollout         RolloutSettings  `toml:"rollout"`
	Roles           roles.Settings   `toml:"roles"`
	Log             logging.Settings `toml:"log"`
	Trace           tracing.Settings `toml:"trace"`
}

// LeaseSettings set the authority over pools.
type LeaseSettings struct {
	// Term that a renewal is good for. Default 3s.
	Term time.Duration `toml:"term"`
	// RenewEvery is the time between renewals. Default 1s.
	RenewEvery time.Duration `toml:"renew_every"`
	// Margin that a challenger waits beyond the term. Default 300ms.
	Margin time.Duration `toml:"margin"`
}

// SpreadSettings set how configuration spreads.
type SpreadSettings struct {
	// PollEvery is the mean time between reads of the head. Default 1s.
	PollEvery time.Duration `toml:"poll_every"`
	// Fanout is the number of peers told of a new version. Default 3.
	Fanout int `toml:"fanout"`
	// ApplyEvery is the time between heartbeats to sf-entry. Default 250ms.
	ApplyEvery time.Duration `toml:"apply_every"`
	// ListEvery is the time between reads of the instance list. Default 1s.
	ListEvery time.Duration `toml:"list_every"`
}

// RolloutSettings set how plans are carried out.
type RolloutSettings struct {
	// StepEvery is the time between looks at a pool with work to do. Default
	// 200ms.
	StepEvery time.Duration `toml:"step_every"`
	// EngineTimeout bounds each call to an engine. Default 2s.
	EngineTimeout time.Duration `toml:"engine_timeout"`
}

// Bounds of the settings.
const (
	shortest = time.Millisecond
	longest  = time.Minute
	maxPeers = 64
)

// DefaultSettings returns the defaults; addresses and names have none.
func DefaultSettings() *Settings {
	return &Settings{
		PlatformTimeout: 2 * time.Second,
		Lease:           LeaseSettings{Term: 3 * time.Second, RenewEvery: time.Second, Margin: 300 * time.Millisecond},
		Spread: SpreadSettings{
			PollEvery: time.Second, Fanout: 3,
			ApplyEvery: 250 * time.Millisecond, ListEvery: time.Second,
		},
		Rollout: RolloutSettings{StepEvery: 200 * time.Millisecond, EngineTimeout: 2 * time.Second},
		Roles:   roles.Default(),
		Log:     logging.Default(),
		Trace:   tracing.Default(),
	}
}

// Check implements settings.Checker.
func (s *Settings) Check(file *tomlfile.File) {
	settings.Required(file, "instance", s.Instance)
	settings.Required(file, "zone", s.Zone)
	addresses := settings.Addresses{File: file}
	addresses.Listen("listen", s.Listen)
	addresses.Listen("entry_local", s.EntryLocal)
	addresses.Peer("platform", s.Platform)
	settings.Between(file, "platform_timeout", s.PlatformTimeout, shortest, longest)
	settings.Between(file, "lease.term", s.Lease.Term, 100*time.Millisecond, longest)
	settings.Between(file, "lease.renew_every", s.Lease.RenewEvery, shortest, s.Lease.Term/2)
	settings.Between(file, "lease.margin", s.Lease.Margin, shortest, longest)
	settings.Between(file, "spread.poll_every", s.Spread.PollEvery, shortest, longest)
	settings.IntBetween(file, "spread.fanout", s.Spread.Fanout, 1, maxPeers)
	settings.Between(file, "spread.apply_every", s.Spread.ApplyEvery, shortest, longest)
	settings.Between(file, "spread.list_every", s.Spread.ListEvery, shortest, longest)
	settings.Between(file, "rollout.step_every", s.Rollout.StepEvery, shortest, longest)
	settings.Between(file, "rollout.engine_timeout", s.Rollout.EngineTimeout, shortest, longest)
	s.Roles.Check(file, "roles")
	s.Log.Check(file, "log")
	s.Trace.Check(file, "trace")
}
