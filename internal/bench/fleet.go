// Package bench measures the system at its current size, with real sf-entry processes in front of stand-in
// upstreams. It compares routing policies and role policies, and measures the overhead of an entry; results
// are written as JSON, CSV, tables and plots. The routing and overhead measurements run without sf-control:
// the package applies a configuration to each entry itself, so that they measure only the data path. The
// package is test scaffolding.
package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/testfleet"
)

// heartbeatEvery is the interval between two Apply calls to an entry.
const heartbeatEvery = time.Second

// freshness is the time for which an entry may keep using an applied configuration. It is long because the
// configuration never changes here, and a busy machine must not make entries unready.
const freshness = time.Minute

// EngineModel holds the flags of the stand-in engines: a step time of 20 ms plus 1 ms for each further
// stream, 4,000 prompt tokens per second in chunks of 128, a batch of 12, and 4,000 KV cache blocks of 16
// tokens.
var EngineModel = []string{
	"--prefill-rate", "4000", "--prefill-budget", "128", "--decode-rate", "50",
	"--step-per-stream", "1ms", "--max-running", "12", "--kv-blocks", "4000",
}

// fleet is a running system without sf-control.
type fleet struct {
	*testfleet.Fleet
	doc     *config.Config
	entries []*entryProcess
	// separateEngines are the engines that have a process of their own.
	separateEngines []*testfleet.Process
	stop            context.CancelFunc
}

type entryProcess struct {
	address string
	process *testfleet.Process
	client  sfv1connect.EntryServiceClient
	// clock is the entry's clock from its last response.
	clock atomic.Int64
}

// fleetPlan describes the fleet to start.
type fleetPlan struct {
	bin, dir    string
	zones       []string
	model       string
	prefix      string
	keys        []string
	entries     int
	hosted      int
	separate    int
	services    int
	engineFlags []string
	entryTables string
}

// start starts a fleet and waits until each entry is ready.
func start(ctx context.Context, p fleetPlan) (*fleet, error) {
	if err := os.MkdirAll(p.dir, 0o755); err != nil {
		return nil, errors.WithStack(err)
	}
	f := &fleet{Fleet: testfleet.New(p.bin, p.dir), doc: document(p)}
	if err := f.startAll(ctx, p); err != nil {
		f.Stop()
		return nil, err
	}
	heartbeatCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	f.stop = stop
	go f.heartbeats(heartbeatCtx)
	return f, f.ready(ctx)
}

func (f *fleet) startAll(ctx context.Context, p fleetPlan) error {
	if err := f.startEngines(p); err != nil {
		return err
	}
	if err := f.startServices(p); err != nil {
		return err
	}
	for i := range p.entries {
		if err := f.startEntry(fmt.Sprintf("inst-%d", i+1), p.zones[i%len(p.zones)], p.entryTables); err != nil {
			return err
		}
	}
	return testfleet.Until(ctx, "each upstream answers", func() bool { return f.upstreamsAnswer(ctx) })
}

// Stop stops all processes.
func (f *fleet) Stop() {
	if f.stop != nil {
		f.stop()
	}
	f.Fleet.Stop()
}

// document returns the configuration without the upstreams.
func document(p fleetPlan) *config.Config {
	doc := &config.Config{
		Version: 1, Intent: 1,
		Models: []config.Model{{Name: p.model, Version: "1"}},
		Pools:  []config.Pool{{Name: "main", Model: p.model, MinServing: 1}},
	}
	for i, key := range p.keys {
		sum := sha256.Sum256([]byte(key))
		doc.Organisations = append(doc.Organisations, config.Organisation{
			Name: fmt.Sprintf("organisation-%d", i+1), KeyHashes: []string{hex.EncodeToString(sum[:])},
		})
	}
	return doc
}

