package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sassafrasfield/internal/placement"
)

// Pattern is a load on a service and what can happen to its engines.
type Pattern struct {
	// Name says what the load does.
	Name string `toml:"name"`
	// Length of the load.
	Length time.Duration `toml:"length"`
	Fleet  Fleet         `toml:"fleet"`
	Class  []Class       `toml:"class"`
	// Outages engines.
	Outages []Outage `toml:"lost"`
}

// Fleet is the instances and the engines.
type Fleet struct {
	Zones     int `toml:"zones"`
	Instances int `toml:"instances"`
	Engines   int `toml:"engines"`
	// ReportLag is how much later reports between instances arrive than they are
	// sent, ReportLoss the part of them that is lost.
	ReportLag  time.Duration `toml:"report_lag"`
	ReportLoss float64       `toml:"report_loss"`
	// Engine is what each engine takes.
	Engine EngineSpec `toml:"engine"`
}

// EngineSpec is what an engine takes and holds.
type EngineSpec struct {
	// TokenTime and PairTime are the times of a prompt's tokens and pairs of tokens,
	// in nanoseconds, TransferTime that of sending a token's KV cache.
	TokenTime    float64 `toml:"token_time_ns"`
	PairTime     float64 `toml:"pair_time_ns"`
	TransferTime float64 `toml:"transfer_time_ns"`
	// Overhead of a prompt, in which the engine processes others.
	Overhead time.Duration `toml:"overhead"`
	// Step of generation alone, by request, and by 1,000 tokens of their context.
	Step           time.Duration `toml:"step"`
	StepPerRequest time.Duration `toml:"step_per_request"`
	StepPerContext time.Duration `toml:"step_per_1000_tokens"`
	// Chunk is how many tokens of a prompt a generating engine processes between two
	// steps, at half the speed.
	Chunk int `toml:"chunk"`
	Slots int `toml:"slots"`
	// MemoryTokens in tokens, EventTokens in each event of a stream.
	MemoryTokens      int `toml:"memory"`
	EventTokens int `toml:"event_tokens"`
	// RoleChange is how long an engine is away once its answers have ended.
	RoleChange time.Duration `toml:"role_change"`
}

// Class is one kind of request.
type Class struct {
	Name string `toml:"name"`
	// Rate a second, where no burst is.
	Rate float64 `toml:"rate"`
	// Shared and Own tokens of the prompt, and Answer tokens: means, spread by a
	// log-normal with the given deviation of the logarithm.
	Shared float64 `toml:"shared"`
	Own    float64 `toml:"own"`
	Answer float64 `toml:"answer"`
	Spread float64 `toml:"spread"`
	// Parts is how many shared parts there are; a part's use falls with its rank to
	// the power of Skew.
	Parts int     `toml:"parts"`
	Skew  float64 `toml:"skew"`
	// Shift is after how long the popular parts are others; 0 for never.
	Shift time.Duration `toml:"shift"`
	// Objective to the first event, Pause between events, Patience of the caller.
	Objective time.Duration `toml:"objective"`
	MaxGap     time.Duration `toml:"pause"`
	WaitBudget  time.Duration `toml:"patience"`
	Priority  int           `toml:"priority"`
	Bursts    []Burst       `toml:"burst"`
}

// Burst multiplies a class's rate for a time. Bursts that overlap multiply.
type Burst struct {
	From  time.Duration `toml:"from"`
	Duration   time.Duration `toml:"for"`
	Factor float64       `toml:"times"`
}

// Outage is a number of engines that are gone for a time; those that return do so as
// decode engines with empty memory.
type Outage struct {
	At      time.Duration `toml:"at"`
	Duration     time.Duration `toml:"for"`
	Engines int           `toml:"engines"`
}

// rateAt is a class's rate a second.
func (c Class) rateAt(now time.Duration) float64 {
	rate := c.Rate
	for _, b := range c.Bursts {
		if now >= b.From && now < b.From+b.Duration {
			rate *= b.Factor
		}
	}
	return rate
}

// sizes draws the numbers of tokens and the parts of requests.
type sizes struct {
	rng    *rand.Rand
	weight [][]float64 // cumulated, by class and part
	shared [][]int     // tokens, by class and part
}

func newSizes(classes []Class, rng *rand.Rand) *sizes {
	s := &sizes{rng: rng}
	for _, c := range classes {
		var weights []float64
		var tokens []int
		sum := 0.0
		for rank := range c.Parts {
			sum += math.Pow(float64(rank+1), -c.Skew)
			weights = append(weights, sum)
			tokens = append(tokens, s.tokens(c.Shared, c.Spread/2))
		}
		s.weight, s.shared = append(s.weight, weights), append(s.shared, tokens)
	}
	return s
}

// tokens draws a log-normal number of a mean.
func (s *sizes) tokens(mean, spread float64) int {
	return max(1, int(mean*math.Exp(spread*s.rng.NormFloat64()-spread*spread/2)))
}

// part draws a part of a class.
func (s *sizes) part(class int, c Class, now time.Duration) int {
	draw := s.rng.Float64() * s.weight[class][c.Parts-1]
	part := 0
	for s.weight[class][part] < draw {
		part++
	}
	if c.Shift > 0 {
		part = (part + int(now/c.Shift)*c.Parts/2) % c.Parts
	}
	return part
}

// poisson draws how many come where a number is expected.
func poisson(rng *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), rng.Float64(), 0
	for product > limit {
		product *= rng.Float64()
		n++
	}
	return n
}

// prompt draws the prompt of one request.
func (s *sizes) prompt(class int, c Class, id string, now time.Duration) placement.Prompt {
	own := s.tokens(c.Own, c.Spread)
	p := placement.Prompt{Tokens: own, MaxOutput: int(4 * c.Answer)}
	if c.Parts > 0 {
		part := s.part(class, c, now)
		p.Parts = append(p.Parts, placement.Part{ID: fmt.Sprintf("%s-%d", c.Name, part), Tokens: s.shared[class][part]})
		p.Tokens += s.shared[class][part]
	}
	p.Parts = append(p.Parts, placement.Part{ID: id, Tokens: own})
	return p
}
