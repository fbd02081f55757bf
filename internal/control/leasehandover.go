package control

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"sassafrasfield/internal/bootclock"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/platform"
)

// hintTimeout bounds a call to another instance about a lease.
const hintTimeout = 500 * time.Millisecond

// hintFanout is the number of instances that are notified when a lease is
// released.
const hintFanout = 3

// continueClosing continues the release of a lease that is being given up. The
// mutex must be held.
func (l *leases) continueClosing(p *poolLease) {
	if p.closing == closingNone {
		return
	}
	if p.ordersInFlight == 0 {
		p.machine.Release()
	}
	if p.closing == closingHandBack && p.ordersInFlight == 0 && p.machine.Released() {
		p.closing = closingNone
		p.machine.ResumeWatching()
	}
}

// handOver releases all leases, so that other instances need not wait for the
// term. It returns when the table has all releases, or after a term, when the
// leases have expired anyway.
func (l *leases) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.daemon.settings.Lease.Term)
	defer cancel()
	l.mu.Lock()
	for _, p := range l.machines {
		p.closing = closingPermanent
	}
	l.mu.Unlock()
	for ctx.Err() == nil && !l.allReleased() {
		l.tickAll(ctx)
		wait(ctx, leaseTick/5, nil)
	}
	l.calls.Wait()
}

func (l *leases) allReleased() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.machines {
		if !p.machine.Released() {
			return false
		}
	}
	return true
}

