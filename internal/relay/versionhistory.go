package relay

import (
	"context"
	"time"

	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/streamversions"
)

// notifyDue requests a write if the stored history of a service lacks a version. The lock is held.
func (v *versionRecords) notifyDue(now time.Duration) {
	if len(v.census.DueHistories(false, now)) == 0 {
		return
	}
	select {
	case v.storeNeeded <- struct{}{}:
	default: // a request is already pending
	}
}

// VersionHistoriesNeeded returns a channel that receives a value when DueVersionHistories has entries.
func (r *Relay) VersionHistoriesNeeded() <-chan struct{} { return r.versions.storeNeeded }

// SetVersionTable sets the function that returns what is known of the table of the stored histories. It is called before
// the relay serves.
func (r *Relay) SetVersionTable(table func() streamversions.Table) { r.versions.table = table }

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
	v.notifyDue(now)
	v.mu.Unlock()
	r.replicateRecords(records)
}

// RemoveVersionHistory records that the stored history of a service was removed or lost.
func (r *Relay) RemoveVersionHistory(service string) {
	r.versions.mu.Lock()
	defer r.versions.mu.Unlock()
	r.versions.census.RemoveHistory(service)
	r.versions.notifyDue(r.now())
}

// beginsResumable reports whether the request's stream has not begun, and may be taken up once it has.
func beginsResumable(x *exchange) bool {
	return x.route.Kind == routes.Generation && x.route.Resumable && x.requires.version == ""
}

// awaitStoredVersion waits until an engine of a stored version may take the request, if others appeared a moment ago.
// Without the store, streams begin all the same. It returns the versions to avoid.
func (r *Relay) awaitStoredVersion(ctx context.Context, x *exchange) []string {
	v := r.versions
	for {
		v.mu.Lock()
		applied := v.historyApplied
		v.mu.Unlock()
		avoided, unstoredFor, alone := r.unstoredVersions(x)
		if !alone {
			return avoided
		}
		if unstoredFor >= r.settings.VersionStoreWait {
			r.meters.continuations.begunUnstored.Inc(1)
			return nil
		}
		timer := time.NewTimer(r.settings.VersionStoreWait - unstoredFor)
		select {
		case <-ctx.Done():
		case <-applied:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil
		}
	}
}

// unstoredVersions returns the software versions at which the request's stream must not begin, because no stored history
// names them: after a restart of all instances, nothing would say that the stream may be of them. There are none if no
// engine of a stored version may take the request; alone reports that, and unstoredFor for how long it has been so.
func (r *Relay) unstoredVersions(x *exchange) (avoided []string, unstoredFor time.Duration, alone bool) {
	if !beginsResumable(x) {
		return nil, 0, false
	}
	now := r.now()
	r.versions.mu.Lock()
	stored, unstored := r.versions.census.Present(x.service)
	unstoredFor = r.versions.census.UnstoredFor(x.service, now)
	r.versions.mu.Unlock()
	if len(unstored) == 0 {
		return nil, 0, false
	}
	for _, version := range stored {
		request := x.placementRequest(now)
		request.Version = version
		if r.upstreams.CanGenerate(request, now) {
			return unstored, 0, false
		}
	}
	return nil, unstoredFor, true
}
