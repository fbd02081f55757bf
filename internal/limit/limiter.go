// Package limit bounds each organisation's requests a second over all entries
// without a counter that entries share. Each entry has a token bucket for the
// organisation with a share of its rate. The shares follow the entries'
// observed demand, which the control daemons exchange off the path: an entry
// reports its demand (Limiter.Demand), a home daemon for each organisation adds
// the reports up (Totals), and the entry sets its share from the answer
// (Limiter.SetTotals). Without fresh totals each entry has an equal share. The
// package is pure: time is passed in as a monotonic duration.
package limit

import (
	"math"
	"time"
)

// longest bounds the waits that verdicts tell.
const longest = time.Minute

// Rule is the limit of an organisation over all entries.
type Rule struct {
	// Rate is in requests a second; 0 is no limit.
	Rate float64
	// Burst is how many requests may come at once; below 1 it is the larger of
	// one second of Rate and 1.
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
	// Floor is the part of the rate, from 0 to 1, that is shared equally
	// whatever the demand, so that traffic that moves to an entry finds some.
	Floor float64
	// Window is the time constant of the demand's moving average.
	Window time.Duration
	// MinBurst is the size that a bucket has at least, in requests, as far
	// as the organisation's burst allows; with many entries an equal part of
	// the burst would refuse what comes unevenly. Below 1 it is 1.
	MinBurst float64
	// TotalsTTL is how long totals count after they came.
	TotalsTTL time.Duration
}

// Verdict is the answer for one request.
type Verdict struct {
	Allowed bool
	// Limited is false for an organisation without a limit; the rest is then
	// not set.
	Limited bool
	// Limit is the organisation's rate over all entries, a second.
	Limit float64
	// Remaining is how many requests this entry would take at once.
	Remaining int
	// RetryIn is the time until this entry takes one request.
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

// organisation is one organisation at one entry.
type organisation struct {
	rule   Rule
	bucket Bucket
	demand average
	// reported is the demand last reported, 0 when it was too low to be.
	reported float64
	// total is the last total heard, which came at totalAt; known is false
	// before the first.
	total   float64
	totalAt time.Duration
	known   bool
}

// New returns a limiter that believes itself the only entry.
func New(options Options) *Limiter {
	return &Limiter{options: options, entries: 1, organisations: map[string]*organisation{}}
}

// SetEntries sets the number of live entries; below 1 counts as 1.
func (l *Limiter) SetEntries(n int, now time.Duration) {
	l.entries = max(1, n)
	for _, o := range l.organisations {
		l.reshare(o, now)
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

// TakeWithDebt decides on a request that goes before others, such as the rest of an
// answer that was accepted before. It may leave a debt as large as the bucket,
// so that one who only says so gains a burst and no rate.
func (l *Limiter) TakeWithDebt(name string, rule Rule, now time.Duration) Verdict {
	if rule.Rate <= 0 {
		return Verdict{Allowed: true}
	}
	o := l.organisation(name, rule, now)
	o.demand.add(now)
	allowed := o.bucket.force(now)
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

// organisation returns the entry's state for an organisation, with its share
// up to date.
func (l *Limiter) organisation(name string, rule Rule, now time.Duration) *organisation {
	o, ok := l.organisations[name]
	if !ok {
		o = &organisation{rule: rule, demand: average{window: l.options.Window, at: now}}
		o.bucket.at = now
		l.organisations[name] = o
		l.reshare(o, now)
		o.bucket.tokens = o.bucket.burst
	}
	if o.rule != rule || (o.known && !l.fresh(o, now)) {
		o.rule = rule
		l.reshare(o, now)
	}
	return o
}

// Demand returns the requests a second of each organisation that the others
// should know of. Demand that the equal part of the rate covers is left out.
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

// SetTotals takes the demand over all entries of the organisations that were
// reported.
func (l *Limiter) SetTotals(totals map[string]float64, now time.Duration) {
	for name, o := range l.organisations {
		total, ok := totals[name]
		if ok {
			o.total, o.totalAt, o.known = total, now, true
		}
		l.reshare(o, now)
	}
}

func (l *Limiter) fresh(o *organisation, now time.Duration) bool {
	return o.known && now-o.totalAt <= l.options.TotalsTTL
}

// reshare sets the bucket by the entry's share of the organisation's demand.
func (l *Limiter) reshare(o *organisation, now time.Duration) {
	share := 1 / float64(l.entries)
	if !l.fresh(o, now) {
		o.known = false
	}
	if o.known && o.reported > 0 {
		share = l.share(o)
	}
	o.bucket.Set(o.rule.Rate*share, l.size(o.rule, share), now)
}

// size of a bucket: the entry's share of the burst, but no less than
// SmallestBurst, or the whole burst when that is smaller.
func (l *Limiter) size(rule Rule, share float64) float64 {
	smallest := min(rule.burst(), max(1, l.options.MinBurst))
	return max(smallest, rule.burst()*share)
}

func (l *Limiter) share(o *organisation) float64 {
	own := o.reported / math.Max(o.total, o.reported)
	return l.options.Floor/float64(l.entries) + (1-l.options.Floor)*own
}
