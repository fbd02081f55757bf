// Package scenario runs complete fleets of processes for tests: through scripts that an operator can read
// (testdata/*.txtar), and under pairs of faults drawn from a seed. Its inputs are the built programs and the
// scripts or the seed, its output is the list of violations.
package scenario

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"text/template"

	"github.com/pkg/errors"

	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
)

// ModelName is the only model of a harness.
const ModelName = "provenance"

// PoolName is the pool that contains all engines.
const PoolName = "provenance-main"

// Key is the API key of the only organisation.
const Key = "sf-scenario-key"

// zones are the availability zones over which instances and engines are spread.
var zones = []string{"hall-a", "hall-b"}

// Harness is a fleet with a fault-injecting proxy in front of the platform and of each upstream.
type Harness struct {
	Fleet  *testfleet.Fleet
	Caller *testcaller.Caller
	// Fencing is the fencing mode of the engines: refuse or ignore.
	Fencing string
	// EngineFlags are added to each engine's command line.
	EngineFlags []string
	// PlatformProxies are the proxies in front of the platform, by the id of their instance.
	PlatformProxies map[string]*testfleet.Proxy
	// UpstreamProxies are the proxies in front of the engines and services, by id.
	UpstreamProxies map[string]*testfleet.Proxy
}

// New returns a harness that has started no process; its files go to dir.
func New(bin, dir string) *Harness {
	return &Harness{
		Fleet: testfleet.New(bin, dir), Caller: testcaller.New(Key), Fencing: "refuse",
		PlatformProxies: map[string]*testfleet.Proxy{}, UpstreamProxies: map[string]*testfleet.Proxy{},
	}
}

// Start starts the processes and waits until each sf-control answers. It configures nothing.
func (h *Harness) Start(ctx context.Context, instances, engines, services int) error {
	if err := h.Fleet.StartPlatform(ctx); err != nil {
		return err
	}
	for n := range engines {
		if err := h.addEngine(ctx, n); err != nil {
			return err
		}
	}
	for n := range services {
		id := fmt.Sprintf("bales-%d", n+1)
		if _, err := h.Fleet.AddService(ctx, id, zones[n%len(zones)]); err != nil {
			return err
		}
		if err := h.proxyUpstream(id, h.Fleet.Services[n].Address); err != nil {
			return err
		}
	}
	direct := h.Fleet.PlatformAddress
	for n := range instances {
		if err := h.addInstance(ctx, n, direct); err != nil {
			return err
		}
	}
	return testfleet.Until(ctx, "each sf-control answers", func() bool { return h.controlsAnswer(ctx) })
}

func (h *Harness) addEngine(ctx context.Context, n int) error {
	id := fmt.Sprintf("engine-%d", n+1)
	flags := append([]string{"--model", ModelName, "--model-version", "1", "--fencing", h.Fencing}, h.EngineFlags...)
	e, err := h.Fleet.AddEngine(ctx, id, zones[n%len(zones)], flags...)
	if err != nil {
		return err
	}
	return h.proxyUpstream(id, e.Address)
}

func (h *Harness) proxyUpstream(id, address string) error {
	proxy, err := h.Fleet.Proxy(id, address)
	h.UpstreamProxies[id] = proxy
	return err
}

func (h *Harness) addInstance(ctx context.Context, n int, direct string) error {
	id := fmt.Sprintf("inst-%d", n+1)
	proxy, err := h.Fleet.Proxy("platform-of-"+id, direct)
	if err != nil {
		return err
	}
	h.PlatformProxies[id] = proxy
	h.Fleet.PlatformAddress = proxy.Address
	_, err = h.Fleet.AddInstance(ctx, id, zones[n%len(zones)])
	return err
}

func (h *Harness) controlsAnswer(ctx context.Context) bool {
	for _, i := range h.Fleet.Instances {
		if _, code, err := h.Sfctl(ctx, i, "status"); err != nil || code != 0 {
			return false
		}
	}
	return true
}

// Sfctl runs sfctl against an instance, and returns its output and exit code.
func (h *Harness) Sfctl(ctx context.Context, i *testfleet.Instance, args ...string) (output string, code int, err error) {
	args = append([]string{"--control", i.ControlAddress, "--operator", "scenario", "--timeout", "60s"}, args...)
	cmd := exec.CommandContext(ctx, filepath.Join(h.Fleet.Bin, "sfctl"), args...)
	printed, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(printed), exit.ExitCode(), nil
	}
	return string(printed), 0, errors.WithStack(err)
}

// Confirm declares an intent, confirms its plan, and waits until it is in force on all instances.
func (h *Harness) Confirm(ctx context.Context, i *testfleet.Instance, intent string) error {
	id, err := h.Declare(ctx, i, intent)
	if err != nil {
		return err
	}
	output, code, err := h.Sfctl(ctx, i, "confirm", "--follow", id)
	if err != nil || code != 0 {
		return errors.Errorf("confirm: exit code %d, %v: %s", code, err, output)
	}
	return nil
}

