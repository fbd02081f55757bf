package idempotency

import (
	"time"

	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/tomlfile"
)

// Settings configure calls with an idempotency key.
type Settings struct {
	// ClaimTimeout bounds the write of a claim, and the read of the row for a
	// repeat. If the claim is not written by then, the call is refused as not
	// run. Default 1s.
	ClaimTimeout time.Duration `toml:"claim_timeout"`
	// KeepWait bounds how long the caller waits until its answer is stored.
	// After it the answer is sent, and storing continues in the background.
	// Default 250ms.
	KeepWait time.Duration `toml:"keep_wait"`
	// KeepTimeout bounds the time to store one answer. Default 15s.
	KeepTimeout time.Duration `toml:"keep_timeout"`
	// SettleAfter is how long an instance must see a claim without an answer
	// before it sets the outcome to unknown. It must be at least the time that
	// a call and storing its answer may take. Default 1m.
	SettleAfter time.Duration `toml:"settle_after"`
	// InlineBytes is the size of the largest answer body that is stored in the
	// row itself. Larger answers go to the object store. Default 16 KiB.
	InlineBytes int `toml:"inline_bytes"`
	// Retention is how long a claim is kept, by the clocks of the instances.
	// A call that is repeated after the removal runs again. Default 24h.
	Retention time.Duration `toml:"retention"`
	// SweepEvery is the time between two sweeps for old claims by one
	// instance. Each sweep covers 1 in 4096 of all claims. Default 10s.
	SweepEvery time.Duration `toml:"sweep_every"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		ClaimTimeout: time.Second,
		KeepWait:     250 * time.Millisecond,
		KeepTimeout:  15 * time.Second,
		SettleAfter:  time.Minute,
		InlineBytes:  16 << 10,
		Retention:    24 * time.Hour,
		SweepEvery:   10 * time.Second,
	}
}

// Check adds findings for invalid values under the given table of the file. The callTimeout is the timeout
// of a call to a service.
func (s *Settings) Check(file *tomlfile.File, table string, callTimeout time.Duration) {
	settings.Between(file, table+".claim_timeout", s.ClaimTimeout, 10*time.Millisecond, time.Minute)
	settings.Between(file, table+".keep_wait", s.KeepWait, 0, time.Minute)
	settings.Between(file, table+".keep_timeout", s.KeepTimeout, 10*time.Millisecond, 10*time.Minute)
	settings.Between(file, table+".settle_after", s.SettleAfter, callTimeout+s.KeepTimeout, 24*time.Hour)
	settings.IntBetween(file, table+".inline_bytes", s.InlineBytes, 0, 1<<20)
	settings.Between(file, table+".retention", s.Retention, s.SettleAfter, 365*24*time.Hour)
	settings.Between(file, table+".sweep_every", s.SweepEvery, 10*time.Millisecond, 24*time.Hour)
}
