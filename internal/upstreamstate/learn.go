package upstreamstate

import (
	"time"

	"sassafrasfield/internal/estimate"
	"sassafrasfield/internal/placement"
)

// Times are what the engines of a service take, learned or configured.
type Times struct {
	placement.EngineTimes
	// Step is the time of a step of generation, StepPerRequest what each request
	// that takes part adds.
	Step, StepPerRequest time.Duration
	// Known tells that the times are learned, and not assumed.
	Known bool
	// RoleChange is how long an engine is away when its role changes.
	RoleChange time.Duration
}

// model returns what is known of a service's engines. The lock is held.
func (p *State) model(service string) *estimate.Model {
	m, ok := p.models[service]
	if !ok {
		m = estimate.New(p.settings.Prior)
		p.models[service] = m
	}
	return m
}

// Times returns what the engines of a service take.
func (p *State) Times(service string) Times {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.times(service)
}

// times is Times. The lock is held.
func (p *State) times(service string) Times {
	m := p.model(service)
	t := Times{}
	t.TokenTime, t.PairTime, t.Overhead = m.PromptTimes()
	t.HandOver, t.SlotTime = m.HandOver(), m.SlotTime()
	t.Step, t.StepPerRequest = m.StepTimes()
	t.Known = m.PromptsKnown() && m.StepsKnown()
	limits := p.table.Services[service].Engine
	if limits == nil {
		return t
	}
	t.FetchTime, t.Slots, t.CacheTokens = limits.TransferTime, limits.Slots, limits.KVTokens
	t.RoleChange = limits.RoleSwitch
	return t
}

// costs are what placement weighs for a service. The lock is held.
func (p *State) costs(service string) placement.Costs {
	return placement.Costs{EngineTimes: p.times(service).EngineTimes, Settings: p.settings.Placement}
}

// RecordPrefill takes note of a prompt that an engine has processed, without a fetch.
func (p *State) RecordPrefill(service string, done estimate.Prefill) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.model(service).RecordPrefill(done)
}

// RecordHandOver takes note of how long a decode engine took to begin with a processed
// prompt of so many tokens.
func (p *State) RecordHandOver(service string, tokens int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fetch := time.Duration(float64(tokens) * p.times(service).FetchTime)
	p.model(service).RecordHandOver(max(0, took-fetch))
}

// RecordStream takes note of an answer that an engine has generated whole, in so many
// events.
func (p *State) RecordStream(service, engine string, events int, done estimate.Stream, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	eventTokens := 1
	if limits := p.table.Services[service].Engine; limits != nil {
		eventTokens = max(1, limits.EventTokens)
	}
	done.Tokens = (events - 1) * eventTokens
	if n, ok := p.nodes[engine]; ok {
		done.BatchSize = float64(n.aggregateLoad(now).Requests)
	}
	p.model(service).RecordStream(done)
}

// learnedTimes is what this instance has learnedTimes of the engines, by a hash of the
// service. The lock is held.
func (p *State) learnedTimes() map[uint32]estimate.Snapshot {
	all := map[uint32]estimate.Snapshot{}
	for service, m := range p.models {
		if l := m.Snapshot(); l.PromptCount > 0 || l.StreamCount > 0 {
			all[hashOf(service)] = l
		}
	}
	return all
}

// mergeTimes takes what another instance has learned. The lock is held.
func (p *State) mergeTimes(times map[uint32]estimate.Snapshot) {
	if len(times) == 0 {
		return
	}
	for service := range p.byService {
		if l, ok := times[hashOf(service)]; ok {
			p.model(service).Merge(l)
		}
	}
}
