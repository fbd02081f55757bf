package relay

import "sync"

// fetchWeight is the weight of the newest fetch in the rate of refused ones.
const fetchWeight = 1.0 / 16

// fetchRates holds, by service, the recent rate of refused fetches: of runs that were refused when
// they had a KV cache to fetch. Engines refuse most of them while their links are slow or after KV
// caches have expired.
type fetchRates struct {
	mu      sync.Mutex // protects refused
	refused map[string]float64
}

func newFetchRates() *fetchRates { return &fetchRates{refused: map[string]float64{}} }

// record records the outcome of a fetch.
func (f *fetchRates) record(service string, refused bool) {
	outcome := 0.0
	if refused {
		outcome = 1
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused[service] += fetchWeight * (outcome - f.refused[service])
}

// mostlyRefused reports whether most recent fetches were refused.
func (f *fetchRates) mostlyRefused(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused[service] > 0.5
}
