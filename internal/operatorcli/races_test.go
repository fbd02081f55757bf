package operatorcli_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/failpoint"
	"sassafrasfield/internal/program"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

const (
	leaveIntent   = "[[engine]]\nid = %q\nleave = true\n"
	floorIntent   = "[[pool]]\nname = \"main\"\nmin_serving = %d\n"
	versionIntent = "[[model]]\nname = \"critique\"\nversion = \"%d\"\n"
)

// TestConcurrentOperatorsAndFaults runs concurrent operators' actions, lost
// replies and crashes in one fleet.
func TestConcurrentOperatorsAndFaults(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	f := startFleet(ctx, t, fastControl, 3, 3, "--change-time", "1s")
	for _, race := range []struct {
		name string
		run  func(*planFleet)
	}{
		{"two confirm at once", (*planFleet).twoConfirmAtOnce},
		{"the reply to a confirmation is lost", (*planFleet).confirmWithLostReplies},
		{"the asked instance dies after the write", (*planFleet).confirmingInstanceDies},
		{"the table is down", (*planFleet).confirmWithTableDown},
		{"an intent contradicts a running plan, which is then cancelled", (*planFleet).contradictAndCancel},
		{"an engine crashes partway through a change", (*planFleet).enginesCrashDuringChange},
		{"an engine loses its state while it serves", (*planFleet).engineLosesState},
		{"an engine dies for good in a plan", (*planFleet).engineDiesInPlan},
	} {
		ok := t.Run(race.name, func(t *testing.T) {
			sub := *f
			sub.t = t
			race.run(&sub)
		})
		if !ok {
			return
		}
	}
}

// twoConfirmAtOnce checks that exactly one of two conflicting plans is accepted,
// and that the response to the other operator names the accepted plan.
func (f *planFleet) twoConfirmAtOnce() {
	for round := range 5 {
		first, second := f.declare(fmt.Sprintf(floorIntent, 1)), f.declare(fmt.Sprintf(floorIntent, 2))
		ids := [2]string{first.ID, second.ID}
		var codes [2]int
		var outputs [2]string
		var work sync.WaitGroup
		for i, operator := range []string{"ana", "ben"} {
			work.Go(func() { codes[i], outputs[i] = f.sfctl(i, operator, "confirm", ids[i]) })
		}
		work.Wait()
		loser := 0
		if codes[0] == program.ExitOK {
			loser = 1
		}
		if codes[1-loser] != program.ExitOK || codes[loser] != program.ExitRefused {
			f.t.Fatalf("round %d: codes %v, outputs %q", round, codes, outputs)
		}
		if !strings.Contains(outputs[loser], ids[1-loser]) {
			f.t.Fatalf("the refusal does not name plan %s: %s", ids[1-loser], outputs[loser])
		}
		if state := f.plan(ids[loser]).State; state != "refused" {
			f.t.Fatalf("the refused operator's plan is %s", state)
		}
	}
	f.applyIntent(fmt.Sprintf(floorIntent, 1))
}

// confirmWithLostReplies confirms a plan while the write takes effect but its
// reply is lost, and reads return stale rows.
func (f *planFleet) confirmWithLostReplies() {
	view := f.declare(fmt.Sprintf(floorIntent, 2))
	f.must(f.PlatformFault(f.ctx, testservers.PlatformFaults{LoseReplies: 2, LosePrefix: "version/", StaleReadMs: 400}))
	code, output := f.sfctl(0, "ana", "confirm", view.ID)
	f.must(f.PlatformFault(f.ctx, testservers.PlatformFaults{}))
	if code != program.ExitOK {
		f.t.Fatalf("sfctl exited with code %d: %s", code, output)
	}
	if n := f.timesAccepted(view.ID); n != 1 {
		f.t.Fatalf("accepted %d times", n)
	}
	f.applyIntent(fmt.Sprintf(floorIntent, 1))
}

// timesAccepted returns the number of versions of a plan in the history.
func (f *planFleet) timesAccepted(id string) int {
	f.t.Helper()
	code, output := f.sfctl(1, "ben", "history", "--limit", "200")
	if code != program.ExitOK {
		f.t.Fatal(output)
	}
	return strings.Count(output, id)
}

