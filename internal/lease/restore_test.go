package lease_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/platform"
)

// leaseSnapshot is a lease's row with its revision counter, and the counter of the
// table.
type leaseSnapshot struct {
	row          lease.Row
	rev, counter int64
}

// restorableTable holds a lease's row and can be restored from older snapshots.
type restorableTable struct {
	leaseSnapshot
	generation int64
	snapshots  []leaseSnapshot
}

func (t *restorableTable) takeSnapshot() { t.snapshots = append(t.snapshots, t.leaseSnapshot) }

func (t *restorableTable) restore(from leaseSnapshot) {
	t.generation++
	t.leaseSnapshot = from
}

// read returns the row and its revision in the current restore generation.
func (t *restorableTable) read() (lease.Row, int64) {
	return t.row, platform.RevisionOf(t.generation, t.rev)
}

func (t *restorableTable) write(row lease.Row, check int64) (int64, bool) {
	if check != 0 && check != platform.RevisionOf(t.generation, t.rev) || check == 0 && t.rev != 0 {
		return 0, false
	}
	t.counter++
	t.row, t.rev = row, t.counter
	return platform.RevisionOf(t.generation, t.rev), true
}

// orderProcess is a process that gives an order whenever it is allowed to.
type orderProcess struct {
	name        string
	machine     *lease.Lease
	frozenUntil time.Duration
	heldSince   time.Duration
	held        bool
}

// mayOrder applies the rule of package rolekeeper: a holder gives orders only once
// the last order of an earlier holder must have arrived.
func (o *orderProcess) mayOrder(now time.Duration) (lease.Grant, bool) {
	grant, held := o.machine.Held(now)
	if held && !o.held {
		o.heldSince = now
	}
	o.held = held
	return grant, held && (grant.First || grant.Resumed || now-o.heldSince >= modelSettings.Term)
}

// step carries out the next action of the state machine. The parameter answers
// says whether the table answers.
func (o *orderProcess) step(t *restorableTable, now time.Duration, answers bool) {
	switch action := o.machine.Tick(now); {
	case action.Kind == lease.None:
	case action.Kind == lease.Read && answers:
		row, revision := t.read()
		o.machine.OnRead(now, row, revision)
	case action.Kind == lease.Read:
		o.machine.OnReadFailed(now)
	case !answers:
		o.machine.OnWrite(now, lease.Unavailable, 0)
	default:
		if revision, ok := t.write(action.Row, action.Revision); ok {
			o.machine.OnWrite(now, lease.Committed, revision)
		} else {
			o.machine.OnWrite(now, lease.Conflicted, 0)
		}
	}
}

// issuedOrder is an order that a process gave.
type issuedOrder struct {
	by    string
	epoch int64
	at    time.Duration
}

// fataler is implemented by *testing.T and *rapid.T.
type fataler interface {
	Fatalf(format string, args ...any)
}

// restoreWorld is three processes with a table that is restored from older
// snapshots.
type restoreWorld struct {
	t         fataler
	table     *restorableTable
	processes []*orderProcess
	runs      int
	now       time.Duration
	last      issuedOrder
}

func newRestoreWorld(t fataler) *restoreWorld {
	w := &restoreWorld{t: t, table: &restorableTable{}}
	w.table.takeSnapshot()
	for i := range 3 {
		w.processes = append(w.processes, w.start(i))
	}
	w.simulate(5*time.Second, true)
	return w
}

func (w *restoreWorld) newID() string {
	w.runs++
	return fmt.Sprint(w.runs)
}

func (w *restoreWorld) start(i int) *orderProcess {
	name := fmt.Sprintf("p%d/run%s", i, w.newID())
	o := &orderProcess{name: name, machine: lease.New(name, modelSettings, w.newID)}
	o.machine.SetWatchPolicy(lease.RankSettings{Watchers: 3, ReadEvery: 500 * time.Millisecond, RankDelay: 300 * time.Millisecond}.WatchPolicy(i))
	return o
}

