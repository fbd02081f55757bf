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

// faultyTable is one row with drawn faults. Its checks are never stale.
type faultyTable struct {
	platform.Objects
	mu       sync.Mutex // protects all below
	faults   []int
	history  []platform.Row // newest last; Revision is the index plus 1
	late     []platform.Txn
	reliable bool
}

// Faults of a call.
const (
	faultNone = iota
	faultUnavailable
	faultLostRequest
	faultLostReply
	faultLate
	faults
)

func (f *faultyTable) fault() int {
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
	fault := f.fault()
	if fault != faultLate && len(f.late) > 0 {
		_, _ = f.apply(f.late[0]) // nobody waits for its reply
		f.late = f.late[1:]
	}
	switch fault {
	case faultUnavailable:
		return 0, platform.ErrUnavailable
	case faultLostRequest:
		return 0, platform.ErrUnknown
	case faultLostReply:
		_, _ = f.apply(txn) // its outcome is lost
		return 0, platform.ErrUnknown
	case faultLate:
		f.late = append(f.late, txn)
		return 0, platform.ErrUnknown
	}
	return f.apply(txn)
}

// Get returns the newest row, or one that is older by the drawn fault.
func (f *faultyTable) Get(context.Context, string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.fault()
	if fault == faultUnavailable {
		return platform.Row{}, platform.ErrUnavailable
	}
	if at := len(f.history) - fault; at > 0 {
		return f.history[at-1], nil
	}
	return platform.Row{}, platform.ErrNotFound
}

func (f *faultyTable) List(context.Context, string) ([]platform.Row, error) { return nil, nil }

// TestAnyFaults repeats one call on two instances while each call to the table
// meets a drawn fault. It runs once at most, each answer is that run's, and "not
// run" is true of the call that is told so.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := &faultyTable{faults: rapid.SliceOfN(rapid.IntRange(0, faults-1), 0, 40).Draw(rt, "faults")}
		ends := rapid.SliceOfN(rapid.SampledFrom([]error{nil, service.ErrNotRun, service.ErrUnknown}), 8, 8).Draw(rt, "ends")
		failure := ""
		synctest.Test(t, func(*testing.T) { failure = repeatCalls(table, ends) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// repeatCalls makes a call once for each end that a run of it would have, and
// returns what was wrong.
func repeatCalls(table *faultyTable, ends []error) string {
	runners := []*Runner{
		New(table, Default(), "inst-1", slog.New(slog.DiscardHandler)),
		New(table, Default(), "inst-2", slog.New(slog.DiscardHandler)),
	}
	defer runners[0].Wait()
	defer runners[1].Wait()
	runs, answer := 0, ""
	for n, end := range ends {
		if n == len(ends)-1 {
			runners[0].Wait()
			runners[1].Wait()
			table.reliable = true
		}
		before := runs
		got, err := runners[n%2].Do(context.Background(), "claim/k", certificate, func(context.Context) (service.Answer, error) {
			if errors.Is(end, service.ErrNotRun) {
				return service.Answer{}, end
			}
			runs++
			answer = fmt.Sprintf("run %d", runs)
			return service.Answer{Body: []byte(answer)}, end
		})
		switch {
		case runs > 1:
			return fmt.Sprintf("call %d ran again", n)
		case err == nil && string(got.Body) != answer:
			return fmt.Sprintf("call %d: answer %q, want %q", n, got.Body, answer)
		case errors.Is(err, ErrNotRun) && runs != before:
			return fmt.Sprintf("call %d ran and was told not run", n)
		case errors.Is(err, ErrMismatch):
			return fmt.Sprintf("call %d: %v", n, err)
		}
	}
	return ""
}
