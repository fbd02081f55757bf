package streamversions

import (
	"slices"
	"time"
)

// Census keeps the software versions of the upstreams of each service: those of the present ones, and those that
// were present until recently, whose streams callers may still take up. Versions of the time before this instance
// started are known from the stored histories.
type Census struct {
	upstreams map[string]member
	services  map[string]map[string]*presence
	// since is when the first upstream of a service became known.
	since map[string]time.Duration
	// stored are the stored histories, by service.
	stored map[string]storedHistory
	// complete are the services of which a history was applied that lacked no version.
	complete map[string]bool
}

// member is an upstream.
type member struct{ service, version string }

// presence is the presence of one version.
type presence struct {
	upstreams int
	// seen is set if upstreams were known here, and not from a stored history alone.
	seen bool
	// since is when the first of the present upstreams was added.
	since time.Duration
	// goneAt is when the last upstream was removed, if there is none.
	goneAt time.Duration
}

// NewCensus returns an empty census.
func NewCensus() *Census {
	return &Census{
		upstreams: map[string]member{}, services: map[string]map[string]*presence{}, since: map[string]time.Duration{},
		stored: map[string]storedHistory{}, complete: map[string]bool{},
	}
}

// Update records the newest entry of an upstream, and reports whether its service or version changed. An entry may
// change its version in place.
func (c *Census) Update(id, service, version string, now time.Duration) bool {
	updated := member{service, version}
	if old, ok := c.upstreams[id]; ok {
		if old == updated {
			return false
		}
		c.Remove(id, now)
	}
	c.upstreams[id] = updated
	if _, ok := c.since[service]; !ok {
		c.since[service] = now
	}
	p := c.presence(service, version)
	if p.upstreams == 0 {
		p.since, p.seen = now, true
	}
	p.upstreams++
	return true
}

// presence returns the presence of a version, which it adds if needed.
func (c *Census) presence(service, version string) *presence {
	versions, ok := c.services[service]
	if !ok {
		versions = map[string]*presence{}
		c.services[service] = versions
	}
	if versions[version] == nil {
		versions[version] = &presence{}
	}
	return versions[version]
}

// KnownFor returns for how long upstreams of a service have been known; 0 if none has been.
func (c *Census) KnownFor(service string, now time.Duration) time.Duration {
	since, ok := c.since[service]
	if !ok {
		return 0
	}
	return now - since
}

// Remove records that an upstream's entry was removed.
func (c *Census) Remove(id string, now time.Duration) {
	old, ok := c.upstreams[id]
	if !ok {
		return
	}
	delete(c.upstreams, id)
	p := c.services[old.service][old.version]
	if p.upstreams--; p.upstreams == 0 {
		p.goneAt = now
	}
}

// Versions returns the versions of a service whose streams callers may take up, sorted.
func (c *Census) Versions(service string, now time.Duration) []string {
	var list []string
	for version, p := range c.services[service] {
		if p.upstreams == 0 && now-p.goneAt > MaxLifetime {
			delete(c.services[service], version)
			continue
		}
		list = append(list, version)
	}
	slices.Sort(list)
	return list
}