// confirmingInstanceDies kills the instance that confirms a plan after its write.
// sfctl reports the outcome as unknown while it cannot read the plan, and as
// accepted afterwards. Confirming again is safe.
func (f *planFleet) confirmingInstanceDies() {
	victim := f.Instances[2]
	victim.Control.Kill()
	f.Environment = []string{failpoint.Variable + "=control.operator.after_accept=kill"}
	f.must(f.StartControl(victim))
	f.Environment = nil
	f.must(testfleet.Until(f.ctx, "the instance answers", f.allControlsAnswer))
	view := f.declare(fmt.Sprintf(floorIntent, 2))
	code, output := f.sfctl(2, "ana", "confirm", view.ID)
	if code != program.ExitUnknown {
		f.t.Fatalf("sfctl exited with code %d: %s", code, output)
	}
	f.must(f.StartControl(victim))
	if code, output = f.sfctl(0, "ana", "confirm", view.ID); code != program.ExitOK {
		f.t.Fatalf("sfctl exited with code %d: %s", code, output)
	}
	if code, output = f.sfctl(0, "ben", "confirm", view.ID); code != program.ExitRefused || !strings.Contains(output, "ana confirmed") {
		f.t.Fatalf("another operator got code %d, %s", code, output)
	}
	if n := f.timesAccepted(view.ID); n != 1 {
		f.t.Fatalf("accepted %d times", n)
	}
	f.must(testfleet.Until(f.ctx, "the instance answers", f.allControlsAnswer))
	f.applyIntent(fmt.Sprintf(floorIntent, 1))
}

func (f *planFleet) confirmWithTableDown() {
	view := f.declare(fmt.Sprintf(floorIntent, 2))
	f.must(f.PlatformFault(f.ctx, testservers.PlatformFaults{Down: true}))
	code, output := f.sfctl(0, "ana", "confirm", view.ID)
	f.must(f.PlatformFault(f.ctx, testservers.PlatformFaults{}))
	if code == program.ExitOK || f.plan(view.ID).State != "declared" {
		f.t.Fatalf("sfctl exited with code %d: %s", code, output)
	}
	f.confirm(view.ID)
	f.applyIntent(fmt.Sprintf(floorIntent, 1))
}

// contradictAndCancel keeps a version change running on its first engine with
// streams, declares an intent that contradicts it, and then cancels the change.
func (f *planFleet) contradictAndCancel() {
	streams := f.startCallers()
	running := f.declare(fmt.Sprintf(versionIntent, 2))
	f.confirm(running.ID)
	started := ""
	f.must(testfleet.Until(f.ctx, "a step has started", func() bool {
		for _, step := range f.plan(running.ID).Steps {
			if step.State == "running" {
				started = step.Engine
			}
		}
		return started != ""
	}))
	other := f.declare(fmt.Sprintf(leaveIntent, started))
	if len(other.Refusals) != 1 || !strings.Contains(other.Refusals[0], running.ID) {
		f.t.Errorf("the contradicting plan's refusals do not name the running plan: %q", other.Refusals)
	}
	if code, output := f.sfctl(1, "ben", "confirm", other.ID); code != program.ExitRefused || !strings.Contains(output, running.ID) {
		f.t.Errorf("confirming the contradicting plan: code %d, %s", code, output)
	}
	if code, output := f.sfctl(0, "ana", "status"); code != program.ExitOK || !strings.Contains(output, running.ID) {
		f.t.Errorf("status: %s", output)
	}
	if code, output := f.sfctl(1, "ben", "cancel", running.ID); code != program.ExitOK {
		f.t.Fatalf("cancel: %s", output)
	}
	f.must(testfleet.Until(f.ctx, "the started steps are finished", func() bool {
		view := f.plan(running.ID)
		return view.State == "cancelled" && !strings.Contains(fmt.Sprint(view.Steps), "running")
	}))
	cancelled := strings.Count(fmt.Sprint(f.plan(running.ID).Steps), "cancelled")
	versions, wanted := f.loadedVersions(), f.wantedVersions()
	if cancelled == 0 || versions["1"] != cancelled || versions["2"] != len(f.Engines)-cancelled {
		f.t.Errorf("%d steps cancelled, engines have %v", cancelled, versions)
	}
	if wanted["1"] != cancelled {
		f.t.Errorf("%d steps cancelled, engines should have %v", cancelled, wanted)
	}
	streams.check()
	f.checkNoStreamCut()
	f.applyIntent(fmt.Sprintf(versionIntent, 3))
}

