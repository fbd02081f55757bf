package control

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"sassafrasfield/internal/bootclock"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/platform"
)

// forgetAfter is how long an instance that is in no list stays known after it
// was last heard of.
const unlistedTTL = time.Minute

// heardInstance is an instance that asked this one something.
type seenInstance struct {
	instance platform.Instance
	at       time.Duration
}

// members keeps the newest instance list, and the instances that were heard of
// but are not listed. While the platform does not answer, the last list
// stands; without one, that of a peer.
type members struct {
	list platform.InstanceList
	log  *slog.Logger
	// changed is called after each new list, with when it was asked for.
	onList func(asked time.Duration)

	mu           sync.Mutex // protects all below
	instances    []platform.Instance
	unlistedSeen map[string]seenInstance
}

func newMembers(list platform.InstanceList, log *slog.Logger) *members {
	return &members{list: list, log: log, unlistedSeen: map[string]seenInstance{}}
}

func (m *members) refresh(ctx context.Context) {
	asked := bootclock.Now()
	instances, err := m.list.Instances(ctx)
	if err != nil {
		m.log.Debug("members: the instance list did not answer", "error", err)
		return
	}
	m.mu.Lock()
	m.instances = sortByID(instances)
	m.mu.Unlock()
	m.onList(asked)
}

// adopt takes a peer's list, unless there is one already, and tells whether it
// did.
func (m *members) adopt(instances []platform.Instance) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.instances) > 0 || len(instances) == 0 {
		return false
	}
	m.instances = sortByID(instances)
	m.log.Info("members: list taken from a peer", "instances", len(instances))
	return true
}

// hear takes that an instance asked something, and tells whether it was not
// known.
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

// all returns the list. Treat it as read-only.
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

// unlisted returns the instances that were heard of and are not listed. It
// forgets those that are listed now or were not heard of for long.
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

// known returns the instances that run this system, listed or heard of, by id.
func (m *members) withUnlisted() []platform.Instance {
	return sortByID(append(m.own(), m.unlisted()...))
}

// idAt returns the id of the listed instance with a control address, or "".
func (m *members) idAt(control string) string {
	for _, instance := range m.listed() {
		if instance.Control == control {
			return instance.ID
		}
	}
	return ""
}

// leavingUpstreams returns the ids of upstreams that the list calls leaving.
func (m *members) drainingUpstreams() []string {
	var ids []string
	for _, instance := range m.listed() {
		if instance.Kind == platform.KindUpstream && instance.State == platform.InstanceLeaving {
			ids = append(ids, instance.ID)
		}
	}
	return ids
}

func (d *Daemon) memberLoop(ctx context.Context) {
	for ctx.Err() == nil {
		d.members.refresh(ctx)
		wait(ctx, d.listReadPeriod(), nil)
	}
}

// listPeriod is the time between this daemon's reads of the list. The list is
// long where there are many instances, and peers tell of what leaves, so that
// each reads it less often then.
func (d *Daemon) listReadPeriod() time.Duration {
	share := time.Duration(len(d.members.own())) * time.Second / time.Duration(d.settings.Spread.ListReads)
	return max(d.settings.Spread.ListEvery, share)
}

// listRead takes a list that the platform answered with.
func (d *Daemon) onInstanceList(asked time.Duration) {
	d.spread.onInstanceList(asked, d.members.drainingUpstreams())
	d.updatePeers()
}

// adoptList takes a peer's list of own instances when there is none here.
func (d *Daemon) adoptList(messages []*sfv1.OwnInstance) {
	var instances []platform.Instance
	for _, msg := range messages {
		instances = append(instances, platform.Instance{
			ID: msg.Id, Kind: platform.KindOwn, Zone: msg.Zone, State: platform.InstanceState(msg.State),
			Control: msg.Control, Entry: msg.Entry,
		})
	}
	if d.members.adopt(instances) {
		d.updatePeers()
	}
}

// heardOf takes that a peer asked something.
func (d *Daemon) notePeer(msg *sfv1.ExchangeRequest) {
	instance := platform.Instance{ID: msg.From, Kind: platform.KindOwn, Zone: msg.Zone, Control: msg.Control}
	if instance.ID == d.settings.Instance || instance.Control == "" {
		return
	}
	if d.members.noteCaller(instance) {
		d.updatePeers()
	}
}

// membersChanged tells the decisions whom there is to ask.
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

// listRead takes which upstreams a list called leaving.
func (s *spreader) onInstanceList(asked time.Duration, leaving []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.MergeList(asked, leaving)
}