func (f *fleet) startEngines(p fleetPlan) error {
	flags := append([]string{"--model", p.model, "--model-version", "1"}, p.engineFlags...)
	for i := range p.hosted + p.separate {
		f.doc.Engines = append(f.doc.Engines, f.engineRow(fmt.Sprintf("engine-%d", i+1), p.zones[i%len(p.zones)], p.model))
	}
	if p.hosted > 0 {
		args := []string{"--listen", f.doc.Engines[0].Address, "engines"}
		for _, e := range f.doc.Engines[:p.hosted] {
			args = append(args, "--id", e.ID)
		}
		if _, err := f.Start("engines", "sf-standin", append(args, flags...)...); err != nil {
			return err
		}
	}
	for _, e := range f.doc.Engines[p.hosted:] {
		args := append([]string{"--listen", e.Address, "engine", "--id", e.ID}, flags...)
		process, err := f.Start(e.ID, "sf-standin", args...)
		if err != nil {
			return err
		}
		f.separateEngines = append(f.separateEngines, process)
	}
	return nil
}

// engineRow returns the configuration row of an engine, with a newly allocated address. Successive rows have
// successive addresses.
func (f *fleet) engineRow(id, zone, model string) config.Engine {
	state := config.EngineState{Model: model, Version: "1", Role: config.RoleMixed}
	return config.Engine{
		ID: id, Address: f.Address(), Zone: zone, Pool: "main", Fencing: config.FencingRefuse,
		Want: state, Loaded: state, Routing: config.RoutingServing, RoutingSince: 1,
	}
}

func (f *fleet) startServices(p fleetPlan) error {
	if p.services == 0 {
		return nil
	}
	svc := config.Service{Name: "plain", Prefix: p.prefix}
	for i := range p.services {
		id, address := fmt.Sprintf("service-%d", i+1), f.Address()
		if _, err := f.Start(id, "sf-standin", "--listen", address, "service", "--id", id); err != nil {
			return err
		}
		svc.Upstreams = append(svc.Upstreams, config.ServiceUpstream{ID: id, Address: address, Zone: p.zones[i%len(p.zones)]})
	}
	f.doc.Services = append(f.doc.Services, svc)
	return nil
}

func (f *fleet) startEntry(id, zone, tables string) error {
	address, local := f.Address(), f.Address()
	// No call of the load has an idempotency key, so the platform gets no requests and is not started.
	settings := fmt.Sprintf("instance = %q\nzone = %q\nplatform = %q\nlisten = %q\nlocal = %q\nstale_after = \"1m\"\n%s",
		id, zone, f.Address(), address, local, tables)
	path := filepath.Join(f.Dir, id+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		return errors.WithStack(err)
	}
	process, err := f.Start(id, "sf-entry", "--settings", path)
	if err != nil {
		return err
	}
	client := sfv1connect.NewEntryServiceClient(http.DefaultClient, "http://"+local)
	f.entries = append(f.entries, &entryProcess{address: address, process: process, client: client})
	return nil
}

func (f *fleet) upstreamsAnswer(ctx context.Context) bool {
	for _, e := range f.doc.Engines {
		if testfleet.Post(ctx, e.Address, "/status", nil, nil) != nil {
			return false
		}
	}
	for _, svc := range f.doc.Services {
		for _, u := range svc.Upstreams {
			if testfleet.Post(ctx, u.Address, svc.Prefix, nil, nil) != nil {
				return false
			}
		}
	}
	return true
}

// heartbeats applies the configuration to each entry at intervals, as the sf-control of each instance does.
func (f *fleet) heartbeats(ctx context.Context) {
	document := f.doc.Encode()
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		for _, e := range f.entries {
			go f.apply(ctx, e, document)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (f *fleet) apply(ctx context.Context, e *entryProcess, document []byte) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatEvery)
	defer cancel()
	answer, err := e.client.Apply(ctx, connect.NewRequest(&sfv1.ApplyRequest{
		Version: f.doc.Version, Document: document, Clock: e.clock.Load(), FreshForNs: int64(freshness),
	}))
	if err == nil { // an entry that does not respond yet gets the next call
		e.clock.Store(answer.Msg.Clock)
	}
}

func (f *fleet) ready(ctx context.Context) error {
	return testfleet.Until(ctx, "each entry is ready", func() bool {
		for _, e := range f.entries {
			res, err := http.Get("http://" + e.address + "/readyz")
			if err != nil {
				return false
			}
			res.Body.Close()
			if res.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// targets returns the addresses of the entries.
func (f *fleet) targets() []string {
	var targets []string
	for _, e := range f.entries {
		targets = append(targets, e.address)
	}
	return targets
}
