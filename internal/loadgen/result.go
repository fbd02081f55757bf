package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result summarizes what the callers saw. Each completion counts as exactly one of good, late, refused and
// broken.
type Result struct {
	Offered int `json:"offered"`
	// Good responses were complete and within both bounds. Late ones were complete, but exceeded a bound.
	Good    int `json:"good"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Broken  int `json:"broken"`
	// Goodput is the number of good responses per second of the arrival period.
	Goodput    float64   `json:"goodput"`
	FirstToken Quantiles `json:"first_token_ms"`
	InterToken Quantiles `json:"between_tokens_ms"`
	// Calls counts the calls to the plain service, CallsFailed those without a complete response. Call has
	// the times of the others.
	Calls       int       `json:"calls"`
	CallsFailed int       `json:"calls_failed"`
	Call        Quantiles `json:"call_ms"`
	// Seconds counts the completions by second of arrival.
	Seconds []Second `json:"seconds"`
}

// GoodShare returns the fraction of offered completions that were good, 0 to 1.
func (r Result) GoodShare() float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(r.Good) / float64(r.Offered)
}

// Second counts the completions that arrived in one second.
type Second struct {
	Offered int `json:"offered"`
	Good    int `json:"good"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Broken  int `json:"broken"`
	// PromptTokens is the number of prompt tokens that arrived. Its variation shows how the mix of classes
	// varies.
	PromptTokens int `json:"prompt_tokens"`
}

// Quantiles are quantiles of a duration, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// maxRecordable is the largest value of the histograms, in microseconds.
const maxRecordable = int64(10 * time.Minute / time.Microsecond)

// recorder collects the outcomes of the requests.
type recorder struct {
	bounds Bounds

	mu         sync.Mutex // protects all below
	result     Result
	firstToken *hdrhistogram.Histogram
	interToken *hdrhistogram.Histogram
	call       *hdrhistogram.Histogram
}

func newRecorder(s Scenario) *recorder {
	r := &recorder{
		bounds:     s.Bounds,
		firstToken: hdrhistogram.New(1, maxRecordable, 3),
		interToken: hdrhistogram.New(1, maxRecordable, 3),
		call:       hdrhistogram.New(1, maxRecordable, 3),
	}
	r.result.Seconds = make([]Second, int((s.Duration()+time.Second-1)/time.Second))
	return r
}

// record counts the outcome of one arrival.
func (r *recorder) record(a arrival, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.body == nil {
		r.recordCall(o)
		return
	}
	second := &r.result.Seconds[min(int(a.at/time.Second), len(r.result.Seconds)-1)]
	second.Offered++
	second.PromptTokens += a.promptTokens
	r.result.Offered++
	switch {
	case o.refused:
		second.Refused++
		r.result.Refused++
		return
	case !o.complete:
		second.Broken++
		r.result.Broken++
		return
	}
	_ = r.firstToken.RecordValue(o.firstToken.Microseconds()) // a value out of range counts as late below
	for _, gap := range o.gaps {
		_ = r.interToken.RecordValue(gap.Microseconds())
	}
	if o.firstToken <= r.bounds.FirstToken && o.meanGap() <= r.bounds.MeanInterToken {
		second.Good++
		r.result.Good++
		return
	}
	second.Late++
	r.result.Late++
}

func (r *recorder) recordCall(o outcome) {
	r.result.Calls++
	if !o.complete {
		r.result.CallsFailed++
		return
	}
	_ = r.call.RecordValue(o.firstToken.Microseconds()) // a value out of range is not recorded
}

func (r *recorder) finish(duration time.Duration) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Goodput = float64(r.result.Good) / duration.Seconds()
	r.result.FirstToken = QuantilesOf(r.firstToken)
	r.result.InterToken = QuantilesOf(r.interToken)
	r.result.Call = QuantilesOf(r.call)
	return r.result
}

// QuantilesOf returns quantiles of a histogram of microseconds.
func QuantilesOf(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}
