package model

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

var study = flag.Bool("study", false, "compare the ways of choosing engines in all fleets")

// kitamiEngine is an engine of the customer with callers that compete for insufficient capacity.
func kitamiEngine() EngineSpec {
	return EngineSpec{
		TokenTime: 16340, TransferTime: 109, Step: 637 * time.Microsecond, StepPerRequest: 3190, StepPerContext: 2130,
		Chunk: 4096, Slots: 64, MemoryTokens: 534448, EventTokens: 52, RoleChange: 3 * time.Second,
	}
}

// kitami is the customer's prompts on a part of its fleet: 330 prompts a second on 65 prefill engines.
func kitami(instances, prefill, decode, zones int, partsFactor float64) Pattern {
	scale := float64(prefill) / 65
	parts := func(n float64) int { return max(1, int(n*partsFactor*scale)) }
	return Pattern{
		Name: fmt.Sprintf("%d instances", instances), Length: 10 * time.Second,
		Fleet: Fleet{
			Zones: zones, Instances: instances, Engines: prefill + decode, SeparatePrefill: true, ReportLag: 50 * time.Millisecond,
			Engine: kitamiEngine(),
		},
		Class: []Class{
			{Name: "log-triage", Rate: 94.1 * scale, Shared: 13300, Own: 3720, Answer: 60, Spread: 0.3, Parts: parts(1000), Skew: 0.3, Objective: 600 * time.Millisecond, MaxGap: time.Second, WaitBudget: 5 * time.Second},
			{Name: "patch-review", Rate: 71.2 * scale, Shared: 6300, Own: 2890, Answer: 60, Spread: 0.3, Parts: parts(500), Skew: 0.3, Objective: 400 * time.Millisecond, MaxGap: time.Second, WaitBudget: 3 * time.Second},
			{Name: "pkg-ask", Rate: 165 * scale, Shared: 350, Own: 1110, Answer: 60, Spread: 0.3, Parts: parts(500), Skew: 0.3, Objective: 300 * time.Millisecond, MaxGap: time.Second, WaitBudget: 5 * time.Second},
		},
	}
}

func (r *Result) row() string {
	at := func(q float64) float64 { return float64(r.PromptWait.ValueAtQuantile(q)) / 1e3 }
	return fmt.Sprintf("%-16s %-28s n %5d util %.2f wait %4.0f %4.0f %5.0f beyond %5.1f%% again %5.2fM fetch %5.2fM moved %5.1fM busiest %.2f late %4.1f%% %4.1f%% %4.1f%% msgs/prompt %.2f cand %.1f",
		r.Pattern, r.Policy, r.Prompts, r.Utilization, at(50), at(90), at(99), 100*float64(r.Beyond)/float64(max(1, r.Prompts)), float64(r.AgainTokens)/1e6,
		float64(r.FetchedTokens)/1e6, float64(r.TransferredTokens)/1e6, r.BusiestShare,
		100*(1-r.OnTime("log-triage")), 100*(1-r.OnTime("patch-review")), 100*(1-r.OnTime("pkg-ask")),
		float64(r.Messages)/float64(max(1, r.Prompts)), float64(r.Candidates)/float64(max(1, r.Prompts)))
}

// compare runs policies on patterns, some of them at a time.
func compare(t *testing.T, patterns []Pattern, policies []Policy) {
	t.Helper()
	var rows []func() string
	for _, p := range patterns {
		for _, policy := range policies {
			policy.KnownTimes, policy.Prefill = true, 13
			rows = append(rows, func() string { return Run(p, policy, 1).row() })
		}
	}
	lines := make([]string, len(rows))
	slots := make(chan bool, 3)
	var group sync.WaitGroup
	for i, row := range rows {
		group.Go(func() {
			slots <- true
			lines[i] = row()
			<-slots
		})
	}
	group.Wait()
	t.Log("\n" + strings.Join(lines, "\n"))
}

// Explores.
func TestExplore(t *testing.T) {
	if !*study {
		t.Skip()
	}
	var patterns []Pattern
	for _, f := range []float64{1, 10} {
		for _, uneven := range []Unevenness{{}, {Share: 0.2, Factor: 2.5, Noise: 0.2}, {Share: 0.2, Factor: 2.5, Period: 4 * time.Second, Noise: 0.2}} {
			p := kitami(75, 65, 25, 4, f)
			p.Name, p.Fleet.Uneven = fmt.Sprintf("x%v %v %v", f, uneven.Share, uneven.Period), uneven
			patterns = append(patterns, p)
		}
	}
	p := kitami(75, 65, 25, 4, 0.1)
	p.Name = "hot part"
	p.Class[0].Skew = 2
	patterns = append(patterns, p)
	policies := []Policy{
		{Name: "reports"},
		{Name: "reserved", Choice: ChoiceReserved, MaxCopyShare: 0.25},
		{Name: "reserved 2nd 20", Choice: ChoiceReserved, MaxCopyShare: 0.25, SecondZoneAbove: 20 * time.Millisecond},
		{Name: "reserved 2nd 50", Choice: ChoiceReserved, MaxCopyShare: 0.25, SecondZoneAbove: 50 * time.Millisecond},
		{Name: "reserved 2nd 100", Choice: ChoiceReserved, MaxCopyShare: 0.25, SecondZoneAbove: 100 * time.Millisecond},
	}
	compare(t, patterns, policies)
}
