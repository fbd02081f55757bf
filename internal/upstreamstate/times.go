package upstreamstate

import (
	"time"

	"sassafrasfield/internal/estimate"
	"sassafrasfield/internal/placement"
)

// Times are the processing times and capacities of a service's engines, learned or configured.
type Times struct {
	placement.EngineTimes
	// Step is the duration of a generation step without requests, StepPerRequest what each request
	// in the batch adds.
	Step, StepPerRequest time.Duration
	// Known is true when the times are learned, and false while they are assumed.
	Known bool
	// RoleChange is how long an engine is unavailable while its role changes.
	RoleChange time.Duration
}

// model returns the estimates for a service's engines. The lock is held.
func (s *State) model(service string) *estimate.Model {
	m, ok := s.models[service]
	if !ok {
		m = estimate.New(s.settings.Prior)
		s.models[service] = m
	}
	return m
}

// Times returns the times of a service's engines.
func (s *State) Times(service string) Times {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times(service)
}

// times is Times with the lock held.
func (s *State) times(service string) Times {
	m := s.model(service)
	t := Times{}
	t.TokenTime, t.PairTime, t.Overhead = m.PromptTimes()
	t.HandOver, t.SlotTime = m.HandOver(), m.SlotTime()
	t.Step, t.StepPerRequest = m.StepTimes()
	t.Known = m.PromptsKnown() && m.StepsKnown()
	limits := s.routeTable.Services[service].Engine
	if limits == nil {
		return t
	}
	t.FetchTime, t.Slots, t.CacheTokens = limits.TransferTime, limits.Slots, limits.KVTokens
	t.RoleChange = limits.RoleSwitch
	return t
}

// costs returns the costs that placement uses for a service. The lock is held.
func (s *State) costs(service string) placement.Costs {
	return placement.Costs{EngineTimes: s.times(service).EngineTimes, Settings: s.settings.Placement}
}

// RecordPrefill records the time of a prompt that an engine processed without fetching KV cache.
func (s *State) RecordPrefill(service string, observed estimate.Prefill) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model(service).RecordPrefill(observed)
}

// RecordHandOver records the time from a send with a processed prompt to the first token at the
// decode engine. The prompt has the given number of tokens.
func (s *State) RecordHandOver(service string, tokens int, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fetch := time.Duration(float64(tokens) * s.times(service).FetchTime)
	s.model(service).RecordHandOver(max(0, elapsed-fetch))
}

// RecordStream records an answer that an engine generated completely, in the given number of
// events. It returns the predicted time of the generation at usual speed; 0 if it was too short to compare.
func (s *State) RecordStream(service, engine string, events int, observed estimate.Stream, now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	eventTokens := 1
	if limits := s.routeTable.Services[service].Engine; limits != nil {
		eventTokens = max(1, limits.EventTokens)
	}
	observed.Tokens = (events - 1) * eventTokens
	if n, ok := s.nodes[engine]; ok {
		observed.BatchSize = float64(n.aggregateLoad(now).Requests)
	}
	usual := s.model(service).PredictStream(observed)
	s.model(service).RecordStream(observed)
	return usual
}

// learnedTimes returns the estimates that this instance learned itself, by a hash of the service.
// The lock is held.
func (s *State) learnedTimes() map[uint32]estimate.Snapshot {
	all := map[uint32]estimate.Snapshot{}
	for service, m := range s.models {
		if snapshot := m.Snapshot(); snapshot.PromptCount > 0 || snapshot.StreamCount > 0 {
			all[hashOf(service)] = snapshot
		}
	}
	return all
}

// mergeTimes merges the estimates that another instance learned. The lock is held.
func (s *State) mergeTimes(times map[uint32]estimate.Snapshot) {
	if len(times) == 0 {
		return
	}
	for service := range s.byService {
		if snapshot, ok := times[hashOf(service)]; ok {
			s.model(service).Merge(snapshot)
		}
	}
}
