package estimate

import "time"

// Snapshot has the estimates that one instance learned about a service's engines, for other
// instances.
type Snapshot struct {
	// PromptTimeRatio is the ratio of the token times to the prior's, and Overhead the constant
	// part of a prompt's time. PromptCount is the number of prompts that they are based on.
	PromptTimeRatio float64
	Overhead        time.Duration
	PromptCount     int
	// Step is the duration of a generation step without requests and StepPerRequest what each
	// request adds. StreamCount is the number of answers that they are based on.
	Step, StepPerRequest time.Duration
	StreamCount          int
}

// minKnownSamples is the number of observations from which an estimate describes the engines and
// not the prior (see TestObservationsOverridePrior).
const minKnownSamples = 16

// Snapshot returns the estimates that this instance learned.
func (m *Model) Snapshot() Snapshot {
	prompt, step := m.prompts.estimate(), m.steps.estimate()
	return Snapshot{
		PromptTimeRatio: prompt.slope, Overhead: time.Duration(prompt.base), PromptCount: len(m.prompts.samples),
		Step: time.Duration(step.base), StepPerRequest: time.Duration(step.slope), StreamCount: len(m.steps.samples),
	}
}

// Merge merges the estimates of another instance into the prior, for an instance that has just
// started or serves few requests. Estimates from fewer than minKnownSamples observations are
// ignored.
func (m *Model) Merge(s Snapshot) {
	if s.PromptCount >= minKnownSamples && s.PromptTimeRatio > 0 && s.Overhead >= 0 {
		m.prompts.merge(coefficients{slope: s.PromptTimeRatio, base: float64(s.Overhead)})
	}
	if s.StreamCount >= minKnownSamples && s.Step >= 0 && s.StepPerRequest > 0 {
		m.steps.merge(coefficients{slope: float64(s.StepPerRequest), base: float64(s.Step)})
	}
}

// PromptsKnown reports whether the prompt times are learned, by this instance or others.
func (m *Model) PromptsKnown() bool { return m.prompts.known() }

// StepsKnown reports whether the step times are learned, by this instance or others.
func (m *Model) StepsKnown() bool { return m.steps.known() }

// merge adds the line of another instance to the means that serve as the prior.
func (l *line) merge(c coefficients) {
	l.unfitted += refitAt
	l.receivedSlope.add(c.slope)
	l.receivedBase.add(c.base)
	l.prior = coefficients{slope: l.receivedSlope.value, base: l.receivedBase.value}
}

func (l *line) known() bool { return len(l.samples) >= minKnownSamples || l.receivedSlope.n > 0 }
