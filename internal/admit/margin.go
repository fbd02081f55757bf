package admit

import (
	"math"
	"time"
)

// margin estimates how much later than predicted first tokens arrive. Like the
// retransmission timer of RFC 6298, it keeps moving averages of the prediction
// error and of the error's deviation. Both decay while nothing is observed, so
// that errors observed under overload do not cause refusals permanently.
type margin struct {
	mean, deviation float64 // seconds
	updatedAt       time.Duration
}

const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// marginDecay is the time constant of the decay.
	marginDecay = 5 * time.Second
)

// observe records the error of one prediction; positive means that the first
// token was late.
func (m *margin) observe(late, now time.Duration) {
	m.decay(now)
	diff := late.Seconds() - m.mean
	m.mean += meanWeight * diff
	m.deviation += deviationWeight * (math.Abs(diff) - m.deviation)
}

// get returns the safety margin to add to a prediction.
func (m *margin) get(now time.Duration) time.Duration {
	m.decay(now)
	return seconds(max(0, m.mean+m.deviation))
}

func (m *margin) decay(now time.Duration) {
	if now <= m.updatedAt {
		return
	}
	factor := math.Exp(-(now - m.updatedAt).Seconds() / marginDecay.Seconds())
	m.mean *= factor
	m.deviation *= factor
	m.updatedAt = now
}
