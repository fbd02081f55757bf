package lease_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/platform"
)

// leaseCopy is what a table keeps of a lease, and its counter.
type leaseCopy struct {
	row          lease.Row
	rev, counter int64
}

// returningTable has a lease's row, and comes back from older copies.
type returningTable struct {
	leaseCopy
	era    int64
	copies []leaseCopy
}

func (t *returningTable) keepCopy() { t.copies = append(t.copies, t.leaseCopy) }

func (t *returningTable) comeBack(from leaseCopy) {
	t.era++
	t.leaseCopy = from
}

// read returns the row, with the era of now.
func (t *returningTable) read() (lease.Row, int64) {
	return t.row, platform.RevisionOf(t.era, t.rev)
}

func (t *returningTable) write(row lease.Row, check int64) (int64, bool) {
	if check != 0 && check != platform.RevisionOf(t.era, t.rev) || check == 0 && t.rev != 0 {
		return 0, false
	}
	t.counter++
	t.row, t.rev = row, t.counter
	return platform.RevisionOf(t.era, t.rev), true
}

// orderer is a process that gives an order whenever it may.
type orderer struct {
	name        string
	machine     *lease.Lease
	frozenUntil time.Duration
	heldSince   time.Duration
	held        bool
}

// mayOrder is as the keeper of the roles has it: the last order of an earlier holder has arrived.
func (o *orderer) mayOrder(now time.Duration) (lease.Grant, bool) {
	grant, held := o.machine.Held(now)
	if held && !o.held {
		o.heldSince = now
	}
	o.held = held
	return grant, held && (grant.First || grant.Resumed || now-o.heldSince >= modelSettings.Term)
}

// step does what the machine asks for, if the table answers.
func (o *orderer) step(t *returningTable, now time.Duration, answers bool) {
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

// given is the newest order.
type given struct {
	by    string
	epoch int64
	at    time.Duration
}

// failer ends a test.
type failer interface {
	Fatalf(format string, args ...any)
}

// returningWorld is three processes before a table that comes back from older copies.
type returningWorld struct {
	t         failer
	table     *returningTable
	processes []*orderer
	runs      int
	now       time.Duration
	last      given
}

func newReturningWorld(t failer) *returningWorld {
	w := &returningWorld{t: t, table: &returningTable{}}
	w.table.keepCopy()
	for i := range 3 {
		w.processes = append(w.processes, w.start(i))
	}
	w.play(5*time.Second, true)
	return w
}

func (w *returningWorld) newID() string {
	w.runs++
	return fmt.Sprint(w.runs)
}

func (w *returningWorld) start(i int) *orderer {
	name := fmt.Sprintf("p%d/run%s", i, w.newID())
	o := &orderer{name: name, machine: lease.New(name, modelSettings, w.newID)}
	o.machine.SetWatchPolicy(lease.RankSettings{Watchers: 3, ReadEvery: 500 * time.Millisecond, RankDelay: 300 * time.Millisecond}.WatchPolicy(i))
	return o
}

// play lets time pass, in which the table answers or does not.
func (w *returningWorld) play(d time.Duration, answers bool) {
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

// order notes an order, and fails if it conflicts with the one before.
func (w *returningWorld) order(o *orderer, epoch int64) {
	next := given{o.name, epoch, w.now}
	other := w.last.by != "" && w.last.by != next.by
	if other && (epoch <= w.last.epoch || w.now-w.last.at < modelSettings.Term/2) || epoch < w.last.epoch {
		w.t.Fatalf("%+v follows %+v", next, w.last)
	}
	w.last = next
}

// comeBack has the table lose what happens in a time, be away, and come back from a copy: the
// newest one, or the one before.
func (w *returningWorld) comeBack(lost, away time.Duration, older bool) {
	w.table.keepCopy()
	w.play(lost, true)
	w.play(away, false)
	n := len(w.table.copies) - 1
	if older {
		n = max(0, n-1)
	}
	w.table.comeBack(w.table.copies[n])
}

// end fails unless some process has the lease in the end, of this era.
func (w *returningWorld) end() {
	w.play(20*time.Second, true)
	if w.now-w.last.at > time.Second {
		w.t.Fatalf("nobody has had the lease since %s, it is %s", w.last.at, w.now)
	}
	for _, o := range w.processes {
		if grant, held := o.machine.Held(w.now); held && platform.EraOf(grant.EpochRevision) != w.table.era {
			w.t.Fatalf("%s depends on an epoch's row that the table has lost", o.name)
		}
	}
}

// TestAReturnOfTheTableGivesNobodyASecondHolder guards against two holders that take turns, a fencing
// number that falls or is given out again, and a lease that nobody takes any more, since the table
// came back from an older copy: however old it is, with the row or without, and whoever stands still
// or begins anew meanwhile.
func TestAReturnOfTheTableGivesNobodyASecondHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tenths := func(most int, label string) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * 100 * time.Millisecond
		}
		w := newReturningWorld(t)
		for range rapid.IntRange(3, 25).Draw(t, "events") {
			n := rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				w.table.keepCopy()
			case 1:
				w.comeBack(tenths(80, "lost"), tenths(20, "away"), rapid.Bool().Draw(t, "older"))
			case 2:
				w.processes[n].frozenUntil = w.now + tenths(60, "frozen")
			case 3:
				w.processes[n] = w.start(n)
			case 4:
				w.processes[n].machine.Release()
				w.play(time.Second, true)
				w.processes[n].machine.ResumeWatching()
			case 5:
				w.play(tenths(80, "time"), true)
			}
		}
		w.end()
	})
}

// TestAFreeRowOfACopyIsNotTakenAtOnce guards against a process that begins after a return, takes the
// lease as the copy says that it is free, and holds it beside the one that has it still: both take
// it again at once after the next return.
func TestAFreeRowOfACopyIsNotTakenAtOnce(t *testing.T) {
	w := newReturningWorld(t)
	const tenth = 100 * time.Millisecond
	w.comeBack(tenth, 0, true)
	w.processes[1] = w.start(0) // the first choice
	w.play(2*tenth, true)
	if _, held := w.processes[1].machine.Held(w.now); held {
		t.Error("a process that has just begun has the lease, another one's term runs")
	}
	w.comeBack(17*tenth, tenth, true)
	w.comeBack(2*tenth, 5*tenth, true)
	w.play(5*tenth, true)
	w.comeBack(21*tenth, 0, false)
	w.comeBack(2*tenth, 0, false)
	w.end()
}
