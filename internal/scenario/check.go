package scenario

import (
	"context"
	"errors"
	"fmt"
	"syscall"

	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

// neverSent reports whether a request did not reach an entry at all.
func neverSent(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// upstreamRecords are the records that the engines and services keep of what they ran.
type upstreamRecords struct {
	// ran counts the runs of streams by the name in the prompt, runs those of calls by body.
	ran, runs map[string]int
	engines   map[string]testservers.EngineRecord
}

func readUpstreamRecords(ctx context.Context, h *Harness) (upstreamRecords, error) {
	all := upstreamRecords{ran: map[string]int{}, runs: map[string]int{}, engines: map[string]testservers.EngineRecord{}}
	for _, e := range h.Fleet.Engines {
		var b testservers.EngineRecord
		if err := testfleet.Post(ctx, e.Address, testservers.PathRecord, nil, &b); err != nil {
			return all, err
		}
		all.engines[e.ID] = b
		for name, n := range b.Ran {
			all.ran[name] += n
		}
	}
	for _, s := range h.Fleet.Services {
		var b testservers.ServiceRecord
		if err := testfleet.Post(ctx, s.Address, testservers.PathRecord, nil, &b); err != nil {
			return all, err
		}
		for body, n := range b.Bodies {
			all.runs[body] += n
		}
	}
	return all, nil
}

// compare returns the contradictions between the records of the callers and those of the upstreams.
func (b *callerRecords) compare(up upstreamRecords) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var violations []string
	for _, r := range b.chats {
		violations = append(violations, r.compare(up.ran[r.name])...)
	}
	for _, r := range b.calls {
		violations = append(violations, r.compare(up.runs[r.body])...)
	}
	return violations
}

func (r *chatRecord) compare(ran int) []string {
	var violations []string
	want := ExpectedAnswer(r.chat, r.chat.LastEventID)
	if r.complete && r.text != want {
		violations = append(violations, fmt.Sprintf("chat %s: the answer is %q, want %q", r.name, r.text, want))
	}
	if !r.complete && !r.versionRemoved && r.text != "" {
		violations = append(violations, fmt.Sprintf("chat %s: accepted but never answered completely: %q", r.name, r.text))
	}
	if r.notRun && ran > 0 {
		violations = append(violations, fmt.Sprintf("chat %s: answered \"not run\" although an engine ran it", r.name))
	}
	return violations
}

func (r *callRecord) compare(runs int) []string {
	var violations []string
	if runs > 1 {
		violations = append(violations, fmt.Sprintf("call %s: ran %d times (keyed: %t)", r.body, runs, r.keyed))
	}
	if r.answer != "" && runs != 1 {
		violations = append(violations, fmt.Sprintf("call %s: answered, but ran %d times", r.body, runs))
	}
	if r.notRun && runs > 0 {
		violations = append(violations, fmt.Sprintf("call %s: answered \"not run\" although it ran", r.body))
	}
	if r.conflicting {
		violations = append(violations, fmt.Sprintf("call %s: two different answers under one key", r.body))
	}
	return violations
}

// compareOrders returns the orders that took effect after one with a higher fencing number.
func compareOrders(up upstreamRecords) []string {
	var violations []string
	for id, b := range up.engines {
		highest := int64(0)
		for _, order := range b.Orders {
			if order.Fence < highest {
				violations = append(violations, fmt.Sprintf("%s: an order of epoch %d took effect after one of epoch %d", id, order.Fence, highest))
			}
			highest = max(highest, order.Fence)
		}
	}
	return violations
}
