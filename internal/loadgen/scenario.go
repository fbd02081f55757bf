// Package loadgen generates an open-loop load of completions and of calls to plain services, and reports what
// the callers saw: goodput, time to the first token, time between tokens, and counts by second. Arrivals do
// not wait for responses, so a slow system receives no fewer requests. The same scenario and seed give the
// same arrivals.
package loadgen

import (
	"time"

	"github.com/pkg/errors"
)

// Class is a kind of completion.
type Class struct {
	Name string
	// PromptTokens and AnswerTokens are means. The values of a request are drawn between half and one and a
	// half of them.
	PromptTokens int
	AnswerTokens int
	// SharedFraction is the fraction of the prompt, 0 to 1, that consists of one of the scenario's shared
	// prefixes.
	SharedFraction float64
	// Priority of the request. Higher priorities are served first.
	Priority int
}

// Phase is a period of the scenario with a constant mix of classes.
type Phase struct {
	Duration time.Duration
	// Rate is the number of completions per second. The gaps between them are exponentially distributed.
	Rate float64
	// Mix holds the fractions of the scenario's classes, which sum to 1.
	Mix []float64
}

// Bounds are the latency bounds of a good response.
type Bounds struct {
	// FirstToken bounds the time to the first token, MeanInterToken the mean time between tokens.
	FirstToken     time.Duration
	MeanInterToken time.Duration
}

// Scenario describes a load over time.
type Scenario struct {
	Name    string
	Model   string
	Classes []Class
	Phases  []Phase
	// Keys are API keys, one for each organisation. The n-th organisation sends 1/n as many requests as the
	// first.
	Keys []string
	// Prefixes is the number of shared prompt prefixes.
	Prefixes int
	Bounds   Bounds
	// CallRate is the number of calls per second to CallPath of a plain service; 0 for none.
	CallRate float64
	CallPath string
	// Deadline is sent to the entry with each completion; 0 sends none.
	Deadline time.Duration
	// HonourRetryAfter makes callers retry after a refusal with a Retry-After header, up to three times. The
	// time to the first token counts from the first attempt.
	HonourRetryAfter bool
}

// Duration returns the length of the period in which requests arrive.
func (s Scenario) Duration() time.Duration {
	total := time.Duration(0)
	for _, p := range s.Phases {
		total += p.Duration
	}
	return total
}

// Check returns an error if the scenario is not valid.
func (s Scenario) Check() error {
	if len(s.Classes) == 0 || len(s.Phases) == 0 || len(s.Keys) == 0 {
		return errors.New("scenario: want classes, phases and keys")
	}
	for i, p := range s.Phases {
		if len(p.Mix) != len(s.Classes) || p.Rate <= 0 {
			return errors.Errorf("scenario: phase %d: want a rate, and a share for each class", i)
		}
	}
	return nil
}

// longShare and shortShare are the fractions of long prompts in the phases of a swing that have many and few
// of them.
const (
	longShare  = 0.75
	shortShare = 0.1
)

// swing returns three phases: mostly short prompts, mostly long ones, mostly short ones again.
func swing(phase time.Duration, rate float64) []Phase {
	short := []float64{shortShare, 1 - shortShare}
	long := []float64{longShare, 1 - longShare}
	return []Phase{
		{Duration: phase, Rate: rate, Mix: short},
		{Duration: phase, Rate: rate, Mix: long},
		{Duration: phase, Rate: rate, Mix: short},
	}
}

// QotonTrace is the load of the QotonTrace deployment, a ledger: long ginning histories with short answers,
// short questions with longer answers, and many status calls.
func QotonTrace(phase time.Duration, rate float64) Scenario {
	return Scenario{
		Name: "qoton-trace", Model: "provenance",
		Classes: []Class{
			{Name: "history", PromptTokens: 2000, AnswerTokens: 16, SharedFraction: 0.5},
			{Name: "question", PromptTokens: 120, AnswerTokens: 90, SharedFraction: 0.2},
		},
		Phases: swing(phase, rate), Prefixes: 60,
		Bounds:   Bounds{FirstToken: time.Second, MeanInterToken: 50 * time.Millisecond},
		CallRate: rate, CallPath: "/bales/status",
	}
}

// AGEDIM is the load of the AGEDIM deployment, which serves studios: briefs with attached style guides, which
// make up most of the prompt and are shared, and naming ideas with long answers.
func AGEDIM(phase time.Duration, rate float64) Scenario {
	return Scenario{
		Name: "agedim", Model: "critique",
		Classes: []Class{
			{Name: "brief", PromptTokens: 2200, AnswerTokens: 24, SharedFraction: 0.8},
			{Name: "naming", PromptTokens: 100, AnswerTokens: 100, SharedFraction: 0.2},
		},
		Phases: swing(phase, rate), Prefixes: 40,
		Bounds:   Bounds{FirstToken: time.Second, MeanInterToken: 50 * time.Millisecond},
		CallRate: rate / 4, CallPath: "/portal/status",
	}
}
