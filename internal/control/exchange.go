package control

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"sassafrasfield/internal/bootclock"
	"sassafrasfield/internal/freshness"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/platform"
)

// A contact is one byte in ExchangeResponse.contacts: its age in units of
// contactAgeStep, or contactUnknown, plus contactVoterBit if it is a voter.
const (
	contactAgeStep  = 100 * time.Millisecond
	contactUnknown  = 127
	contactVoterBit = 128
)

// exchange sends this instance's state to a peer and merges the peer's answer.
func (s *spreader) exchange(ctx context.Context, peer string) {
	ctx, cancel := s.peerContext(ctx)
	defer cancel()
	s.metrics.exchanges.Inc(1)
	request := s.newExchangeRequest()
	sent := bootclock.Now()
	response, err := s.daemon.peer(peer).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		s.peerFailed(peer, err)
		return
	}
	adopted := s.daemon.adoptList(response.Msg.Instances)
	s.onExchangeResponse(sent, peer, response.Msg, adopted)
}

// newExchangeRequest returns a request with the current state.
func (s *spreader) newExchangeRequest() *sfv1.ExchangeRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootclock.Now()
	return &sfv1.ExchangeRequest{
		From: s.daemon.settings.Instance, Zone: s.daemon.settings.Zone, Control: s.daemon.settings.Listen,
		Version: s.machine.Version(), ListHash: listHash(s.fresh.Members()),
		WantContacts: s.needsContacts(now), Leaving: drainingMessages(s.draining.Ages(now)),
	}
}

// exchangeResponse merges a peer's request and returns the answer.
func (s *spreader) exchangeResponse(request *sfv1.ExchangeRequest) *sfv1.ExchangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootclock.Now()
	s.fresh.NoteVersion(request.Version)
	s.mergeDraining(now, request.Leaving)
	digest := s.fresh.Digest(now, request.WantContacts)
	response := &sfv1.ExchangeResponse{
		Version: digest.Version, Voter: digest.Voter,
		TableSeen: digest.HeadSeen, TableAgeMs: ceilMs(digest.HeadAge),
		Promised: digest.Promised, PromisedAgeMs: digest.PromisedAge.Milliseconds(),
		Leaving: drainingMessages(s.draining.Ages(now)),
	}
	members := s.fresh.Members()
	if request.ListHash == 0 {
		response.Instances = instanceMessages(s.daemon.members.own())
	}
	if digest.Contacts == nil {
		return response
	}
	if request.ListHash != listHash(members) {
		response.Members = members
	}
	response.Contacts = encodeContacts(members, digest.Contacts)
	return response
}

// onExchangeResponse merges a peer's answer to a request that was sent at the
// given time. listAdopted is set if the answer's instance list was adopted.
func (s *spreader) onExchangeResponse(sent time.Duration, peer string, msg *sfv1.ExchangeResponse, listAdopted bool) {
	id := s.daemon.members.idAt(peer)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootclock.Now()
	s.failedCalls = 0
	s.mergeDraining(now, msg.Leaving)
	s.drainingKnown = s.drainingKnown || listAdopted
	members := msg.Members
	if len(members) == 0 {
		members = s.fresh.Members()
	}
	s.fresh.MergeAnswer(sent, now, id, freshness.Digest{
		Version: msg.Version, HeadSeen: msg.TableSeen, HeadAge: millis(msg.TableAgeMs),
		Promised: msg.Promised, PromisedAge: millis(msg.PromisedAgeMs), Voter: msg.Voter,
		Contacts: decodeContacts(members, msg.Contacts),
	})
	s.enqueue(s.machine.OnPeerAnswer(now, peer, msg.Version))
}

// mergeDraining merges the draining upstreams that a peer knows. The mutex must
// be held.
func (s *spreader) mergeDraining(now time.Duration, upstreams []*sfv1.LeavingUpstream) {
	for _, upstream := range upstreams {
		s.draining.Merge(upstream.Id, now-millis(upstream.AgeMs))
	}
}

// prepare records that a version is about to be accepted.
func (s *spreader) prepare(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fresh.Prepare(bootclock.Now(), version)
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// ceilMs rounds up, so that no evidence looks newer than it is.
func ceilMs(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func drainingMessages(ages map[string]time.Duration) []*sfv1.LeavingUpstream {
	var out []*sfv1.LeavingUpstream
	for id, age := range ages {
		out = append(out, &sfv1.LeavingUpstream{Id: id, AgeMs: ceilMs(age)})
	}
	return out
}

// listHash returns a hash of a list of members, and 0 for an empty list.
func listHash(members []string) uint64 {
	if len(members) == 0 {
		return 0
	}
	hash := xxhash.New()
	for _, id := range members {
		_, _ = hash.WriteString(id + "\n") // never fails
	}
	return max(1, hash.Sum64())
}

func instanceMessages(instances []platform.Instance) []*sfv1.OwnInstance {
	var out []*sfv1.OwnInstance
	for _, i := range instances {
		out = append(out, &sfv1.OwnInstance{Id: i.ID, Zone: i.Zone, State: string(i.State), Control: i.Control, Entry: i.Entry})
	}
	return out
}

// encodeContacts returns one byte per member; ages are rounded up.
func encodeContacts(members []string, contacts map[string]freshness.Contact) []byte {
	out := make([]byte, len(members))
	for i, id := range members {
		out[i] = contactUnknown
		c, ok := contacts[id]
		steps := (c.Age + contactAgeStep - 1) / contactAgeStep
		if !ok || steps >= contactUnknown {
			continue
		}
		out[i] = byte(steps)
		if c.Voter {
			out[i] += contactVoterBit
		}
	}
	return out
}

func decodeContacts(members []string, codes []byte) map[string]freshness.Contact {
	contacts := map[string]freshness.Contact{}
	for i := range min(len(members), len(codes)) {
		voter := codes[i] >= contactVoterBit
		steps := codes[i] &^ contactVoterBit
		if steps == contactUnknown {
			continue
		}
		contacts[members[i]] = freshness.Contact{Age: time.Duration(steps) * contactAgeStep, Voter: voter}
	}
	return contacts
}

// sortByID returns the instances sorted by ID, which is the order of members in
// package freshness.
func sortByID(instances []platform.Instance) []platform.Instance {
	sorted := slices.Clone(instances)
	slices.SortFunc(sorted, func(a, b platform.Instance) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
	return sorted
}
