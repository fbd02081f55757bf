package relocation

import (
	"cmp"
	"slices"
	"time"
)

// Delays has the recent delays of prompts: how much longer than predicted they took, on which engine. They show how
// likely a prompt is to end soon where it is, and how far the prediction for another engine can be trusted. If all
// engines become slow at once, the delays say so, and no prompt moves. It is not safe for concurrent use.
type Delays struct {
	// known are the ended prompts that count, in the order in which they ended.
	known []*Prompt
	// inWork are the prompts that have not ended, in the order in which they were sent.
	inWork []*Prompt
}

// Prompt is a prompt that was sent to an engine.
type Prompt struct {
	engine          string
	sent, predicted time.Duration
	// ended is when it ended; 0 before.
	ended time.Duration
	// processed is set if it ended because the engine had processed it.
	processed bool
}

const (
	// maxSamples is the number of newest prompts that count. Instances send 3 to 6 prompts a second, so that they show
	// what holds for the last two to five seconds. Engines of the recorded days stayed slow for seconds.
	maxSamples = 16
	// validFor bounds the age of a prompt that counts.
	validFor = 5 * time.Second
	// maxKnown bounds the ended prompts that are kept, so that those of other engines remain if many are of one.
	maxKnown = 2 * maxSamples
)

// usualDelays are assumed besides the observed delays. They are spread like those of the recorded quiet day, where a
// third of the prompts met no other one on their engine (median 10 ms, 90th percentile 40 ms), and the others took
// 30 ms longer than predicted at the median, 300 ms at the 90th percentile and 830 ms at the 99th.
var usualDelays = []time.Duration{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 15 * time.Millisecond,
	30 * time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond, 300 * time.Millisecond,
}

// NewDelays returns Delays without observations.
func NewDelays() *Delays { return &Delays{} }

// Sent records that a prompt is sent to an engine.
func (d *Delays) Sent(engine string, predicted, now time.Duration) *Prompt {
	prompt := &Prompt{engine: engine, sent: now, predicted: predicted}
	d.inWork = append(d.inWork, prompt)
	return prompt
}

// Ended records that a prompt was processed, or that it was cancelled, was refused or failed. In the latter cases it
// counts only if it was overdue.
func (d *Delays) Ended(prompt *Prompt, processed bool, now time.Duration) {
	i := slices.Index(d.inWork, prompt)
	if i < 0 {
		return
	}
	d.inWork = slices.Delete(d.inWork, i, i+1)
	prompt.ended, prompt.processed = now, processed
	if !processed && now <= prompt.due() {
		return
	}
	d.known = append(d.known, prompt)
	if len(d.known) > maxKnown {
		d.known = slices.Delete(d.known, 0, 1)
	}
}

// due returns when the prompt becomes overdue.
func (p *Prompt) due() time.Duration { return p.sent + withError(p.predicted) }

// knownAt returns when it was known whether the prompt is processed in time.
func (p *Prompt) knownAt() time.Duration {
	if p.ended > 0 {
		return min(p.ended, p.due())
	}
	return p.due()
}

// delay returns how much longer than predicted the prompt took. One that was not processed, or not yet, is assumed to
// need twice the delay that was seen. Otherwise the delays would be too short where prompts are taken back.
func (p *Prompt) delay(now time.Duration) time.Duration {
	if p.processed {
		return max(0, p.ended-p.sent-p.predicted)
	}
	if p.ended > 0 {
		now = p.ended
	}
	return max(0, 2*(now-p.sent-p.predicted))
}

// Elsewhere returns the delays of the newest prompts on other engines of which it is known whether they are processed in
// time, and the usual ones, in ascending order.
func (d *Delays) Elsewhere(engine string, predicted, now time.Duration) []time.Duration {
	counted := make([]*Prompt, 0, len(d.known)+len(d.inWork))
	for _, prompt := range d.known {
		counted = prompt.appendTo(counted, engine, predicted, now)
	}
	for _, prompt := range d.inWork {
		counted = prompt.appendTo(counted, engine, predicted, now)
	}
	slices.SortStableFunc(counted, func(a, b *Prompt) int { return cmp.Compare(b.knownAt(), a.knownAt()) })
	delays := slices.Clone(usualDelays)
	for _, prompt := range counted[:min(len(counted), maxSamples)] {
		delays = append(delays, prompt.delay(now))
	}
	slices.Sort(delays)
	return delays
}

// appendTo appends the prompt to the list if it counts for prompts of the given predicted time on other engines than the
// given one.
func (p *Prompt) appendTo(list []*Prompt, engine string, predicted, now time.Duration) []*Prompt {
	if at := p.knownAt(); p.engine == engine || !comparable(p.predicted, predicted) || at > now || now-at > validFor {
		return list
	}
	return append(list, p)
}

// within returns how likely a prompt ends within a time, with delays in ascending order, if it has been overdue for the
// given time and has not ended. A prompt that is overdue for longer than all others is assumed to need about as long
// again, as with delays without a typical size.
func within(delays []time.Duration, overdue, left time.Duration) float64 {
	if left <= 0 {
		return 0
	}
	overdue = max(0, overdue)
	longer := delays[countUpTo(delays, overdue):]
	lasting := float64(left) / float64(left+overdue)
	if len(longer) == 0 {
		return lasting
	}
	ended := float64(countUpTo(longer, overdue+left))
	return (ended + lasting) / float64(len(longer)+1)
}

// countUpTo returns the number of delays, in ascending order, that are at most d.
func countUpTo(delays []time.Duration, d time.Duration) int {
	n, _ := slices.BinarySearch(delays, d+1)
	return n
}

// comparableFactor is the factor up to which predicted times are comparable. An engine that is slow by a factor delays a
// long prompt by more than a short one: without this, short prompts moved from slow engines that would have processed
// them in time.
const comparableFactor = 3

func comparable(a, b time.Duration) bool {
	return a <= comparableFactor*b && b <= comparableFactor*a
}
