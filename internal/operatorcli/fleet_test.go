package operatorcli_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/operatorcli"
	"sassafrasfield/internal/program"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

const (
	modelName = "critique"
	apiKey    = "key-of-studio"
)

// fastControl shortens lease takeovers and steps. The bounds on which safety
// depends keep their defaults.
const fastControl = `[lease]
term = "800ms"
renew_every = "200ms"
retry_every = "50ms"
call_timeout = "500ms"
margin = "100ms"
rank_delay = "50ms"
send_guard = "50ms"
[rollout]
step_every = "50ms"
watch_every = "200ms"
wait_every = "200ms"
resend_after = "300ms"
unreachable_after = "1s"
`

// planFleet is a fleet with one pool, with helpers that run sfctl.
type planFleet struct {
	*testfleet.Fleet
	t   testing.TB
	ctx context.Context
}

// startFleet starts a fleet and waits until its first plan is done. The argument
// control is added to the settings file of each sf-control, and flags to the
// command line of each engine.
func startFleet(ctx context.Context, t testing.TB, control string, instances, engines int, flags ...string) *planFleet {
	t.Helper()
	bin, err := testfleet.Bin()
	f := &planFleet{t: t, ctx: ctx}
	f.must(err)
	f.Fleet = testfleet.New(bin, t.TempDir())
	t.Cleanup(f.Stop)
	f.EntryExtra = "balancer_lag = \"100ms\"\n"
	f.ControlTables = control
	f.must(f.StartPlatform(ctx))
	flags = append([]string{"--model", modelName, "--model-version", "1", "--decode-rate", "100"}, flags...)
	for i := range engines {
		_, err := f.AddEngine(ctx, fmt.Sprintf("engine-%d", i), "hall-a", flags...)
		f.must(err)
	}
	for i := range instances {
		_, err := f.AddInstance(ctx, fmt.Sprintf("inst-%d", i), "hall-a")
		f.must(err)
	}
	f.must(testfleet.Until(ctx, "each sf-control answers", f.allControlsAnswer))
	f.applyIntent(f.initialIntent())
	return f
}

func (f *planFleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *planFleet) allControlsAnswer() bool {
	for i := range f.Instances {
		if code, _ := f.sfctl(i, "ana", "status"); code != program.ExitOK {
			return false
		}
	}
	return true
}

func (f *planFleet) initialIntent() string {
	var text strings.Builder
	fmt.Fprintf(&text, "[[model]]\nname = %q\nversion = \"1\"\n", modelName)
	fmt.Fprintf(&text, "[[pool]]\nname = \"main\"\nmodel = %q\nmin_serving = 1\n", modelName)
	for _, e := range f.Engines {
		fmt.Fprintf(&text, "[[engine]]\nid = %q\naddress = %q\nzone = %q\npool = \"main\"\nfencing = \"refuse\"\n", e.ID, e.Address, e.Zone)
	}
	sum := sha256.Sum256([]byte(apiKey))
	fmt.Fprintf(&text, "[[organisation]]\nname = \"studio\"\nkey_hashes = [%q]\n", hex.EncodeToString(sum[:]))
	return text.String()
}

// sfctl runs sfctl against an instance and returns its exit code and output.
func (f *planFleet) sfctl(instance int, operator string, args ...string) (code int, output string) {
	var out bytes.Buffer
	cli := operatorcli.CLI{Out: &out, Err: &out}
	code = cli.Run(append([]string{"--control", f.Instances[instance].ControlAddress, "--operator", operator, "--timeout", "20s"}, args...))
	return code, out.String()
}

// planView has the fields of a plan's JSON that the tests read.
type planView struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Refusals []string `json:"refusals"`
	Steps    []struct {
		Engine string `json:"engine"`
		State  string `json:"state"`
		Detail string `json:"detail"`
	} `json:"steps"`
}

// declare declares an intent on the first instance that answers.
func (f *planFleet) declare(text string) planView {
	f.t.Helper()
	path := filepath.Join(f.Dir, "intent.toml")
	f.must(os.WriteFile(path, []byte("name = \"test\"\n"+text), 0o644))
	var view planView
	f.must(testfleet.Until(f.ctx, "an instance accepts the intent", func() bool {
		for i := range f.Instances {
			_, output := f.sfctl(i, "ana", "-o", "json", "declare", path)
			if json.Unmarshal([]byte(output), &view) == nil && view.ID != "" {
				return true
			}
		}
		return false
	}))
	return view
}

// plan reads a plan from the first instance that answers.
func (f *planFleet) plan(id string) planView {
	var view planView
	for i := range f.Instances {
		code, output := f.sfctl(i, "ana", "-o", "json", "plan", id)
		if code == program.ExitOK && json.Unmarshal([]byte(output), &view) == nil {
			break
		}
	}
	return view
}

