package placement

import (
	"fmt"
	"testing"
	"time"
)

// withVersions gives the engines the two software versions in turn, each in both roles and zones.
func withVersions(list []Candidate) []Candidate {
	for i := range list {
		list[i].SoftwareVersion = fmt.Sprintf("v%d", i%2+1)
	}
	return list
}

// without returns the engines except one.
func without(list []Candidate, id string) []Candidate {
	var kept []Candidate
	for _, c := range list {
		if c.ID != id {
			kept = append(kept, c)
		}
	}
	return kept
}

// TestPromptIsProcessedWhereItsVersionCanGenerate guards against KV caches that no engine of their version can use.
func TestPromptIsProcessedWhereItsVersionCanGenerate(t *testing.T) {
	list := withVersions(newSplitEngines(6, 2)) // d0 has v1, d1 has v2
	for _, gone := range []string{"d0", "d1"} {
		left := map[string]string{"d0": "v2", "d1": "v1"}[gone]
		for n := range 20 {
			p := longPrompt
			p.Parts = []Part{{fmt.Sprint("shared", n), 13000}, {"own", 4000}}
			if start := pickPrefill(t, p, without(list, gone)); start.Engine.SoftwareVersion != left {
				t.Fatalf("without %s the prompt is processed by %s (%s)", gone, start.Engine.ID, start.Engine.SoftwareVersion)
			}
		}
	}
	across := costs
	across.KVAcrossVersions = true
	versions := map[string]bool{}
	for n := range 20 {
		p := longPrompt
		p.Parts = []Part{{fmt.Sprint("shared", n), 13000}, {"own", 4000}}
		start, ok := scheduler.PickPrefill(&Request{Prompt: p, Costs: across}, without(list, "d0"), rng())
		versions[start.Engine.SoftwareVersion] = ok
	}
	if len(versions) != 2 {
		t.Errorf("with any KV cache, prompts are processed by engines of %v", versions)
	}
}

// TestPromptIsProcessedWhereItsVersionHasRoom guards against prompts of a version whose engines that generate are full.
func TestPromptIsProcessedWhereItsVersionHasRoom(t *testing.T) {
	list := modify(withVersions(newSplitEngines(6, 2)), "d0", func(c *Candidate) { c.Aggregate.Requests = 200 })
	for n := range 20 {
		p := longPrompt
		p.Parts = []Part{{fmt.Sprint("shared", n), 13000}, {"own", 4000}}
		if start := pickPrefill(t, p, list); start.Engine.SoftwareVersion != "v2" {
			t.Fatalf("the prompt is processed by %s, although %s has 200 requests", start.Engine.ID, "d0")
		}
	}
}

// TestSharedPartIsFetchedWithinAVersion guards against KV caches of another version.
func TestSharedPartIsFetchedWithinAVersion(t *testing.T) {
	list := newSplitEngines(3, 2)
	for i := range list {
		list[i].SoftwareVersion = "v2"
	}
	first := pickPrefill(t, longPrompt, list).Engine.ID
	busy := func(c *Candidate) { c.Aggregate.Backlog, c.Aggregate.CachedTokens = time.Minute, 13000 }
	if start := pickPrefill(t, longPrompt, modify(list, first, busy)); start.Source.ID != first {
		t.Fatalf("fetches from %q, want %s of the same version", start.Source.ID, first)
	}
	for _, id := range []string{first, "d0"} { // the other version can generate, too
		list = modify(list, id, func(c *Candidate) { c.SoftwareVersion = "v1" })
	}
	if start := pickPrefill(t, longPrompt, list); start.Engine.SoftwareVersion != "v2" || start.Source.ID != "" {
		t.Errorf("%s (%s) fetches from %q", start.Engine.ID, start.Engine.SoftwareVersion, start.Source.ID)
	}
}

// TestRequiredVersionIsKept guards against engines of another version in any phase of a request that requires one.
func TestRequiredVersionIsKept(t *testing.T) {
	for _, across := range []bool{false, true} {
		c := costs
		c.KVAcrossVersions = across
		for _, p := range []Prompt{longPrompt, {Tokens: 100}} {
			req := &Request{Prompt: p, Costs: c, SoftwareVersion: "v2"}
			list := withVersions(newSplitEngines(6, 4))
			start, ok := scheduler.PickPrefill(req, list, rng())
			decode, okDecode := scheduler.PickDecode(req, list, rng())
			if !ok || !okDecode || start.Engine.SoftwareVersion != "v2" || decode.SoftwareVersion != "v2" {
				t.Errorf("across versions %t: %s and %s", across, start.Engine.ID, decode.ID)
			}
			req.SoftwareVersion = "v3"
			if start, ok := scheduler.PickPrefill(req, list, rng()); ok {
				t.Errorf("%s was chosen for a version that no engine has", start.Engine.ID)
			}
			if scheduler.CanGenerate(req, list) {
				t.Error("a version that no engine has can generate")
			}
		}
	}
}

// TestAvoidedVersionGetsNoPrompt guards against prompts at an avoided version, also if all engines have one.
func TestAvoidedVersionGetsNoPrompt(t *testing.T) {
	list := withVersions(newSplitEngines(6, 2))
	for avoided, want := range map[string]string{"v1": "v2", "v2": "v1"} {
		req := &Request{Prompt: longPrompt, Costs: costs, AvoidedVersions: []string{avoided}}
		if start, ok := scheduler.PickPrefill(req, list, rng()); !ok || start.Engine.SoftwareVersion != want {
			t.Errorf("with %s avoided: %s (%t)", avoided, start.Engine.SoftwareVersion, ok)
		}
		req.AvoidedVersions = []string{"v1", "v2"}
		if start, ok := scheduler.PickPrefill(req, list, rng()); ok {
			t.Errorf("with both avoided: %s", start.Engine.SoftwareVersion)
		}
	}
}
