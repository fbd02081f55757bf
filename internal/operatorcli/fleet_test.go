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

// fastControl makes takeovers and steps quick; the bounds that safety rests on
// stay as they are.
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

// planFleet is a fleet with one pool, and sfctl.
type planFleet struct {
	*testfleet.Fleet
	t   testing.TB
	ctx context.Context
}

// startFleet starts a fleet whose first configuration is in force. Control has
// further settings of each sf-control.
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
	f.must(testfleet.Until(ctx, "each sf-control answers", f.allAnswer))
	f.carryOut(f.firstIntent())
	return f
}

func (f *planFleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *planFleet) allAnswer() bool {
	for i := range f.Instances {
		if code, _ := f.sfctl(i, "ana", "status"); code != program.ExitOK {
			return false
		}
	}
	return true
}

func (f *planFleet) firstIntent() string {
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

// sfctl runs the operators' tool against an instance.
func (f *planFleet) sfctl(instance int, operator string, args ...string) (code int, output string) {
	var out bytes.Buffer
	cli := operatorcli.CLI{Out: &out, Err: &out}
	code = cli.Run(append([]string{"--control", f.Instances[instance].ControlAddress, "--operator", operator, "--timeout", "20s"}, args...))
	return code, out.String()
}

// planView is what the tests read of a plan's JSON.
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
	f.must(testfleet.Until(f.ctx, "an instance takes the intent", func() bool {
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

// confirm confirms through any instance, again when the answer was lost.
func (f *planFleet) confirm(id string) {
	f.t.Helper()
	told := ""
	f.must(testfleet.Until(f.ctx, "the plan is confirmed", func() bool {
		for i := range f.Instances {
			code, output := f.sfctl(i, "ana", "confirm", id)
			told = output
			if code == program.ExitOK {
				return true
			}
			if code == program.ExitRefused && !strings.Contains(output, "majority") {
				f.t.Fatalf("confirm: %s", output)
			}
		}
		return false
	}))
	f.t.Logf("confirmed %s: %s", id, strings.TrimSpace(told))
}

// carryOut declares and confirms an intent, and waits until it is done.
func (f *planFleet) carryOut(text string) {
	f.t.Helper()
	view := f.declare(text)
	f.confirm(view.ID)
	f.must(testfleet.Until(f.ctx, "plan "+view.ID+" is done", func() bool { return f.plan(view.ID).State == "done" }))
}

// book reads an engine's own record.
func (f *planFleet) book(e *testfleet.Engine) testservers.EngineRecord {
	f.t.Helper()
	var book testservers.EngineRecord
	f.must(testfleet.Post(f.ctx, e.Address, testservers.PathRecord, nil, &book))
	return book
}

// callers stream answers without pause, each through an instance of its own,
// until they are stopped.
type callers struct {
	f    *planFleet
	stop chan struct{}
	work sync.WaitGroup

	mu      sync.Mutex // protects answers
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

// What each stream asks.
const (
	prompt    = "which palette fits"
	maxTokens = 150
)

// stream streams one answer of up to a second and a half.
func (f *planFleet) stream(instance int, seed int64) (testcaller.Answer, error) {
	ctx, cancel := context.WithTimeout(f.ctx, 30*time.Second)
	defer cancel()
	chat := testcaller.Chat{Model: modelName, Prompt: prompt, MaxTokens: maxTokens, Seed: seed}
	return testcaller.New(apiKey).Stream(ctx, f.Instances[instance].EntryAddress, chat, nil)
}

// check stops the callers and compares each answer, byte for byte, with what
// an undisturbed engine makes. The version may change under the callers, and
// the text with it: an answer is the whole text of one version.
func (c *callers) check() {
	c.f.t.Helper()
	close(c.stop)
	c.work.Wait()
	for _, fault := range c.faults {
		c.f.t.Error(fault)
	}
	for seed, answer := range c.answers {
		if !wholeOfOneVersion(seed, answer.Text) {
			c.f.t.Errorf("seed %d: %d bytes that are no version's whole answer", seed, len(answer.Text))
		}
	}
	if !c.f.t.Failed() {
		c.f.t.Logf("%d streams whole", len(c.answers))
	}
}

// lastVersion is the highest version that the tests declare.
const lastVersion = 20

func wholeOfOneVersion(seed int64, text string) bool {
	for version := 1; version <= lastVersion; version++ {
		whole := testservers.NewText(engine.Request{
			Model: modelName, Version: strconv.Itoa(version), Prompt: "user: " + prompt + "\n",
			MaxTokens: maxTokens, Seed: seed,
		}).FullText()
		if text == whole {
			return true
		}
	}
	return false
}

// nothingCut checks the engines' own records.
func (f *planFleet) nothingCut() {
	f.t.Helper()
	for _, e := range f.Engines {
		if book := f.book(e); book.Cut != 0 {
			f.t.Errorf("%s cut %d streams", e.ID, book.Cut)
		}
	}
}
