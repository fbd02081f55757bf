// Package answers has process tests of the guarantees to callers: a call with an idempotency key runs at most
// once, answers are complete, and a shutdown interrupts no request.
package answers

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

const (
	apiKey      = "key-of-qoton-trace"
	otherKey    = "key-of-agedim"
	modelName   = "provenance"
	certificate = "/bales/certificates"
	prompt      = "does lot 4471 match its certificate? "
)

// fixture is a fleet with a confirmed intent.
type fixture struct {
	*testfleet.Fleet
	t      testing.TB
	ctx    context.Context
	caller *testcaller.Caller
}

// fleetSize is the size of a fleet and the settings of its programs.
type fleetSize struct {
	instances, engines, services int
	// entrySettings is added at the top level of the settings file of each sf-entry, entryTables at its
	// end. engineFlags are passed to each engine.
	entrySettings, entryTables string
	engineFlags                []string
}

func newFixture(t testing.TB, s fleetSize) *fixture {
	t.Helper()
	bin, err := testfleet.Bin()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	f := &fixture{Fleet: testfleet.New(bin, t.TempDir()), t: t, ctx: ctx, caller: testcaller.New(apiKey)}
	t.Cleanup(f.Stop)
	f.must(f.StartPlatform(ctx))
	f.EntryExtra, f.EntryTables = "balancer_lag = \"2s\"\n"+s.entrySettings, s.entryTables
	flags := append([]string{"--model", modelName, "--model-version", "1"}, s.engineFlags...)
	for n := range s.engines {
		_, err := f.AddEngine(ctx, fmt.Sprintf("engine-%d", n+1), "hall-a", flags...)
		f.must(err)
	}
	for n := range s.services {
		_, err := f.AddService(ctx, fmt.Sprintf("bales-%d", n+1), "hall-a")
		f.must(err)
	}
	for n := range s.instances {
		_, err := f.AddInstance(ctx, fmt.Sprintf("inst-%d", n+1), "hall-a")
		f.must(err)
	}
	f.confirmFirstIntent()
	return f
}

func (f *fixture) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) waitUntil(what string, condition func() bool) {
	f.t.Helper()
	f.must(testfleet.Until(f.ctx, what, condition))
}

// confirmFirstIntent puts the first intent in force on each instance.
func (f *fixture) confirmFirstIntent() {
	f.t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, "name = \"first\"\n[[model]]\nname = %q\nversion = \"1\"\n", modelName)
	fmt.Fprintf(&text, "[[pool]]\nname = \"main\"\nmodel = %q\nmin_serving = 1\n", modelName)
	for _, e := range f.Engines {
		fmt.Fprintf(&text, "[[engine]]\nid = %q\naddress = %q\nzone = %q\npool = \"main\"\nfencing = \"refuse\"\n", e.ID, e.Address, e.Zone)
	}
	text.WriteString("[[service]]\nname = \"bales\"\nprefix = \"/bales\"\nnon_idempotent = [\"POST /bales/certificates\"]\n")
	for _, s := range f.Services {
		fmt.Fprintf(&text, "[[service.upstream]]\nid = %q\naddress = %q\nzone = %q\n", s.ID, s.Address, s.Zone)
	}
	for name, key := range map[string]string{"qoton-trace": apiKey, "agedim": otherKey} {
		sum := sha256.Sum256([]byte(key))
		fmt.Fprintf(&text, "[[organisation]]\nname = %q\nkey_hashes = [%q]\nrequests_per_second = 10000\nburst = 10000\n", name, hex.EncodeToString(sum[:]))
	}
	f.waitUntil("sf-control answers", func() bool { _, err := f.sfctl("status"); return err == nil })
	f.confirmIntent("first", text.String())
	for _, i := range f.Instances {
		f.waitUntilReady(i.EntryAddress)
	}
}

// confirmIntent declares an intent, confirms its plan and waits until it is in force.
func (f *fixture) confirmIntent(name, text string) {
	f.t.Helper()
	path := filepath.Join(f.Dir, name+".toml")
	f.must(os.WriteFile(path, []byte(text), 0o644))
	output, err := f.sfctl("--output", "json", "declare", path)
	if err != nil {
		f.t.Fatal(output, err)
	}
	var plan struct{ ID string }
	f.must(json.Unmarshal([]byte(output), &plan))
	if output, err := f.sfctl("confirm", "--follow", plan.ID); err != nil {
		f.t.Fatal(output, err)
	}
}

