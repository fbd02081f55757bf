package idempotency

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/service"
)

// faultyTable is a table of one row with randomly drawn faults. Its revision checks are never stale.
type faultyTable struct {
	platform.Objects
	mu       sync.Mutex // protects all below
	faults   []int
	history  []platform.Row // newest last; Revision is the index plus 1
	delayed  []platform.Txn
	reliable bool
}

// Faults of a call to the table.
const (
	faultNone = iota
	faultUnavailable
	faultLostRequest
	faultLostReply
	faultDelayed
	faults
)

func (f *faultyTable) nextFault() int {
	if f.reliable || len(f.faults) == 0 {
		return faultNone
	}
	drawn := f.faults[0]
	f.faults = f.faults[1:]
	return drawn
}

func (f *faultyTable) apply(txn platform.Txn) (int64, error) {
	if txn.Checks[0].Revision != int64(len(f.history)) {
		return 0, platform.ErrConflict
	}
	row := platform.Row{Key: txn.Writes[0].Key, Value: txn.Writes[0].Value, Revision: int64(len(f.history) + 1)}
	f.history = append(f.history, row)
	return row.Revision, nil
}

func (f *faultyTable) Commit(_ context.Context, txn platform.Txn) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.nextFault()
	if fault != faultDelayed && len(f.delayed) > 0 {
		_, _ = f.apply(f.delayed[0]) // its caller has already got ErrUnknown
		f.delayed = f.delayed[1:]
	}
	switch fault {
	case faultUnavailable:
		return 0, platform.ErrUnavailable
	case faultLostRequest:
		return 0, platform.ErrUnknown
	case faultLostReply:
		_, _ = f.apply(txn) // the reply is lost
		return 0, platform.ErrUnknown
	case faultDelayed:
		f.delayed = append(f.delayed, txn)
		return 0, platform.ErrUnknown
	}
	return f.apply(txn)
}

// Get returns the newest row, or a stale one: the value of the drawn fault is the number of revisions by
// which the row is older.
func (f *faultyTable) Get(context.Context, string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.nextFault()
	if fault == faultUnavailable {
		return platform.Row{}, platform.ErrUnavailable
	}
	if at := len(f.history) - fault; at > 0 {
		return f.history[at-1], nil
	}
	return platform.Row{}, platform.ErrNotFound
}

func (f *faultyTable) List(context.Context, string) ([]platform.Row, error) { return nil, nil }

// TestKeyedCallUnderTableFaults repeats one call on two instances while calls to the table have random
// faults. It checks that the call runs at most once, that each answer is the answer of that run, and that a
// call which gets ErrNotRun has not run.
func TestKeyedCallUnderTableFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := &faultyTable{faults: rapid.SliceOfN(rapid.IntRange(0, faults-1), 0, 40).Draw(rt, "faults")}
		outcomes := rapid.SliceOfN(rapid.SampledFrom([]error{nil, service.ErrNotRun, service.ErrUnknown}), 8, 8).Draw(rt, "ends")
		failure := ""
		synctest.Test(t, func(*testing.T) { failure = repeatCallsUnderFaults(table, outcomes) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// repeatCallsUnderFaults repeats a call once for each outcome that a run of it would have. It returns a
// description of the first violation, or an empty string.
func repeatCallsUnderFaults(table *faultyTable, outcomes []error) string {
	runners := []*Runner{
		New(table, Default(), "inst-1", slog.New(slog.DiscardHandler)),
		New(table, Default(), "inst-2", slog.New(slog.DiscardHandler)),
	}
	defer runners[0].Wait()
	defer runners[1].Wait()
	runs, answer := 0, ""
	for n, outcome := range outcomes {
		if n == len(outcomes)-1 {
			runners[0].Wait()
			runners[1].Wait()
			table.reliable = true
		}
		before := runs
		got, err := runners[n%2].Do(context.Background(), "claim/k", certificate, func(context.Context) (service.Answer, error) {
			if errors.Is(outcome, service.ErrNotRun) {
				return service.Answer{}, outcome
			}
			runs++
			answer = fmt.Sprintf("run %d", runs)
			return service.Answer{Body: []byte(answer)}, outcome
		})
		switch {
		case runs > 1:
			return fmt.Sprintf("call %d ran again", n)
		case err == nil && string(got.Body) != answer:
			return fmt.Sprintf("call %d: answer %q, want %q", n, got.Body, answer)
		case errors.Is(err, ErrNotRun) && runs != before:
			return fmt.Sprintf("call %d ran and got ErrNotRun", n)
		case errors.Is(err, ErrMismatch):
			return fmt.Sprintf("call %d: %v", n, err)
		}
	}
	return ""
}
