package roles_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

const (
	apiKey = "key-of-agedim"
	model  = "critique"
)

// fleet runs a platform, instances and one pool of engines as real processes.
type fleet struct {
	*testfleet.Fleet
	t      *testing.T
	ctx    context.Context
	caller *testcaller.Caller
}

// rolesTable makes the policy react quickly. The long dwell time allows one change
// during a test.
const rolesTable = `
[roles]
every = "200ms"
horizon = "20s"
dwell = "1h"
stale_after = "10s"
samples = 2
confirm = 2
out_of_service = "500ms"
`

// startFleet starts two instances and an engine of each given role, and confirms an
// intent that contains poolLines. It marks the test as parallel.
func startFleet(t *testing.T, poolLines string, engineRoles []string, flags ...string) *fleet {
	t.Helper()
	t.Parallel()
	bin, err := testfleet.Bin()
	must(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	f := &fleet{Fleet: testfleet.New(bin, t.TempDir()), t: t, ctx: ctx, caller: testcaller.New(apiKey)}
	t.Cleanup(func() { f.Stop(); cancel() })
	must(t, f.StartPlatform(ctx))
	f.EntryExtra = "balancer_lag = \"100ms\"\ndemand_window = \"1s\"\n"
	// The load exceeds what the engines can serve in time, but the tests need all
	// answers.
	f.EntryTables = "[admission]\nearly_refusal = false\nlimit_concurrency = false\nbacklog = \"0s\"\n"
	f.ControlTables = rolesTable
	for i, role := range engineRoles {
		args := append([]string{"--model", model, "--model-version", "1", "--role", role, "--change-time", "300ms"}, flags...)
		_, err := f.AddEngine(ctx, fmt.Sprintf("engine-%d", i+1), "mixco", args...)
		must(t, err)
	}
	for _, id := range []string{"inst-1", "inst-2"} {
		_, err := f.AddInstance(ctx, id, "mixco")
		must(t, err)
	}
	for _, instance := range f.Instances {
		must(t, testfleet.Until(ctx, "each sf-control answers", func() bool { _, err := f.sfctlAt(instance, "status"); return err == nil }))
	}
	f.confirm(intentText(f.Engines, poolLines, engineRoles))
	for i := range f.Instances {
		must(t, testfleet.Until(ctx, "each entry uses the intent", func() bool {
			return f.stream(i, testcaller.Chat{Prompt: "ready?", Model: model, MaxTokens: 1}) == nil
		}))
	}
	return f
}

func intentText(engines []*testfleet.Engine, poolLines string, engineRoles []string) string {
	sum := sha256.Sum256([]byte(apiKey))
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"base\"\n[[model]]\nname = %q\nversion = \"1\"\n", model)
	fmt.Fprintf(&b, "[[pool]]\nname = \"main\"\nmodel = %q\n%s\n", model, poolLines)
	for i, e := range engines {
		fmt.Fprintf(&b, "[[engine]]\nid = %q\naddress = %q\nzone = %q\npool = \"main\"\nfencing = \"refuse\"\nrole = %q\n",
			e.ID, e.Address, e.Zone, engineRoles[i])
	}
	fmt.Fprintf(&b, "[[organisation]]\nname = \"agedim\"\nkey_hashes = [%q]\n", hex.EncodeToString(sum[:]))
	return b.String()
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) sfctl(args ...string) (string, error) {
	return f.sfctlAt(f.Instances[0], args...)
}

func (f *fleet) sfctlAt(instance *testfleet.Instance, args ...string) (string, error) {
	args = append([]string{"--control", instance.ControlAddress, "--operator", "op", "--timeout", "30s"}, args...)
	output, err := exec.CommandContext(f.ctx, filepath.Join(f.Bin, "sfctl"), args...).CombinedOutput()
	return string(output), err
}

// confirm declares and confirms an intent, and waits until it is in force.
func (f *fleet) confirm(text string) {
	f.t.Helper()
	path := filepath.Join(f.Dir, "intent.toml")
	must(f.t, os.WriteFile(path, []byte(text), 0o644))
	output, err := f.sfctl("declare", path)
	if err != nil {
		f.t.Fatal(output)
	}
	id := strings.Fields(output)[1]
	if output, err := f.sfctl("confirm", "--follow", id); err != nil {
		f.t.Fatal(output)
	}
}

func (f *fleet) engineRecord(e *testfleet.Engine) testservers.EngineRecord {
	f.t.Helper()
	var record testservers.EngineRecord
	must(f.t, testfleet.Post(f.ctx, e.Address, testservers.PathRecord, nil, &record))
	return record
}

// expected returns the answer of an engine without faults.
func expected(chat testcaller.Chat) string {
	return testservers.NewText(engine.Request{
		Model: model, Version: "1", Prompt: "user: " + chat.Prompt + "\n", MaxTokens: chat.MaxTokens, Seed: chat.Seed,
	}).FullText()
}

