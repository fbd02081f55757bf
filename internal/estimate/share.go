package estimate

import "time"

// Snapshot is what one instance has learned of a service's engines, for the others.
type Snapshot struct {
	// PromptTimeRatio is the time of a prompt's tokens, against the prior's, and Overhead the
	// time besides; Prompts is how many prompts tell so.
	PromptTimeRatio float64
	Overhead        time.Duration
	PromptCount     int
	// Step is the time of a step of generation and StepPerRequest what each request
	// adds; Streams is how many answers tell so.
	Step, StepPerRequest time.Duration
	StreamCount          int
}

// knownFrom is the number of observations from which an estimate is one of the
// engines and not of the prior (TestThePriorYields).
const knownFrom = 16

// Snapshot returns what this instance has learned by itself.
func (m *Model) Snapshot() Snapshot {
	prompt, step := m.prompts.estimate(), m.steps.estimate()
	return Snapshot{
		PromptTimeRatio: prompt.slope, Overhead: time.Duration(prompt.base), PromptCount: len(m.prompts.samples),
		Step: time.Duration(step.base), StepPerRequest: time.Duration(step.slope), StreamCount: len(m.steps.samples),
	}
}

// Merge takes what another instance has learned: it takes the place of the prior,
// for an instance that has just started or serves little.
func (m *Model) Merge(l Snapshot) {
	if l.PromptCount >= knownFrom && l.PromptTimeRatio > 0 && l.Overhead >= 0 {
		m.prompts.hear(coefficients{slope: l.PromptTimeRatio, base: float64(l.Overhead)})
	}
	if l.StreamCount >= knownFrom && l.Step >= 0 && l.StepPerRequest > 0 {
		m.steps.hear(coefficients{slope: float64(l.StepPerRequest), base: float64(l.Step)})
	}
}

// PromptsKnown tells whether the times of prompts are learned, here or by others.
func (m *Model) PromptsKnown() bool { return m.prompts.known() }

// StepsKnown tells whether the time of a step is learned, here or by others.
func (m *Model) StepsKnown() bool { return m.steps.known() }

// hear takes the line of another instance into the mean that is the prior.
func (l *line) hear(c coefficients) {
	l.unfitted += refitAt
	l.heardSlope.add(c.slope)
	l.heardBase.add(c.base)
	l.prior = coefficients{slope: l.heardSlope.value, base: l.heardBase.value}
}

func (l *line) known() bool { return len(l.samples) >= knownFrom || l.heardSlope.n > 0 }