// liveIDs returns the sorted IDs of the instances that may hold leases.
func (l *leases) liveIDs() []string {
	var ids []string
	for _, i := range l.daemon.members.own() {
		if i.State == platform.InstanceLive {
			ids = append(ids, i.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// updateRanks sets the watch policy of each machine if the list of live
// instances has changed. No lease is watched until the list is known.
func (l *leases) updateRanks() {
	live := l.liveIDs()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(live) == 0 || slices.Equal(live, l.rankedIDs) {
		return
	}
	l.rankedIDs = live
	now := bootclock.Now()
	for _, p := range l.machines {
		rank := l.ownRank(p.pool, live)
		p.machine.SetWatchPolicy(l.daemon.settings.Lease.rankSettings().WatchPolicy(rank))
		if rank == 0 && !p.firstChoice {
			p.firstChoiceSince = now
		}
		p.firstChoice = rank == 0
	}
}

// ownRank returns this instance's rank for a pool. An instance that the
// platform is shutting down ranks after all others.
func (l *leases) ownRank(pool string, live []string) int {
	self := l.daemon.settings.Instance
	if l.isShuttingDown(self) {
		return len(live)
	}
	return lease.Rank(pool, self, live)
}

// isShuttingDown reports whether the platform is about to remove an instance.
func (l *leases) isShuttingDown(id string) bool {
	return slices.ContainsFunc(l.daemon.members.own(), func(i platform.Instance) bool {
		return i.ID == id && i.State == platform.InstanceShuttingDown
	})
}

// noteHolder records when the current holder was first seen in the row. The
// mutex must be held.
func (l *leases) noteHolder(p *poolLease) {
	row, _ := p.machine.Row()
	if row.Holder != p.holder {
		p.holder, p.holderSince = row.Holder, bootclock.Now()
	}
}

// requestHandBacks requests the leases for which this instance is the first
// choice from their holders. A request is sent only if this instance has been
// the first choice, and the holder has held the lease, for hand_back_after. It
// is repeated at that interval.
func (l *leases) requestHandBacks(ctx context.Context) {
	now := bootclock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.machines {
		if !l.shouldRequestHandBack(p, now) {
			continue
		}
		p.lastHandBackRequest = now
		pool, holder := p.pool, instanceOfRun(p.holder)
		l.calls.Go(func() { l.requestHandBack(ctx, pool, holder) })
	}
}

// shouldRequestHandBack reports whether to request a lease from its holder now.
// The mutex must be held.
func (l *leases) shouldRequestHandBack(p *poolLease, now time.Duration) bool {
	after := l.daemon.settings.Lease.HandBackAfter
	heldElsewhere := p.holder != "" && instanceOfRun(p.holder) != l.daemon.settings.Instance
	return p.firstChoice && heldElsewhere && p.closing == closingNone &&
		now-p.firstChoiceSince >= after && now-p.holderSince >= after && now-p.lastHandBackRequest >= after
}

// instanceOfRun returns the instance ID in a run ID.
func instanceOfRun(run string) string {
	id, _, _ := strings.Cut(run, "/")
	return id
}

// requestHandBack requests a lease from its holder.
func (l *leases) requestHandBack(ctx context.Context, pool, holder string) {
	address, ok := l.controlAddress(holder)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	request := &sfv1.HandBackRequest{Pool: pool, From: l.daemon.settings.Instance}
	response, err := l.leaseClient(address).HandBack(ctx, connect.NewRequest(request))
	if err != nil {
		l.log.Debug("lease: the holder did not answer", "pool", pool, "holder", holder, "error", err)
		return
	}
	l.log.Info("lease: hand-back requested", "pool", pool, "holder", holder, "agreed", response.Msg.Agreed)
}

// controlAddress returns the address of an instance's sf-control.
func (l *leases) controlAddress(id string) (string, bool) {
	for _, i := range l.daemon.members.own() {
		if i.ID == id {
			return i.Control, true
		}
	}
	return "", false
}

func (l *leases) leaseClient(address string) sfv1connect.LeaseServiceClient {
	return sfv1connect.NewLeaseServiceClient(l.daemon.http, "http://"+address, l.daemon.options...)
}

// notifyReleased notifies the instances that rank highest for a pool that its
// lease was released, so that they read the row immediately.
func (l *leases) notifyReleased(pool string) {
	ctx, cancel := context.WithTimeout(context.Background(), hintTimeout)
	defer cancel()
	var work sync.WaitGroup
	for _, id := range l.nextInstances(pool) {
		work.Go(func() { l.sendReleasedHint(ctx, pool, id) })
	}
	work.Wait()
}

func (l *leases) sendReleasedHint(ctx context.Context, pool, id string) {
	address, ok := l.controlAddress(id)
	if !ok {
		return
	}
	request := connect.NewRequest(&sfv1.FreedRequest{Pool: pool})
	if _, err := l.leaseClient(address).Freed(ctx, request); err != nil {
		l.log.Debug("lease: notifying an instance of a release failed", "pool", pool, "instance", id, "error", err)
	}
}

// nextInstances returns up to hintFanout other instances that rank highest for
// a pool.
func (l *leases) nextInstances(pool string) []string {
	others := slices.DeleteFunc(l.liveIDs(), func(id string) bool { return id == l.daemon.settings.Instance })
	slices.SortFunc(others, func(a, b string) int {
		return lease.Rank(pool, a, others) - lease.Rank(pool, b, others)
	})
	return others[:min(hintFanout, len(others))]
}

// leaseService serves other sf-control processes.
type leaseService struct {
	leases *leases
}

// Freed implements the LeaseService.
func (s *leaseService) Freed(_ context.Context, req *connect.Request[sfv1.FreedRequest]) (*connect.Response[sfv1.FreedResponse], error) {
	l := s.leases
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.machines[req.Msg.Pool]; ok {
		p.machine.RequestRead()
	}
	return connect.NewResponse(&sfv1.FreedResponse{}), nil
}

// HandBack implements the LeaseService. See mayHandBack for the conditions.
func (s *leaseService) HandBack(_ context.Context, req *connect.Request[sfv1.HandBackRequest]) (*connect.Response[sfv1.HandBackResponse], error) {
	l := s.leases
	live := l.liveIDs()
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.machines[req.Msg.Pool]
	agreed := ok && l.mayHandBack(p, req.Msg.From, live)
	if agreed {
		p.closing = closingHandBack
		l.log.Info("lease: handed back", "pool", p.pool, "to", req.Msg.From)
	}
	return connect.NewResponse(&sfv1.HandBackResponse{Agreed: agreed}), nil
}

// mayHandBack reports whether to hand a lease back to another instance: only to
// one that ranks higher, and only after hand_back_after here. The mutex must be
// held.
func (l *leases) mayHandBack(p *poolLease, to string, live []string) bool {
	now := bootclock.Now()
	_, held := p.machine.Held(now)
	heldLongEnough := now-p.holderSince >= l.daemon.settings.Lease.HandBackAfter
	ranksHigher := slices.Contains(live, to) && lease.Rank(p.pool, to, live) < l.ownRank(p.pool, live)
	return held && p.closing == closingNone && heldLongEnough && ranksHigher
}
