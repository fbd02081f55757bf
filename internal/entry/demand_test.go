package entry

import (
	"math"
	"testing"
	"time"
)

func TestDemandUsesSlidingWindow(t *testing.T) {
	m := newDemandMeter(10 * time.Second)
	for at := time.Duration(0); at < 30*time.Second; at += 100 * time.Millisecond {
		m.add("main", tokenCounts{prefill: 50}, at)
		m.addGenerated("main", at)
	}
	near := func(got, want float64) bool { return math.Abs(got-want) <= 0.06*want }
	full := m.report(30 * time.Second)
	if len(full) != 1 || !near(full[0].PrefillTokens, 500) || !near(full[0].DecodeTokens, 10) {
		t.Errorf("steady work: %v, want 500 and 10 tokens per second", full)
	}
	if half := m.report(35 * time.Second); !near(half[0].PrefillTokens, 250) {
		t.Errorf("5 s after the end: %v, want 250", half)
	}
	if later := m.report(50 * time.Second); later[0].PrefillTokens != 0 || later[0].DecodeTokens != 0 {
		t.Errorf("20 s after the end: %v, want 0", later)
	}
}

func TestDemandOfNewEntryIsNotDiluted(t *testing.T) {
	m := newDemandMeter(10 * time.Second)
	for at := 60 * time.Second; at < 62*time.Second; at += 100 * time.Millisecond {
		m.add("main", tokenCounts{prefill: 50}, at)
	}
	if got := m.report(62 * time.Second)[0].PrefillTokens; math.Abs(got-500) > 30 {
		t.Errorf("%v tokens per second 2 s after the first work, want 500", got)
	}
}

func TestRefusedPromptsCountAsDemand(t *testing.T) {
	m := newDemandMeter(10 * time.Second)
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		m.add("main", tokenCounts{prefill: 50, prompts: 1}, at)
		for range 3 {
			m.addGenerated("main", at)
		}
		m.addRefused("main", 50, at)
	}
	got := m.report(20 * time.Second)[0]
	if math.Abs(got.PrefillTokens-1000) > 60 || math.Abs(got.DecodeTokens-60) > 6 {
		t.Errorf("%v, want twice the admitted 500 and 30 tokens per second", got)
	}
}
