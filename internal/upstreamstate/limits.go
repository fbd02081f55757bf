package upstreamstate

import (
	"maps"
	"math"
	"slices"
	"time"

	"sassafrasfield/internal/quota"
)

// limits are what upstreams announced, which of them have nothing left, and which want rest.
type limits struct {
	announcements *quota.Table
	exhausted     exhaustedTable
	backoffs      backoffTable
	// changes wait to be logged.
	changes []quota.Change
}

// availableAt is when an upstream takes a request of a priority again; not after now where it
// takes one now.
func (l limits) availableAt(hash uint32, priority int) time.Duration {
	return max(l.exhausted.until(hash, priority), l.backoffs[hash])
}

// any tells whether any upstream may not take requests.
func (l limits) any() bool { return l.announcements.Any() || len(l.backoffs) > 0 }

func newLimits() limits {
	return limits{announcements: quota.NewTable(), exhausted: exhaustedTable{}, backoffs: backoffTable{}}
}

// exhaustedTable is until when upstreams have nothing left for requests of a priority and for less
// urgent ones, by what requests for a grant were told.
type exhaustedTable map[uint32]map[int]time.Duration

// set takes what a request of a priority was told.
func (t exhaustedTable) set(hash uint32, priority int, until time.Duration) {
	if t[hash] == nil {
		t[hash] = map[int]time.Duration{}
	}
	t[hash][priority] = until
}

// until is when an upstream has room for a request of a priority again; not after now where
// it has room.
func (t exhaustedTable) until(hash uint32, priority int) time.Duration {
	latest := time.Duration(0)
	for told, until := range t[hash] {
		if told <= priority {
			latest = max(latest, until)
		}
	}
	return latest
}

// expire drops what counts no longer.
func (t exhaustedTable) expire(now time.Duration) {
	for hash, byPriority := range t {
		maps.DeleteFunc(byPriority, func(_ int, until time.Duration) bool { return now >= until })
		if len(byPriority) == 0 {
			delete(t, hash)
		}
	}
}

// Announced takes what an upstream's answer says to all instances. An answer of a start of it
// that is over says nothing of the one that is there now.
func (p *State) Announced(from Upstream, a quota.Announcement, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hash := from.Incarnation()
	if n, ok := p.nodes[from.ID]; ok && n.hash != hash {
		return
	}
	change, changed := p.limits.announcements.ApplyAnnouncement(hash, a, now)
	p.noteLimitChange(change, changed)
	if changed {
		p.settings.OnChange()
	}
}

// applyLimits takes what others told of upstreams' announcements. The lock is held.
func (p *State) applyLimits(words []quota.UpstreamLimit, beside bool, now time.Duration) {
	scope := quota.OtherZone
	if beside {
		scope = quota.SameZone
	}
	for _, w := range words {
		change, changed := p.limits.announcements.ApplyReport(w, scope, now)
		p.noteLimitChange(change, changed)
	}
}

// Limits returns what is known of the announcements of all upstreams.
func (p *State) Limits(now time.Duration) []quota.UpstreamLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.announcements.All(now)
}

// ApplyLimits takes what an instance of this zone, or of another one, knows of all upstreams.
func (p *State) ApplyLimits(words []quota.UpstreamLimit, beside bool, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyLimits(words, beside, now)
}

// ApplyLimit takes what an instance that asks for a grant was told by the upstream.
func (p *State) ApplyLimit(w quota.UpstreamLimit, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyLimits([]quota.UpstreamLimit{w}, true, now)
}

// noteLimitChange keeps a change to be logged. What was told to wait for by the limit before
// counts no longer. The lock is held.
func (p *State) noteLimitChange(c quota.Change, changed bool) {
	if !changed {
		return
	}
	if c.Rate != c.OldRate {
		delete(p.limits.exhausted, c.Upstream)
	}
	if n, ok := p.byHash[c.Upstream]; ok && c.StartsDraining {
		n.Draining = true
	}
	p.limits.changes = append(p.limits.changes, c)
}

// LimitChanges returns the changes of announcements since the last call.
func (p *State) LimitChanges() []quota.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	changes := p.limits.changes
	p.limits.changes = nil
	return changes
}

// Limit returns what is known of an upstream's limit, whether the upstream told this instance
// itself, and whether anything is known of one.
func (p *State) Limit(hash uint32, now time.Duration) (w quota.UpstreamLimit, firstHand, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits.announcements.Lookup(hash, now)
}

// MarkExhausted takes it that an upstream with a limit has nothing left for a time, for requests of a
// priority and for less urgent ones.
func (p *State) MarkExhausted(hash uint32, priority int, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits.exhausted.set(hash, priority, until)
}

// IsExhausted tells whether an upstream has nothing left for a request of a priority.
func (p *State) IsExhausted(hash uint32, priority int, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now < p.limits.exhausted.until(hash, priority)
}

// IsDraining tells whether a start of an upstream leaves, as far as is known now.
func (p *State) IsDraining(u Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.byHash[u.Incarnation()]
	return ok && n.Draining
}

// AllDraining tells whether a service has upstreams, and all of them leave.
func (p *State) AllDraining(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.byService[service]
	return len(list) > 0 && !slices.ContainsFunc(list, func(n *node) bool { return !n.Draining })
}

// AvailableIn returns when the first of the upstreams that take no request now, by their limit
// or as they rest, takes one again; false when there are none. Resting tells that it rests.
func (p *State) AvailableIn(a PlacementRequest, now time.Duration) (in time.Duration, resting, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	in = time.Duration(math.MaxInt64)
	for _, n := range p.byService[a.Service] {
		until := p.limits.availableAt(n.hash, a.Priority)
		if n.Draining || until <= now || until-now >= in {
			continue
		}
		in, resting, found = until-now, until == p.limits.backoffs[n.hash], true
	}
	return in, resting, found
}

// expireLimits forgets what counts no longer. The lock is held.
func (p *State) expireLimits(now time.Duration) {
	p.limits.exhausted.expire(now)
	p.limits.announcements.Expire(func(hash uint32) bool { return p.byHash[hash] != nil }, now)
}

// UpstreamID returns the id of the upstream with a hash; empty when it is not listed.
func (p *State) UpstreamID(hash uint32) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n, ok := p.byHash[hash]; ok {
		return n.ID
	}
	return ""
}
