package admit

import (
	"math"
	"time"
)

// EngineLoad is what the decisions need of the picture of one engine.
type EngineLoad struct {
	// QueuedPrefillTokens are the prompt tokens that wait, this entry's placements
	// that no report accounts for included.
	QueuedPrefillTokens int
	// PrefillRate is in prompt tokens a second; 0 when not known.
	PrefillRate float64
	// CachedTokens are tokens of the prompt that the engine is believed to have cached.
	CachedTokens int
	// Running and Waiting count streams, by the engine's report.
	Running, Waiting int
	// UnreportedPlacements counts this entry's placements that no report accounts for.
	UnreportedPlacements int
	// BlocksFree and BlocksTotal count pieces of KV memory.
	BlocksFree, BlocksTotal int
}

// free estimates how many more streams the engine's KV memory holds; known is
// false for an idle engine, which says nothing of the size of a stream.
func (e EngineLoad) free() (streams float64, known bool) {
	used := e.BlocksTotal - e.BlocksFree
	switch {
	case e.Waiting > 0:
		return 0, true
	case e.Running == 0 || used <= 0:
		return 0, false
	}
	return float64(e.BlocksFree) * float64(e.Running) / float64(used), true
}

// Predict returns the time to the first token of a prompt on the best of the
// engines. Service is the mean time that a stream holds its place in an
// engine's batch.
func Predict(engines []EngineLoad, promptTokens int, service time.Duration) Prediction {
	best := Prediction{Engines: len(engines)}
	for _, e := range engines {
		if e.PrefillRate <= 0 {
			continue
		}
		own := seconds(float64(max(0, promptTokens-e.CachedTokens)) / e.PrefillRate)
		uncached := seconds(float64(promptTokens) / e.PrefillRate)
		ahead := seconds(float64(e.QueuedPrefillTokens) / e.PrefillRate)
		firstToken := own + max(ahead, e.batchWait(service))
		if !best.Known {
			best.PrefillTime, best.UncachedPrefillTime, best.FirstToken, best.Known = own, uncached, firstToken, true
			continue
		}
		best.PrefillTime = min(best.PrefillTime, own)
		best.UncachedPrefillTime = min(best.UncachedPrefillTime, uncached)
		best.FirstToken = min(best.FirstToken, firstToken)
	}
	return best
}

// batchWait is the time until a place in the batch is free.
func (e EngineLoad) batchWait(service time.Duration) time.Duration {
	free, known := e.free()
	ahead := float64(e.Waiting+e.UnreportedPlacements) - free
	if !known || e.Running == 0 || ahead < 0 {
		return 0
	}
	return time.Duration(float64(service) * (ahead + 1) / float64(e.Running))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// ConcurrencyLimit bounds the requests that one entry has in flight on engines it
// shares with others: what it has already, and its part of what is free or of
// what waits too much; but never less than its equal part of all places. Each
// entry works that out by itself from the engines' reports. 0 is no bound:
// nothing is known that would set one.
func ConcurrencyLimit(engines []EngineLoad, inFlight, entries int) int {
	places, free, waiting := 0.0, 0.0, 0.0
	for _, e := range engines {
		streams, known := e.free()
		if !known {
			return 0
		}
		places += float64(e.Running) + streams
		free += streams
		waiting += float64(e.Waiting)
	}
	if len(engines) == 0 {
		return 0
	}
	n := float64(max(1, entries))
	bound := max(places/n, float64(inFlight)+(free-waiting)/n)
	return max(1, int(math.Ceil(bound)))
}