// confirm confirms a plan through any instance. It retries if the call fails, if
// the outcome is unknown, or if the refusal is for lack of a majority.
func (f *planFleet) confirm(id string) {
	f.t.Helper()
	confirmed := ""
	f.must(testfleet.Until(f.ctx, "the plan is confirmed", func() bool {
		for i := range f.Instances {
			code, output := f.sfctl(i, "ana", "confirm", id)
			confirmed = output
			if code == program.ExitOK {
				return true
			}
			if code == program.ExitRefused && !strings.Contains(output, "majority") {
				f.t.Fatalf("confirm: %s", output)
			}
		}
		return false
	}))
	f.t.Logf("confirmed %s: %s", id, strings.TrimSpace(confirmed))
}

// applyIntent declares and confirms an intent, and waits until its plan is done.
func (f *planFleet) applyIntent(text string) {
	f.t.Helper()
	view := f.declare(text)
	f.confirm(view.ID)
	f.must(testfleet.Until(f.ctx, "plan "+view.ID+" is done", func() bool { return f.plan(view.ID).State == "done" }))
}

// engineRecord reads an engine's own record of its requests.
func (f *planFleet) engineRecord(e *testfleet.Engine) testservers.EngineRecord {
	f.t.Helper()
	var record testservers.EngineRecord
	f.must(testfleet.Post(f.ctx, e.Address, testservers.PathRecord, nil, &record))
	return record
}

// callers stream answers without pause until they are stopped, with one caller
// per instance.
type callers struct {
	f    *planFleet
	stop chan struct{}
	work sync.WaitGroup

	mu      sync.Mutex // protects answers and faults
	answers map[int64]testcaller.Answer
	faults  []string
}

func (f *planFleet) startCallers() *callers {
	c := &callers{f: f, stop: make(chan struct{}), answers: map[int64]testcaller.Answer{}}
	for i := range f.Instances {
		c.work.Go(func() { c.run(i) })
	}
	return c
}

func (c *callers) run(instance int) {
	for seed := int64(1000 * instance); ; seed++ {
		select {
		case <-c.stop:
			return
		default:
		}
		answer, err := c.f.stream(instance, seed)
		c.mu.Lock()
		if err != nil || !answer.Done || answer.Error != nil {
			c.faults = append(c.faults, fmt.Sprintf("seed %d: %v, %+v", seed, err, answer.Error))
		}
		c.answers[seed] = answer
		c.mu.Unlock()
	}
}

// Parameters of the request of each stream.
const (
	prompt    = "which palette fits"
	maxTokens = 150
)

// stream streams one answer, which takes up to 1.5 seconds.
func (f *planFleet) stream(instance int, seed int64) (testcaller.Answer, error) {
	ctx, cancel := context.WithTimeout(f.ctx, 30*time.Second)
	defer cancel()
	chat := testcaller.Chat{Model: modelName, Prompt: prompt, MaxTokens: maxTokens, Seed: seed}
	return testcaller.New(apiKey).Stream(ctx, f.Instances[instance].EntryAddress, chat, nil)
}

// check stops the callers and compares each answer, byte for byte, with the
// answer of an engine without faults. The model version, and with it the text,
// may change during the test: each answer must be the complete text of one
// version.
func (c *callers) check() {
	c.f.t.Helper()
	close(c.stop)
	c.work.Wait()
	for _, fault := range c.faults {
		c.f.t.Error(fault)
	}
	if len(c.faults) > 0 {
		c.f.logRefusals()
	}
	for seed, answer := range c.answers {
		if !isCompleteAnswer(seed, answer.Text) {
			c.f.t.Errorf("seed %d: %d bytes that are not the complete answer of any version", seed, len(answer.Text))
		}
	}
	if !c.f.t.Failed() {
		c.f.t.Logf("%d streams complete", len(c.answers))
	}
}

// logRefusals prints why entries found no engine. Their logs are removed when the test ends.
func (f *planFleet) logRefusals() {
	f.t.Helper()
	for _, instance := range f.Instances {
		text, err := os.ReadFile(filepath.Join(f.Dir, instance.ID+"-entry.log"))
		if err != nil {
			f.t.Log(err)
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, "no engine left") {
				f.t.Log(strings.TrimSpace(line))
			}
		}
	}
}

// lastVersion is the highest version that the tests declare.
const lastVersion = 20

func isCompleteAnswer(seed int64, text string) bool {
	for version := 1; version <= lastVersion; version++ {
		complete := testservers.NewText(engine.Request{
			Model: modelName, Version: strconv.Itoa(version), Prompt: "user: " + prompt + "\n",
			MaxTokens: maxTokens, Seed: seed,
		}).FullText()
		if text == complete {
			return true
		}
	}
	return false
}

// checkNoStreamCut checks in the engines' own records that no stream was cut.
func (f *planFleet) checkNoStreamCut() {
	f.t.Helper()
	for _, e := range f.Engines {
		if record := f.engineRecord(e); record.Cut != 0 {
			f.t.Errorf("%s cut %d streams", e.ID, record.Cut)
		}
	}
}
