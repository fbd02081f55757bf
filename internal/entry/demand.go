package entry

import (
	"slices"
	"strings"
	"sync"
	"time"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
)

// demandBuckets is the number of buckets in the sliding window.
const demandBuckets = 20

// tokenCounts are the tokens and the prompts counted in one bucket of the window.
type tokenCounts struct {
	prefill, decode, prompts float64
}

// addScaled returns the sum of t and other multiplied by a factor.
func (t tokenCounts) addScaled(other tokenCounts, factor float64) tokenCounts {
	return tokenCounts{
		prefill: t.prefill + factor*other.prefill,
		decode:  t.decode + factor*other.decode,
		prompts: t.prompts + factor*other.prompts,
	}
}

// demandWindow measures the work of one pool over a sliding window. It does no I/O: times are passed in.
type demandWindow struct {
	width   time.Duration // of a bucket
	firstAt time.Duration // time of the first work
	// newest is the number of the current bucket, to which work is added.
	newest  int64
	buckets [demandBuckets]tokenCounts
}

// advance clears the buckets between the newest one and the current one.
func (w *demandWindow) advance(now time.Duration) {
	current := int64(now / w.width)
	for n := max(w.newest+1, current-demandBuckets+1); n <= current; n++ {
		w.buckets[n%demandBuckets] = tokenCounts{}
	}
	w.newest = max(w.newest, current)
}

func (w *demandWindow) add(tokens tokenCounts, now time.Duration) {
	w.advance(now)
	bucket := &w.buckets[w.newest%demandBuckets]
	*bucket = bucket.addScaled(tokens, 1)
}

// rates returns the tokens per second over the window, or over the time since the first work if that is
// shorter.
func (w *demandWindow) rates(now time.Duration) tokenCounts {
	w.advance(now)
	var sum tokenCounts
	for _, b := range w.buckets {
		sum = sum.addScaled(b, 1)
	}
	start := time.Duration(w.newest-demandBuckets+1) * w.width
	span := max(now-max(start, w.firstAt), w.width).Seconds()
	return tokenCounts{}.addScaled(sum, 1/span)
}

// demandMeter measures the admitted work of each pool. It is safe for concurrent use.
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

// window returns a pool's window, and creates it if necessary. The caller must hold m.mu.
func (m *demandMeter) window(pool string, now time.Duration) *demandWindow {
	w, ok := m.pools[pool]
	if !ok {
		w = &demandWindow{width: m.width, firstAt: now}
		m.pools[pool] = w
	}
	return w
}

// addRefused counts a prompt that was refused for lack of capacity: its tokens, and an estimated number of
// answer tokens, the recent average. Otherwise a system that refuses early would hide the demand that a
// change of roles could serve.
func (m *demandMeter) addRefused(pool string, promptTokens int, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.window(pool, now)
	tokens := tokenCounts{prefill: float64(promptTokens), prompts: 1}
	if recent := w.rates(now); recent.prompts > 0 {
		tokens.decode = recent.decode / recent.prompts
	}
	w.add(tokens, now)
}

// addGenerated counts one token of an answer.
func (m *demandMeter) addGenerated(pool string, now time.Duration) {
	m.add(pool, tokenCounts{decode: 1}, now)
}

// report returns the rates of each pool, sorted by name.
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

// countAdmitted counts the prompt of a request that was placed on an engine, without the tokens that are
// assumed to be cached there. If a prompt is processed again on another engine, it is counted again.
func (s *Server) countAdmitted(comp *completion, placed assignment) {
	comp.pool = placed.engine.Pool
	s.demand.add(comp.pool, tokenCounts{prefill: float64(placed.prefillTokens), prompts: 1}, s.now())
}

// countRefusedDemand counts a request that was refused for lack of capacity. It counts for the first pool
// of the request's model.
func (s *Server) countRefusedDemand(comp *completion) {
	for _, pool := range s.state.config().Pools {
		if pool.Model == comp.modelName {
			s.demand.addRefused(pool.Name, comp.promptTokens, s.now())
			return
		}
	}
}
