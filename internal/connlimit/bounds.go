package connlimit

import (
	"syscall"

	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/tomlfile"
)

// Settings are the keys of a program's settings that bound the connections of clients.
type Settings struct {
	// Max bounds the connections of clients. When it is reached, a connection that waits for its client
	// is closed for a new one. Default 0: derived from the memory and the descriptors, with 32 KiB and 2.5
	// descriptors a connection: 691 at 144 MiB, 1363 at 284 MiB.
	Max int `toml:"max"`
	// RequestShare is the part of the memory that the heads and bodies of requests may take, from their first byte
	// until they are answered. When it is reached, connections whose requests are not complete are closed, or new
	// requests are refused as not run. 0 is no bound. Default 0.2.
	RequestShare float64 `toml:"request_share"`
	// AnswerShare is the same for answers that are held completely before they are written. When it is reached, connections
	// whose clients read nothing of them for a quarter of a second are closed, and further answers are read later. An answer
	// that is larger by itself fails as unknown. Default 0.2.
	AnswerShare float64 `toml:"answer_share"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{RequestShare: defaultRequestShare, AnswerShare: defaultAnswerShare}
}

const (
	defaultRequestShare = 0.2
	defaultAnswerShare  = 0.2
	// maxShare leaves room for the rest of the process.
	maxShare = 0.4
	// connShare is the part of the memory for the connections beside their requests.
	connShare = 0.15
	// connBytes is what a connection takes beside its request: goroutine, buffers, and a part of the kernel's queue of
	// received bytes.
	connBytes = 32 << 10
	// descriptorShare is the part of the descriptors for connections of clients. Each request that is served needs one
	// more, to its upstream.
	descriptorShare = 0.4
	// minConns is the least bound that is derived.
	minConns = 16
)

// Resources are what a process may use.
type Resources struct {
	// MemoryBytes is the memory; 0 if it is not bounded.
	MemoryBytes int64
	// Descriptors are those for sockets; 0 for all that the kernel allows.
	Descriptors int
}

// Bounds returns the bounds on connections of a process with these resources.
func (s Settings) Bounds(r Resources) Bounds {
	share := func(part float64) int64 { return int64(float64(r.MemoryBytes) * part) }
	return Bounds{Conns: s.conns(r), Bytes: share(s.RequestShare), AnswerBytes: share(s.AnswerShare)}
}

func (s Settings) conns(r Resources) int {
	if s.Max > 0 {
		return s.Max
	}
	descriptors := r.Descriptors
	if descriptors == 0 {
		descriptors = descriptorLimit()
	}
	conns := int(descriptorShare * float64(descriptors))
	if r.MemoryBytes > 0 {
		conns = min(conns, int(connShare*float64(r.MemoryBytes))/connBytes)
	}
	return max(conns, minConns)
}

// descriptorLimit returns the number of descriptors that the kernel allows the process.
func descriptorLimit() int {
	const fallback = 1024 // the usual least limit
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fallback
	}
	return int(min(limit.Cur, 1<<20))
}

// Check records a finding in the file for each invalid value below the key.
func (s Settings) Check(file *tomlfile.File, key string) {
	settings.IntBetween(file, key+".max", s.Max, 0, 1<<20)
	for name, share := range map[string]float64{"request_share": s.RequestShare, "answer_share": s.AnswerShare} {
		if share < 0 || share > maxShare {
			file.Add(key+"."+name, "want 0 to %g, not %g", maxShare, share)
		}
	}
}

// ProbeBounds returns the bounds for connections to an address where readiness is probed: a few connections with small
// requests.
func ProbeBounds() Bounds { return Bounds{Conns: 64, Bytes: 1 << 20} }
