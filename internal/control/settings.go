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
	// Instance is the ID of this instance in the platform's instance list.
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
	Demand          DemandSettings   `toml:"demand"`
	Log             logging.Settings `toml:"log"`
	Trace           tracing.Settings `toml:"trace"`
}

// RolloutSettings configure how plans are carried out.
type RolloutSettings struct {
	// StepEvery is the shortest time between steps of a pool. Default 200ms.
	StepEvery time.Duration `toml:"step_every"`
	// EngineTimeout bounds each call to an engine. Default 2s.
	EngineTimeout time.Duration `toml:"engine_timeout"`
	// WatchEvery is the longest time between steps of a pool that has no pending
	// change and is only watched for faults. Default 5s.
	WatchEvery time.Duration `toml:"watch_every"`
	// WaitEvery is the longest time between steps of a pool with a pending change
	// that has to wait. Default 1s.
	WaitEvery time.Duration `toml:"wait_every"`
	// SilentAfter is how long after an engine was marked as draining an instance
	// that does not answer is assumed to send it no new work. It must exceed
	// stale_after of sf-entry by the time that a disconnected sf-control keeps an
	// old version. Default 15s.
	SilentAfter time.Duration `toml:"silent_after"`
	// UnreachableAfter is how long an engine must not have answered before it is
	// taken out of routing. Default 10s.
	UnreachableAfter time.Duration `toml:"unreachable_after"`
	// ResendAfter is the time between sends of an order that an engine did not
	// carry out. Default 2s.
	ResendAfter time.Duration `toml:"resend_after"`
	// LoadTime is the time within which an engine should get its weights. With the
	// weight store's rate and the model's weight_bytes, it bounds the number of
	// concurrent loads. Default 1m.
	LoadTime time.Duration `toml:"load_time"`
	// MaxLoads bounds the number of engines of a pool that load weights
	// concurrently if the rate or the size is unknown. Default 4.
	MaxLoads int `toml:"max_loads"`
}

// Bounds of the settings.
const (
	minDuration = time.Millisecond
	maxDuration = time.Minute
	maxFanout   = 64
)

// DefaultSettings returns the defaults. Addresses and names have none.
func DefaultSettings() *Settings {
	return &Settings{
		PlatformTimeout: 2 * time.Second,
		Lease:           defaultLeaseSettings(),
		Spread:          defaultSpreadSettings(),
		Rollout: RolloutSettings{
			StepEvery: 200 * time.Millisecond, EngineTimeout: 2 * time.Second,
			WatchEvery: 5 * time.Second, WaitEvery: time.Second,
			SilentAfter: 15 * time.Second, UnreachableAfter: 10 * time.Second,
			ResendAfter: 2 * time.Second, LoadTime: time.Minute, MaxLoads: 4,
		},
		Roles:  roles.Default(),
		Demand: DemandSettings{Every: time.Second, Keep: 3 * time.Second},
		Log:    logging.Default(),
		Trace:  tracing.Default(),
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
	settings.Between(file, "platform_timeout", s.PlatformTimeout, minDuration, maxDuration)
	s.Lease.check(file)
	s.Spread.check(file, addresses)
	s.Rollout.check(file)
	settings.Between(file, "demand.every", s.Demand.Every, 10*time.Millisecond, maxDuration)
	settings.Between(file, "demand.keep", s.Demand.Keep, s.Demand.Every, 10*maxDuration)
	s.Roles.Check(file, "roles")
	s.Log.Check(file, "log")
	s.Trace.Check(file, "trace")
}

func (s RolloutSettings) check(file *tomlfile.File) {
	settings.Between(file, "rollout.step_every", s.StepEvery, minDuration, maxDuration)
	settings.Between(file, "rollout.engine_timeout", s.EngineTimeout, minDuration, maxDuration)
	settings.Between(file, "rollout.watch_every", s.WatchEvery, s.StepEvery, maxDuration)
	settings.Between(file, "rollout.wait_every", s.WaitEvery, s.StepEvery, maxDuration)
	settings.Between(file, "rollout.silent_after", s.SilentAfter, minDuration, 10*maxDuration)
	settings.Between(file, "rollout.unreachable_after", s.UnreachableAfter, minDuration, 10*maxDuration)
	settings.Between(file, "rollout.resend_after", s.ResendAfter, minDuration, maxDuration)
	settings.Between(file, "rollout.load_time", s.LoadTime, minDuration, 60*maxDuration)
	settings.IntBetween(file, "rollout.max_loads", s.MaxLoads, 1, 10000)
}
