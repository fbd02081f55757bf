package placement

import "time"

// EngineTimes are the processing times and capacities of the engines of a service. Package estimate learns
// the times; values that the operators' configuration states are taken from the configuration.
type EngineTimes struct {
	// TokenTime is the time in nanoseconds that a prefill engine needs per prompt token.
	TokenTime float64
	// PairTime is the time in nanoseconds that attention needs per pair of tokens.
	PairTime float64
	// Overhead is the time per prompt that does not depend on its tokens. The engine can process other
	// prompts meanwhile.
	Overhead time.Duration
	// FetchTime is the time in nanoseconds to fetch the KV cache of one token from another engine of the
	// same zone.
	FetchTime float64
	// HandOver is the time from the end of the prefill to the first token on the decode engine, without the
	// fetch.
	HandOver time.Duration
	// SlotTime is the mean time that a generation occupies its slot.
	SlotTime time.Duration
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the size of an engine's KV cache, in tokens.
	CacheTokens int
}

// Settings are the weights that are compared with the engines' times. None of them is a property of one kind
// of engine.
type Settings struct {
	// DirectSlowdown is the factor by which a decode engine processes a prompt more slowly than a prefill
	// engine. By the engines' interface it runs at half the speed, and it interleaves the prompt with the
	// tokens of its other requests.
	DirectSlowdown float64
	// DirectBelow is the number of prompt tokens below which a decode engine may also process the prompt.
	// Longer prompts stall the streams on that engine, which loses 0.1 to 0.6 of the worth.
	DirectBelow int
	// BackupBelow is the number of prompt tokens below which a run that must not be repeated is copied to a
	// second engine while it proceeds. Copying a longer one costs more memory and transfer than the saved
	// runs are worth.
	BackupBelow int
	// MinFetchTokens is the smallest number of tokens worth fetching. Below it, the engine needs no more time
	// to process the tokens itself.
	MinFetchTokens int
	// CrossZoneFactor is the factor by which a transfer from another zone takes longer, by the engines'
	// interface.
	CrossZoneFactor float64
	// MemoryPrice is the worth of an engine's whole KV cache, expressed as the time that a request may wait
	// instead. Another copy of a shared part costs the fraction that its tokens occupy, because other
	// entries are evicted and have to be processed again. Values from 60 to 180 s perform alike where copies
	// matter (docs/NEW-CUSTOMER.md).
	MemoryPrice time.Duration
	// FullBatchCost is the cost for a request of joining an engine whose slots are all occupied, compared
	// with an idle engine.
	FullBatchCost time.Duration
	// CrossZoneCost is the cost of sending a request to an engine in another zone and receiving the answer
	// from there. Traffic between zones is billed by the byte.
	CrossZoneCost time.Duration
	// DeferredShare is the share of the callers' wait time within which deferred prompts have to be
	// processed; with 0, no prompt is deferred. A larger share gets more prompts on time, but more deferred
	// prompts miss their deadline: of the prompts in a surge, 0 in 100 at 0.5, 2 at 0.7 and 5 at 1 where
	// waits are known exactly (TestDeferringKeepsMostPromptsOnTimeInASurge).
	DeferredShare float64
	// KVAcrossVersions is set if an engine may use the KV cache that one of another software version made. The engines'
	// interface does not say that it fits.
	KVAcrossVersions bool
}

// DefaultSettings returns the defaults. docs/measurements/platform.md names the runs behind the values for
// which the field comments give no source.
func DefaultSettings() Settings {
	return Settings{
		DirectSlowdown: 2.4, DirectBelow: 2500, BackupBelow: 2500, MinFetchTokens: 500, CrossZoneFactor: 2,
		MemoryPrice: 80 * time.Second, FullBatchCost: 200 * time.Millisecond, CrossZoneCost: 25 * time.Millisecond, DeferredShare: 0.85,
	}
}

// Costs is the cost model of a service's engines.
type Costs struct {
	EngineTimes
	Settings
}

// prefillTime returns the time that a prefill engine needs for a prompt whose first cached tokens it already
// has.
func (c Costs) prefillTime(p Prompt, cached int) time.Duration {
	uncached := max(0, p.Tokens-cached)
	pairs := float64(uncached) * (float64(cached) + float64(uncached)/2)
	return time.Duration(float64(uncached)*c.TokenTime + pairs*c.PairTime)
}

// fetchTime returns the time to copy the KV cache of tokens from an engine in one zone to one in another.
func (c Costs) fetchTime(tokens int, fromZone, toZone string) time.Duration {
	t := float64(max(0, tokens)) * c.FetchTime
	if fromZone != toZone {
		t *= c.CrossZoneFactor
	}
	return time.Duration(t)
}

// sendCost returns the cost of sending a request from an instance in a zone to an engine.
func (c Costs) sendCost(zone string, to Candidate) time.Duration {
	if to.Zone == zone {
		return 0
	}
	return c.CrossZoneCost
}

// occupancyCost returns the cost that an engine's current requests impose on one that joins them. They share
// the engine's steps and, once all slots are occupied, the new request waits for one of them to end. On an engine
// that needs twice as long per token, each request stays for twice as long, and the pauses between its events are
// twice as long; so the cost of a request counts four times there.
func (c Costs) occupancyCost(load AggregateLoad) time.Duration {
	if c.Slots == 0 {
		return 0
	}
	weight := load.speed() * load.speed()
	cost := float64(c.FullBatchCost) / float64(c.Slots) * (float64(load.Requests)*weight + weight - 1)
	if over := load.Requests - c.Slots + 1; over > 0 {
		cost += float64(c.SlotTime) * load.speed() * float64(over) / float64(c.Slots)
	}
	return time.Duration(cost)
}

// copyCost returns the cost of another copy of the shared part on an engine.
func (c Costs) copyCost(p Prompt, cached int) time.Duration {
	if c.CacheTokens == 0 {
		return 0
	}
	missing := max(0, p.SharedTokens()-cached)
	return time.Duration(float64(c.MemoryPrice) * float64(missing) / float64(c.CacheTokens))
}

const (
	// PartsMemoryShare is the share of an engine's KV memory that holds prompt parts. Running requests and KV cache
	// waiting to be fetched use the rest.
	PartsMemoryShare = 0.7
	// reuseWithin is the time within which most parts that are used again are used again. What an engine has kept
	// unused for longer is evicted at little loss.
	reuseWithin = 5 * time.Second
)

// evictionLoss returns the share of MemoryPrice that a copy on an engine costs. The copy evicts what was used longest
// ago, and the longer the engine keeps unused parts, the less likely that is used again. When much enters the cache,
// as in a surge, parts are evicted soon and a copy costs the full price.
func (c Costs) evictionLoss(load AggregateLoad) float64 {
	if load.Inflow <= 0 {
		return 0
	}
	kept := PartsMemoryShare * float64(c.CacheTokens) / load.Inflow
	return min(1, reuseWithin.Seconds()/kept)
}

// scoreScale is the predicted time that halves a score. It has no effect on the order of the candidates.
const scoreScale = 500 * time.Millisecond

// scoreOf converts a predicted time to a score: 1 for no time, approaching 0 for long times.
func scoreOf(cost time.Duration) float64 {
	return 1 / (1 + cost.Seconds()/scoreScale.Seconds())
}
