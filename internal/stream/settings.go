package stream

import (
	"time"

	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/tomlfile"
)

// StallSettings configure after which time an engine that sends nothing is treated as failed.
type StallSettings struct {
	// AcceptTimeout bounds the wait until the engine accepts the request.
	// Default 2s.
	AcceptTimeout time.Duration `toml:"accept_timeout"`
	// FirstPieceTimeout bounds the wait for the first piece after that,
	// including the time in the engine's queue. Default 60s.
	FirstPieceTimeout time.Duration `toml:"first_piece_timeout"`
	// ProbeEvery is the interval at which an engine that has not sent its first
	// piece is queried for its status, which distinguishes a long queue from a
	// frozen engine. An engine that does not answer within AcceptTimeout is
	// treated as failed. Default 1s.
	ProbeEvery time.Duration `toml:"probe_every"`
	// GapFactor times the usual gap between pieces is the timeout for each
	// later piece, limited by least and most. Default 20.
	GapFactor float64 `toml:"factor"`
	// MinWait (least) and MaxWait (most) limit the timeout for a later piece.
	// Default 1s and 10s.
	MinWait time.Duration `toml:"least"`
	MaxWait time.Duration `toml:"most"`
}

// DefaultStall returns the default settings.
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

// Check adds findings for invalid values under the given table of the file.
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
