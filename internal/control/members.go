package control

import (
	"context"
	"log/slog"
	"sync"

	"sassafrasfield/internal/platform"
)

// members keeps the newest instance list. While the platform does not answer,
// the last list stands.
type members struct {
	list platform.InstanceList
	log  *slog.Logger

	mu        sync.Mutex // protects instances
	instances []platform.Instance
}

func newMembers(list platform.InstanceList, log *slog.Logger) *members {
	return &members{list: list, log: log}
}

func (m *members) refresh(ctx context.Context) {
	instances, err := m.list.Instances(ctx)
	if err != nil {
		m.log.Debug("members: the instance list did not answer", "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances = instances
}

// all returns the list. Treat it as read-only.
func (m *members) all() []platform.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.instances
}

// own returns the instances that run this system.
func (m *members) own() []platform.Instance {
	var own []platform.Instance
	for _, instance := range m.all() {
		if instance.Kind == platform.KindOwn {
			own = append(own, instance)
		}
	}
	return own
}

// leavingUpstreams returns the ids of upstreams that are leaving by the
// platform's word.
func (m *members) leavingUpstreams() []string {
	var ids []string
	for _, instance := range m.all() {
		if instance.Kind == platform.KindUpstream && instance.State == platform.InstanceLeaving {
			ids = append(ids, instance.ID)
		}
	}
	return ids
}

func (d *Daemon) memberLoop(ctx context.Context) {
	every(ctx, d.settings.Spread.ListEvery, d.members.refresh)
}