func (f *fixture) sfctl(args ...string) (string, error) {
	args = append([]string{"--control", f.Instances[0].ControlAddress, "--operator", "test", "--timeout", "60s"}, args...)
	output, err := exec.CommandContext(f.ctx, filepath.Join(f.Bin, "sfctl"), args...).CombinedOutput()
	return string(output), err
}

func (f *fixture) waitUntilReady(address string) {
	f.t.Helper()
	f.waitUntil(address+" is ready", func() bool { return testfleet.Ready(f.ctx, address) })
}

// restartEntry kills an instance's sf-entry, if it runs, and starts it with the given failpoints.
func (f *fixture) restartEntry(i *testfleet.Instance, points string) {
	f.t.Helper()
	i.Entry.Kill()
	f.Environment = []string{"SF_FAILPOINTS=" + points}
	f.must(f.StartEntry(i))
	f.Environment = nil
	f.waitUntilReady(i.EntryAddress)
}

// callResult is what a caller received for a call to the service. Status 0 means that the connection broke.
type callResult struct {
	Status     int
	Body       string
	Outcome    callerapi.Outcome
	RetryAfter string
}

// issueCertificate requests a certificate for a lot. It sends an idempotency key unless the key is empty.
func (f *fixture) issueCertificate(address, key, lot string) callResult {
	header := http.Header{}
	if key != "" {
		header.Set(callerapi.HeaderIdempotencyKey, key)
	}
	res, err := f.caller.Post(f.ctx, address, certificate, header, []byte(lot))
	if err != nil {
		return callResult{}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return callResult{}
	}
	return callResult{
		Status: res.StatusCode, Body: string(body), RetryAfter: res.Header.Get("Retry-After"),
		Outcome: callerapi.Outcome(res.Header.Get(callerapi.HeaderOutcome)),
	}
}

// certificateRuns returns how often the call for a lot ran, over all services.
func (f *fixture) certificateRuns(lot string) int {
	f.t.Helper()
	return f.certificateRunsByLot()[lot]
}

// certificateRunsByLot returns how often the call for each lot ran, over all services.
func (f *fixture) certificateRunsByLot() map[string]int {
	f.t.Helper()
	total := map[string]int{}
	for _, s := range f.Services {
		var record testservers.ServiceRecord
		f.must(testfleet.Post(f.ctx, s.Address, testservers.PathRecord, nil, &record))
		for lot, runs := range record.Bodies {
			total[lot] += runs
		}
	}
	return total
}

func (f *fixture) engineFault(n int, faults testservers.EngineFaults) {
	f.t.Helper()
	f.must(testfleet.Post(f.ctx, f.Engines[n].Address, testservers.PathFault, faults, nil))
}

func (f *fixture) engineRecord(n int) testservers.EngineRecord {
	f.t.Helper()
	var record testservers.EngineRecord
	f.must(testfleet.Post(f.ctx, f.Engines[n].Address, testservers.PathRecord, nil, &record))
	return record
}

func (f *fixture) serviceFault(n int, faults testservers.ServiceFaults) {
	f.t.Helper()
	f.must(testfleet.Post(f.ctx, f.Services[n].Address, testservers.PathFault, faults, nil))
}

func (f *fixture) platformFault(faults testservers.PlatformFaults) {
	f.t.Helper()
	f.must(f.PlatformFault(f.ctx, faults))
}

// expectedText returns the text that each test engine generates for a chat.
func expectedText(c testcaller.Chat) string {
	return testservers.NewText(engine.Request{
		Model: c.Model, Version: "1", Prompt: "user: " + c.Prompt + "\n", MaxTokens: c.MaxTokens, Seed: c.Seed,
	}).FullText()
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// setSmallReceiveBuffer is a net.Dialer.Control that sets a connection's receive buffer to 4096 bytes.
func setSmallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// metric returns the count of a metric of an sf-entry.
func (f *fixture) metric(address, name string) int64 {
	f.t.Helper()
	res, err := http.Get("http://" + address + "/metrics")
	f.must(err)
	defer res.Body.Close()
	var all map[string]struct{ Count int64 }
	f.must(json.NewDecoder(res.Body).Decode(&all))
	return all[name].Count
}
