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

// statusSender records the relay's handler of upstreams' announcements.
type statusSender struct {
	relay.Sender
	handler func(upstreamstate.Upstream, upstreamstate.UpstreamStatus)
}

func (s *statusSender) SetStatusHandler(handler func(upstreamstate.Upstream, upstreamstate.UpstreamStatus)) {
	s.handler = handler
}

// countingOrderer counts the calls that reach engines.
type countingOrderer struct{ calls int }

func (c *countingOrderer) State(context.Context, upstreamstate.Upstream) (rolekeeper.EngineState, error) {
	c.calls++
	return rolekeeper.EngineState{}, nil
}

func (c *countingOrderer) Order(context.Context, upstreamstate.Upstream, rolekeeper.Order) error {
	c.calls++
	return nil
}

// TestNoOrderReachesEngineBackingOff guards against queries and orders to an engine that backs off from this
// instance.
func TestNoOrderReachesEngineBackingOff(t *testing.T) {
	sender, engines := &statusSender{}, &countingOrderer{}
	in := newInstanceWith(sender)
	in.applyRows([]replica.Row{upstreamRow("e-1", "decode", 1), upstreamRow("e-2", "decode", 2)})
	all := in.relay.Engines()["llm"]
	one, other := all[0].Upstream, all[1].Upstream
	sender.handler(one, upstreamstate.UpstreamStatus{Backoff: time.Minute})
	orderer := backoffOrderer{engines, in.relay}
	if _, err := orderer.State(context.Background(), one); !errors.Is(err, relay.ErrBackingOff) {
		t.Errorf("state of an engine that backs off: %v", err)
	}
	if err := orderer.Order(context.Background(), one, rolekeeper.Order{}); !errors.Is(err, relay.ErrBackingOff) {
		t.Errorf("order to an engine that backs off: %v", err)
	}
	if engines.calls > 0 {
		t.Errorf("%d calls", engines.calls)
	}
	if _, err := orderer.State(context.Background(), other); err != nil || engines.calls != 1 {
		t.Errorf("another engine: %v, %d calls", err, engines.calls)
	}
}
