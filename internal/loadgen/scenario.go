// Package loadgen offers an open-loop load of completions and calls, and
// reports what callers saw: goodput, time to the first token, time between
// tokens, and a series by second. Arrivals do not wait for answers, so a slow
// system is not spared. The same scenario and seed give the same arrivals.
package loadgen

import (
	"time"

	"github.com/pkg/errors"
)

// Class is a kind of completion.
type Class struct {
	Name string
	// PromptTokens and AnswerTokens are means; each request has half to one
	// and a half of them.
	PromptTokens int
	AnswerTokens int
	// SharedFraction is the part of the prompt, 0 to 1, that is one of the scenario's
	// shared prefixes.
	SharedFraction float64
	// Priority of the request; a higher one goes first.
	Priority int
}

// Phase is a stretch of the scenario with one mix.
type Phase struct {
	Duration time.Duration
	// Rate is completions a second, with exponential gaps.
	Rate float64
	// Mix are the shares of the scenario's classes; they sum to 1.
	Mix []float64
}

// Bounds make an answer a good one.
type Bounds struct {
	// FirstToken bounds the time to the first token, Token the mean time
	// between tokens.
	FirstToken time.Duration
	MeanInterToken      time.Duration
}

// Scenario is a load over time.
type Scenario struct {
	Name    string
	Model   string
	Classes []Class
	Phases  []Phase
	// Keys are API keys, one an organisation. The second has half as many
	// requests as the first, the third a third, and so on.
	Keys []string
	// Prefixes is the number of shared prompt prefixes.
	Prefixes int
	Bounds   Bounds
	// CallRate is calls a second to CallPath of a plain service; 0 is none.
	CallRate float64
	CallPath string
	// Deadline is told to the entry with each completion; 0 tells none.
	Deadline time.Duration
	// HonourRetryAfter has callers come back after a refusal when it says so,
	// up to three times. The time to the first token counts from the first
	// try.
	HonourRetryAfter bool
}

// Duration is the time in which requests arrive.
func (s Scenario) Duration() time.Duration {
	total := time.Duration(0)
	for _, p := range s.Phases {
		total += p.Duration
	}
	return total
}

// Check returns what is wrong with the scenario, or nil.
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

// longShare and shortShare are the parts of long prompts at the two ends of a
// swing.
const (
	longShare  = 0.75
	shortShare = 0.1
)

// swing goes from short prompts to long ones and back.
func swing(phase time.Duration, rate float64) []Phase {
	short := []float64{shortShare, 1 - shortShare}
	long := []float64{longShare, 1 - longShare}
	return []Phase{
		{Duration: phase, Rate: rate, Mix: short},
		{Duration: phase, Rate: rate, Mix: long},
		{Duration: phase, Rate: rate, Mix: short},
	}
}

// QotonTrace is the ledger's load: long ginning histories with short answers,
// against short questions with longer answers, and many status calls.
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

// AGEDIM is the studios' load: briefs with style guides attached, which share
// most of the prompt, against naming ideas with long answers.
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
