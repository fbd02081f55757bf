package base

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"sassafrasfield/platform/standin"
	"sassafrasfield/platform/wire"
)

// Host is the host of the routes.
const Host = "ledger.example"

// Names of the services.
const (
	Models = "ledger-llm"
	Plain  = "bale-api"
)

// Fleet is a store, and instances that run with the settings of a small deployment.
type Fleet struct {
	addresses
	// Dir is the folder of settings and logs.
	Dir       string
	Store     *standin.Store
	Instances []*Instance
}

// Instance is one process of the system.
type Instance struct {
	Name, Front, Ready, Control, Settings string
	Process                               *Process
}

// NewFleet starts a store with a configuration. The programs are those that the deploy file builds.
func NewFleet(dir string) (*Fleet, error) {
	f := &Fleet{Dir: dir}
	var err error
	if f.Store, err = standin.NewStore(f.Address()); err != nil {
		return nil, err
	}
	return f, f.Store.Put(wire.OperatorTable, wire.ConfigKey, Config(1))
}

// Config returns a configuration.
func Config(version int64) wire.Config {
	route := func(name, kind, service string, resumable bool, timeout float64) wire.Route {
		return wire.Route{
			Name: name, Host: Host, Prefix: "/" + name + "/", Kind: kind, Service: service, TimeoutMS: timeout, SLOMS: 500, ITLSLOMS: 300,
			MaxAttempts: 2, Resumable: resumable,
		}
	}
	return wire.Config{
		Version: version,
		Routes: []wire.Route{
			route("question", wire.KindStreaming, Models, true, 15000), route("audit", wire.KindStreaming, Models, false, 15000),
			route("status", wire.KindSafe, Plain, false, 4000), route("issue", wire.KindUnsafe, Plain, false, 4000),
		},
		Services: []wire.Service{
			{Name: Models, HealthPath: HealthPath, MaxConns: 370, Engine: &wire.Engine{Slots: 64, KVTokens: 370000, TokenBytes: 163840, LinkMbps: 12000000, Stride: 1, KVHoldS: 5, RoleSwitchS: 3}},
			{Name: Plain, HealthPath: HealthPath, MaxConns: 110},
		},
		Limits: wire.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderMS: 3000, IdleMS: 15000},
	}
}

// template is deploy/settings.toml, filled in for a small deployment.
const template = `instance = "%s"
zone = "%s"
seeds = [%s]

[listen]
front = "%s"
ready = "%s"
control = "%s"
metrics = "%s"

[store]
address = "%s"

[bounds]
grace = "8s"
drain = "2000ms"
lease = "3000ms"
retry_share = 0.2
retry_slack = 58
retry_window = "10s"

[limits]
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
`

// AddInstance starts an instance.
func (f *Fleet) AddInstance(zone string) (*Instance, error) {
	name := fmt.Sprintf("front-%s-%d", zone, len(f.Instances)+1)
	in := &Instance{Name: name, Front: f.Address(), Ready: f.Address(), Control: f.Address(), Settings: filepath.Join(f.Dir, name+".toml")}
	var seeds []string
	for _, other := range f.Instances[:min(3, len(f.Instances))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.Control))
	}
	text := fmt.Sprintf(template, name, zone, strings.Join(seeds, ","), in.Front, in.Ready, in.Control, f.Address(), f.Store.Address)
	if err := os.WriteFile(in.Settings, []byte(text), 0o644); err != nil {
		return nil, err
	}
	f.Instances = append(f.Instances, in)
	return in, f.Run(in)
}

// Run starts the process of an instance with the command of the deploy file.
func (f *Fleet) Run(in *Instance) error {
	var err error
	in.Process, err = start("target/sf-instance", f.logPath(in.Name), "SASSAFRASFIELD_BOOT="+in.Settings)
	return err
}

// AwaitReady waits until all instances are ready.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for _, in := range f.Instances {
		for !in.IsReady() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready", in.Name)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// IsReady reports whether an instance says that it is ready.
func (in *Instance) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + in.Ready + wire.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close ends all processes and the store.
func (f *Fleet) Close() {
	for _, in := range f.Instances {
		if in.Process != nil {
			in.Process.Kill()
		}
	}
	f.Store.Close()
}
