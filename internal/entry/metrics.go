package entry

import (
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/attempt"
)

// meters are the counters and timers of requests that /metrics shows.
type meters struct {
	requests   metrics.Counter
	answered   metrics.Counter
	refused    metrics.Counter
	broken     metrics.Counter
	resumed    metrics.Counter
	callerGone metrics.Counter
	tokens     metrics.Counter
	split      metrics.Counter
	firstToken metrics.Timer
}

func newMeters(registry metrics.Registry) *meters {
	return &meters{
		requests:   metrics.GetOrRegisterCounter("entry.requests", registry),
		answered:   metrics.GetOrRegisterCounter("entry.answered", registry),
		refused:    metrics.GetOrRegisterCounter("entry.refused", registry),
		broken:     metrics.GetOrRegisterCounter("entry.broken", registry),
		resumed:    metrics.GetOrRegisterCounter("entry.resumed", registry),
		callerGone: metrics.GetOrRegisterCounter("entry.caller_gone", registry),
		tokens:     metrics.GetOrRegisterCounter("entry.tokens", registry),
		split:      metrics.GetOrRegisterCounter("entry.split", registry),
		firstToken: metrics.GetOrRegisterTimer("entry.first_token", registry),
	}
}

func newRetryMeters(registry metrics.Registry) attempt.Meters {
	return attempt.Meters{
		Retries: metrics.GetOrRegisterCounter("entry.retries", registry),
		Denied:  metrics.GetOrRegisterCounter("entry.retries_denied", registry),
	}
}
