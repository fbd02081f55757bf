package attempt

import (
	"testing"

	"sassafrasfield/internal/outcome"
)

// TestResumedAttemptsKeepTheBounds guards against a request that is sent more often, or for less, because two
// instances send it.
func TestResumedAttemptsKeepTheBounds(t *testing.T) {
	first := New(Rules{Repeatable: true, MaxRuns: 2, MaxSends: 4})
	if err := first.Sent(); err != nil {
		t.Fatal(err)
	}
	first.ledger.Arrived(false)
	first.Failed("u", false, nil)
	second := Resume(first.rules, first.History())
	if got := second.ledger.due(second.arrivals() + 1); got != 1 {
		t.Errorf("%d retries are due for the second send", got)
	}
	if err := second.Sent(); err != nil {
		t.Errorf("a second run of a repeatable request: %v", err)
	}
	second.Failed("v", false, nil)
	if second.MaySend() {
		t.Error("a third run is allowed")
	}
	once := Resume(Rules{}, History{Arrivals: 1, Runs: 1})
	if err := once.Sent(); err == nil || once.Outcome() != outcome.Unknown {
		t.Errorf("a request that may have run is sent again: %v, outcome %v", err, once.Outcome())
	}
	fresh := Resume(Rules{}, History{})
	if err := fresh.Sent(); err != nil {
		t.Errorf("the first send: %v", err)
	}
}

// TestMergedHistoryIsNotChargedTwice guards against sends of another instance that are counted twice or not at all.
func TestMergedHistoryIsNotChargedTwice(t *testing.T) {
	a := New(Rules{Repeatable: true, MaxSends: 4})
	a.Merge(History{Arrivals: 2, Paid: 1, Prefilled: false})
	a.Merge(History{Arrivals: 2, Paid: 1})
	if h := a.History(); h.Arrivals != 2 || h.Paid != 1 {
		t.Errorf("%+v", h)
	}
	if due := a.ledger.due(a.arrivals() + 1); due != 1 {
		t.Errorf("%d retries are due", due)
	}
}
