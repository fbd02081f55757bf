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

// killPoints are the failpoints in a planned change at which the lease holder is
// killed.
var killPoints = []string{
	"control.rollout.before_drain", "control.rollout.after_drain",
	"control.rollout.before_order", "control.order.after_journal",
	"control.order.before_send", "control.order.after_send", "control.rollout.after_order",
	"control.rollout.before_close", "control.rollout.after_close",
	"control.rollout.before_restore", "control.rollout.after_restore",
	"control.rollout.before_withdraw", "control.rollout.after_withdraw",
}

// plannedChanges are applied in rotation until each failpoint was hit.
var plannedChanges = []string{
	"[[model]]\nname = \"critique\"\nversion = \"%d\"\n",
	"[[engine]]\nid = \"engine-2\"\nleave = true # %d\n",
	"[[engine]]\nid = \"engine-2\"\nleave = false # %d\n",
	"[[engine]]\nid = \"engine-1\"\nrole = \"decode\" # %d\n",
	"[[engine]]\nid = \"engine-1\"\nrole = \"mixed\" # %d\n",
}

// holderKiller restarts each sf-control that was killed at a failpoint, with the next
// failpoint enabled.
type holderKiller struct {
	f             *planFleet
	pendingPoints []string
	assigned      []string
	killed        []string
}

func (k *holderKiller) restart(i int) {
	point := ""
	if len(k.pendingPoints) > 0 {
		point, k.pendingPoints = k.pendingPoints[0], k.pendingPoints[1:]
	}
	k.assigned[i] = point
	k.f.Environment = nil
	if point != "" {
		k.f.Environment = []string{failpoint.Variable + "=" + point + "=kill"}
	}
	k.f.must(k.f.StartControl(k.f.Instances[i]))
}

// supervise restarts each sf-control that has exited.
func (k *holderKiller) supervise() {
	for i, instance := range k.f.Instances {
		select {
		case <-instance.Control.Done():
			if k.assigned[i] == "" {
				k.f.t.Fatalf("sf-control of %s exited with no failpoint enabled", instance.ID)
			}
			k.killed = append(k.killed, k.assigned[i])
			k.restart(i)
		default:
		}
	}
}

// moveLease kills each lease holder that has no failpoint enabled, until one that has holds the
// lease. So each change starts under such a holder, and hits its failpoint if the change has that
// step.
func (k *holderKiller) moveLease() {
	k.f.must(testfleet.Until(k.f.ctx, "an sf-control with a failpoint holds the lease", func() bool {
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

// holder returns the index of the instance that reports to hold the lease, or -1 if none does.
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

// allPointsHit reports whether each failpoint was hit.
func (k *holderKiller) allPointsHit() bool {
	return len(k.killed) == len(killPoints)
}

// TestLeaseHolderKilledAtEachStep changes the version, roles and membership of a
// pool during long streams, and kills the lease holder at each step in turn. No
// stream may be cut, and each plan must complete.
func TestLeaseHolderKilledAtEachStep(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	f := startFleet(ctx, t, fastControl, 3, 3, "--change-time", "200ms")
	k := &holderKiller{f: f, pendingPoints: slices.Clone(killPoints), assigned: make([]string, len(f.Instances))}
	for i, instance := range f.Instances {
		instance.Control.Kill()
		k.restart(i)
	}
	streams := f.startCallers()
	for round := 0; !k.allPointsHit(); round++ {
		// Each failpoint is in a step of one of the changes, so it takes at most one
		// rotation of the changes to hit it.
		if round > len(killPoints)*len(plannedChanges) {
			t.Fatalf("hit only %v; still enabled: %v", k.killed, k.assigned)
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
	f.checkNoStreamCut()
}
