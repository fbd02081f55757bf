// Package limit bounds each organisation's requests a second over all entries, without a counter that the
// entries share. Each entry has a token bucket for each organisation, with a share of the organisation's
// rate.
//
// The shares follow the demand that the entries observe. The control daemons exchange it outside the path of
// requests: an entry reports its demand (Limiter.Demand), the home daemon of each organisation adds the
// reports up (Totals), and the entry sets its share from the answer (Limiter.SetTotals). Without fresh totals
// each entry has an equal share. The package does no I/O: times are passed in as monotonic durations.
package limit

import (
	"math"
	"time"
)

// maxWait bounds the times in a Verdict.
const maxWait = time.Minute

// Rule is the limit of an organisation over all entries.
type Rule struct {
	// Rate is in requests a second; 0 means no limit.
	Rate float64
	// Burst is how many requests may come at once; below 1, it is one second of Rate, or 1 if that is larger.
	Burst float64
}

func (r Rule) burst() float64 {
	if r.Burst >= 1 {
		return r.Burst
	}
	return max(1, r.Rate)
}

// Options of a Limiter.
type Options struct {
	// Floor is the part of the rate, from 0 to 1, that is shared equally whatever the demand, so that an
	// entry has a share for traffic that moves to it.
	Floor float64
	// Window is the time constant of the moving average of the demand.
	Window time.Duration
	// MinBurst is the least capacity of a bucket, in requests, as far as the organisation's burst allows;
	// below 1, it is 1. With many entries, an equal part of the burst would refuse requests that arrive
	// unevenly.
	MinBurst float64
	// TotalsTTL is how long totals count after they were received.
	TotalsTTL time.Duration
}

// Verdict is the decision on one request.
type Verdict struct {
	Allowed bool
	// Limited is false for an organisation without a limit; the fields below are then not set.
	Limited bool
	// Limit is the organisation's rate over all entries, a second.
	Limit float64
	// Remaining is how many requests this entry would allow at once.
	Remaining int
	// RetryIn is the time until this entry allows one request.
	RetryIn time.Duration
	// Reset is the time until this entry's bucket is full.
	Reset time.Duration
}

// Limiter holds one entry's buckets. It is not safe for concurrent use.
type Limiter struct {
	options       Options
	entries       int
	organisations map[string]*organisation
}

// organisation is the state of one organisation at this entry.
type organisation struct {
	rule   Rule
	bucket Bucket
	demand average
	// reported is the demand last reported, 0 if it was too low to be reported.
	reported float64
	// total is the last total received, at totalAt. known is false before the first one, and after the last
	// one has expired.
	total   float64
	totalAt time.Duration
	known   bool
}

// New returns a limiter that assumes it is the only entry until SetEntries is called.
func New(options Options) *Limiter {
	return &Limiter{options: options, entries: 1, organisations: map[string]*organisation{}}
}

// SetEntries sets the number of live entries; below 1 counts as 1.
func (l *Limiter) SetEntries(n int, now time.Duration) {
	l.entries = max(1, n)
	for _, o := range l.organisations {
		l.updateShare(o, now)
	}
}

// Take decides on one request of the organisation.
func (l *Limiter) Take(name string, rule Rule, now time.Duration) Verdict {
	if rule.Rate <= 0 {
		return Verdict{Allowed: true}
	}
	o := l.organisation(name, rule, now)
	o.demand.add(now)
	allowed := o.bucket.take(now)
	return o.verdict(allowed)
}

// TakeWithDebt decides on a request with precedence over others, such as one that resumes an answer whose
// request was already allowed. It may leave a debt up to the bucket's capacity, so that a client that falsely
// claims to continue an answer gains one burst, but no higher rate.
func (l *Limiter) TakeWithDebt(name string, rule Rule, now time.Duration) Verdict {
	if rule.Rate <= 0 {
		return Verdict{Allowed: true}
	}
	o := l.organisation(name, rule, now)
	o.demand.add(now)
	allowed := o.bucket.takeWithDebt(now)
	verdict := o.verdict(allowed)
	verdict.RetryIn = o.bucket.Until(1 - o.bucket.burst)
	return verdict
}

func (o *organisation) verdict(allowed bool) Verdict {
	return Verdict{
		Allowed: allowed, Limited: true, Limit: o.rule.Rate,
		Remaining: int(max(0, o.bucket.tokens)),
		RetryIn:   o.bucket.Until(1),
		Reset:     o.bucket.Until(o.bucket.burst),
	}
}

// organisation returns the state of an organisation, with its share up to date.
func (l *Limiter) organisation(name string, rule Rule, now time.Duration) *organisation {
	o, ok := l.organisations[name]
	if !ok {
		o = &organisation{rule: rule, demand: average{window: l.options.Window, decayedAt: now}}
		o.bucket.refilledAt = now
		l.organisations[name] = o
		l.updateShare(o, now)
		o.bucket.tokens = o.bucket.burst
	}
	if o.rule != rule || (o.known && !l.fresh(o, now)) {
		o.rule = rule
		l.updateShare(o, now)
	}
	return o
}

// Demand returns the demand to report, in requests a second, by organisation. Demand within the entry's equal
// part of the rate (Options.Floor) is left out.
func (l *Limiter) Demand(now time.Duration) map[string]float64 {
	demand := map[string]float64{}
	for name, o := range l.organisations {
		o.reported = 0
		rate := o.demand.rate(now)
		if rate > l.options.Floor*o.rule.Rate/float64(l.entries) {
			o.reported = rate
			demand[name] = rate
		}
	}
	return demand
}

// SetTotals sets the demand over all entries, by organisation, and updates the shares. totals has only
// the organisations that this entry reported.
func (l *Limiter) SetTotals(totals map[string]float64, now time.Duration) {
	for name, o := range l.organisations {
		total, ok := totals[name]
		if ok {
			o.total, o.totalAt, o.known = total, now, true
		}
		l.updateShare(o, now)
	}
}

func (l *Limiter) fresh(o *organisation, now time.Duration) bool {
	return o.known && now-o.totalAt <= l.options.TotalsTTL
}

// updateShare sets the bucket's rate and capacity by the entry's share of the organisation's demand.
func (l *Limiter) updateShare(o *organisation, now time.Duration) {
	share := 1 / float64(l.entries)
	if !l.fresh(o, now) {
		o.known = false
	}
	if o.known && o.reported > 0 {
		share = l.share(o)
	}
	o.bucket.Set(o.rule.Rate*share, l.capacity(o.rule, share), now)
}

// capacity returns the capacity of a bucket: the entry's share of the burst, but no less than MinBurst, or
// than the organisation's burst if that is smaller.
func (l *Limiter) capacity(rule Rule, share float64) float64 {
	minBurst := min(rule.burst(), max(1, l.options.MinBurst))
	return max(minBurst, rule.burst()*share)
}

func (l *Limiter) share(o *organisation) float64 {
	own := o.reported / math.Max(o.total, o.reported)
	return l.options.Floor/float64(l.entries) + (1-l.options.Floor)*own
}
