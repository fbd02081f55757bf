package load

import "time"

// OutlierRules tell when an upstream is ejected and how it comes back.
type OutlierRules struct {
	// Failures in a row that eject an upstream.
	Failures int
	// EjectFor is the first ejection's time; it doubles with each ejection in
	// a row, up to EjectAtMost.
	EjectFor    time.Duration
	EjectAtMost time.Duration
	// SilentFor is how long an engine that has reported may go without a new
	// report before it counts as frozen.
	SilentFor time.Duration
	// RecoveredAt is the number of own streams at a time from which a returning
	// upstream counts as whole again.
	RecoveredAt int
}

// DefaultOutlierRules returns the defaults.
func DefaultOutlierRules() OutlierRules {
	return OutlierRules{
		Failures: 2, EjectFor: 2 * time.Second, EjectAtMost: 30 * time.Second,
		SilentFor: 2 * time.Second, RecoveredAt: 16,
	}
}

// Health is what an entry's own calls tell of an upstream. The zero value is
// whole. An ejected upstream gets no new work for a time; then one request at
// a time, and twice as many after each that went well, until it is whole.
type Health struct {
	failures  int
	ejections int
	until     time.Duration
	// room is how many own streams a returning upstream may have; 0 when it
	// is whole.
	room int
	// probes are the requests placed since the return that have not ended.
	probes map[string]bool
}

// Admits tells whether the upstream may get one more request.
func (h *Health) Admits(now time.Duration) bool {
	if h.room == 0 {
		return true
	}
	return now >= h.until && len(h.probes) < h.room
}

// Ejected tells whether the upstream is ejected at a time.
func (h *Health) Ejected(now time.Duration) bool {
	return h.room > 0 && now < h.until
}

func (h *Health) placed(request string, now time.Duration) {
	if h.room == 0 || now < h.until {
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

// failed counts a failure and reports whether it ejects the upstream. Failures
// of streams from before an ejection do not prolong it.
func (h *Health) failed(now time.Duration, rules OutlierRules) bool {
	if h.Ejected(now) {
		return false
	}
	h.failures++
	if h.room == 0 && h.failures < rules.Failures {
		return false
	}
	wait := rules.EjectFor
	for range h.ejections {
		wait = min(2*wait, rules.EjectAtMost)
	}
	h.ejections++
	h.failures, h.room, h.probes = 0, 1, nil
	h.until = now + wait
	return true
}

// rest leaves an upstream alone until a time that it asked for, in place of any that was guessed.
// It comes back gradually.
func (h *Health) rest(until time.Duration) {
	h.failures, h.room, h.probes = 0, 1, nil
	h.until = until
}

// returned makes an upstream that was silent come back gradually.
func (h *Health) returned(now time.Duration) {
	if h.room > 0 {
		return
	}
	h.room, h.until, h.probes = 1, now, nil
}

func (h *Health) succeeded(rules OutlierRules) {
	h.failures = 0
	if h.room == 0 || len(h.probes) == 0 {
		return
	}
	h.room *= 2
	if h.room >= rules.RecoveredAt {
		*h = Health{}
	}
}

// CallResult is what one send told of an upstream.
type CallResult int

const (
	// CallSucceeded: it answered.
	CallSucceeded CallResult = iota
	// CallRefused: it ran nothing, by its own word.
	CallRefused
	// CallFailed: it gave no valid answer.
	CallFailed
	// CallUnreachable: it could not be reached, or fell silent.
	CallUnreachable
	// CallAddressReassigned: another upstream has its address, so it is gone for good.
	CallAddressReassigned
)

// RecordCall records what a send told of an upstream, and reports whether that ejects
// it.
func (t *Table) RecordCall(id string, v CallResult, now time.Duration) (ejected bool) {
	switch v {
	case CallSucceeded:
		t.Succeeded(id)
		return false
	case CallRefused:
		return t.Refused(id, now)
	default:
		return t.Failed(id, now)
	}
}
