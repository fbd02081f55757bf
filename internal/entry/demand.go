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

// tokenCounts are the tokens, and the prompts, of one part of the window.
type tokenCounts struct {
	prefill, decode, prompts float64
}

// plus adds up, with other's counts times a factor.
func (t tokenCounts) plus(other tokenCounts, times float64) tokenCounts {
	return tokenCounts{
		prefill: t.prefill + times*other.prefill,
		decode:  t.decode + times*other.decode,
		prompts: t.prompts + times*other.prompts,
	}
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
	*bucket = bucket.plus(tokens, 1)
}

// rates returns tokens a second over the window, or over the time since the
// first work when that is shorter.
func (w *demandWindow) rates(now time.Duration) tokenCounts {
	w.slide(now)
	var sum tokenCounts
	for _, b := range w.buckets {
		sum = sum.plus(b, 1)
	}
	start := time.Duration(w.newest-demandBuckets+1) * w.width
	span := max(now-max(start, w.begun), w.width).Seconds()
	return tokenCounts{}.plus(sum, 1/span)
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
	m.window(pool, now).add(tokens, now)
}

// window returns a pool's window, made when there is none. The lock is held.
func (m *demandMeter) window(pool string, now time.Duration) *demandWindow {
	w, ok := m.pools[pool]
	if !ok {
		w = &demandWindow{width: m.width, begun: now}
		m.pools[pool] = w
	}
	return w
}

// refused counts a prompt that was refused for want of capacity: its tokens,
// and as many of an answer as answers have now. Without it a system that
// refuses early would hide the demand that a change of roles could serve.
func (m *demandMeter) refused(pool string, promptTokens int, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.window(pool, now)
	tokens := tokenCounts{prefill: float64(promptTokens), prompts: 1}
	if recent := w.rates(now); recent.prompts > 0 {
		tokens.decode = recent.decode / recent.prompts
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
	s.demand.add(comp.pool, tokenCounts{prefill: float64(placed.prefillTokens), prompts: 1}, s.now())
}

// turnedAway counts a request that was refused for want of capacity, in the
// first pool of its model.
func (s *Server) turnedAway(comp *completion) {
	for _, pool := range s.state.config().Pools {
		if pool.Model == comp.name {
			s.demand.refused(pool.Name, comp.promptTokens, s.now())
			return
		}
	}
}
