package scenario

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/versions"
)

// watcher polls the version in force in each entry and checks that it never decreases while the entry is
// ready.
type watcher struct {
	harness *Harness
	http    *http.Client
	stop    context.CancelFunc
	done    sync.WaitGroup

	mu         sync.Mutex // protects violations
	violations []string
}

func startWatcher(ctx context.Context, h *Harness) *watcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &watcher{harness: h, http: &http.Client{Timeout: time.Second}, stop: cancel}
	for _, i := range h.Fleet.Instances {
		w.done.Go(func() { w.follow(ctx, i) })
	}
	return w
}

// follow polls the version of an entry, across the entry's restarts.
func (w *watcher) follow(ctx context.Context, i *testfleet.Instance) {
	highest := int64(0)
	for ctx.Err() == nil {
		version, ready, ok := w.read(ctx, i)
		if ok && version < highest && ready {
			w.mu.Lock()
			w.violations = append(w.violations, fmt.Sprintf("%s: ready with version %d after %d was in force", i.ID, version, highest))
			w.mu.Unlock()
		}
		highest = max(highest, version)
		time.Sleep(50 * time.Millisecond)
	}
}

func (w *watcher) read(ctx context.Context, i *testfleet.Instance) (version int64, ready, ok bool) {
	client := sfv1connect.NewEntryServiceClient(w.http, "http://"+i.LocalAddress)
	status, err := client.Status(ctx, connect.NewRequest(&sfv1.StatusRequest{}))
	if err != nil {
		return 0, false, false
	}
	return status.Msg.Version, status.Msg.Ready, true
}

// finish stops the watcher and returns the violations.
func (w *watcher) finish() []string {
	w.stop()
	w.done.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.violations
}

// waitInForceEverywhere waits until each entry is ready with at least the version at the head of the table's
// log, and returns that version.
func (w *watcher) waitInForceEverywhere(ctx context.Context) (int64, error) {
	log := versions.Log{Table: w.harness.Fleet.PlatformClient()}
	head, err := log.Head(ctx)
	if err != nil {
		return 0, err
	}
	return head.Version, testfleet.Until(ctx, fmt.Sprintf("version %d is in force everywhere", head.Version), func() bool {
		for _, i := range w.harness.Fleet.Instances {
			if version, ready, ok := w.read(ctx, i); !ok || !ready || version < head.Version {
				return false
			}
		}
		return true
	})
}

// operator confirms a change in each round, and records the accepted plans.
type operator struct {
	harness  *Harness
	accepted []string // plan ids
}

// change declares and confirms a new version of the model, or a new weight. Under faults the change may be
// refused; only an acknowledged acceptance is binding.
func (o *operator) change(ctx context.Context, round int) {
	intent := fmt.Sprintf("name = \"round-%d\"\n[[pool]]\nname = %q\nrole_change_weight = %d.5\n", round, PoolName, round)
	if round%2 == 0 {
		intent = fmt.Sprintf("name = \"round-%d\"\n[[model]]\nname = %q\nversion = \"%d\"\n", round, ModelName, round+2)
	}
	for _, i := range o.harness.Fleet.Instances {
		ctx, cancel := context.WithTimeout(ctx, 2*stallTimeout)
		id, err := o.harness.Declare(ctx, i, intent)
		if err == nil {
			output, code, err := o.harness.Sfctl(ctx, i, "confirm", id)
			if err == nil && code == 0 && strings.Contains(output, "accepted") {
				o.accepted = append(o.accepted, id)
				cancel()
				return
			}
		}
		cancel()
	}
}

// missingPlans returns the accepted plans that are not in the log of versions exactly once.
func (o *operator) missingPlans(ctx context.Context) ([]string, error) {
	log := versions.Log{Table: o.harness.Fleet.PlatformClient()}
	entries, err := log.List(ctx, 1<<20)
	if err != nil {
		return nil, err
	}
	found := map[string]int{}
	for _, e := range entries {
		found[e.PlanID]++
	}
	var violations []string
	for _, id := range o.accepted {
		if found[id] != 1 {
			violations = append(violations, fmt.Sprintf("plan %s was accepted, but is in the log %d times", id, found[id]))
		}
	}
	return violations, nil
}
