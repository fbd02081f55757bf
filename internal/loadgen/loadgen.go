// Package loadgen offers an open-loop load of completions and reports what
// callers saw: goodput, time to the first token, time between tokens. Arrivals
// do not wait for answers, so a slow system is not spared.
package loadgen

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Profile is the load of one phase.
type Profile struct {
	// Duration of the phase.
	Duration time.Duration
	// Rate is requests a second, with exponential gaps.
	Rate float64
	// PromptTokens and AnswerTokens are means; each request has half to one
	// and a half of them.
	PromptTokens int
	AnswerTokens int
}

// Options describe a run.
type Options struct {
	// Targets are host:port of entries; requests go round them.
	Targets []string
	Model   string
	Key     string
	Seed    uint64
	Phases  []Profile
	// Prefixes is the number of shared prompt prefixes.
	Prefixes int
	// FirstTokenWithin and TokenWithin are the bounds of a good answer.
	FirstTokenWithin time.Duration
	TokenWithin      time.Duration
}

// Result is what the callers saw.
type Result struct {
	Offered int `json:"offered"`
	// Good answers were whole and within both bounds.
	Good    int `json:"good"`
	Whole   int `json:"whole"`
	Refused int `json:"refused"`
	Broken  int `json:"broken"`
	// Goodput is good answers a second.
	Goodput    float64   `json:"goodput"`
	FirstToken Quantiles `json:"first_token_ms"`
	Between    Quantiles `json:"between_tokens_ms"`
}

// Quantiles of a time in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// longestTime bounds what the histograms hold, in microseconds.
const longestTime = int64(10 * time.Minute / time.Microsecond)

// book collects what the callers saw. It is safe for use by several
// goroutines.
type book struct {
	mu         sync.Mutex // protects all below
	result     Result
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
}

func newBook() *book {
	return &book{
		firstToken: hdrhistogram.New(1, longestTime, 3),
		between:    hdrhistogram.New(1, longestTime, 3),
	}
}

func (b *book) record(o outcome, options Options) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case o.refused:
		b.result.Refused++
		return
	case !o.whole:
		b.result.Broken++
		return
	}
	b.result.Whole++
	_ = b.firstToken.RecordValue(o.firstToken.Microseconds()) // over the bound: counted as not good
	for _, gap := range o.gaps {
		_ = b.between.RecordValue(gap.Microseconds())
	}
	if o.firstToken <= options.FirstTokenWithin && o.pace() <= options.TokenWithin {
		b.result.Good++
	}
}

// Run offers the load and waits for the last answer.
func Run(ctx context.Context, options Options) Result {
	rng := rand.New(rand.NewPCG(options.Seed, options.Seed))
	callers := newCallers(options)
	book := newBook()
	var work sync.WaitGroup
	start := time.Now()
	due := start
	for _, phase := range options.Phases {
		end := due.Add(phase.Duration)
		for ctx.Err() == nil {
			due = due.Add(time.Duration(rng.ExpFloat64() / phase.Rate * float64(time.Second)))
			if due.After(end) {
				due = end
				break
			}
			call := callers.next(rng, phase)
			time.Sleep(time.Until(due))
			work.Go(func() { book.record(callers.do(ctx, call), options) })
			book.result.Offered++
		}
	}
	elapsed := time.Since(start)
	work.Wait()
	return book.finish(elapsed)
}

func (b *book) finish(elapsed time.Duration) Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.result.Goodput = float64(b.result.Good) / elapsed.Seconds()
	b.result.FirstToken = quantiles(b.firstToken)
	b.result.Between = quantiles(b.between)
	return b.result
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}
