package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/testcrowd"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

// Crowds of clients at one sf-entry, and what it may take: memory, with the bytes that were received and not read, and
// descriptors, of which some must stay free for upstreams, the platform and files.
const (
	crowdClients     = 600
	crowdMemoryMB    = 96
	crowdDescriptors = 400
	freeDescriptors  = 100
)

func crowdTarget(method, path string) testcrowd.Target {
	return testcrowd.Target{Method: method, Path: path, Host: "entry.example"}
}

// asCaller returns the target with the API key of a known organisation.
func asCaller(target testcrowd.Target) testcrowd.Target {
	target.Header = "Authorization: Bearer " + apiKey + "\r\n"
	return target
}

// Targets of crowds.
var (
	completions = crowdTarget(http.MethodPost, "/v1/chat/completions")
	portal      = crowdTarget(http.MethodPost, "/portal/status")
	probe       = crowdTarget(http.MethodGet, "/readyz")
)

const (
	crowdHead = 60000   // within the default limit
	crowdBody = 1 << 20 // a quarter of the default limit
)

// crowdCase is a crowd at an entry.
type crowdCase struct {
	name   string
	client testcrowd.Client
}

var memoryCrowds = []crowdCase{
	{"distinct fields", completions.ManyFields(testcrowd.Fields{Bytes: crowdHead})},
	{"distinct fields and a short body", completions.ManyFields(testcrowd.Fields{Bytes: crowdHead, Ended: true})},
	{"one field many times and a short body", completions.ManyFields(testcrowd.Fields{Bytes: crowdHead, Same: true, Ended: true})},
	{"distinct fields at the ready path", probe.ManyFields(testcrowd.Fields{Bytes: crowdHead, Ended: true})},
	{"distinct fields over the limit", completions.ManyFields(testcrowd.Fields{Bytes: 3 * crowdHead})},
	{"bodies but a byte of known callers", asCaller(completions).ShortBody(crowdBody)},
	{"bodies but a byte of known callers at a service", asCaller(portal).ShortBody(crowdBody)},
	{"bodies of 64 KB but a byte of known callers", asCaller(completions).ShortBody(64 << 10)},
	{"bodies but a byte in slow pieces of known callers", asCaller(completions).SlowBody(crowdBody, 32, time.Millisecond)},
	{"bodies but a byte of unknown callers", completions.ShortBody(crowdBody)},
	{"chunks of 16 bytes to 64 KB of known callers", asCaller(completions).ShortChunks(64<<10, 16)},
	{"bodies over the limit of known callers", asCaller(completions).LongBody(16 << 20)},
	{"20 requests of 64 KB ahead", asCaller(portal).Ahead(20, 64<<10)},
}

var descriptorCrowds = []crowdCase{
	{"nothing sent", testcrowd.Nothing},
	{"half a head", completions.HalfHead},
	{"one request answered, then silent", asCaller(portal).Ahead(1, 10)},
	{"one probe answered, then silent", probe.Ahead(1, 10)},
}

// TestCrowdsDoNotExhaustMemoryOfEntry guards against an entry that clients make exceed its memory, by requests that they do
// not end, by heads that are costly to parse, or by requests sent ahead.
func TestCrowdsDoNotExhaustMemoryOfEntry(t *testing.T) {
	for _, c := range memoryCrowds {
		t.Run(c.name, func(t *testing.T) {
			entry, process := startCrowdedEntry(t, fmt.Sprintf("[limits]\nmemory_mb = %d\n", crowdMemoryMB))
			endObservation := process.Observe(entry)
			crowd := testcrowd.Open(entry, crowdClients, c.client)
			defer crowd.Close()
			expectOrdinaryAnswer(t, entry)
			expectMemoryWithin(t, process, endObservation())
		})
	}
}

