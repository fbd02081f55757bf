package limit

import "time"

// Quota is an organisation's limit over all instances, in a version of the configuration.
type Quota struct {
	Organisation string
	// Rate is in units a second and Burst in units, where a unit is a request or a token; a Rate of 0 or less
	// means no limit. Burst is the depth of the bucket, with what the operators tolerate beyond the limit.
	Rate, Burst float64
	// Version of the configuration. Of two quotas of an organisation, the one with the higher version counts.
	Version int64
}

// Limited reports whether the quota limits anything.
func (q Quota) Limited() bool { return q.Rate > 0 }

// GrantRequest asks for the right to run one request.
type GrantRequest struct {
	Quota Quota
	// Cost of the request in the quota's units.
	Cost float64
}

// Grant is the decision on a GrantRequest.
type Grant struct {
	Granted bool
	// RetryIn is the time after which the organisation's bucket has tokens for the refused request and for
	// those that were refused before it.
	RetryIn time.Duration
	// Undecided is true if the instance that was asked does not decide on grants.
	Undecided bool
}

const (
	// granterSettleTime is how long an instance decides on nothing after it became the one to decide, so that
	// the one before learns of it first.
	granterSettleTime = 250 * time.Millisecond
	// granterIdleTimeout is how long an organisation's bucket is kept without requests.
	granterIdleTimeout = time.Minute
	// maxGrantRetryIn bounds the retry delay of refused requests.
	maxGrantRetryIn = 2 * time.Second
)

// Granter grants the requests of organisations with quotas, for all instances: one instance decides, so that
// the sum of what all instances run stays within each quota. A granter starts with empty buckets, as the one
// before may have granted the whole quotas. It is not safe for concurrent use.
type Granter struct {
	tenure   Tenure
	accounts map[string]*account
}

// account is what an organisation may still run.
type account struct {
	quota  Quota
	bucket *Bucket
	// retryAt is the latest retry time given to a refused request.
	retryAt, usedAt time.Duration
}

// NewGranter returns the granter of an instance that does not decide yet.
func NewGranter() *Granter {
	return &Granter{tenure: NewTenure(granterSettleTime), accounts: map[string]*account{}}
}

// SetActive sets whether this instance is the one that decides. It must be called several times a second.
func (g *Granter) SetActive(active bool, now time.Duration) {
	if g.tenure.Refresh(active, now) {
		clear(g.accounts)
	}
	for name, a := range g.accounts {
		if now-a.usedAt > granterIdleTimeout {
			delete(g.accounts, name)
		}
	}
}

// Active reports whether this instance decides.
func (g *Granter) Active(now time.Duration) bool { return g.tenure.Decides(now) }

// Decide decides on a request. A request is granted unless the organisation is in debt, which one request may
// cause.
func (g *Granter) Decide(r GrantRequest, now time.Duration) Grant {
	if !g.Active(now) {
		return Grant{Undecided: true}
	}
	a := g.account(r.Quota, now)
	a.usedAt = now
	if !a.quota.Limited() || a.bucket.spend(r.Cost, now) {
		return Grant{Granted: true}
	}
	return Grant{RetryIn: a.retryIn(r.Cost, now)}
}

// Refund returns the cost of a request that was granted and did not run.
func (g *Granter) Refund(r GrantRequest, now time.Duration) {
	if g.Active(now) {
		g.account(r.Quota, now).bucket.add(r.Cost)
	}
}

// account returns the account of an organisation, with the newest quota in force. A new one has what the
// organisation has saved up since this instance began to decide.
func (g *Granter) account(q Quota, now time.Duration) *account {
	a, ok := g.accounts[q.Organisation]
	if !ok {
		a = &account{quota: q, bucket: NewBucket(g.tenure.DecidesFrom())}
		a.bucket.Set(q.Rate, q.Burst, g.tenure.DecidesFrom())
		g.accounts[q.Organisation] = a
	}
	if q.Version > a.quota.Version {
		a.quota = q
		a.bucket.Set(q.Rate, q.Burst, now)
	}
	return a
}

// retryIn returns when to retry a refused request. Refused requests get times one after another, as far apart
// as the quota lets them run.
func (a *account) retryIn(cost float64, now time.Duration) time.Duration {
	soonest := now + a.bucket.Until(0)
	a.retryAt = max(soonest, a.retryAt+time.Duration(cost/a.quota.Rate*float64(time.Second)))
	a.retryAt = min(a.retryAt, max(soonest, now+maxGrantRetryIn))
	return a.retryAt - now
}
