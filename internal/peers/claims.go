package peers

import (
	"context"
	"math"
	"slices"
	"time"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/streamversions"
	"sassafrasfield/internal/takeover"
)

// A caller that takes a stream up may have begun it at any instance, so the claim goes to all instances: to those of this zone, and to
// one of each other zone, which passes it on within its zone.
const (
	// claimTries is the number of rounds in which an instance that does not answer is asked. It has ended then, most likely,
	// and its runs with it.
	claimTries = 3
	// relayedClaimTimeout bounds the questions that are asked for an instance of another zone, which waits for
	// grantRequestTimeout.
	relayedClaimTimeout = 60 * time.Millisecond
	// claimRetryInterval is the time between two rounds.
	claimRetryInterval = 10 * time.Millisecond
)

// claimTarget is where a claim goes: an instance of this zone, or another zone.
type claimTarget struct{ address, zone string }

// claimTargets returns the targets of a claim.
func (e *Exchange) claimTargets() []claimTarget {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []claimTarget
	for _, address := range e.aliveInZone(e.now()) {
		list = append(list, claimTarget{address: address})
	}
	for zone := range e.otherZones() {
		list = append(list, claimTarget{zone: zone})
	}
	return list
}

// aliveInZone returns the addresses of the live instances of this zone, other than this one. The lock is held.
func (e *Exchange) aliveInZone(now time.Duration) []string {
	var list []string
	for id, peer := range e.byID {
		if peer.Zone == e.self.Zone && e.roster.Alive(id, now) {
			list = append(list, peer.Address)
		}
	}
	return list
}

// addressesOf returns the addresses to which a claim for a target goes now.
func (e *Exchange) addressesOf(t claimTarget) []string {
	if t.zone == "" {
		return []string{t.address}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []string
	for _, peer := range e.contactsOf(t.zone, e.now()) {
		list = append(list, peer.Address)
	}
	return list
}

// ClaimStream has the runs of a stream ended at all other instances. It returns once none is left, the claim is contested, or the
// context ends.
func (r *Reporter) ClaimStream(ctx context.Context, c takeover.Claim) takeover.Result {
	return r.claim(ctx, c, r.exchange.claimTargets())
}

// claimedTarget is a target of a claim with its newest answer.
type claimedTarget struct {
	claimTarget
	result   takeover.Result
	silences int
}

// isDone reports whether a target need not be asked again.
func (t *claimedTarget) isDone() bool {
	return t.result.Running == 0 && t.result.Unanswered == 0 || t.result.Unanswered > 0 && t.silences >= claimTries
}

// claim asks the targets until all are done.
func (r *Reporter) claim(ctx context.Context, c takeover.Claim, targets []claimTarget) takeover.Result {
	var pending, all []*claimedTarget
	for _, t := range targets {
		all = append(all, &claimedTarget{claimTarget: t})
	}
	pending = slices.Clone(all)
	for {
		r.claimRound(ctx, c, pending)
		total := sumClaims(all)
		pending = slices.DeleteFunc(pending, (*claimedTarget).isDone)
		if len(pending) == 0 || total.IsContested() {
			return total
		}
		select {
		case <-ctx.Done():
			return total
		case <-time.After(claimRetryInterval):
		}
	}
}

func sumClaims(targets []*claimedTarget) (total takeover.Result) {
	for _, t := range targets {
		total = total.Merge(t.result)
	}
	return total
}

// claimRound asks each target once.
func (r *Reporter) claimRound(ctx context.Context, c takeover.Claim, targets []*claimedTarget) {
	done := make(chan struct{})
	for _, t := range targets {
		go func() {
			defer func() { done <- struct{}{} }()
			result, answered := ask(ctx, r.claimRequests, func(id uint64) {
				r.send(claimToMessage(r.newPlainDatagram(sfv1.Datagram_KIND_STREAM_CLAIM), id, c, t.zone != ""), r.exchange.addressesOf(t.claimTarget))
			})
			if !answered {
				result = takeover.Result{Unanswered: 1, Running: t.result.Running}
			}
			if result.Unanswered > 0 {
				t.silences++
			}
			result.Superseded = max(result.Superseded, t.result.Superseded)
			t.result = result
		}()
	}
	for range targets {
		<-done
	}
}

// handleStreamClaim ends the runs of a stream here and, for an instance of another zone, at the other instances of this zone, and
// answers.
func (r *Reporter) handleStreamClaim(ctx context.Context, m *sfv1.StreamClaim, peer *peerState) {
	c := claimFromMessage(m)
	result := r.loads.ClaimStream(ctx, c)
	if m.GetPassOn() && !result.IsContested() {
		relayed, cancel := context.WithTimeout(ctx, relayedClaimTimeout)
		defer cancel()
		result = result.Merge(r.claim(relayed, c, r.exchange.zoneClaimTargets()))
	}
	reply := r.newPlainDatagram(sfv1.Datagram_KIND_STREAM_CLAIM_RESULT)
	reply.StreamClaimResult = claimResultToMessage(m.GetId(), result)
	r.send(reply, []string{peer.Address})
}

// zoneClaimTargets returns the targets of a claim in this zone.
func (e *Exchange) zoneClaimTargets() []claimTarget {
	return slices.DeleteFunc(e.claimTargets(), func(t claimTarget) bool { return t.zone != "" })
}

func claimToMessage(message *sfv1.Datagram, id uint64, c takeover.Claim, passOn bool) *sfv1.Datagram {
	message.StreamClaim = &sfv1.StreamClaim{
		Id: id, Stream: uint64(c.Stream), Attempt: uint64(c.Attempt), Scope: uint64(c.Scope), Epoch: c.Epoch, LastEvent: uint64(max(0, c.LastEvent)), PassOn: passOn,
	}
	return message
}

func claimFromMessage(m *sfv1.StreamClaim) takeover.Claim {
	return takeover.Claim{
		Stream: streamversions.ID(m.GetStream()), Attempt: streamversions.ID(m.GetAttempt()), Scope: takeover.Scope(m.GetScope()),
		Epoch: m.GetEpoch(), LastEvent: int(min(m.GetLastEvent(), math.MaxInt)),
	}
}

func claimResultToMessage(id uint64, r takeover.Result) *sfv1.StreamClaimResult {
	return &sfv1.StreamClaimResult{
		Id: id, Outranked: r.Outranked, RunningEpoch: r.RunningEpoch,
		Superseded: uint32(r.Superseded), Running: uint32(r.Running), Unanswered: uint32(r.Unanswered),
	}
}

func claimResultFromMessage(m *sfv1.StreamClaimResult) takeover.Result {
	return takeover.Result{
		Outranked: m.GetOutranked(), RunningEpoch: m.GetRunningEpoch(), Superseded: int(m.GetSuperseded()), Running: int(m.GetRunning()), Unanswered: int(m.GetUnanswered()),
	}
}
