package loadgen

import (
	"encoding/json"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"time"

	"sassafrasfield/internal/callerapi"
)

// charsPerToken is the prompt length in characters per token.
const charsPerToken = 4

// arrival is a planned request.
type arrival struct {
	at           time.Duration
	class        int
	key          string
	priority     int
	body         []byte // nil for a call to the plain service
	promptTokens int
}

// arrivals plans all requests of a scenario, ordered by time.
func arrivals(s Scenario, seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, seed))
	p := planner{scenario: s, rng: rng}
	for i := range max(1, s.Prefixes) {
		p.prefixes = append(p.prefixes, uniqueText(rand.New(rand.NewPCG(seed, uint64(i))), maxPrefixTokens))
	}
	var all []arrival
	start := time.Duration(0)
	for _, phase := range s.Phases {
		for at := start + p.gap(phase.Rate); at < start+phase.Duration; at += p.gap(phase.Rate) {
			all = append(all, p.completion(at, phase))
		}
		start += phase.Duration
	}
	if s.CallRate > 0 {
		for at := p.gap(s.CallRate); at < start; at += p.gap(s.CallRate) {
			all = append(all, arrival{at: at, key: p.key()})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// maxPrefixTokens is the length of the generated shared prefixes, which limits the shared part of a prompt.
const maxPrefixTokens = 4096

type planner struct {
	scenario Scenario
	rng      *rand.Rand
	prefixes []string
}

func (p *planner) gap(rate float64) time.Duration {
	return time.Duration(p.rng.ExpFloat64() / rate * float64(time.Second))
}

// key draws the API key of an organisation. The n-th organisation gets 1/n of the requests of the first.
func (p *planner) key() string {
	total := 0.0
	for i := range p.scenario.Keys {
		total += 1 / float64(i+1)
	}
	drawn := p.rng.Float64() * total
	for i, key := range p.scenario.Keys {
		if drawn -= 1 / float64(i+1); drawn < 0 {
			return key
		}
	}
	return p.scenario.Keys[0]
}

func (p *planner) class(phase Phase) int {
	drawn := p.rng.Float64()
	for i, share := range phase.Mix {
		if drawn -= share; drawn < 0 {
			return i
		}
	}
	return len(phase.Mix) - 1
}

// varyTokens draws a number between half and one and a half of the mean.
func (p *planner) varyTokens(mean int) int {
	return max(1, int(float64(mean)*(0.5+p.rng.Float64())))
}

func (p *planner) completion(at time.Duration, phase Phase) arrival {
	class := p.class(phase)
	c := p.scenario.Classes[class]
	prompt, answer := p.varyTokens(c.PromptTokens), p.varyTokens(c.AnswerTokens)
	shared := min(int(float64(prompt)*c.SharedFraction), maxPrefixTokens)
	prefix := p.prefixes[p.rng.IntN(len(p.prefixes))][:shared*charsPerToken]
	body, err := json.Marshal(map[string]any{
		"model": p.scenario.Model, "stream": true, "max_tokens": answer, "seed": p.rng.Int64N(1 << 31),
		"messages": []callerapi.Message{{Role: "user", Content: callerapi.Content(prefix + uniqueText(p.rng, prompt-shared))}},
	})
	if err != nil {
		panic(err) // plain data can always be encoded
	}
	return arrival{at: at, class: class, key: p.key(), priority: c.Priority, body: body, promptTokens: prompt}
}

// uniqueText returns a text of the given length in tokens. It starts with a random number, so that no other
// text shares a prefix with it.
func uniqueText(rng *rand.Rand, tokens int) string {
	unique := strconv.FormatUint(rng.Uint64(), 36) + " "
	return strings.Repeat(unique, tokens*charsPerToken/len(unique)+1)[:tokens*charsPerToken]
}
