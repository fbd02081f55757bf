package relay

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/attempt"
	"sassafrasfield/internal/readlimit"
)

// meters counts the relay's requests and sends by their outcome.
type meters struct {
	requests, answered, refused, broken, callerDisconnected metrics.Counter
	resumed, copied                                         metrics.Counter
	// withheld counts the answers with a status that would have told the caller that its request did not run.
	withheld metrics.Counter
	// slowCalls counts the calls that were sent to upstreams that are known to be slow.
	slowCalls                   metrics.Counter
	prefills, direct, saturated metrics.Counter
	limits                      limitMeters
	arrivals                    arrivalMeters
	forwards                    forwardMeters
	continuations               continuationMeters
	streams                     streamMeters
	silence                     silenceMeters
	runEnds                     runEndMeters
	claims                      claimMeters
}

func counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter("relay."+name, metrics.DefaultRegistry)
}

func newRetryMeters() attempt.Meters {
	return attempt.Meters{
		Retries: counter("retries"), Denied: counter("retries_denied"),
		PaidOwn: counter("retries_paid_own"), PaidPool: counter("retries_paid_pool"), Waited: counter("retries_waited"),
	}
}

func newMeters() *meters {
	return &meters{
		requests: counter("requests"), answered: counter("answered"), refused: counter("refused"),
		broken: counter("broken"), callerDisconnected: counter("caller_gone"),
		slowCalls: counter("calls_to_slow"), resumed: counter("resumed"), withheld: counter("answers_withheld"), copied: counter("gone_on_at_copy"), prefills: counter("prefills"), direct: counter("direct"), saturated: counter("refused_choked"),
		limits: newLimitMeters(), arrivals: newArrivalMeters(), forwards: newForwardMeters(), continuations: newContinuationMeters(), streams: newStreamMeters(), silence: newSilenceMeters(), runEnds: newRunEndMeters(), claims: newClaimMeters(),
	}
}

// samples is the reservoir size of each latency histogram; it is the library's default.
const samples = 1028

// latency returns the histogram of a stage or kind of route, in microseconds.
func latency(stage string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram("relay."+stage+"_us", metrics.DefaultRegistry, metrics.NewExpDecaySample(samples, 0.015))
}

func observe(stage string, d time.Duration) { latency(stage).Update(d.Microseconds()) }

// finish logs the end of a request in one line, and counts it.
func (r *Relay) finish(x *exchange, req *Request, err error) {
	r.meters.requests.Inc(1)
	outcome, told := "answered", ""
	var refusal *Refusal
	switch {
	case err == nil:
		r.meters.answered.Inc(1)
	case errors.As(err, &refusal):
		r.meters.refused.Inc(1)
		outcome, told = "refused: "+refusal.Reason, refusal.Outcome.String()
	case errors.Is(err, ErrCallerDisconnected):
		r.meters.callerDisconnected.Inc(1)
		outcome = "the caller left"
	case errors.Is(err, ErrSuperseded):
		r.meters.callerDisconnected.Inc(1)
		outcome = "the caller took its stream up elsewhere"
	default:
		r.meters.broken.Inc(1)
		outcome = err.Error()
	}
	if x == nil {
		r.log.Info("relay: done", "request", req.ID, "outcome", outcome, "told", told)
		return
	}
	elapsed := r.now() - x.arrived
	observe(x.route.Kind.String(), elapsed)
	r.log.Info("relay: done", "request", req.ID, "outcome", outcome, "told", told, "route", x.route.Name, "kind", x.route.Kind.String(),
		"config", x.version, "config_age", x.age.Round(time.Millisecond), "upstream", x.upstream, "prefill", x.prefill,
		"ahead", x.ahead, "predicted", x.predicted, "sends", x.attempts.Sends(), "arrivals", x.attempts.Ledger().Arrivals(), "runs", x.attempts.Runs(), "forwards", x.forwards, "status", x.status, "took", elapsed, "via", x.via, "from", x.from, "cause", lastFailure(x))
}

// recordCutOff counts and logs an answer that was cut off because it exceeded a bound, if the error is one of those.
func (r *Relay) recordCutOff(x *exchange, upstream string, err error) {
	var exceeded *readlimit.Exceeded
	if !errors.As(err, &exceeded) {
		return
	}
	counter("cut_at_bound." + string(exceeded.Part)).Inc(1)
	r.log.Info("relay: answer exceeds a bound", "request", x.req.ID, "upstream", upstream, "part", exceeded.Part,
		"bound", exceeded.Bound(), "received", exceeded.Received, "after", exceeded.After, "begun", x.status != 0)
}

func lastFailure(x *exchange) string {
	if x.attempts.LastError() == nil {
		return ""
	}
	return x.attempts.LastError().Error()
}

// writeHeader sends the header of an answer to the caller.
func writeHeader(w http.ResponseWriter, x *exchange, reply *Reply) {
	header := w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	x.status = reply.Status
	w.WriteHeader(reply.Status)
}
