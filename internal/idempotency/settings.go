package idempotency

import (
	"time"

	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/tomlfile"
)

// Settings of keyed calls.
type Settings struct {
	// ClaimTimeout bounds the claim, and the reading of a repeat's row. When
	// it ends, the call is refused as not run. Default 1s.
	ClaimTimeout time.Duration `toml:"claim_timeout"`
	// KeepWait is how long the caller waits for its answer to be kept. After
	// it the answer goes out, and the keeping goes on. Default 250ms.
	KeepWait time.Duration `toml:"keep_wait"`
	// KeepTimeout bounds the keeping of one answer. Default 15s.
	KeepTimeout time.Duration `toml:"keep_timeout"`
	// SettleAfter is how long an instance sees a claim without an answer until
	// it settles it as unknown. It is longer than a call and its keeping take.
	// Default 1m.
	SettleAfter time.Duration `toml:"settle_after"`
	// InlineBytes is the largest answer that the row itself holds; larger ones
	// go to the object store. Default 16 KiB.
	InlineBytes int `toml:"inline_bytes"`
	// Retention is how long a claim is kept, by the clocks of the instances. A
	// repeat after it runs again. Default 24h.
	Retention time.Duration `toml:"retention"`
	// SweepEvery is the time between two removals of old claims by one
	// instance; each looks at 1 in 4096 of all claims. Default 10s.
	SweepEvery time.Duration `toml:"sweep_every"`
}

// Default returns the defaults.
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

// Check reports findings under the table's name in the file. CallTimeout
// bounds a call to a service.
func (s *Settings) Check(file *tomlfile.File, table string, callTimeout time.Duration) {
	settings.Between(file, table+".claim_timeout", s.ClaimTimeout, 10*time.Millisecond, time.Minute)
	settings.Between(file, table+".keep_wait", s.KeepWait, 0, time.Minute)
	settings.Between(file, table+".keep_timeout", s.KeepTimeout, 10*time.Millisecond, 10*time.Minute)
	settings.Between(file, table+".settle_after", s.SettleAfter, callTimeout+s.KeepTimeout, 24*time.Hour)
	settings.IntBetween(file, table+".inline_bytes", s.InlineBytes, 0, 1<<20)
	settings.Between(file, table+".retention", s.Retention, s.SettleAfter, 365*24*time.Hour)
	settings.Between(file, table+".sweep_every", s.SweepEvery, 10*time.Millisecond, 24*time.Hour)
}
