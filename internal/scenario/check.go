package scenario

import (
	"context"
	"errors"
	"fmt"
	"syscall"

	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

// neverSent tells that a request did not reach an entry at all.
func neverSent(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// upstreamRecords are what the engines and services say that they ran.
type upstreamRecords struct {
	// ran counts streams by the name in the prompt, runs the calls by body.
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

// compare returns what of the callers' book does not agree with the upstreams'
// books.
func (b *callerRecords) compare(up upstreamRecords) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var wrong []string
	for _, r := range b.chats {
		wrong = append(wrong, r.compare(up.ran[r.name])...)
	}
	for _, r := range b.calls {
		wrong = append(wrong, r.compare(up.runs[r.body])...)
	}
	return wrong
}

func (r *chatRecord) compare(ran int) []string {
	var wrong []string
	want := ExpectedAnswer(r.chat, r.chat.LastEventID)
	if r.complete && r.text != want {
		wrong = append(wrong, fmt.Sprintf("chat %s: the answer is %q, want %q", r.name, r.text, want))
	}
	if !r.complete && !r.versionRemoved && r.text != "" {
		wrong = append(wrong, fmt.Sprintf("chat %s: accepted, and never answered whole: %q", r.name, r.text))
	}
	if r.notRun && ran > 0 {
		wrong = append(wrong, fmt.Sprintf("chat %s: told \"not run\", and an engine ran it", r.name))
	}
	return wrong
}

func (r *callRecord) compare(runs int) []string {
	var wrong []string
	if runs > 1 {
		wrong = append(wrong, fmt.Sprintf("call %s: ran %d times (keyed: %t)", r.body, runs, r.keyed))
	}
	if r.answer != "" && runs != 1 {
		wrong = append(wrong, fmt.Sprintf("call %s: answered, and ran %d times", r.body, runs))
	}
	if r.notRun && runs > 0 {
		wrong = append(wrong, fmt.Sprintf("call %s: told \"not run\", and it ran", r.body))
	}
	if r.conflicting {
		wrong = append(wrong, fmt.Sprintf("call %s: two different answers under one key", r.body))
	}
	return wrong
}

// compareOrders returns orders that took effect after one with a higher
// fencing number.
func compareOrders(up upstreamRecords) []string {
	var wrong []string
	for id, b := range up.engines {
		highest := int64(0)
		for _, order := range b.Orders {
			if order.Fence < highest {
				wrong = append(wrong, fmt.Sprintf("%s: an order of epoch %d took effect after one of epoch %d", id, order.Fence, highest))
			}
			highest = max(highest, order.Fence)
		}
	}
	return wrong
}
