package model

import (
	"strings"
	"testing"
	"time"

	"sassafrasfield/internal/settings"
)

// reservationStudy returns the example study, with patterns and policies by name.
func reservationStudy(t *testing.T) (map[string]Pattern, map[string]Policy) {
	t.Helper()
	study := &Study{}
	if err := settings.Load("../../examples/model/reservations.toml", study); err != nil {
		t.Fatal(err)
	}
	patterns, policies := map[string]Pattern{}, map[string]Policy{}
	for _, p := range study.Pattern {
		patterns[p.Name] = p
	}
	for _, p := range study.Policy {
		policies[p.Name] = p
	}
	return patterns, policies
}

// runShort runs a pattern of the study for some seconds.
func runShort(t *testing.T, length time.Duration, pattern, policy string) *Result {
	t.Helper()
	patterns, policies := reservationStudy(t)
	p, ok := patterns[pattern]
	way, known := policies[policy]
	if !ok || !known {
		t.Fatalf("no pattern %q or no policy %q", pattern, policy)
	}
	p.Length = length
	r := Run(p, way, 1)
	t.Logf("%s, %s: %d prompts at %.0f%%, wait %.0f, %.0f, %.0f ms, beyond %.3f", pattern, policy, r.Prompts, 100*r.Utilization,
		r.waitMillis(50), r.waitMillis(90), r.waitMillis(99), r.BeyondShare())
	return r
}

// Guards against prompts that wait while other engines are idle. 99% are to be processed within a cold read on an
// idle engine plus 150 ms while under two thirds of the engines are busy. By reports, 24% took longer.
func TestReservationsMeetTheAimOnEvenEngines(t *testing.T) {
	const length = 3 * time.Second
	reports, reserved := runShort(t, length, "75 instances", "reports"), runShort(t, length, "75 instances", "reserved")
	if reserved.BeyondShare() > 0.01 || reports.BeyondShare() < 0.1 {
		t.Errorf("%.3f with reservations, %.3f by reports", reserved.BeyondShare(), reports.BeyondShare())
	}
	if late := 1 - reserved.OnTime("log-triage"); late > 0.05 {
		t.Errorf("%.3f of log-triage late", late)
	}
	if late := 1 - reserved.OnTime("patch-review"); late > 0.04 {
		t.Errorf("%.3f of reviews late", late)
	}
}

// Guards against engines that get as many prompts as the others although they are slow for seconds.
func TestLearnedSpeedsAvoidSlowEngines(t *testing.T) {
	const pattern = "75 instances, a fifth of the engines 2.5 times slower"
	learned, usual := runShort(t, 3*time.Second, pattern, "reserved"), runShort(t, 3*time.Second, pattern, "reserved, usual speed")
	if learned.OnTime("log-triage") < usual.OnTime("log-triage")+0.02 || learned.Utilization >= usual.Utilization {
		t.Errorf("on time %.3f at utilization %.2f with speeds, %.3f at %.2f without", learned.OnTime("log-triage"), learned.Utilization,
			usual.OnTime("log-triage"), usual.Utilization)
	}
}

// Guards against a zone of few engines whose prompts wait although another zone has idle ones. With 8 engines in two
// zones, by reports 20% took 150 ms longer than a cold read, with one zone 5%, with two 2%.
func TestSecondZoneHelpsSmallFleets(t *testing.T) {
	const length = 40 * time.Second
	reports := runShort(t, length, "9 instances", "reports")
	one, two := runShort(t, length, "9 instances", "reserved"), runShort(t, length, "9 instances", "reserved, second zone")
	if two.BeyondShare() > 0.5*one.BeyondShare() || two.BeyondShare() > 0.125*reports.BeyondShare() {
		t.Errorf("%.3f by reports, %.3f with one zone, %.3f with two", reports.BeyondShare(), one.BeyondShare(), two.BeyondShare())
	}
}

// Guards against copies of shared parts that cost throughput when engines are overloaded and their memory holds one
// copy of each part: with a price bounded by the work alone, the credit fell from 0.89 to 0.71.
func TestReservationsKeepThroughputInOverload(t *testing.T) {
	const pattern, length = "overload, memory for one copy", 34 * time.Second
	reports, reserved := runShort(t, length, pattern, "reports"), runShort(t, length, pattern, "reserved, second zone")
	if reserved.Credit() < reports.Credit()-0.03 {
		t.Errorf("credit %.3f with reservations, %.3f by reports", reserved.Credit(), reports.Credit())
	}
}

// Guards against lost datagrams that leave engines reserved, and against instances that stop asking after one loss.
func TestLostMessagesCostLittle(t *testing.T) {
	const pattern = "75 instances, 5% of messages lost"
	reports, reserved := runShort(t, 3*time.Second, pattern, "reports"), runShort(t, 3*time.Second, pattern, "reserved, messages repeated")
	if reserved.BeyondShare() > 0.25*reports.BeyondShare() {
		t.Errorf("%.3f with reservations, %.3f by reports", reserved.BeyondShare(), reports.BeyondShare())
	}
}

// Guards against prompts that are lost or worse off than by reports when all hubs are lost for a second.
func TestLostHubsLeaveReports(t *testing.T) {
	const pattern = "75 instances, hubs lost for 1 s"
	reports, reserved := runShort(t, 6*time.Second, pattern, "reports"), runShort(t, 6*time.Second, pattern, "reserved, messages repeated")
	if reserved.BeyondShare() > 0.5*reports.BeyondShare() || reserved.Prompts < reports.Prompts {
		t.Errorf("%.3f of %d with reservations, %.3f of %d by reports", reserved.BeyondShare(), reserved.Prompts, reports.BeyondShare(), reports.Prompts)
	}
	if young := 1 - reserved.OnTime("pkg-ask"); young > 0.05 {
		t.Errorf("%.3f of pkg-ask late", young)
	}
}

// Guards against a choice in a study that is misspelt and runs as another one.
func TestStudyRejectsUnknownChoice(t *testing.T) {
	path := t.TempDir() + "/study.toml"
	writeFile(t, path, "[[policy]]\nname = \"p\"\nchoice = \"guess\"\n")
	if err := settings.Load(path, &Study{}); err == nil || !strings.Contains(err.Error(), "policy.choice") {
		t.Errorf("%v", err)
	}
}
