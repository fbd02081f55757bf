package placement

import "time"

// EngineTimes are what the engines of a service take. Package estimate learns
// them; what the operators' configuration says of the engines comes from there.
type EngineTimes struct {
	// TokenTime is the time that a prefill engine takes for a prompt token, in
	// nanoseconds.
	TokenTime float64
	// PairTime is the time that it takes for attention over one pair of tokens,
	// in nanoseconds.
	PairTime float64
	// Overhead is the time of a prompt besides its tokens, in which the engine can
	// process others.
	Overhead time.Duration
	// FetchTime is the time to fetch a token's KV cache from another engine of
	// the zone, in nanoseconds.
	FetchTime float64
	// HandOver is the time from the end of the prefill to the first token at the
	// decode engine, besides the fetch.
	HandOver time.Duration
	// SlotTime is the mean time that a generation keeps its slot.
	SlotTime time.Duration
	// Slots is how many requests an engine runs at a time.
	Slots int
	// CacheTokens is the size of an engine's KV cache, in tokens.
	CacheTokens int
}

// Settings are what is weighed against the engines' times. None of them is a
// property of one kind of engine.
type Settings struct {
	// DirectSlowdown is how much slower a decode engine processes a prompt: at half
	// the speed, by the engines' interface, and between the tokens of its other
	// requests.
	DirectSlowdown float64
	// DirectBelow is the number of prompt tokens below which the engine that
	// generates may process the prompt too. Longer ones make
	// the streams there pause: trials with them lost 0.1 to 0.6 of the worth.
	DirectBelow int
	// BackupBelow is the number of prompt tokens below which a run that may not
	// be repeated is copied to a second engine as it goes. A copy of a long one
	// costs more memory and transfer than the runs that it saves are worth.
	BackupBelow int
	// MinFetchTokens is the fewest tokens that a fetch is asked for; below it, the
	// engine has processed them as soon.
	MinFetchTokens int
	// CrossZoneFactor is how much longer a transfer from another zone takes, by the
	// engines' interface.
	CrossZoneFactor float64
	// MemoryPrice is what all of an engine's memory is worth, as time that a
	// request may wait instead: a further copy of a shared part costs the part of
	// it that its tokens take, as others are pushed out and processed again. 60 to
	// 180 s serve alike where copies matter (docs/NEW-CUSTOMER.md).
	MemoryPrice time.Duration
	// FullBatchCost is what an engine whose slots are all taken costs a request that
	// joins it, against an idle one.
	FullBatchCost time.Duration
	// CrossZoneCost is what it costs to send a request to an engine of another zone,
	// and to have its answer back from there: bytes between zones are paid for.
	CrossZoneCost time.Duration
	// DeferredShare is the part of the time that callers wait in which prompts that
	// yield are to be processed; with 0, all are processed in the order they come. With more of it, more prompts are on time, and more
	// of those that yield miss their deadline: of a surge, 0 in 100 at 0.5, 2 at 0.7
	// and 5 at 1 where waits are known exactly (TestASurgeLeavesMostPromptsOnTime).
	DeferredShare float64
}

// DefaultSettings returns the defaults. Those without a source in their comment
// were chosen by the runs that docs/measurements/platform.md names.
func DefaultSettings() Settings {
	return Settings{
		DirectSlowdown: 2.4, DirectBelow: 2500, BackupBelow: 2500, MinFetchTokens: 500, CrossZoneFactor: 2,
		MemoryPrice: 80 * time.Second, FullBatchCost: 200 * time.Millisecond, CrossZoneCost: 25 * time.Millisecond, DeferredShare: 0.85,
	}
}

// Costs are the times of a service's engines with what is weighed against them.
type Costs struct {
	EngineTimes
	Settings
}

// work is the time that a prefill engine takes for a prompt of which it has the
// first cached tokens.
func (c Costs) work(p Prompt, cached int) time.Duration {
	fresh := max(0, p.Tokens-cached)
	pairs := float64(fresh) * (float64(cached) + float64(fresh)/2)
	return time.Duration(float64(fresh)*c.TokenTime + pairs*c.PairTime)
}

// fetch is the time to bring tokens from an engine's KV cache to another one.
func (c Costs) fetch(tokens int, from, to string) time.Duration {
	t := float64(max(0, tokens)) * c.FetchTime
	if from != to {
		t *= c.CrossZoneFactor
	}
	return time.Duration(t)
}

// send is what it costs an instance of a zone to send a request to an engine.
func (c Costs) send(zone string, to Candidate) time.Duration {
	if to.Zone == zone {
		return 0
	}
	return c.CrossZoneCost
}

// crowd is what the requests that an engine has cost one that joins them: they
// share its steps and, once all slots are taken, it waits for one of them to end.
func (c Costs) crowd(requests int) time.Duration {
	if c.Slots == 0 {
		return 0
	}
	cost := time.Duration(float64(c.FullBatchCost) * float64(requests) / float64(c.Slots))
	if over := requests - c.Slots + 1; over > 0 {
		cost += time.Duration(float64(c.SlotTime) * float64(over) / float64(c.Slots))
	}
	return cost
}

// copyCost is what another copy of the shared part on an engine costs.
func (c Costs) copyCost(p Prompt, cached int) time.Duration {
	if c.CacheTokens == 0 {
		return 0
	}
	lacking := max(0, p.SharedTokens()-cached)
	return time.Duration(float64(c.MemoryPrice) * float64(lacking) / float64(c.CacheTokens))
}

// scoreScale is the predicted time that halves a score. It has no effect on the
// order of the candidates.
const scoreScale = 500 * time.Millisecond

// scoreOf turns a predicted time into a score: 1 for none, towards 0 for long.
func scoreOf(cost time.Duration) float64 {
	return 1 / (1 + cost.Seconds()/scoreScale.Seconds())
}
