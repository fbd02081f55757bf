package admit

import (
	"math"
	"time"
)

// margin learns by how much first tokens come later than predicted: a moving
// mean of the error and of its deviation, as a retransmission timer has (RFC
// 6298). It fades when nothing is observed, so that what was learnt under
// overload does not refuse for good.
type margin struct {
	mean, deviation float64 // seconds
	at              time.Duration
}

// Weights and fading of the margin.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	marginFades     = 5 * time.Second
)

// observe takes the error of one prediction; positive is late.
func (m *margin) observe(late, now time.Duration) {
	m.fade(now)
	off := late.Seconds() - m.mean
	m.mean += meanWeight * off
	m.deviation += deviationWeight * (math.Abs(off) - m.deviation)
}

// get returns what to add to a prediction.
func (m *margin) get(now time.Duration) time.Duration {
	m.fade(now)
	return seconds(max(0, m.mean+m.deviation))
}

func (m *margin) fade(now time.Duration) {
	if now <= m.at {
		return
	}
	left := math.Exp(-(now - m.at).Seconds() / marginFades.Seconds())
	m.mean *= left
	m.deviation *= left
	m.at = now
}
