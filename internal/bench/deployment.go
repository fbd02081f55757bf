package bench

import (
	"strings"
	"time"

	"sassafrasfield/internal/loadgen"
)

// Current sizes of the deployments, from their requirements. Entries is the default number of entries of a
// fleet.
const (
	Entries      = 9
	engineCount  = 20
	serviceCount = 4
	// hostedEngines is the number of engines that share one process. Each of the others has its own process,
	// so that it can be killed or stopped.
	hostedEngines = engineCount - 2
)

// organisationCount is the number of organisations that send requests.
const organisationCount = 12

// Deployment is the deployment of one of the two users.
type Deployment struct {
	Name  string
	Zones []string
	// Prefix is the path prefix of the plain service.
	Prefix string
	// RoleChangeWeight is the weight of the cost of a role change.
	RoleChangeWeight float64
	Scenario         func(phase time.Duration, rate float64) loadgen.Scenario
}

// Deployments returns the deployments of both users.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "qoton-trace", Zones: []string{"hall-a", "hall-b", "hall-c", "hall-d"},
			Prefix: "/bales", RoleChangeWeight: 1, Scenario: loadgen.QotonTrace,
		},
		{
			Name: "agedim", Zones: []string{"zona-4", "mixco", "antigua", "villa-nueva"},
			Prefix: "/portal", RoleChangeWeight: 10, Scenario: loadgen.AGEDIM,
		},
	}
}

// Variant is a configuration of the system to compare.
type Variant struct {
	Name string
	// EntryTables are the settings of sf-entry for this variant, as TOML.
	EntryTables string
	// Adjust changes the load, such as its priorities; nil leaves it unchanged.
	Adjust func(loadgen.Scenario) loadgen.Scenario
}

// admitAll disables the admission queue and refusals, so that the comparison measures routing alone.
const admitAll = "[admission]\nearly_refusal = false\nlimit_concurrency = false\nbacklog = \"0s\"\n"

// Variants returns the variants: a to e, h and i are routing policies; g adds priorities. All engines have
// the mixed role here. Variant f, which changes roles, is part of the comparison of roles. Variant j also
// enables admission, and its callers send the bound of a good response as their deadline.
func Variants() []Variant {
	routing := func(policy string) string { return "[routing]\npolicy = \"" + policy + "\"\n" + admitAll }
	return []Variant{
		{Name: "a round-robin", EntryTables: routing("round-robin")},
		{Name: "b report", EntryTables: routing("report")},
		{Name: "c local", EntryTables: routing("local")},
		{Name: "d charge", EntryTables: routing("charge")},
		{Name: "e charge-prefix", EntryTables: routing("charge-prefix")},
		{Name: "g estimate, priorities", EntryTables: routing("estimate"), Adjust: shortPromptsFirst},
		{Name: "h estimate", EntryTables: routing("estimate")},
		{Name: "i local-prefix", EntryTables: routing("local-prefix")},
		{Name: "j estimate, admission", EntryTables: "[routing]\npolicy = \"estimate\"\n", Adjust: sendDeadline},
	}
}

// shortPromptsFirst gives the class with the short prompts a higher priority.
func shortPromptsFirst(s loadgen.Scenario) loadgen.Scenario {
	s.Classes[1].Priority = 1
	return s
}

// sendDeadline makes callers send the bound of a good response as their deadline.
func sendDeadline(s loadgen.Scenario) loadgen.Scenario {
	s.Deadline = s.Bounds.FirstToken
	return s
}

// VariantsNamed returns the variants whose names start with one of the letters, or all variants if there are
// no letters.
func VariantsNamed(letters []string) []Variant {
	if len(letters) == 0 {
		return Variants()
	}
	var chosen []Variant
	for _, v := range Variants() {
		for _, letter := range letters {
			if strings.HasPrefix(v.Name, letter) {
				chosen = append(chosen, v)
			}
		}
	}
	return chosen
}
