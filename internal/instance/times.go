package instance

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/upstreamstate"
)

// timesLogInterval is the time between two logs of the engine times.
const timesLogInterval = 5 * time.Second

// logEngineTimes logs the learned times of each service's engines while requests arrive.
func (in *Instance) logEngineTimes(ctx context.Context) {
	for pause.For(ctx, timesLogInterval) {
		if !in.relay.HasRecentRequests() {
			continue
		}
		for service := range in.relay.Engines() {
			in.logServiceTimes(service, in.relay.EngineTimes(service))
		}
	}
}

func (in *Instance) logServiceTimes(service string, t upstreamstate.Times) {
	in.log.Info("instance: engine times", "service", service, "known", t.Known, "token_ns", t.TokenTime, "pair_ns", t.PairTime, "overhead", t.Overhead,
		"step", t.Step, "step_per_request", t.StepPerRequest, "hand_over", t.HandOver, "stream", t.SlotTime)
	for name, value := range map[string]float64{
		"token_ns": t.TokenTime, "pair_ns": t.PairTime, "overhead_us": float64(t.Overhead.Microseconds()), "step_ns": float64(t.Step), "step_per_request_ns": float64(t.StepPerRequest),
		"hand_over_us": float64(t.HandOver.Microseconds()), "stream_us": float64(t.SlotTime.Microseconds()),
	} {
		metrics.GetOrRegisterGaugeFloat64("engines."+service+"."+name, metrics.DefaultRegistry).Update(value)
	}
}
