package entry

import (
	"slices"
	"strings"
	"sync"
	"time"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
)

// demandBuckets is in how many parts the window slides.
const demandBuckets = 20

// tokenCounts are tokens of one part of the window.
type tokenCounts struct {
	prefill, decode float64
}

// demandWindow is the work of one pool over a sliding window. It is pure.
type demandWindow struct {
	width time.Duration // of a bucket
	begun time.Duration // when the first work came
	// newest numbers the bucket that work goes to now.
	newest  int64
	buckets [demandBuckets]tokenCounts
}

// slide empties the buckets between the newest one and now.
func (w *demandWindow) slide(now time.Duration) {
	current := int64(now / w.width)
	for n := max(w.newest+1, current-demandBuckets+1); n <= current; n++ {
		w.buckets[n%demandBuckets] = tokenCounts{}
	}
	w.newest = max(w.newest, current)
}

func (w *demandWindow) add(tokens tokenCounts, now time.Duration) {
	w.slide(now)
	bucket := &w.buckets[w.newest%demandBuckets]
	bucket.prefill += tokens.prefill
	bucket.decode += tokens.decode
}

// rates returns tokens a second over the window, or over the time since the
// first work when that is shorter.
func (w *demandWindow) rates(now time.Duration) tokenCounts {
	w.slide(now)
	var sum tokenCounts
	for _, b := range w.buckets {
		sum.prefill += b.prefill
		sum.decode += b.decode
	}
	start := time.Duration(w.newest-demandBuckets+1) * w.width
	span := max(now-max(start, w.begun), w.width).Seconds()
	return tokenCounts{prefill: sum.prefill / span, decode: sum.decode / span}
}

// demandMeter measures the admitted work of each pool. It is safe for use by
// several goroutines.
type demandMeter struct {
	width time.Duration

	mu    sync.Mutex // protects pools
	pools map[string]*demandWindow
}

func newDemandMeter(window time.Duration) *demandMeter {
	return &demandMeter{width: window / demandBuckets, pools: map[string]*demandWindow{}}
}

func (m *demandMeter) add(pool string, tokens tokenCounts, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w, ok := m.pools[pool]
	if !ok {
		w = &demandWindow{width: m.width, begun: now}
		m.pools[pool] = w
	}
	w.add(tokens, now)
}

// generated counts one token of an answer.
func (m *demandMeter) generated(pool string, now time.Duration) {
	m.add(pool, tokenCounts{decode: 1}, now)
}

// report returns the rates of each pool, by name.
func (m *demandMeter) report(now time.Duration) []*sfv1.PoolDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	var demand []*sfv1.PoolDemand
	for pool, w := range m.pools {
		rates := w.rates(now)
		demand = append(demand, &sfv1.PoolDemand{Pool: pool, PrefillTokens: rates.prefill, DecodeTokens: rates.decode})
	}
	slices.SortFunc(demand, func(a, b *sfv1.PoolDemand) int { return strings.Compare(a.Pool, b.Pool) })
	return demand
}

// admitted counts the prompt of a request that was placed on an engine, less
// what is believed cached there. A prompt that is processed again on another
// engine counts again.
func (s *Server) admitted(comp *completion, placed assignment) {
	comp.pool = placed.engine.Pool
	s.demand.add(comp.pool, tokenCounts{prefill: float64(placed.prefillTokens)}, s.now())
}
