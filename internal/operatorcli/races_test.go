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
	leaveEngine = "[[engine]]\nid = %q\nleave = true\n"
	floorIntent = "[[pool]]\nname = \"main\"\nmin_serving = %d\n"
	versionTo   = "[[model]]\nname = \"critique\"\nversion = \"%d\"\n"
)

// TestOperatorsRace goes through the operators' races in one fleet.
func TestOperatorsRace(t *testing.T) {
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
		{"the asked instance dies after the write", (*planFleet).confirmerDies},
		{"the table is down", (*planFleet).confirmWithTableDown},
		{"an intent contradicts a running plan, which is then cancelled", (*planFleet).contradictAndCancel},
		{"an engine crashes partway through a change", (*planFleet).crashPartway},
		{"an engine loses its state while it serves", (*planFleet).loseState},
		{"an engine dies for good in a plan", (*planFleet).dieInPlan},
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

// twoConfirmAtOnce: exactly one of two conflicting plans is accepted, and the
// other operator is told what changed.
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
			f.t.Fatalf("the loser was not told of plan %s: %s", ids[1-loser], outputs[loser])
		}
		if state := f.plan(ids[loser]).State; state != "refused" {
			f.t.Fatalf("the loser's plan is %s", state)
		}
	}
	f.carryOut(fmt.Sprintf(floorIntent, 1))
}

// confirmWithLostReplies: the write takes effect, its reply is lost, and reads
// come from an old copy.
func (f *planFleet) confirmWithLostReplies() {
	view := f.declare(fmt.Sprintf(floorIntent, 2))
	f.must(f.PlatformFault(f.ctx, testservers.PlatformFaults{LoseReplies: 2, LosePrefix: "version/", StaleReadMs: 400}))
	code, output := f.sfctl(0, "ana", "confirm", view.ID)
	f.must(f.PlatformFault(f.ctx, testservers.PlatformFaults{}))
	if code != program.ExitOK {
		f.t.Fatalf("told %d, %s", code, output)
	}
	if n := f.timesAccepted(view.ID); n != 1 {
		f.t.Fatalf("accepted %d times", n)
	}
	f.carryOut(fmt.Sprintf(floorIntent, 1))
}

// timesAccepted counts a plan's versions in the history.
func (f *planFleet) timesAccepted(id string) int {
	f.t.Helper()
	code, output := f.sfctl(1, "ben", "history", "--limit", "200")
	if code != program.ExitOK {
		f.t.Fatal(output)
	}
	return strings.Count(output, id)
}

// confirmerDies: the process that was asked is killed after the write. The
// outcome is told as unknown, or as accepted once the plan's row tells; asking
// again is safe.
func (f *planFleet) confirmerDies() {
	victim := f.Instances[2]
	victim.Control.Kill()
	f.Environment = []string{failpoint.Variable + "=control.operator.after_accept=kill"}
	f.must(f.StartControl(victim))
	f.Environment = nil
	f.must(testfleet.Until(f.ctx, "the instance answers", f.allAnswer))
	view := f.declare(fmt.Sprintf(floorIntent, 2))
	code, output := f.sfctl(2, "ana", "confirm", view.ID)
	if code != program.ExitUnknown {
		f.t.Fatalf("told %d, %s", code, output)
	}
	f.must(f.StartControl(victim))
	if code, output = f.sfctl(0, "ana", "confirm", view.ID); code != program.ExitOK {
		f.t.Fatalf("told %d, %s", code, output)
	}
	if code, output = f.sfctl(0, "ben", "confirm", view.ID); code != program.ExitRefused || !strings.Contains(output, "ana confirmed") {
		f.t.Fatalf("another operator was told %d, %s", code, output)
	}
	if n := f.timesAccepted(view.ID); n != 1 {
		f.t.Fatalf("accepted %d times", n)
	}
	f.must(testfleet.Until(f.ctx, "the instance answers", f.allAnswer))
	f.carryOut(fmt.Sprintf(floorIntent, 1))
}

