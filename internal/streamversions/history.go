package streamversions

import (
	"maps"
	"slices"
	"time"
)

// removalMargin is how much longer than MaxLifetime a version stays in the stored history, so that all instances have
// forgotten it when it is removed.
const removalMargin = 10 * time.Second

// History is what the platform's table says of the versions of a service whose streams callers may take up. All
// instances may restart while callers hold streams, so the instances alone do not know which versions have served.
type History struct {
	Service string
	// Versions are sorted. Gone are those of them that had no upstream when the row was written. A version that
	// returns is written again, so that nobody removes it meanwhile.
	Versions, Gone []string
	// Revision is that of the row; 0 if there is none.
	Revision int64
	// Restored is set if the store may have been restored from an older copy since all versions were written: some may be
	// missing.
	Restored bool
}

// Table says what this instance knows of the table of the histories.
type Table struct {
	// Loaded is set if all rows were read. Restored is set if the store was ever restored from an older copy.
	Loaded, Restored bool
}

// storedHistory is the newest known row of a service.
type storedHistory struct {
	History
	// goneSince is since when the row names a version as gone.
	goneSince map[string]time.Duration
}

// ApplyHistory applies the stored history of a service. Versions that the row did not have before count as present
// until now, as it does not say when their last upstream was removed.
func (c *Census) ApplyHistory(h History, now time.Duration) {
	before := c.stored[h.Service]
	goneSince := map[string]time.Duration{}
	for _, version := range h.Gone {
		goneSince[version] = now
		if since, ok := before.goneSince[version]; ok {
			goneSince[version] = since
		}
	}
	c.stored[h.Service] = storedHistory{h, goneSince}
	c.complete[h.Service] = c.complete[h.Service] || !h.Restored
	for _, version := range h.Versions {
		if p := c.presence(h.Service, version); p.upstreams == 0 && !slices.Contains(before.Versions, version) {
			p.goneAt = now
		}
	}
	maps.DeleteFunc(c.services[h.Service], func(version string, p *presence) bool {
		return !p.seen && !slices.Contains(h.Versions, version)
	})
}

// RemoveHistory records that a service has no stored history any more.
func (c *Census) RemoveHistory(service string) { delete(c.stored, service) }

// Complete reports whether Versions lacks no version that served within MaxLifetime, including the time before this
// instance started. Without a row, none has served before.
func (c *Census) Complete(service string, table Table, now time.Duration) bool {
	return c.knowsAll(service, now) || table.Loaded && !table.Restored && c.stored[service].Revision == 0
}

// knowsAll reports whether this instance has followed the upstreams, or read a history that lacked no version.
func (c *Census) knowsAll(service string, now time.Duration) bool {
	return c.complete[service] || c.KnownFor(service, now) > MaxLifetime
}

// isStored reports whether the stored history of a service names a version as present.
func (c *Census) isStored(service, version string) bool {
	h := c.stored[service]
	return slices.Contains(h.Versions, version) && !slices.Contains(h.Gone, version)
}

// Present returns the versions of present upstreams of a service: those that its stored history names as present, and
// the others.
func (c *Census) Present(service string) (stored, unstored []string) {
	for version, p := range c.services[service] {
		switch {
		case p.upstreams == 0:
		case c.isStored(service, version):
			stored = append(stored, version)
		default:
			unstored = append(unstored, version)
		}
	}
	return stored, unstored
}

// UnstoredFor returns for how long the newest of a service's present versions that are not stored has been present.
func (c *Census) UnstoredFor(service string, now time.Duration) time.Duration {
	newest := time.Duration(0)
	_, unstored := c.Present(service)
	for _, version := range unstored {
		newest = max(newest, c.services[service][version].since)
	}
	return now - newest
}

// DueHistories returns the histories to write: those that lack a version that was seen here and, with tidy, those that
// do not say which versions are gone, or name one whose streams are over. Revision is that of the row to replace.
func (c *Census) DueHistories(tidy bool, now time.Duration) []History {
	var due []History
	for service := range c.services {
		stored, next := c.stored[service], c.nextHistory(service, now)
		differs := stored.Restored || !slices.Equal(next.Versions, stored.Versions) || !slices.Equal(next.Gone, stored.Gone)
		if c.lacksSeen(service) || tidy && c.knowsAll(service, now) && len(next.Versions) > 0 && differs {
			due = append(due, next)
		}
	}
	return due
}

// lacksSeen reports whether the stored history of a service lacks a version that was seen here, or names one as gone
// that is present. Versions must have been called, which forgets old ones.
func (c *Census) lacksSeen(service string) bool {
	for version, p := range c.services[service] {
		if p.seen && !slices.Contains(c.stored[service].Versions, version) || p.upstreams > 0 && !c.isStored(service, version) {
			return true
		}
	}
	return false
}

// nextHistory returns the history of a service as it should be stored.
func (c *Census) nextHistory(service string, now time.Duration) History {
	stored := c.stored[service]
	next := History{Service: service, Versions: c.Versions(service, now), Revision: stored.Revision}
	next.Restored = !c.knowsAll(service, now) && (stored.Restored || stored.Revision == 0)
	for _, version := range stored.Versions {
		since, gone := stored.goneSince[version]
		if over := gone && now-since > MaxLifetime+removalMargin; !over && !slices.Contains(next.Versions, version) {
			next.Versions = append(next.Versions, version)
		}
	}
	slices.Sort(next.Versions)
	for _, version := range next.Versions {
		if p := c.services[service][version]; p == nil || p.upstreams == 0 {
			next.Gone = append(next.Gone, version)
		}
	}
	return next
}
