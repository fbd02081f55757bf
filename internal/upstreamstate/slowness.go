package upstreamstate

import "time"

// callTime is the mean time of the responses of a plain service, in seconds.
type callTime struct {
	mean  float64
	count int
}

// callTimeWeight is the weight of a new time in the mean. It covers about 20 responses, those of some seconds.
const callTimeWeight = 0.05

// add adds the time of a response and returns it relative to the mean.
func (t *callTime) add(elapsed time.Duration) float64 {
	t.count++
	t.mean += (elapsed.Seconds() - t.mean) * max(callTimeWeight, 1/float64(t.count))
	if t.mean <= 0 {
		return 1
	}
	return elapsed.Seconds() / t.mean
}

// RecordCallTime records how long a response of a plain service took.
func (s *State) RecordCallTime(id string, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, ok := s.nodes[id]
	if !ok {
		return // its entry was removed
	}
	mean, ok := s.callTimes[n.Service]
	if !ok {
		mean = &callTime{}
		s.callTimes[n.Service] = mean
	}
	s.use(n)
	n.work.slowness.AddTime(mean.add(elapsed))
}

// CallTime returns how long responses of a plain service usually take; false if too few are known.
func (s *State) CallTime(service string) (time.Duration, bool) {
	const minCount = 3
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.callTimes[service]
	if !ok || t.count < minCount {
		return 0, false
	}
	return time.Duration(t.mean * float64(time.Second)), true
}

// Slowness returns how long work is expected to take on an upstream of a plain service; 1 for as usual.
func (s *State) Slowness(id string, now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.nodes[id]; ok {
		return n.work.slowness.Factor(now)
	}
	return 1
}
