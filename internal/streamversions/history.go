package streamversions

import (
	"slices"
	"time"
)

// History is what the platform's table says of the versions of a service whose streams callers may take up. All
// instances may restart while callers hold streams, so the instances alone do not know which versions have served.
type History struct {
	Service string
	// Versions are sorted.
	Versions []string
	// Revision is that of the row; 0 if there is none.
	Revision int64
}

// ApplyHistory applies the stored history of a service. Versions that the row did not have before count as present
// until now, as it does not say when their last upstream was removed.
func (c *Census) ApplyHistory(h History, now time.Duration) {
	before := c.stored[h.Service]
	c.stored[h.Service] = h
	for _, version := range h.Versions {
		if p := c.presence(h.Service, version); p.upstreams == 0 && !slices.Contains(before.Versions, version) {
			p.goneAt = now
		}
	}
}

// RemoveHistory records that a service has no stored history any more.
func (c *Census) RemoveHistory(service string) { delete(c.stored, service) }

// Unstored returns the versions of present upstreams of a service that its stored history lacks.
func (c *Census) Unstored(service string) []string {
	var list []string
	for version, p := range c.services[service] {
		if p.upstreams > 0 && !slices.Contains(c.stored[service].Versions, version) {
			list = append(list, version)
		}
	}
	return list
}

// UnstoredFor returns for how long a service has had present upstreams without a stored version among theirs, by the
// newest of their versions; false if it has one, or no upstream.
func (c *Census) UnstoredFor(service string, now time.Duration) (time.Duration, bool) {
	newest, present := time.Duration(0), false
	for version, p := range c.services[service] {
		if p.upstreams == 0 {
			continue
		}
		if slices.Contains(c.stored[service].Versions, version) {
			return 0, false
		}
		newest, present = max(newest, p.since), true
	}
	return now - newest, present
}

// DueHistories returns the histories to write: those that lack a present version and, with tidy, those that name a
// version whose streams are all over. Revision is that of the row to replace.
func (c *Census) DueHistories(tidy bool, now time.Duration) []History {
	var due []History
	for service := range c.services {
		stored := c.stored[service]
		next := History{Service: service, Versions: c.Versions(service, now), Revision: stored.Revision}
		if len(c.Unstored(service)) > 0 || tidy && len(next.Versions) > 0 && !slices.Equal(next.Versions, stored.Versions) {
			due = append(due, next)
		}
	}
	return due
}