// Declare declares an intent and returns the id of its plan.
func (h *Harness) Declare(ctx context.Context, i *testfleet.Instance, intent string) (string, error) {
	path := filepath.Join(h.Fleet.Dir, "intent.toml")
	if err := os.WriteFile(path, []byte(intent), 0o644); err != nil {
		return "", errors.WithStack(err)
	}
	output, code, err := h.Sfctl(ctx, i, "--output", "json", "declare", path)
	if err != nil || code != 0 {
		return "", errors.Errorf("declare: exit code %d, %v: %s", code, err, output)
	}
	var plan struct {
		ID string `json:"id"`
	}
	return plan.ID, errors.Wrap(json.Unmarshal([]byte(output), &plan), output)
}

// baseIntent is the template of the first intent: one model, one pool, all engines and services with the
// addresses of their proxies, one organisation.
var baseIntent = template.Must(template.New("base").Parse(`name = "first-fleet"

[[model]]
name = "{{.Model}}"
version = "1"

[[pool]]
name = "{{.Pool}}"
model = "{{.Model}}"
min_serving = 1
{{range .Engines}}
[[engine]]
id = "{{.ID}}"
address = "{{.Address}}"
zone = "{{.Zone}}"
pool = "{{$.Pool}}"
fencing = "{{$.Fencing}}"
{{end}}{{if .Services}}
[[service]]
name = "bales"
prefix = "/bales"
non_idempotent = ["POST /bales/certificates"]
{{range .Services}}
[[service.upstream]]
id = "{{.ID}}"
address = "{{.Address}}"
zone = "{{.Zone}}"
{{end}}{{end}}
[[organisation]]
name = "qoton-trace"
key_hashes = ["{{.KeyHash}}"]
requests_per_second = 1000
burst = 1000
`))

// upstream is an engine or a service with the attributes that the intent names.
type upstream struct{ ID, Address, Zone string }

// BaseIntent returns the first intent as TOML.
func (h *Harness) BaseIntent() string {
	sum := sha256.Sum256([]byte(Key))
	values := struct {
		Model, Pool, Fencing, KeyHash string
		Engines, Services             []upstream
	}{Model: ModelName, Pool: PoolName, Fencing: h.Fencing, KeyHash: hex.EncodeToString(sum[:])}
	for _, e := range h.Fleet.Engines {
		values.Engines = append(values.Engines, upstream{e.ID, h.UpstreamProxies[e.ID].Address, e.Zone})
	}
	for _, s := range h.Fleet.Services {
		values.Services = append(values.Services, upstream{s.ID, h.UpstreamProxies[s.ID].Address, s.Zone})
	}
	var text bytes.Buffer
	if err := baseIntent.Execute(&text, values); err != nil {
		panic(errors.Wrap(err, "scenario: intent")) // cannot fail: the template is fixed and the values are strings
	}
	return text.String()
}

// Instance returns an instance by its id, or nil.
func (h *Harness) Instance(id string) *testfleet.Instance {
	for _, i := range h.Fleet.Instances {
		if i.ID == id {
			return i
		}
	}
	return nil
}

// Processes returns the processes of an instance, engine or service by its id, or none if the id is unknown.
func (h *Harness) Processes(id string) []*testfleet.Process {
	if i := h.Instance(strings.TrimSuffix(strings.TrimSuffix(id, "/control"), "/entry")); i != nil {
		switch {
		case strings.HasSuffix(id, "/control"):
			return []*testfleet.Process{i.Control}
		case strings.HasSuffix(id, "/entry"):
			return []*testfleet.Process{i.Entry}
		}
		return []*testfleet.Process{i.Entry, i.Control}
	}
	for _, e := range h.Fleet.Engines {
		if e.ID == id {
			return []*testfleet.Process{e.Process}
		}
	}
	for _, s := range h.Fleet.Services {
		if s.ID == id {
			return []*testfleet.Process{s.Process}
		}
	}
	return nil
}

// MarkDraining sets the state of an upstream in the platform's list to shutting down, or back to live.
func (h *Harness) MarkDraining(ctx context.Context, id string, draining bool) error {
	state := platform.InstanceLive
	if draining {
		state = platform.InstanceShuttingDown
	}
	return h.Fleet.SetInstance(ctx, platform.Instance{ID: id, Kind: platform.KindUpstream, State: state})
}

// LeaseHolder returns the id of the instance that holds the lease of a pool according to the table, or "".
func (h *Harness) LeaseHolder(ctx context.Context, pool string) string {
	row, err := h.Fleet.PlatformClient().Get(ctx, "lease/"+pool)
	if err != nil {
		return ""
	}
	var content lease.Row
	if json.Unmarshal(row.Value, &content) != nil {
		return ""
	}
	id, _, _ := strings.Cut(content.Holder, "/")
	if h.Instance(id) == nil {
		return ""
	}
	return id
}