// TestCrowdsDoNotExhaustDescriptorsOfEntry guards against an entry whose clients leave it no descriptors, so that it answers
// nobody.
func TestCrowdsDoNotExhaustDescriptorsOfEntry(t *testing.T) {
	for _, c := range descriptorCrowds {
		t.Run(c.name, func(t *testing.T) {
			entry, process := startCrowdedEntry(t, fmt.Sprintf("[limits]\nmax_fds = %d\n", crowdDescriptors))
			if err := process.LimitDescriptors(crowdDescriptors); err != nil {
				t.Fatal(err)
			}
			endObservation := process.Observe(entry)
			crowd := testcrowd.Open(entry, crowdClients, c.client)
			defer crowd.Close()
			expectOrdinaryAnswer(t, entry)
			load := endObservation()
			t.Logf("%d clients connected, %d descriptors", crowd.Size(), load.Descriptors)
			if load.Descriptors > crowdDescriptors-freeDescriptors {
				t.Errorf("the entry had %d descriptors open, of %d", load.Descriptors, crowdDescriptors-freeDescriptors)
			}
			if err := process.CheckRunning(); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestCrowdsThatDoNotReadDoNotExhaustMemoryOfEntry guards against an entry that clients make exceed its memory by large answers of
// a service that they do not read.
func TestCrowdsThatDoNotReadDoNotExhaustMemoryOfEntry(t *testing.T) {
	const answerBytes = 1 << 20
	fleet := startFleet(testContext(t), t, fleetOptions{
		instances: 1, engines: 1, services: 1, entryTables: fmt.Sprintf("[limits]\nmemory_mb = %d\n", crowdMemoryMB),
	})
	entry, process := fleet.Instances[0].EntryAddress, fleet.Instances[0].Entry
	faults := testservers.ServiceFaults{AnswerBytes: answerBytes}
	if err := testfleet.Post(testContext(t), fleet.Services[0].Address, testservers.PathFault, faults, nil); err != nil {
		t.Fatal(err)
	}
	endObservation := process.Observe(entry)
	crowd := testcrowd.Open(entry, crowdClients, asCaller(portal).Ahead(1, 10))
	defer crowd.Close()
	expectOrdinaryAnswer(t, entry)
	expectMemoryWithin(t, process, endObservation())
}

// TestAnswerWithoutRoomIsNoFailureOfItsUpstream guards against a call that runs again because there is no memory for its answer,
// and against an upstream that counts as failed for it.
func TestAnswerWithoutRoomIsNoFailureOfItsUpstream(t *testing.T) {
	ctx := testContext(t)
	fleet := startFleet(ctx, t, fleetOptions{
		instances: 1, engines: 1, services: 2, entryTables: "[limits]\nmemory_mb = 96\n[connections]\nanswer_share = 0.005\n",
	})
	entry := fleet.Instances[0].EntryAddress
	setFaults := func(faults testservers.ServiceFaults) {
		for _, service := range fleet.Services {
			if err := testfleet.Post(ctx, service.Address, testservers.PathFault, faults, nil); err != nil {
				t.Fatal(err)
			}
		}
	}
	setFaults(testservers.ServiceFaults{AnswerBytes: 1 << 20})
	const calls = 20 // more than an upstream may fail in a row
	client := &http.Client{Timeout: 8 * time.Second}
	get := func() (int, http.Header) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/portal/status", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+apiKey)
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		return response.StatusCode, response.Header
	}
	for range calls {
		if status, header := get(); status == http.StatusOK || header.Get(callerapi.HeaderOutcome) != string(callerapi.OutcomeUnknown) {
			t.Fatalf("status %d, outcome %q", status, header.Get(callerapi.HeaderOutcome))
		}
	}
	ran := 0
	for _, service := range fleet.Services {
		var book testservers.ServiceRecord
		if err := testfleet.Post(ctx, service.Address, testservers.PathRecord, nil, &book); err != nil {
			t.Fatal(err)
		}
		ran += book.Runs["GET /portal/status"]
	}
	if ran != calls {
		t.Errorf("%d calls ran %d times", calls, ran)
	}
	setFaults(testservers.ServiceFaults{})
	if status, _ := get(); status != http.StatusOK {
		t.Errorf("status %d afterwards", status)
	}
}

// startCrowdedEntry starts a fleet whose only entry has the given settings, and returns its address and process.
func startCrowdedEntry(t *testing.T, settings string) (string, *testfleet.Process) {
	t.Helper()
	fleet := startFleet(testContext(t), t, fleetOptions{instances: 1, engines: 1, services: 1, entryTables: settings})
	in := fleet.Instances[0]
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("log of the entry:\n%.4000s", in.Entry.Log())
		}
	})
	if err := testfleet.Until(testContext(t), "the entry is ready", func() bool {
		return testfleet.Ready(testContext(t), in.EntryAddress)
	}); err != nil {
		t.Fatal(err)
	}
	return in.EntryAddress, in.Entry
}

// expectMemoryWithin requires that a process runs and has stayed within its memory.
func expectMemoryWithin(t *testing.T, process *testfleet.Process, load testfleet.Load) {
	t.Helper()
	peak, err := process.PeakMemory()
	t.Logf("%d KB at the peak, %d KB unread, %d descriptors", peak>>10, load.Unread>>10, load.Descriptors)
	if err != nil || peak+load.Unread > crowdMemoryMB<<20 {
		t.Errorf("the entry took %d MB of %d, %v", (peak+load.Unread)>>20, crowdMemoryMB, err)
	}
	if err := process.CheckRunning(); err != nil {
		t.Error(err)
	}
}

// expectOrdinaryAnswer requires that an ordinary caller is served beside the crowd. It tries again after a refusal, as
// callers do.
func expectOrdinaryAnswer(t *testing.T, entry string) {
	t.Helper()
	const attempts = 10
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	for range attempts {
		request, err := http.NewRequest(http.MethodGet, "http://"+entry+"/portal/status", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+apiKey)
		response, err := client.Do(request)
		if err != nil {
			t.Errorf("an ordinary request was not answered: %v", err)
			return
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		t.Logf("an ordinary request got status %d", response.StatusCode)
		time.Sleep(100 * time.Millisecond)
	}
	t.Error("an ordinary request was refused each time")
}
