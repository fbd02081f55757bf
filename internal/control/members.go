package control

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"sassafrasfield/internal/bootclock"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/platform"
)

// unlistedTTL is how long an instance that is not listed stays known after its
// last request.
const unlistedTTL = time.Minute

// seenInstance is an instance that sent a request to this one, and when.
type seenInstance struct {
	instance platform.Instance
	at       time.Duration
}

// members holds the newest instance list, and the instances that sent requests
// but are not listed. While the platform does not answer, the last list stays
// valid; if there is none, the list of a peer is used.
type members struct {
	list platform.InstanceList
	log  *slog.Logger
	// onList is called after each new list, with the time when the list was
	// requested.
	onList func(requestedAt time.Duration)

	mu           sync.Mutex // protects the fields below
	instances    []platform.Instance
	unlistedSeen map[string]seenInstance
}

func newMembers(list platform.InstanceList, log *slog.Logger) *members {
	return &members{list: list, log: log, unlistedSeen: map[string]seenInstance{}}
}

func (m *members) refresh(ctx context.Context) {
	requestedAt := bootclock.Now()
	instances, err := m.list.Instances(ctx)
	if err != nil {
		m.log.Debug("members: the instance list did not answer", "error", err)
		return
	}
	m.mu.Lock()
	m.instances = sortByID(instances)
	m.mu.Unlock()
	m.onList(requestedAt)
}

// adopt sets the list to a peer's if there is none yet, and reports whether it
// did.
func (m *members) adopt(instances []platform.Instance) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.instances) > 0 || len(instances) == 0 {
		return false
	}
	m.instances = sortByID(instances)
	m.log.Info("members: instance list received from a peer", "instances", len(instances))
	return true
}

// noteCaller records that an instance sent a request, and reports whether the
// instance was unknown before.
func (m *members) noteCaller(instance platform.Instance) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, listed := range m.instances {
		if listed.ID == instance.ID {
			return false
		}
	}
	_, known := m.unlistedSeen[instance.ID]
	m.unlistedSeen[instance.ID] = seenInstance{instance: instance, at: bootclock.Now()}
	return !known
}

// listed returns all listed instances. Treat the result as read-only.
func (m *members) listed() []platform.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.instances
}

// own returns the listed instances that run this system.
func (m *members) own() []platform.Instance {
	var own []platform.Instance
	for _, instance := range m.listed() {
		if instance.Kind == platform.KindOwn && instance.Control != "" {
			own = append(own, instance)
		}
	}
	return own
}

// liveOwn returns the listed instances that run this system and are live.
func (m *members) liveOwn() []platform.Instance {
	return slices.DeleteFunc(m.own(), func(i platform.Instance) bool { return i.State != platform.InstanceLive })
}

// unlisted returns the instances that sent requests and are not listed. It
// removes the instances that are listed now, and those whose last request is
// older than unlistedTTL.
func (m *members) unlisted() []platform.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, listed := range m.instances {
		delete(m.unlistedSeen, listed.ID)
	}
	var out []platform.Instance
	for id, h := range m.unlistedSeen {
		if bootclock.Now()-h.at > unlistedTTL {
			delete(m.unlistedSeen, id)
			continue
		}
		out = append(out, h.instance)
	}
	return out
}

// withUnlisted returns the instances that run this system, listed or not,
// sorted by ID.
func (m *members) withUnlisted() []platform.Instance {
	return sortByID(append(m.own(), m.unlisted()...))
}

// idAt returns the ID of the listed instance with a control address, or "".
func (m *members) idAt(control string) string {
	for _, instance := range m.listed() {
		if instance.Control == control {
			return instance.ID
		}
	}
	return ""
}

// drainingUpstreams returns the IDs of the upstreams that are draining
// according to the list.
func (m *members) drainingUpstreams() []string {
	var ids []string
	for _, instance := range m.listed() {
		if instance.Kind == platform.KindUpstream && instance.State == platform.InstanceShuttingDown {
			ids = append(ids, instance.ID)
		}
	}
	return ids
}

// memberLoop periodically reads the instance list.
func (d *Daemon) memberLoop(ctx context.Context) {
	for ctx.Err() == nil {
		d.members.refresh(ctx)
		wait(ctx, d.listReadPeriod(), nil)
	}
}

// listReadPeriod returns the time between this daemon's reads of the list. With
// many instances the list is long, and peers report draining upstreams too, so
// each instance reads it less often.
func (d *Daemon) listReadPeriod() time.Duration {
	share := time.Duration(len(d.members.own())) * time.Second / time.Duration(d.settings.Spread.ListReads)
	return max(d.settings.Spread.ListEvery, share)
}

// onInstanceList applies a list that the platform returned.
func (d *Daemon) onInstanceList(requestedAt time.Duration) {
	d.spread.onInstanceList(requestedAt, d.members.drainingUpstreams())
	d.updatePeers()
}

// adoptList sets the list to a peer's list of own instances if there is none
// yet, and reports whether it did.
func (d *Daemon) adoptList(messages []*sfv1.OwnInstance) bool {
	var instances []platform.Instance
	for _, msg := range messages {
		instances = append(instances, platform.Instance{
			ID: msg.Id, Kind: platform.KindOwn, Zone: msg.Zone, State: platform.InstanceState(msg.State),
			Control: msg.Control, Entry: msg.Entry,
		})
	}
	adopted := d.members.adopt(instances)
	if adopted {
		d.updatePeers()
	}
	return adopted
}

// notePeer records that a peer sent an exchange request.
func (d *Daemon) notePeer(msg *sfv1.ExchangeRequest) {
	instance := platform.Instance{ID: msg.From, Kind: platform.KindOwn, Zone: msg.Zone, Control: msg.Control}
	if instance.ID == d.settings.Instance || instance.Control == "" {
		return
	}
	if d.members.noteCaller(instance) {
		d.updatePeers()
	}
}

// updatePeers passes the current members and the addresses of the peers to the
// spreader.
func (d *Daemon) updatePeers() {
	own := d.members.own()
	var peers []string
	for _, instance := range append(own, d.members.unlisted()...) {
		if instance.ID != d.settings.Instance {
			peers = append(peers, instance.Control)
		}
	}
	if len(peers) == 0 {
		peers = d.settings.Spread.Seeds
	}
	d.spread.setMembers(own, peers)
}

// onInstanceList merges the upstreams that are draining according to an instance
// list.
func (s *spreader) onInstanceList(requestedAt time.Duration, draining []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.MergeList(requestedAt, draining)
	s.drainingKnown = true
}
