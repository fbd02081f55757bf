package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sassafrasfield/internal/placement"
)

// Pattern is a load on a service, together with outages of its engines.
type Pattern struct {
	// Name describes the load.
	Name string `toml:"name"`
	// Length is the duration of the load.
	Length time.Duration `toml:"length"`
	Fleet  Fleet         `toml:"fleet"`
	Class  []Class       `toml:"class"`
	// Outages are crashes of engines during the load.
	Outages []Outage `toml:"lost"`
	// Update replaces all engines by ones of another software version, one after the other.
	Update Update `toml:"update"`
}

// Update is an update of the engines' software. The zero value updates none.
type Update struct {
	// At is the time of the first replacement, Every the time between two. A replaced engine crashes; its successor
	// has the same role and an empty cache.
	At    time.Duration `toml:"at"`
	Every time.Duration `toml:"every"`
}

// Fleet describes the instances and the engines.
type Fleet struct {
	Zones     int `toml:"zones"`
	Instances int `toml:"instances"`
	Engines   int `toml:"engines"`
	// Versions is the number of software versions that the engines have in turn; 0 and 1 for one.
	Versions int `toml:"versions"`
	// ReportLag is the delay of reports between instances, ReportLoss the fraction of them that is lost,
	// 0 to 1.
	ReportLag  time.Duration `toml:"report_lag"`
	ReportLoss float64       `toml:"report_loss"`
	// SeparatePrefill is set if no decode engine processes short prompts.
	SeparatePrefill bool `toml:"separate_prefill"`
	// Uneven is how the speeds of prefill engines differ.
	Uneven Unevenness `toml:"uneven"`
	// MessageLoss is the fraction of the messages to and from hubs that is lost, 0 to 1. HubOutage is the loss of
	// all hubs for a time.
	MessageLoss float64   `toml:"message_loss"`
	HubOutage   hubOutage `toml:"hub_outage"`
	// Engine describes each engine.
	Engine EngineSpec `toml:"engine"`
}

// EngineSpec describes the timing and the capacity of an engine.
type EngineSpec struct {
	// TokenTime and PairTime are the prefill times for each prompt token and each pair of tokens, in
	// nanoseconds. TransferTime is the time to transfer the KV cache of one token, in nanoseconds.
	TokenTime    float64 `toml:"token_time_ns"`
	PairTime     float64 `toml:"pair_time_ns"`
	TransferTime float64 `toml:"transfer_time_ns"`
	// Overhead is additional latency of a prompt, during which the engine processes other prompts.
	Overhead time.Duration `toml:"overhead"`
	// Step is the base duration of a generation step. StepPerRequest and StepPerContext are what each running
	// request and each 1,000 tokens of context add.
	Step           time.Duration `toml:"step"`
	StepPerRequest time.Duration `toml:"step_per_request"`
	StepPerContext time.Duration `toml:"step_per_1000_tokens"`
	// Chunk is the number of prompt tokens that a generating engine processes between two steps, at half the
	// speed.
	Chunk int `toml:"chunk"`
	Slots int `toml:"slots"`
	// MemoryTokens is the size of the KV cache in tokens, EventTokens the number of tokens in each event of a
	// stream.
	MemoryTokens int `toml:"memory"`
	EventTokens  int `toml:"event_tokens"`
	// RoleChange is the time for which an engine is unavailable during a role change, once its requests have
	// finished.
	RoleChange time.Duration `toml:"role_change"`
}

