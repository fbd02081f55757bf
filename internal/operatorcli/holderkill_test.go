package operatorcli_test

import (
	"context"
	"encoding/json"
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

// moveLease kills each holder without a point until one with a point is the holder. So
// each change begins under one, and meets its point if the change has that step.
func (k *killer) moveLease() {
	k.f.must(testfleet.Until(k.f.ctx, "an sf-control with a point holds the lease", func() bool {
		k.supervise()
		i := k.f.holder()
		if i >= 0 && k.assigned[i] == "" {
			k.f.Instances[i].Control.Kill()
			k.restart(i)
			return false
		}
		return i >= 0
	}))
}

// holder returns the instance that holds the lease, by its own word; -1 while none does.
func (f *planFleet) holder() int {
	for i, instance := range f.Instances {
		var list struct {
			Instances []struct {
				ID     string   `json:"id"`
				Leases []string `json:"leases"`
			} `json:"instances"`
		}
		_, output := f.sfctl(i, "ana", "-o", "json", "instances")
		if json.Unmarshal([]byte(output), &list) != nil {
			continue
		}
		for _, row := range list.Instances {
			if row.ID == instance.ID && len(row.Leases) > 0 {
				return i
			}
		}
	}
	return -1
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
		// Each change is carried out under a point's holder once it comes round, and
		// each point is a step of one of the changes.
		if round > len(holderPoints)*len(plannedChanges) {
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
