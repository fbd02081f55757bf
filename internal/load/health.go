package load

import "time"

// OutlierRules determine when an upstream is ejected and how it recovers.
type OutlierRules struct {
	// Failures is the number of consecutive failures that eject an upstream.
	Failures int
	// EjectFor is the duration of the first ejection. It doubles with each consecutive ejection, up to
	// EjectAtMost.
	EjectFor    time.Duration
	EjectAtMost time.Duration
	// SilentFor is how long an engine that has reported may go without a new report before it counts as
	// unresponsive.
	SilentFor time.Duration
	// RecoveredAt is the number of concurrent own streams at which a recovering upstream counts as healthy
	// again.
	RecoveredAt int
}

// DefaultOutlierRules returns the defaults.
func DefaultOutlierRules() OutlierRules {
	return OutlierRules{
		Failures: 2, EjectFor: 2 * time.Second, EjectAtMost: 30 * time.Second,
		SilentFor: 2 * time.Second, RecoveredAt: 16,
	}
}

// Health is the health of an upstream as observed by an instance's own calls. The zero value is healthy. An
// ejected upstream gets no new requests for a time. It then recovers: it may have one request at a time, and
// the limit doubles after each success until the upstream is healthy.
type Health struct {
	failures     int
	ejections    int
	ejectedUntil time.Duration
	// probeLimit is how many own streams a recovering upstream may have; 0 when it is healthy.
	probeLimit int
	// probes are the requests placed since the recovery began that have not ended.
	probes map[string]bool
}

// Admits reports whether the upstream may get one more request.
func (h *Health) Admits(now time.Duration) bool {
	if h.probeLimit == 0 {
		return true
	}
	return now >= h.ejectedUntil && len(h.probes) < h.probeLimit
}

// Ejected reports whether the upstream is ejected at a time.
func (h *Health) Ejected(now time.Duration) bool {
	return h.probeLimit > 0 && now < h.ejectedUntil
}

func (h *Health) placed(request string, now time.Duration) {
	if h.probeLimit == 0 || now < h.ejectedUntil {
		return
	}
	if h.probes == nil {
		h.probes = map[string]bool{}
	}
	h.probes[request] = true
}

func (h *Health) ended(request string) {
	delete(h.probes, request)
}

// failed counts a failure and reports whether it ejects the upstream. Failures during an ejection come from
// streams that began before it and do not prolong it.
func (h *Health) failed(now time.Duration, rules OutlierRules) bool {
	if h.Ejected(now) {
		return false
	}
	h.failures++
	if h.probeLimit == 0 && h.failures < rules.Failures {
		return false
	}
	duration := rules.EjectFor
	for range h.ejections {
		duration = min(2*duration, rules.EjectAtMost)
	}
	h.ejections++
	h.failures, h.probeLimit, h.probes = 0, 1, nil
	h.ejectedUntil = now + duration
	return true
}

// backOff sends no requests to the upstream until a time that it requested. This time replaces that of any
// ejection. The upstream recovers gradually afterwards.
func (h *Health) backOff(until time.Duration) {
	h.failures, h.probeLimit, h.probes = 0, 1, nil
	h.ejectedUntil = until
}

// startProbing begins the gradual recovery of an upstream that was silent.
func (h *Health) startProbing(now time.Duration) {
	if h.probeLimit > 0 {
		return
	}
	h.probeLimit, h.ejectedUntil, h.probes = 1, now, nil
}

func (h *Health) succeeded(rules OutlierRules) {
	h.failures = 0
	if h.probeLimit == 0 || len(h.probes) == 0 {
		return
	}
	h.probeLimit *= 2
	if h.probeLimit >= rules.RecoveredAt {
		*h = Health{}
	}
}

// CallResult is the result of one call to an upstream.
type CallResult int

const (
	// CallSucceeded: the upstream answered.
	CallSucceeded CallResult = iota
	// CallRefused: the upstream stated that it executed nothing.
	CallRefused
	// CallFailed: the upstream gave no valid answer.
	CallFailed
	// CallUnreachable: the upstream could not be reached or stopped responding.
	CallUnreachable
	// CallAddressReassigned: another upstream has the address now, so this one no longer exists.
	CallAddressReassigned
)

// RecordCall records the result of a call to an upstream and reports whether that ejects it.
func (t *Table) RecordCall(id string, r CallResult, now time.Duration) (ejected bool) {
	switch r {
	case CallSucceeded:
		t.Succeeded(id)
		return false
	case CallRefused:
		return t.Refused(id, now)
	default:
		return t.Failed(id, now)
	}
}
