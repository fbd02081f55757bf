package instance

import (
	"context"
	"encoding/json"
	"time"

	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/peers"
	"sassafrasfield/internal/platform"
)

// memberPrefix begins the keys of the instances' own rows in the store.
const memberPrefix = "member/"

// Timings of registration.
const (
	// registerRetry is the pause after a failed registration.
	registerRetry = time.Second
	// registerAfter is how long an instance has passed reports on when it registers:
	// one that has just started does so until it hears of others.
	registerAfter = 1500 * time.Millisecond
	// lookEvery is the time between looks at whether that is so.
	lookEvery = 500 * time.Millisecond
	// listEvery is the time between reads of the registered instances' rows. Peers
	// tell of one another; the store is for those whom no seed led to them.
	listEvery = 20 * time.Second
)

// register writes this instance's row once it passes reports on, and meets the others
// that do by theirs. An instance that no seed leads to others believes that it is
// alone, and finds them so.
func (in *Instance) register(ctx context.Context) {
	value, err := json.Marshal(in.settings.Self)
	if err != nil {
		in.log.Error("instance: own row", "error", err)
		return
	}
	registered := false
	for pause.For(ctx, lookEvery) {
		if in.peers.HubDuration() < registerAfter {
			continue
		}
		if !registered {
			registered = in.writeMember(ctx, value)
		}
		in.listMembers(ctx)
		if !pause.For(ctx, listEvery) {
			return
		}
	}
}

// writeMember writes this instance's row, and tells whether it is there.
func (in *Instance) writeMember(ctx context.Context, value []byte) bool {
	write := platform.Txn{Writes: []platform.Write{{Key: memberPrefix + in.settings.Self.Name, Value: value}}}
	for {
		_, err := in.adapter.Table.Commit(ctx, write)
		if err == nil {
			return true
		}
		in.log.Info("instance: not registered yet", "error", err)
		if !pause.For(ctx, registerRetry) {
			return false
		}
	}
}

func (in *Instance) listMembers(ctx context.Context) {
	rows, err := in.adapter.Table.List(ctx, memberPrefix)
	if err != nil {
		in.log.Info("instance: members not listed", "error", err)
		return
	}
	var list []peers.Peer
	for _, row := range rows {
		var p peers.Peer
		if err := json.Unmarshal(row.Value, &p); err != nil {
			in.log.Error("instance: a member's row cannot be read", "key", row.Key, "error", err)
			continue
		}
		list = append(list, p)
	}
	in.peers.AddPeers(list)
}
