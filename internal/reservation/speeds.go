package reservation

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// EngineSpeed is the time that an engine needs relative to the predicted one.
type EngineSpeed struct {
	Engine uint32
	Speed  float64
}

const (
	// noticeable is the least deviation from the usual speed that is worth publishing. The times of single prompts
	// and generations vary by more.
	noticeable = 0.15
	// maxSpeeds bounds the published speeds, which go to all instances of the zone once a second.
	maxSpeeds = 256
)

// Observe learns from the time that an engine took for work that usually takes another time.
func (l *Ledger) Observe(engine uint32, took, usual, now time.Duration) {
	on := l.engine(engine, now)
	on.speed.observe(took, usual, now)
	on.usedAt = now
}

// Speeds returns the engines whose speed differs noticeably from the usual one, the most unusual first.
func (l *Ledger) Speeds(now time.Duration) []EngineSpeed {
	var list []EngineSpeed
	for id, on := range l.engines {
		if s := on.speed.at(now); math.Abs(s-1) >= noticeable {
			list = append(list, EngineSpeed{Engine: id, Speed: s})
		}
	}
	slices.SortFunc(list, func(a, b EngineSpeed) int {
		return cmp.Or(cmp.Compare(math.Abs(math.Log(b.Speed)), math.Abs(math.Log(a.Speed))), cmp.Compare(a.Engine, b.Engine))
	})
	return list[:min(len(list), maxSpeeds)]
}
