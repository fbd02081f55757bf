package upstreamstate

import (
	"time"

	"sassafrasfield/internal/reservation"
)

// speedTTL is how long a published speed is used: two of the messages that come once a second may be lost.
const speedTTL = 3500 * time.Millisecond

// publishedSpeed is an engine's speed as its zone's hub published it.
type publishedSpeed struct {
	value float64
	until time.Duration
}

// ApplySpeeds applies published speeds of engines.
func (s *State) ApplySpeeds(list []reservation.EngineSpeed, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, published := range list {
		if n, ok := s.byHash[published.Engine]; ok && published.Speed > 0 {
			n.speed = publishedSpeed{value: published.Speed, until: now + speedTTL}
		}
	}
}

// Speeds returns the published speeds that are in use.
func (s *State) Speeds(now time.Duration) []reservation.EngineSpeed {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []reservation.EngineSpeed
	for _, n := range s.nodes {
		if now < n.speed.until {
			list = append(list, reservation.EngineSpeed{Engine: n.hash, Speed: n.speed.value})
		}
	}
	return list
}

// speedAt returns the time that the upstream needs relative to the predicted one; 1 if nothing is published.
func (n *node) speedAt(now time.Duration) float64 {
	if now >= n.speed.until {
		return 1
	}
	return n.speed.value
}
