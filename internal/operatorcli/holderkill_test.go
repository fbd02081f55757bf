package operatorcli_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"sassafrasfield/internal/failpoint"
	"sassafrasfield/internal/testfleet"
)

// holderPoints are the steps of a planned change at which its holder is killed.
var holderPoints = []string{
	"control.rollout.before_drain", "control.rollout.after_drain",
	"control.rollout.before_order", "control.order.after_journal",
	"control.order.before_send", "control.order.after_send", "control.rollout.after_order",
	"control.rollout.before_close", "control.rollout.after_close",
	"control.rollout.before_restore", "control.rollout.after_restore",
	"control.rollout.before_withdraw", "control.rollout.after_withdraw",
}

// plannedChanges are carried out in turn until each point was met.
var plannedChanges = []string{
	"[[model]]\nname = \"critique\"\nversion = \"%d\"\n",
	"[[engine]]\nid = \"engine-2\"\nleave = true # %d\n",
	"[[engine]]\nid = \"engine-2\"\nleave = false # %d\n",
	"[[engine]]\nid = \"engine-1\"\nrole = \"decode\" # %d\n",
	"[[engine]]\nid = \"engine-1\"\nrole = \"mixed\" # %d\n",
}

// killer restarts each sf-control that a point killed, with the next point.
type killer struct {
	f        *planFleet
	left     []string
	assigned []string
	killed   []string
}

func (k *killer) restart(i int) {
	point := ""
	if len(k.left) > 0 {
		point, k.left = k.left[0], k.left[1:]
	}
	k.assigned[i] = point
	k.f.Environment = nil
	if point != "" {
		k.f.Environment = []string{failpoint.Variable + "=" + point + "=kill"}
	}
	k.f.must(k.f.StartControl(k.f.Instances[i]))
}

// supervise restarts what has ended.
func (k *killer) supervise() {
	for i, instance := range k.f.Instances {
		select {
		case <-instance.Control.Done():
			if k.assigned[i] == "" {
				k.f.t.Fatalf("%s ended without a point", instance.ID)
			}
			k.killed = append(k.killed, k.assigned[i])
			k.restart(i)
		default:
		}
	}
}

// moveLease kills each sf-control without a point, so that one with a point
// becomes the holder.
func (k *killer) moveLease() {
	for i, instance := range k.f.Instances {
		if k.assigned[i] == "" {
			instance.Control.Kill()
			k.restart(i)
		}
	}
}

// done tells whether each point was met.
func (k *killer) done() bool {
	return len(k.killed) == len(holderPoints)
}

// TestHolderKilledAtEveryStep changes version, roles and membership of a pool
// under long streams, with the lease's holder killed at each step in turn. No
// stream is cut, and each plan ends.
func TestHolderKilledAtEveryStep(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	f := startFleet(ctx, t, fastControl, 3, 3, "--change-time", "200ms")
	k := &killer{f: f, left: slices.Clone(holderPoints), assigned: make([]string, len(f.Instances))}
	for i, instance := range f.Instances {
		instance.Control.Kill()
		k.restart(i)
	}
	streams := f.startCallers()
	for round := 0; !k.done(); round++ {
		if round > 3*len(plannedChanges) {
			t.Fatalf("met only %v; %v wait", k.killed, k.assigned)
		}
		k.moveLease()
		view := f.declare(fmt.Sprintf(plannedChanges[round%len(plannedChanges)], round+2))
		f.confirm(view.ID)
		f.must(testfleet.Until(ctx, "plan "+view.ID+" is done", func() bool {
			k.supervise()
			return f.plan(view.ID).State == "done"
		}))
	}
	t.Logf("killed at %v", k.killed)
	streams.check()
	f.nothingCut()
}
