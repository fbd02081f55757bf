package fanout

import "time"

const (
	// reportsShare is the part of an instance's link that its reports may take, one in
	// so many: the rest is its callers'.
	reportsShare = 6
	// saveFor is how long what is not sent is saved up.
	saveFor = batchEvery
	// bytesPerMbit is how many bytes a second a link of one Mbit/s carries.
	bytesPerMbit = 1e6 / 8
)

// Allowance bounds the bytes of an instance's reports by what its link carries. Who passes
// reports on sends to all instances of the zone, and would choke its link with what many
// requests bring about: nothing else would reach it in time then, and whoever took over
// would choke next. It is not safe for concurrent use.
type Allowance struct {
	rate float64 // bytes a second; 0 for no bound
	left float64
	at   time.Duration
}

// NewAllowance returns the allowance of an instance whose link carries so many Mbit/s; 0
// where that is not known, and nothing is bounded.
func NewAllowance(linkMbps float64, now time.Duration) *Allowance {
	a := &Allowance{rate: linkMbps * bytesPerMbit / reportsShare, at: now}
	a.left = a.most()
	return a
}

func (a *Allowance) most() float64 { return a.rate * saveFor.Seconds() }

// Spend takes bytes off. What has to be sent is sent, and taken off what comes after it.
func (a *Allowance) Spend(bytes int) { a.left -= float64(bytes) }

// Allows tells whether anything is left beside bytes that are to be sent now. One report may
// go beyond it, so that none is too long for a small link.
func (a *Allowance) Allows(bytes int, now time.Duration) bool {
	a.left = min(a.most(), a.left+a.rate*(now-a.at).Seconds())
	a.at = now
	return a.rate == 0 || float64(bytes) < a.left
}
