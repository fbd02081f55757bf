package fanout

import "time"

const (
	// linkDivisor sets the part of an instance's link that its reports may use: 1/linkDivisor of its
	// bandwidth. The rest is for the traffic of callers.
	linkDivisor = 6
	// accrualTime is for how long unused allowance accumulates.
	accrualTime = batchEvery
	// bytesPerMbit is how many bytes a second a link of one Mbit/s carries.
	bytesPerMbit = 1e6 / 8
)

// Allowance limits the bytes of an instance's reports to a share of its link's bandwidth. A hub
// sends to all instances of the zone. Without a limit, the reports that many requests cause
// would saturate its link: nothing else would get through in time, and the next hub that takes
// over would be saturated too. It is not safe for concurrent use.
type Allowance struct {
	rate      float64 // bytes a second; 0 for no limit
	available float64
	at        time.Duration
}

// NewAllowance returns the allowance of an instance whose link carries linkMbps Mbit/s. 0 means that
// the bandwidth is not known; nothing is limited then.
func NewAllowance(linkMbps float64, now time.Duration) *Allowance {
	a := &Allowance{rate: linkMbps * bytesPerMbit / linkDivisor, at: now}
	a.available = a.capacity()
	return a
}

func (a *Allowance) capacity() float64 { return a.rate * accrualTime.Seconds() }

// Spend deducts bytes that are sent. Reports that must be sent are sent even if they exceed the
// allowance, and delay later ones.
func (a *Allowance) Spend(bytes int) { a.available -= float64(bytes) }

// Allows reports whether any allowance is left after the bytes that are to be sent now. One report may
// exceed the allowance, so that no report is too long for a small link.
func (a *Allowance) Allows(bytes int, now time.Duration) bool {
	a.available = min(a.capacity(), a.available+a.rate*(now-a.at).Seconds())
	a.at = now
	return a.rate == 0 || float64(bytes) < a.available
}