// Class is a kind of request.
type Class struct {
	Name string `toml:"name"`
	// Rate is the number of requests per second outside bursts.
	Rate float64 `toml:"rate"`
	// Shared and Own are the mean numbers of shared and own tokens of a prompt, Answer that of tokens of an
	// answer. They are log-normally distributed. Spread is the standard deviation of the logarithm, halved
	// for shared parts.
	Shared float64 `toml:"shared"`
	Own    float64 `toml:"own"`
	Answer float64 `toml:"answer"`
	Spread float64 `toml:"spread"`
	// Parts is the number of different shared parts. The popularity of a part is its rank to the power of
	// -Skew.
	Parts int     `toml:"parts"`
	Skew  float64 `toml:"skew"`
	// Shift is the interval at which other parts become the popular ones; 0 for never.
	Shift time.Duration `toml:"shift"`
	// Objective is the objective for the time to the first event. MaxGap is the longest acceptable gap
	// between events. WaitBudget is the time after which a caller without a first event gives up.
	Objective  time.Duration `toml:"objective"`
	MaxGap     time.Duration `toml:"pause"`
	WaitBudget time.Duration `toml:"patience"`
	Priority   int           `toml:"priority"`
	Bursts     []Burst       `toml:"burst"`
}

// Burst multiplies a class's rate for a period. The factors of overlapping bursts multiply.
type Burst struct {
	From     time.Duration `toml:"from"`
	Duration time.Duration `toml:"for"`
	Factor   float64       `toml:"times"`
}

// Outage is a crash of a number of engines. They return after Duration as decode engines with an empty cache.
type Outage struct {
	At       time.Duration `toml:"at"`
	Duration time.Duration `toml:"for"`
	Engines  int           `toml:"engines"`
}

// rateAt returns the class's rate in requests per second.
func (c Class) rateAt(now time.Duration) float64 {
	rate := c.Rate
	for _, b := range c.Bursts {
		if now >= b.From && now < b.From+b.Duration {
			rate *= b.Factor
		}
	}
	return rate
}

// sampler draws the token counts and shared parts of requests.
type sampler struct {
	rng               *rand.Rand
	cumulativeWeights [][]float64 // by class and part
	sharedTokens      [][]int     // by class and part
}

func newSampler(classes []Class, rng *rand.Rand) *sampler {
	s := &sampler{rng: rng}
	for _, c := range classes {
		var weights []float64
		var tokens []int
		sum := 0.0
		for rank := range c.Parts {
			sum += math.Pow(float64(rank+1), -c.Skew)
			weights = append(weights, sum)
			tokens = append(tokens, s.tokens(c.Shared, c.Spread/2))
		}
		s.cumulativeWeights, s.sharedTokens = append(s.cumulativeWeights, weights), append(s.sharedTokens, tokens)
	}
	return s
}

// tokens draws a token count from a log-normal distribution with the given mean.
func (s *sampler) tokens(mean, spread float64) int {
	return max(1, int(mean*math.Exp(spread*s.rng.NormFloat64()-spread*spread/2)))
}

// part draws a shared part of a class.
func (s *sampler) part(class int, c Class, now time.Duration) int {
	draw := s.rng.Float64() * s.cumulativeWeights[class][c.Parts-1]
	part := 0
	for s.cumulativeWeights[class][part] < draw {
		part++
	}
	if c.Shift > 0 {
		part = (part + int(now/c.Shift)*c.Parts/2) % c.Parts
	}
	return part
}

// poisson draws from a Poisson distribution.
func poisson(rng *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), rng.Float64(), 0
	for product > limit {
		product *= rng.Float64()
		n++
	}
	return n
}

// prompt draws the prompt of a request.
func (s *sampler) prompt(class int, c Class, id string, now time.Duration) placement.Prompt {
	own := s.tokens(c.Own, c.Spread)
	p := placement.Prompt{Tokens: own, MaxOutput: int(4 * c.Answer)}
	if c.Parts > 0 {
		part := s.part(class, c, now)
		p.Parts = append(p.Parts, placement.Part{ID: fmt.Sprintf("%s-%d", c.Name, part), Tokens: s.sharedTokens[class][part]})
		p.Tokens += s.sharedTokens[class][part]
	}
	p.Parts = append(p.Parts, placement.Part{ID: id, Tokens: own})
	return p
}
