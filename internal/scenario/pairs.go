package scenario

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
)

// Sizes of the fleet and the load in a run over pairs of faults.
const (
	pairInstances = 3
	pairEngines   = 3
	pairServices  = 2
	pairCallers   = 16
)

// Durations of the phases of a round: the load runs without faults, then with one fault, then with both.
const (
	loadBeforeFaults   = 300 * time.Millisecond
	delayBetweenFaults = 400 * time.Millisecond
	faultDuration      = 2500 * time.Millisecond
)

// Pairs is the configuration of a run over pairs of faults under load, which its seed determines.
type Pairs struct {
	Bin, Dir string
	Seed     uint64
	Rounds   int
	// Out receives a line for each round.
	Out io.Writer
}

// Result is the outcome of a run.
type Result struct {
	// Chats and Calls count the requests of the callers, Complete and Answered the ones among them that were
	// answered. VersionRemoved counts the answers that broke off and could not be resumed, because their
	// version of the model was replaced meanwhile. Accepted counts the operator's accepted changes.
	Chats, Complete, VersionRemoved, Calls, Answered, Accepted int
	// Violations are the violated guarantees, one line each.
	Violations []string
}

// Run runs all rounds and compares the records of callers, upstreams and operator. An error means that the
// run itself failed; violations are in the result.
func (p Pairs) Run(ctx context.Context) (Result, error) {
	h := New(p.Bin, p.Dir)
	defer h.Fleet.Stop()
	if p.Seed%2 == 1 {
		h.Fencing = "ignore"
	}
	h.EngineFlags = []string{"--change-time", "200ms", "--load-time", "100ms"}
	h.Fleet.EntryTables = "[engine]\ntimeout = \"2s\"\n"
	if err := h.Start(ctx, pairInstances, pairEngines, pairServices); err != nil {
		return Result{}, err
	}
	if err := h.Confirm(ctx, h.Fleet.Instances[0], h.BaseIntent()); err != nil {
		return Result{}, err
	}
	watch := startWatcher(ctx, h)
	records, op, faults := &callerRecords{}, &operator{harness: h}, newInjector(h)
	for n, drawn := range drawPairs(p.Seed, p.Rounds, pairInstances) {
		fmt.Fprintf(p.Out, "seed %d round %d: %s with %s\n", p.Seed, n, drawn.first, drawn.second)
		if err := p.round(ctx, h, n, drawn, records, op, faults, watch); err != nil {
			watch.finish()
			return Result{}, errors.Wrapf(err, "round %d", n)
		}
	}
	return p.collectResult(ctx, h, records, op, watch)
}

// round runs one pair of faults under load, heals it, and waits until the newest version is in force on all
// instances.
func (p Pairs) round(ctx context.Context, h *Harness, n int, drawn pair, records *callerRecords, op *operator, faults *injector, watch *watcher) error {
	load := startCallers(ctx, h, records, fmt.Sprintf("s%d-r%d", p.Seed, n), p.Seed+uint64(n), pairCallers)
	changed := make(chan struct{})
	time.Sleep(loadBeforeFaults)
	err := faults.inject(ctx, drawn.first)
	go func() {
		defer close(changed)
		op.change(ctx, n)
	}()
	time.Sleep(delayBetweenFaults)
	if err == nil {
		err = faults.inject(ctx, drawn.second)
	}
	time.Sleep(faultDuration)
	if healed := faults.heal(ctx); err == nil {
		err = healed
	}
	<-changed
	load.finish()
	if err != nil {
		return err
	}
	// Restarts processes that exited after the heal, such as a resumed lease holder.
	if err := faults.restart(); err != nil {
		return err
	}
	_, err = watch.waitInForceEverywhere(ctx)
	return err
}

// collectResult compares all records at the end and returns the result.
func (p Pairs) collectResult(ctx context.Context, h *Harness, records *callerRecords, op *operator, watch *watcher) (Result, error) {
	result := Result{Violations: watch.finish(), Accepted: len(op.accepted)}
	up, err := readUpstreamRecords(ctx, h)
	if err != nil {
		return result, err
	}
	missing, err := op.missingPlans(ctx)
	if err != nil {
		return result, err
	}
	result.Violations = append(result.Violations, missing...)
	result.Violations = append(result.Violations, records.compare(up)...)
	result.Violations = append(result.Violations, compareOrders(up)...)
	for _, r := range records.chats {
		result.Chats++
		if r.complete {
			result.Complete++
		}
		if r.versionRemoved {
			result.VersionRemoved++
		}
	}
	for _, r := range records.calls {
		result.Calls++
		if r.answer != "" {
			result.Answered++
		}
	}
	return result, nil
}
