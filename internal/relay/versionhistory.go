package relay

import (
	"context"
	"time"

	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/streamversions"
)

// notifyUnstored requests a write if the stored history of a service lacks the version of a present upstream. The lock
// is held.
func (v *versionRecords) notifyUnstored(service string) {
	if len(v.census.Unstored(service)) == 0 {
		return
	}
	select {
	case v.storeNeeded <- struct{}{}:
	default: // a request is already pending
	}
}

// VersionHistoriesNeeded returns a channel that receives a value when DueVersionHistories has entries.
func (r *Relay) VersionHistoriesNeeded() <-chan struct{} { return r.versions.storeNeeded }

// SetVersionHistoriesLoaded sets the function that reports whether all stored histories were applied. It is called
// before the relay serves.
func (r *Relay) SetVersionHistoriesLoaded(loaded func() bool) { r.versions.historiesLoaded = loaded }

// DueVersionHistories returns the histories of software versions to write for all instances. With tidy it also returns
// those that name a version that is no longer needed.
func (r *Relay) DueVersionHistories(tidy bool) []streamversions.History {
	r.versions.mu.Lock()
	defer r.versions.mu.Unlock()
	return r.versions.census.DueHistories(tidy, r.now())
}

// ApplyVersionHistory applies the stored history of a service's software versions.
func (r *Relay) ApplyVersionHistory(h streamversions.History) {
	v, now := r.versions, r.now()
	v.mu.Lock()
	v.census.ApplyHistory(h, now)
	close(v.historyApplied)
	v.historyApplied = make(chan struct{})
	records := r.updateMixed(h.Service, now)
	v.notifyUnstored(h.Service)
	v.mu.Unlock()
	r.replicateRecords(records)
}

// RemoveVersionHistory records that the stored history of a service was removed or lost.
func (r *Relay) RemoveVersionHistory(service string) {
	r.versions.mu.Lock()
	defer r.versions.mu.Unlock()
	r.versions.census.RemoveHistory(service)
	r.versions.notifyUnstored(service)
}

// beginsResumable reports whether the request's stream has not begun, and may be taken up once it has.
func beginsResumable(x *exchange) bool {
	return x.route.Kind == routes.Generation && x.route.Resumable && x.requires.version == ""
}

// awaitStoredVersion waits until a version of the request's service is stored, if its engines appeared a moment ago.
// Without the store, streams begin all the same.
func (r *Relay) awaitStoredVersion(ctx context.Context, x *exchange) {
	if !beginsResumable(x) {
		return
	}
	v := r.versions
	for {
		v.mu.Lock()
		unstoredFor, unstored := v.census.UnstoredFor(x.service, r.now())
		applied := v.historyApplied
		v.mu.Unlock()
		if !unstored {
			return
		}
		if unstoredFor >= r.settings.VersionStoreWait {
			r.meters.continuations.begunUnstored.Inc(1)
			return
		}
		timer := time.NewTimer(r.settings.VersionStoreWait - unstoredFor)
		select {
		case <-ctx.Done():
		case <-applied:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// unstoredVersions returns the software versions at which the request's stream should not begin while there are others:
// after a restart of all instances, nothing would say that the stream may be of them.
func (r *Relay) unstoredVersions(x *exchange) []string {
	if !beginsResumable(x) {
		return nil
	}
	r.versions.mu.Lock()
	defer r.versions.mu.Unlock()
	return r.versions.census.Unstored(x.service)
}
