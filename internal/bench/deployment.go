package bench

import (
	"strings"
	"time"

	"sassafrasfield/internal/loadgen"
)

// Sizes of today, by the brief. Entries are those of a fleet by default.
const (
	Entries  = 9
	engines  = 20
	services = 4
	// hosted engines share a process; the others have one each, to be killed
	// or stopped.
	hosted = engines - 2
)

// organisations that the load comes from.
const organisations = 12

// Deployment is one of the users' two.
type Deployment struct {
	Name  string
	Zones []string
	// Prefix is the path of the plain service.
	Prefix string
	// RoleChangeWeight is how much a role change costs there.
	RoleChangeWeight float64
	Scenario         func(phase time.Duration, rate float64) loadgen.Scenario
}

// Deployments returns both.
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

// Variant is one way to run the system that the comparison sets beside the
// others.
type Variant struct {
	Name string
	// EntryTables are the lines of sf-entry's settings that make it.
	EntryTables string
	// Adjust changes the load, such as its priorities; nil leaves it.
	Adjust func(loadgen.Scenario) loadgen.Scenario
}

// admitAll turns admission's queue and refusals off, so that what is compared
// is routing.
const admitAll = "[admission]\nearly_refusal = false\nlimit_concurrency = false\nbacklog = \"0s\"\n"

// Variants returns the routing policies, a to e and h to i, and mixed engines
// with priorities, g. All engines are mixed here; f, which changes roles, is in
// the comparison of roles. The last one, j, has admission as well, and its
// callers tell their deadline.
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
		{Name: "j estimate, admission", EntryTables: "[routing]\npolicy = \"estimate\"\n", Adjust: tellDeadline},
	}
}

// shortPromptsFirst gives the class with the short prompts a higher priority.
func shortPromptsFirst(s loadgen.Scenario) loadgen.Scenario {
	s.Classes[1].Priority = 1
	return s
}

// tellDeadline has callers name the bound of a good answer as their deadline.
func tellDeadline(s loadgen.Scenario) loadgen.Scenario {
	s.Deadline = s.Bounds.FirstToken
	return s
}

// VariantsNamed returns the variants whose names start with one of the
// letters, or all when there is none.
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
