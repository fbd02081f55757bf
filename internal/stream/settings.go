package stream

import (
	"time"

	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/tomlfile"
)

// StallSettings tell when an engine that sends nothing is given up.
type StallSettings struct {
	// AcceptTimeout bounds the wait until the engine says that it took the
	// request. Default 2s.
	AcceptTimeout time.Duration `toml:"accept_timeout"`
	// FirstPieceTimeout bounds the wait for the first piece after that, the
	// engine's queue included. Default 60s.
	FirstPieceTimeout time.Duration `toml:"first_piece_timeout"`
	// ProbeEvery is the time without a piece after which the engine is asked
	// for its status, which tells a long queue from a frozen engine. An engine
	// that does not answer within AcceptTimeout is given up. Default 1s.
	ProbeEvery time.Duration `toml:"probe_every"`
	// GapFactor times the usual gap between pieces is what a later piece may
	// take, within Least and Most. Default 20.
	GapFactor float64 `toml:"factor"`
	// MinWait and Most bound the wait for a later piece. Default 1s and 10s.
	MinWait time.Duration `toml:"least"`
	MaxWait time.Duration `toml:"most"`
}

// DefaultStall returns the defaults.
func DefaultStall() StallSettings {
	return StallSettings{
		AcceptTimeout:     2 * time.Second,
		FirstPieceTimeout: time.Minute,
		ProbeEvery:        time.Second,
		GapFactor:         20,
		MinWait:           time.Second,
		MaxWait:           10 * time.Second,
	}
}

// Check reports findings under the table's name in the file.
func (s *StallSettings) Check(file *tomlfile.File, table string) {
	settings.Between(file, table+".accept_timeout", s.AcceptTimeout, 10*time.Millisecond, time.Minute)
	settings.Between(file, table+".first_piece_timeout", s.FirstPieceTimeout, 10*time.Millisecond, time.Hour)
	settings.Between(file, table+".probe_every", s.ProbeEvery, 10*time.Millisecond, time.Hour)
	if s.GapFactor < 1 || s.GapFactor > 1e6 {
		file.Add(table+".factor", "want 1 to 1000000, not %g", s.GapFactor)
	}
	settings.Between(file, table+".least", s.MinWait, time.Millisecond, time.Hour)
	settings.Between(file, table+".most", s.MaxWait, s.MinWait, time.Hour)
}
