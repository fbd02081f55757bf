package reservation

import (
	"math"
	"time"
)

const (
	// leastBusy is the shortest predicted time that says something about an engine's speed: messages and the
	// engine's steps add some milliseconds to each prompt.
	leastBusy = 5 * time.Millisecond
	// fastest and slowest bound an estimate.
	fastest, slowest = 0.4, 4
	// speedMemory is the time after which 63% of a deviation from the long-term mean is expected to be gone.
	// Engines stay slow for seconds.
	speedMemory = 4 * time.Second
	// meanMemory is the same for the deviation of the long-term mean from 1, so that an engine that was slow
	// for long is tried again.
	meanMemory = time.Minute
	// spread is the standard deviation of the logarithm of an engine's speed without observations: a fifth of
	// the engines needs 1.4 to 3 times as long.
	spread = 0.4
	// noise is the standard deviation of the logarithm of a single observation of noiseBusy or more.
	noise     = 0.3
	noiseBusy = 20 * time.Millisecond
	// maxStep bounds the logarithm by which an observation may differ from the estimate: a prompt whose cached
	// part was evicted takes up to 4.6 times as long, and isn't a slow engine.
	maxStep = 0.9
	// meanGain is the part of the difference between the estimate and the long-term mean that an observation
	// moves the mean.
	meanGain = 0.05
)

// speed estimates the time that an engine needs relative to the predicted one. It is a Kalman filter of the
// logarithm, which reverts to the long-term mean between observations.
type speed struct {
	log, variance float64
	mean          float64
	updated       time.Duration
	// usual is set if nothing is learned.
	usual bool
}

func newSpeed(now time.Duration) speed {
	return speed{variance: spread * spread, updated: now}
}

// at returns the expected speed at a time.
func (s *speed) at(now time.Duration) float64 {
	log, _, _ := s.reverted(now)
	return math.Exp(log)
}

// reverted returns the estimate at a time without further observations.
func (s *speed) reverted(now time.Duration) (log, variance, mean float64) {
	since := max(0, now-s.updated)
	kept := math.Exp(-float64(since) / float64(speedMemory))
	mean = s.mean * math.Exp(-float64(since)/float64(meanMemory))
	log = mean + (s.log-s.mean)*kept
	variance = spread*spread + (s.variance-spread*spread)*kept*kept
	return log, variance, mean
}

// observe learns from the time that a prompt took.
func (s *speed) observe(took, busy, now time.Duration) {
	if s.usual || busy < leastBusy || took <= 0 {
		return
	}
	s.log, s.variance, s.mean = s.reverted(now)
	s.updated = now
	step := math.Log(float64(took)/float64(busy)) - s.log
	step = min(max(step, -maxStep), maxStep)
	uncertain := noise * noise * (1 + float64(noiseBusy)/float64(busy))
	gain := s.variance / (s.variance + uncertain)
	s.log = min(max(s.log+gain*step, math.Log(fastest)), math.Log(slowest))
	s.variance *= 1 - gain
	s.mean += meanGain * (s.log - s.mean)
}
