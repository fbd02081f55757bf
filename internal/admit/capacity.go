package admit

import (
	"math"
	"time"
)

// EngineLoad is the state of one engine that admission decisions depend on.
type EngineLoad struct {
	// QueuedPrefillTokens counts the prompt tokens that wait for prefill at the
	// engine, including those of this entry's placements that no engine report
	// covers yet.
	QueuedPrefillTokens int
	// PrefillRate is in prompt tokens per second; 0 when unknown.
	PrefillRate float64
	// CachedTokens estimates how many tokens of the prompt the engine has cached.
	CachedTokens int
	// Running and Waiting count streams, as the engine reported them.
	Running, Waiting int
	// UnreportedPlacements counts this entry's placements that no engine report
	// covers yet.
	UnreportedPlacements int
	// BlocksFree and BlocksTotal count KV cache blocks.
	BlocksFree, BlocksTotal int
}

// freeStreams estimates how many more streams fit into the engine's KV cache.
// Known is false for an idle engine: without running streams, the memory that
// one stream needs cannot be estimated.
func (e EngineLoad) freeStreams() (streams float64, known bool) {
	used := e.BlocksTotal - e.BlocksFree
	switch {
	case e.Waiting > 0:
		return 0, true
	case e.Running == 0 || used <= 0:
		return 0, false
	}
	return float64(e.BlocksFree) * float64(e.Running) / float64(used), true
}

// Predict predicts the time to first token of a prompt. Each time is the
// minimum over the engines. ServiceTime is the mean time that a stream occupies
// a slot in an engine's batch.
func Predict(engines []EngineLoad, promptTokens int, serviceTime time.Duration) Prediction {
	best := Prediction{Engines: len(engines)}
	for _, e := range engines {
		if e.PrefillRate <= 0 {
			continue
		}
		prefill := seconds(float64(max(0, promptTokens-e.CachedTokens)) / e.PrefillRate)
		uncached := seconds(float64(promptTokens) / e.PrefillRate)
		queued := seconds(float64(e.QueuedPrefillTokens) / e.PrefillRate)
		firstToken := prefill + max(queued, e.batchSlotWait(serviceTime))
		if !best.Known {
			best.PrefillTime, best.UncachedPrefillTime, best.FirstToken, best.Known = prefill, uncached, firstToken, true
			continue
		}
		best.PrefillTime = min(best.PrefillTime, prefill)
		best.UncachedPrefillTime = min(best.UncachedPrefillTime, uncached)
		best.FirstToken = min(best.FirstToken, firstToken)
	}
	return best
}

// batchSlotWait estimates the time until a slot in the engine's batch is free.
func (e EngineLoad) batchSlotWait(serviceTime time.Duration) time.Duration {
	free, known := e.freeStreams()
	ahead := float64(e.Waiting+e.UnreportedPlacements) - free
	if !known || e.Running == 0 || ahead < 0 {
		return 0
	}
	return time.Duration(float64(serviceTime) * (ahead + 1) / float64(e.Running))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// ConcurrencyLimit returns how many requests one entry may have in flight on
// engines that it shares with other entries. The limit is the entry's requests
// in flight plus an equal share of the free slots, less an equal share of the
// streams that wait at the engines. It is at least an equal share of all slots.
// Each entry computes its limit independently, from the engines' reports. 0
// means no limit: there are no engines, or the capacity of one is unknown.
func ConcurrencyLimit(engines []EngineLoad, inFlight, entries int) int {
	slots, free, waiting := 0.0, 0.0, 0.0
	for _, e := range engines {
		streams, known := e.freeStreams()
		if !known {
			return 0
		}
		slots += float64(e.Running) + streams
		free += streams
		waiting += float64(e.Waiting)
	}
	if len(engines) == 0 {
		return 0
	}
	n := float64(max(1, entries))
	limit := max(slots/n, float64(inFlight)+(free-waiting)/n)
	return max(1, int(math.Ceil(limit)))
}
