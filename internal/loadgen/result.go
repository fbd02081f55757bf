package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what the callers saw. Each completion is one of good, late,
// refused and broken.
type Result struct {
	Offered int `json:"offered"`
	// Good answers were whole and within both bounds, Late ones whole and not
	// within them.
	Good    int `json:"good"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Broken  int `json:"broken"`
	// Goodput is good answers a second of arrivals.
	Goodput    float64   `json:"goodput"`
	FirstToken Quantiles `json:"first_token_ms"`
	InterToken    Quantiles `json:"between_tokens_ms"`
	// Calls to the plain service, those without an answer, and their times.
	Calls       int       `json:"calls"`
	CallsFailed int       `json:"calls_failed"`
	Call        Quantiles `json:"call_ms"`
	// Seconds is the series by the second of arrival.
	Seconds []Second `json:"seconds"`
}

// GoodShare is good answers over offered ones, 0 to 1.
func (r Result) GoodShare() float64 {
	if r.Offered == 0 {
		return 0
	}
	return float64(r.Good) / float64(r.Offered)
}

// Second is what became of the completions that arrived in one second.
type Second struct {
	Offered int `json:"offered"`
	Good    int `json:"good"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Broken  int `json:"broken"`
	// PromptTokens that arrived; their swing is the swing of the mix.
	PromptTokens int `json:"prompt_tokens"`
}

// Quantiles of a time in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// longestTime bounds what the histograms hold, in microseconds.
const longestTime = int64(10 * time.Minute / time.Microsecond)

// book collects what the callers saw.
type book struct {
	bounds Bounds

	mu         sync.Mutex // protects all below
	result     Result
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	call       *hdrhistogram.Histogram
}

func newBook(s Scenario) *book {
	b := &book{
		bounds:     s.Bounds,
		firstToken: hdrhistogram.New(1, longestTime, 3),
		between:    hdrhistogram.New(1, longestTime, 3),
		call:       hdrhistogram.New(1, longestTime, 3),
	}
	b.result.Seconds = make([]Second, int((s.Duration()+time.Second-1)/time.Second))
	return b
}

// record books the outcome of one arrival.
func (b *book) record(a arrival, o outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.body == nil {
		b.recordCall(o)
		return
	}
	second := &b.result.Seconds[min(int(a.at/time.Second), len(b.result.Seconds)-1)]
	second.Offered++
	second.PromptTokens += a.prompt
	b.result.Offered++
	switch {
	case o.refused:
		second.Refused++
		b.result.Refused++
		return
	case !o.whole:
		second.Broken++
		b.result.Broken++
		return
	}
	_ = b.firstToken.RecordValue(o.firstToken.Microseconds()) // beyond the histogram: late all the same
	for _, gap := range o.gaps {
		_ = b.between.RecordValue(gap.Microseconds())
	}
	if o.firstToken <= b.bounds.FirstToken && o.pace() <= b.bounds.MeanInterToken {
		second.Good++
		b.result.Good++
		return
	}
	second.Late++
	b.result.Late++
}

func (b *book) recordCall(o outcome) {
	b.result.Calls++
	if !o.whole {
		b.result.CallsFailed++
		return
	}
	_ = b.call.RecordValue(o.firstToken.Microseconds()) // beyond the histogram: not shown
}

func (b *book) finish(duration time.Duration) Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.result.Goodput = float64(b.result.Good) / duration.Seconds()
	b.result.FirstToken = QuantilesOf(b.firstToken)
	b.result.InterToken = QuantilesOf(b.between)
	b.result.Call = QuantilesOf(b.call)
	return b.result
}

// QuantilesOf reads a histogram of microseconds.
func QuantilesOf(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}
