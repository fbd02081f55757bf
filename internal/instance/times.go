package instance

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/upstreamstate"
)

// timesEvery is the time between two lines on what the engines take.
const timesEvery = 5 * time.Second

// tellTimes logs what the engines of each service take, as it was learned, while
// requests come.
func (in *Instance) tellTimes(ctx context.Context) {
	for pause.For(ctx, timesEvery) {
		if !in.relay.HasRecentRequests() {
			continue
		}
		for service := range in.relay.Engines() {
			in.tellTimesOf(service, in.relay.EngineTimes(service))
		}
	}
}

func (in *Instance) tellTimesOf(service string, t upstreamstate.Times) {
	in.log.Info("instance: engines take", "service", service, "known", t.Known, "token_ns", t.TokenTime, "pair_ns", t.PairTime, "overhead", t.Overhead,
		"step", t.Step, "step_per_request", t.StepPerRequest, "hand_over", t.HandOver, "stream", t.SlotTime)
	for name, value := range map[string]float64{
		"token_ns": t.TokenTime, "pair_ns": t.PairTime, "overhead_us": float64(t.Overhead.Microseconds()), "step_ns": float64(t.Step), "step_per_request_ns": float64(t.StepPerRequest),
		"hand_over_us": float64(t.HandOver.Microseconds()), "stream_us": float64(t.SlotTime.Microseconds()),
	} {
		metrics.GetOrRegisterGaugeFloat64("engines."+service+"."+name, metrics.DefaultRegistry).Update(value)
	}
}