func (f *planFleet) confirmWithTableDown() {
	view := f.declare(fmt.Sprintf(floorIntent, 2))
	f.must(f.PlatformFault(f.ctx, testservers.PlatformFaults{Down: true}))
	code, output := f.sfctl(0, "ana", "confirm", view.ID)
	f.must(f.PlatformFault(f.ctx, testservers.PlatformFaults{}))
	if code == program.ExitOK || f.plan(view.ID).State != "declared" {
		f.t.Fatalf("told %d, %s", code, output)
	}
	f.confirm(view.ID)
	f.carryOut(fmt.Sprintf(floorIntent, 1))
}

// contradictAndCancel holds a version change on its first engine by a stream.
func (f *planFleet) contradictAndCancel() {
	streams := f.startCallers()
	running := f.declare(fmt.Sprintf(versionTo, 2))
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
	other := f.declare(fmt.Sprintf(leaveEngine, started))
	if len(other.Refusals) != 1 || !strings.Contains(other.Refusals[0], running.ID) {
		f.t.Errorf("the contradiction is not told: %q", other.Refusals)
	}
	if code, output := f.sfctl(1, "ben", "confirm", other.ID); code != program.ExitRefused || !strings.Contains(output, running.ID) {
		f.t.Errorf("confirming it: %d, %s", code, output)
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
	f.nothingCut()
	f.carryOut(fmt.Sprintf(versionTo, 3))
}

// status reads an engine's state back.
func (f *planFleet) status(e *testfleet.Engine) engine.Status {
	status, err := engine.NewClient(e.Address, 5*time.Second).Status(f.ctx)
	if err != nil {
		return engine.Status{}
	}
	return status
}

// loadedVersions counts the engines by the version that they have.
func (f *planFleet) loadedVersions() map[string]int {
	counts := map[string]int{}
	for _, e := range f.Engines {
		counts[f.status(e).State.Version]++
	}
	return counts
}

// wantedVersions counts the engines by the version that they should have.
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

// crashPartway crashes each engine in the middle of its change.
func (f *planFleet) crashPartway() {
	view := f.declare(fmt.Sprintf(versionTo, 4))
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

// loseState restarts a serving engine with the version of its first start. It
// is out of routing until it has the wanted one again.
func (f *planFleet) loseState() {
	victim := f.Engines[0]
	f.must(testfleet.Post(f.ctx, victim.Address, testservers.PathFault, testservers.EngineFaults{Crash: true}, nil))
	f.must(testfleet.Until(f.ctx, "the engine is back with the wanted version", func() bool {
		_, history := f.sfctl(0, "ana", "history", "--limit", "10")
		lost := strings.Contains(history, "engine "+victim.ID+" is draining (lost)")
		_, engines := f.sfctl(0, "ana", "engines")
		return lost && f.loadedVersions()["4"] == len(f.Engines) && strings.Count(engines, "serving") == len(f.Engines)
	}))
}

// dieInPlan kills an engine in its change. The plan tells what it waits for;
// cancelled, it makes way for the withdrawal of the dead engine.
func (f *planFleet) dieInPlan() {
	victim := f.Engines[2]
	running := f.declare(fmt.Sprintf("[[engine]]\nid = %q\nrole = \"decode\"\n", victim.ID))
	f.confirm(running.ID)
	f.must(testfleet.Until(f.ctx, "the engine is changing", func() bool { return f.status(victim).Changing }))
	victim.Process.Kill()
	f.must(testfleet.Until(f.ctx, "the plan tells what it waits for", func() bool {
		return strings.Contains(fmt.Sprint(f.plan(running.ID).Steps), "does not answer")
	}))
	if code, output := f.sfctl(0, "ana", "cancel", running.ID); code != program.ExitOK {
		f.t.Fatalf("cancel: %s", output)
	}
	f.carryOut(fmt.Sprintf(leaveEngine, victim.ID))
	if _, engines := f.sfctl(0, "ana", "engines"); strings.Count(engines, " out ") != 1 {
		f.t.Errorf("engines: %s", engines)
	}
}
