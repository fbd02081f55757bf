package control

import (
	"time"

	"sassafrasfield/internal/logging"
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
	Log             logging.Settings `toml:"log"`
	Trace           tracing.Settings `toml:"trace"`
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
		Lease:           defaultLeaseSettings(),
		Spread:          defaultSpreadSettings(),
		Rollout:         RolloutSettings{StepEvery: 200 * time.Millisecond, EngineTimeout: 2 * time.Second},
		Log:             logging.Default(),
		Trace:           tracing.Default(),
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
	s.Lease.check(file)
	s.Spread.check(file, addresses)
	settings.Between(file, "rollout.step_every", s.Rollout.StepEvery, shortest, longest)
	settings.Between(file, "rollout.engine_timeout", s.Rollout.EngineTimeout, shortest, longest)
	s.Log.Check(file, "log")
	s.Trace.Check(file, "trace")
}
