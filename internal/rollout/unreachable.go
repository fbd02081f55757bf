package rollout

import "time"

// UnreachableTimer measures how long queried targets have not answered. Time without queries does not
// count, for example while the process was suspended or did not hold the lease: a gap between two queries
// that is longer than MaxGap restarts the measurement. It is not safe for concurrent use.
type UnreachableTimer struct {
	// MaxGap is the longest gap between two queries of one measurement.
	MaxGap time.Duration
	runs   map[string]unansweredRun
}

// unansweredRun is a sequence of queries without an answer.
type unansweredRun struct {
	first, last time.Duration
}

// Answered records an answer of id, which ends its measurement.
func (t *UnreachableTimer) Answered(id string) {
	delete(t.runs, id)
}

// Missed records that id did not answer a query at the time now. It returns how long id has not answered.
func (t *UnreachableTimer) Missed(id string, now time.Duration) time.Duration {
	if t.runs == nil {
		t.runs = map[string]unansweredRun{}
	}
	run, ok := t.runs[id]
	if !ok || now-run.last > t.MaxGap {
		run.first = now
	}
	run.last = now
	t.runs[id] = run
	return run.last - run.first
}
