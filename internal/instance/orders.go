package instance

import (
	"context"

	"sassafrasfield/internal/relay"
	"sassafrasfield/internal/rolekeeper"
	"sassafrasfield/internal/upstreamstate"
)

// backoffOrderer is an Orderer that sends nothing to engines that back off from this instance.
type backoffOrderer struct {
	rolekeeper.Orderer
	relay *relay.Relay
}

// State implements rolekeeper.Orderer.
func (o backoffOrderer) State(ctx context.Context, engine upstreamstate.Upstream) (rolekeeper.EngineState, error) {
	if o.relay.BackingOff(engine) {
		return rolekeeper.EngineState{}, relay.ErrBackingOff
	}
	return o.Orderer.State(ctx, engine)
}

// Order implements rolekeeper.Orderer.
func (o backoffOrderer) Order(ctx context.Context, engine upstreamstate.Upstream, order rolekeeper.Order) error {
	if o.relay.BackingOff(engine) {
		return relay.ErrBackingOff
	}
	return o.Orderer.Order(ctx, engine, order)
}
