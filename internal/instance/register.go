package instance

import (
	"context"
	"encoding/json"
	"time"

	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/peers"
	"sassafrasfield/internal/platform"
)

// memberPrefix is the prefix of the keys of the instances' rows in the store.
const memberPrefix = "member/"

// Timings of registration.
const (
	// registerRetry is the pause after a failed registration.
	registerRetry = time.Second
	// minHubDuration is how long an instance must have been a hub before it registers. An instance that
	// has just started acts as a hub until it receives reports of others.
	minHubDuration = 1500 * time.Millisecond
	// hubCheckInterval is the time between two checks whether this instance is a hub.
	hubCheckInterval = 500 * time.Millisecond
	// memberListInterval is the time between two reads of the registered instances' rows. Peers learn of
	// one another from reports; the rows are for instances that reach no peer through their seeds.
	memberListInterval = 20 * time.Second
)

// register writes this instance's row once the instance is a hub, and adds the hubs that have registered as
// peers. An instance whose seeds lead to no other instance assumes that it is alone and becomes a hub, so it
// finds the others this way.
func (in *Instance) register(ctx context.Context) {
	value, err := json.Marshal(in.settings.Self)
	if err != nil {
		in.log.Error("instance: own row not encoded", "error", err)
		return
	}
	registered := false
	for pause.For(ctx, hubCheckInterval) {
		if in.peers.HubDuration() < minHubDuration {
			continue
		}
		if !registered {
			registered = in.writeMember(ctx, value)
		}
		in.listMembers(ctx)
		if !pause.For(ctx, memberListInterval) {
			return
		}
	}
}

// writeMember writes this instance's row, with retries, and reports whether it is written.
func (in *Instance) writeMember(ctx context.Context, value []byte) bool {
	write := platform.Txn{Writes: []platform.Write{{Key: memberPrefix + in.settings.Self.Name, Value: value}}}
	for {
		_, err := in.adapter.Table.Commit(ctx, write)
		if err == nil {
			return true
		}
		in.log.Info("instance: registration failed, retrying", "error", err)
		if !pause.For(ctx, registerRetry) {
			return false
		}
	}
}

func (in *Instance) listMembers(ctx context.Context) {
	rows, err := in.adapter.Table.List(ctx, memberPrefix)
	if err != nil {
		in.log.Info("instance: registered instances not listed, retrying", "error", err)
		return
	}
	var list []peers.Peer
	for _, row := range rows {
		var p peers.Peer
		if err := json.Unmarshal(row.Value, &p); err != nil {
			in.log.Error("instance: invalid row of a registered instance", "key", row.Key, "error", err)
			continue
		}
		list = append(list, p)
	}
	in.peers.AddPeers(list)
}