// status reads an engine's status; it is empty if the engine does not answer.
func (f *planFleet) status(e *testfleet.Engine) engine.Status {
	status, err := engine.NewClient(e.Address, 5*time.Second).Status(f.ctx)
	if err != nil {
		return engine.Status{}
	}
	return status
}

// loadedVersions returns the number of engines by the version that they have
// loaded.
func (f *planFleet) loadedVersions() map[string]int {
	counts := map[string]int{}
	for _, e := range f.Engines {
		counts[f.status(e).State.Version]++
	}
	return counts
}

// wantedVersions returns the number of engines by the version that they should
// have loaded.
func (f *planFleet) wantedVersions() map[string]int {
	f.t.Helper()
	var view struct {
		Engines []struct {
			Want string `json:"want"`
		} `json:"engines"`
	}
	_, output := f.sfctl(0, "ana", "-o", "json", "engines")
	f.must(json.Unmarshal([]byte(output), &view))
	counts := map[string]int{}
	for _, e := range view.Engines {
		_, version, _ := strings.Cut(e.Want, "@")
		counts[strings.Fields(version)[0]]++
	}
	return counts
}

// enginesCrashDuringChange crashes each engine during its change.
func (f *planFleet) enginesCrashDuringChange() {
	view := f.declare(fmt.Sprintf(versionIntent, 4))
	f.confirm(view.ID)
	crashed := map[string]bool{}
	f.must(testfleet.Until(f.ctx, "the plan is done", func() bool {
		for _, e := range f.Engines {
			if f.status(e).Changing && !crashed[e.ID] {
				crashed[e.ID] = true
				f.must(testfleet.Post(f.ctx, e.Address, testservers.PathFault, testservers.EngineFaults{Crash: true}, nil))
			}
		}
		return f.plan(view.ID).State == "done"
	}))
	if len(crashed) != len(f.Engines) || f.loadedVersions()["4"] != len(f.Engines) {
		f.t.Errorf("crashed %v, engines have %v", crashed, f.loadedVersions())
	}
}

// engineLosesState restarts a serving engine, which then has the version of its
// first start. It gets no requests until it has the wanted version again.
func (f *planFleet) engineLosesState() {
	victim := f.Engines[0]
	f.must(testfleet.Post(f.ctx, victim.Address, testservers.PathFault, testservers.EngineFaults{Crash: true}, nil))
	f.must(testfleet.Until(f.ctx, "the engine is back with the wanted version", func() bool {
		_, history := f.sfctl(0, "ana", "history", "--limit", "10")
		lost := strings.Contains(history, "engine "+victim.ID+" is draining (lost)")
		_, engines := f.sfctl(0, "ana", "engines")
		return lost && f.loadedVersions()["4"] == len(f.Engines) && strings.Count(engines, "serving") == len(f.Engines)
	}))
}

// engineDiesInPlan kills an engine permanently during its change. The plan reports
// what it waits for. After it is cancelled, the dead engine can be taken out.
func (f *planFleet) engineDiesInPlan() {
	victim := f.Engines[2]
	running := f.declare(fmt.Sprintf("[[engine]]\nid = %q\nrole = \"decode\"\n", victim.ID))
	f.confirm(running.ID)
	f.must(testfleet.Until(f.ctx, "the engine is changing", func() bool { return f.status(victim).Changing }))
	victim.Process.Kill()
	f.must(testfleet.Until(f.ctx, "the plan reports what it waits for", func() bool {
		return strings.Contains(fmt.Sprint(f.plan(running.ID).Steps), "does not answer")
	}))
	if code, output := f.sfctl(0, "ana", "cancel", running.ID); code != program.ExitOK {
		f.t.Fatalf("cancel: %s", output)
	}
	f.applyIntent(fmt.Sprintf(leaveIntent, victim.ID))
	if _, engines := f.sfctl(0, "ana", "engines"); strings.Count(engines, " out ") != 1 {
		f.t.Errorf("engines: %s", engines)
	}
}