// stream requests an answer and compares it with the expected one byte for byte.
func (f *fleet) stream(entry int, chat testcaller.Chat) error {
	answer, err := f.caller.Stream(f.ctx, f.Instances[entry].EntryAddress, chat, nil)
	if err != nil {
		return err
	}
	if !answer.Done || answer.Text != expected(chat) {
		return fmt.Errorf("seed %d: status %d, error %+v, got %q, want %q", chat.Seed, answer.Status, answer.Error, answer.Text, expected(chat))
	}
	return nil
}

// sendRequests sends requests at a constant rate until stop is closed. The returned
// function waits for the answers and returns the errors of those that were not complete.
func (f *fleet) sendRequests(stop <-chan struct{}, interval time.Duration, chat testcaller.Chat) func() []error {
	var mu sync.Mutex // protects failed
	var failed []error
	var work sync.WaitGroup
	work.Go(func() {
		for i := 0; ; i++ {
			request := chat
			request.Seed = int64(i)
			request.Prompt = fmt.Sprintf("%d %s", i, chat.Prompt) // no cached prefix
			work.Go(func() {
				if err := f.stream(i%len(f.Instances), request); err != nil {
					mu.Lock()
					defer mu.Unlock()
					failed = append(failed, err)
				}
			})
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
		}
	})
	return func() []error {
		work.Wait()
		return failed
	}
}

const bounds = "min_serving = 2\nmin_prefill = 1\nmax_prefill = 4\nmin_decode = 1\nrole_change_weight = 0.5"

var longPrompts = testcaller.Chat{Prompt: strings.Repeat("a bale of Gabes ", 250), Model: model, MaxTokens: 30}

// TestLoadSwingChangesOneRoleWithoutInterruptions: a swing to long prompts makes the
// policy change one decode engine to prefill, through the rollout, while streams run on
// all engines. No stream may be interrupted.
func TestLoadSwingChangesOneRoleWithoutInterruptions(t *testing.T) {
	initialRoles := []string{"prefill", "prefill", "decode", "decode"}
	f := startFleet(t, bounds, initialRoles, "--prefill-rate", "2000", "--decode-rate", "100")
	stop := make(chan struct{})
	wait := f.sendRequests(stop, 125*time.Millisecond, longPrompts)
	err := testfleet.Until(f.ctx, "three engines serve in the prefill role", func() bool {
		engines, err := f.sfctl("engines")
		return err == nil && strings.Count(engines, "serving") == 4 && strings.Count(engines, "prefill") == 6
	})
	close(stop)
	failed := wait()
	if err != nil {
		t.Fatalf("%v\n%s", err, f.Instances[0].Control.Log()+f.Instances[1].Control.Log())
	}
	for _, failure := range failed {
		t.Error(failure)
	}
	f.checkOneChange(initialRoles)
}

// TestNextLeaseHolderKeepsDwell: the lease holder is killed after it has decided on a
// change. The next holder carries the change out, and decides on no other within the
// dwell time.
func TestNextLeaseHolderKeepsDwell(t *testing.T) {
	initialRoles := []string{"prefill", "prefill", "decode", "decode", "decode"}
	f := startFleet(t, bounds, initialRoles, "--prefill-rate", "1000", "--decode-rate", "100")
	stop := make(chan struct{})
	wait := f.sendRequests(stop, 125*time.Millisecond, longPrompts)
	killed := -1
	logs := func() string { return f.Instances[0].Control.Log() + f.Instances[1].Control.Log() }
	err := testfleet.Until(f.ctx, "a lease holder decides on a change", func() bool {
		for i, instance := range f.Instances {
			if strings.Contains(instance.Control.Log(), "roles: change decided") {
				killed = i
			}
		}
		return killed >= 0
	})
	if err != nil {
		t.Fatalf("%v\n%s", err, logs())
	}
	f.Instances[killed].Control.Kill()
	must(t, f.StartControl(f.Instances[killed]))
	err = testfleet.Until(f.ctx, "the next lease holder waits for the dwell time", func() bool {
		return strings.Contains(logs(), "reason=dwell") || strings.Count(logs(), "roles: change decided") > 1
	})
	close(stop)
	if err != nil {
		t.Fatalf("%v\n%s", err, logs())
	}
	for _, failure := range wait() {
		t.Error(failure)
	}
	f.checkOneChange(initialRoles)
}

// checkOneChange checks that the engines and the history recorded exactly one role
// change by the policy, and that no stream was interrupted.
func (f *fleet) checkOneChange(initialRoles []string) {
	f.t.Helper()
	orders := 0
	for i, e := range f.Engines {
		record := f.engineRecord(e)
		for _, order := range record.Orders {
			if string(order.Want.Role) != initialRoles[i] {
				orders++
			}
		}
		if record.Cut != 0 {
			f.t.Errorf("%s interrupted %d streams", e.ID, record.Cut)
		}
	}
	history, err := f.sfctl("history")
	must(f.t, err)
	if n := strings.Count(history, "role policy on"); n != 1 || orders != 1 {
		f.t.Errorf("%d policy changes and %d orders, want one each\n%s", n, orders, history)
	}
	if !strings.Contains(history, "from decode to prefill") || !strings.Contains(history, "weight 0.5") {
		f.t.Errorf("the history does not contain the reason:\n%s", history)
	}
}