// simulate lets time pass, during which the table answers or is down.
func (w *restoreWorld) simulate(d time.Duration, answers bool) {
	for end := w.now + d; w.now < end; w.now += 50 * time.Millisecond {
		for _, o := range w.processes {
			if w.now < o.frozenUntil {
				continue
			}
			if grant, may := o.mayOrder(w.now); may {
				w.order(o, grant.Epoch)
			}
			o.step(w.table, w.now, answers)
		}
	}
}

// order records an order, and fails the test if it conflicts with the one before.
func (w *restoreWorld) order(o *orderProcess, epoch int64) {
	next := issuedOrder{o.name, epoch, w.now}
	otherProcess := w.last.by != "" && w.last.by != next.by
	if otherProcess && (epoch <= w.last.epoch || w.now-w.last.at < modelSettings.Term/2) || epoch < w.last.epoch {
		w.t.Fatalf("%+v follows %+v", next, w.last)
	}
	w.last = next
}

// loseAndRestore takes a snapshot, runs the table for a time whose writes are lost,
// keeps it down for a time, and restores it from the newest snapshot or the one
// before.
func (w *restoreWorld) loseAndRestore(lost, down time.Duration, older bool) {
	w.table.takeSnapshot()
	w.simulate(lost, true)
	w.simulate(down, false)
	n := len(w.table.snapshots) - 1
	if older {
		n = max(0, n-1)
	}
	w.table.restore(w.table.snapshots[n])
}

// checkFinalState fails the test unless some process holds the lease at the end,
// and every grant belongs to the current restore generation.
func (w *restoreWorld) checkFinalState() {
	w.simulate(20*time.Second, true)
	if w.now-w.last.at > time.Second {
		w.t.Fatalf("no process has given an order since %s, now is %s", w.last.at, w.now)
	}
	for _, o := range w.processes {
		if grant, held := o.machine.Held(w.now); held && platform.RestoreGenerationOf(grant.EpochRevision) != w.table.generation {
			w.t.Fatalf("%s depends on an epoch row that is missing after a restore", o.name)
		}
	}
}

// TestRestoredTableNeverYieldsTwoHolders guards against three faults after the
// table was restored from an older snapshot: two holders that alternate, a fencing
// number that decreases or is assigned again, and a lease that no process takes
// over any more. The snapshots vary in age and may lack the row; processes freeze
// and restart meanwhile.
func TestRestoredTableNeverYieldsTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tenths := func(most int, label string) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * 100 * time.Millisecond
		}
		w := newRestoreWorld(t)
		for range rapid.IntRange(3, 25).Draw(t, "events") {
			n := rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				w.table.takeSnapshot()
			case 1:
				w.loseAndRestore(tenths(80, "lost"), tenths(20, "away"), rapid.Bool().Draw(t, "older"))
			case 2:
				w.processes[n].frozenUntil = w.now + tenths(60, "frozen")
			case 3:
				w.processes[n] = w.start(n)
			case 4:
				w.processes[n].machine.Release()
				w.simulate(time.Second, true)
				w.processes[n].machine.ResumeWatching()
			case 5:
				w.simulate(tenths(80, "time"), true)
			}
		}
		w.checkFinalState()
	})
}

// TestFreeRowOfRestoredTableIsNotTakenAtOnce guards against two holders at the same
// time. A process that starts after a restore takes the lease because the snapshot
// says that it is free, while the earlier holder's term still runs. After the next
// restore, both would take it again at once.
func TestFreeRowOfRestoredTableIsNotTakenAtOnce(t *testing.T) {
	w := newRestoreWorld(t)
	const tenth = 100 * time.Millisecond
	w.loseAndRestore(tenth, 0, true)
	w.processes[1] = w.start(0) // the first choice
	w.simulate(2*tenth, true)
	if _, held := w.processes[1].machine.Held(w.now); held {
		t.Error("a process that has just started holds the lease while another process's term runs")
	}
	w.loseAndRestore(17*tenth, tenth, true)
	w.loseAndRestore(2*tenth, 5*tenth, true)
	w.simulate(5*tenth, true)
	w.loseAndRestore(21*tenth, 0, false)
	w.loseAndRestore(2*tenth, 0, false)
	w.checkFinalState()
}
