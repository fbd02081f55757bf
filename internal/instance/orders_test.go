package instance

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/relay"
	"sassafrasfield/internal/replica"
	"sassafrasfield/internal/rolekeeper"
	"sassafrasfield/internal/upstreamstate"
)

// hearing keeps how upstreams' words reach the relay.
type hearing struct {
	relay.Sender
	hear func(upstreamstate.Upstream, upstreamstate.UpstreamStatus)
}

func (h *hearing) SetStatusHandler(hear func(upstreamstate.Upstream, upstreamstate.UpstreamStatus)) {
	h.hear = hear
}

// countingOrderer counts what reaches engines.
type countingOrderer struct{ calls int }

func (c *countingOrderer) State(context.Context, upstreamstate.Upstream) (rolekeeper.EngineState, error) {
	c.calls++
	return rolekeeper.EngineState{}, nil
}

func (c *countingOrderer) Order(context.Context, upstreamstate.Upstream, rolekeeper.Order) error {
	c.calls++
	return nil
}

// TestNoOrderReachesAnEngineThatRests guards against questions and orders to an engine that wants
// nothing from this instance.
func TestNoOrderReachesAnEngineThatRests(t *testing.T) {
	sender, engines := &hearing{}, &countingOrderer{}
	in := newInstanceWith(sender)
	in.changed([]replica.Row{upstreamRow("e-1", "decode", 1), upstreamRow("e-2", "decode", 2)})
	all := in.relay.Engines()["llm"]
	one, other := all[0].Upstream, all[1].Upstream
	sender.hear(one, upstreamstate.UpstreamStatus{Backoff: time.Minute})
	orderer := restingOrderer{engines, in.relay}
	if _, err := orderer.State(context.Background(), one); !errors.Is(err, relay.ErrBackingOff) {
		t.Errorf("asked: %v", err)
	}
	if err := orderer.Order(context.Background(), one, rolekeeper.Order{}); !errors.Is(err, relay.ErrBackingOff) {
		t.Errorf("ordered: %v", err)
	}
	if engines.calls > 0 {
		t.Errorf("%d calls", engines.calls)
	}
	if _, err := orderer.State(context.Background(), other); err != nil || engines.calls != 1 {
		t.Errorf("another engine: %v, %d calls", err, engines.calls)
	}
}
