// Package testfleet starts the real programs as processes on loopback, for the
// demo and the process tests. It is scaffolding: the product starts no
// processes.
package testfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/pkg/errors"

	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/testservers"
)

// firstPort of a fleet; each fleet has an address of its own in 127.0.0.0/8,
// so that ports never clash.
const firstPort = 7000

// fleets counts the fleets of this process.
var fleets atomic.Int64

// Fleet is a set of processes with their settings files.
type Fleet struct {
	// Bin is the folder of the built programs, Dir that of settings and logs.
	Bin string
	Dir string
	// IP is the fleet's own loopback address.
	IP string
	// PlatformAddress is where instances reach the platform; set it to a
	// proxy's before AddInstance to inject faults.
	PlatformAddress string
	// Environment is added to the environment of the processes started next,
	// such as failpoint.Variable.
	Environment []string
	// ControlExtra and EntryExtra are lines added to each settings file, at
	// its top level; ControlTables and EntryTables go to its end.
	ControlExtra, EntryExtra   string
	ControlTables, EntryTables string

	Platform  *Process
	Instances []*Instance
	Engines   []*Engine
	Services  []*Service

	platformDirect string

	mu       sync.Mutex // protects all below
	nextPort int
	all      []*Process
	proxies  []*toxiproxy.Proxy
}

// Instance is one instance with both daemons.
type Instance struct {
	ID, Zone                                   string
	EntryAddress, LocalAddress, ControlAddress string
	Entry, Control                             *Process
}

// Engine is one stand-in engine.
type Engine struct {
	ID, Zone, Address string
	Process           *Process
}

// Service is one stand-in service.
type Service struct {
	ID, Zone, Address string
	Process           *Process
}

// New returns a fleet without processes.
func New(bin, dir string) *Fleet {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid%250, pid/250%250, 1+fleets.Add(1)%250)
	return &Fleet{Bin: bin, Dir: dir, IP: ip, nextPort: firstPort}
}

// Address reserves an address.
func (f *Fleet) Address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextPort++
	return fmt.Sprintf("%s:%d", f.IP, f.nextPort)
}

// Start starts a program; its output goes to a log file in Dir.
func (f *Fleet) Start(name, program string, args ...string) (*Process, error) {
	p, err := start(name, filepath.Join(f.Bin, program), filepath.Join(f.Dir, name+".log"), f.Environment, args)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, p)
	return p, nil
}

// StartPlatform starts the platform's stand-in.
func (f *Fleet) StartPlatform(ctx context.Context) error {
	f.platformDirect = f.Address()
	f.PlatformAddress = f.platformDirect
	p, err := f.Start("platform", "sf-standin", "--listen", f.platformDirect, "platform")
	if err != nil {
		return err
	}
	f.Platform = p
	return Until(ctx, "the platform answers", func() bool {
		_, err := f.PlatformClient().Instances(ctx)
		return err == nil
	})
}

// PlatformClient returns a client that goes around any proxy.
func (f *Fleet) PlatformClient() *platform.Client {
	return platform.NewClient(f.platformDirect, 5*time.Second)
}

// PlatformFault switches the platform's faults.
func (f *Fleet) PlatformFault(ctx context.Context, faults testservers.PlatformFaults) error {
	return Post(ctx, f.platformDirect, testservers.PathFault, faults, nil)
}

// SetInstance sets a line of the instance list.
func (f *Fleet) SetInstance(ctx context.Context, instance platform.Instance) error {
	return Post(ctx, f.platformDirect, testservers.PathSetInstance, instance, nil)
}

// AddEngine starts a stand-in engine with further flags.
func (f *Fleet) AddEngine(ctx context.Context, id, zone string, flags ...string) (*Engine, error) {
	e := &Engine{ID: id, Zone: zone, Address: f.Address()}
	args := append([]string{"--listen", e.Address, "engine", "--id", id}, flags...)
	p, err := f.Start(id, "sf-standin", args...)
	if err != nil {
		return nil, err
	}
	e.Process = p
	f.Engines = append(f.Engines, e)
	if err := untilListens(ctx, e.Address); err != nil {
		return e, err
	}
	return e, f.SetInstance(ctx, platform.Instance{ID: id, Kind: platform.KindUpstream, Zone: zone, State: platform.InstanceLive})
}

// AddService starts a stand-in plain service.
func (f *Fleet) AddService(ctx context.Context, id, zone string) (*Service, error) {
	s := &Service{ID: id, Zone: zone, Address: f.Address()}
	p, err := f.Start(id, "sf-standin", "--listen", s.Address, "service", "--id", id)
	if err != nil {
		return nil, err
	}
	s.Process = p
	f.Services = append(f.Services, s)
	if err := untilListens(ctx, s.Address); err != nil {
		return s, err
	}
	return s, f.SetInstance(ctx, platform.Instance{ID: id, Kind: platform.KindUpstream, Zone: zone, State: platform.InstanceLive})
}

// untilListens waits until a stand-in takes connections.
func untilListens(ctx context.Context, address string) error {
	return Until(ctx, address+" takes connections", func() bool {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		_ = conn.Close() // nothing was sent on it
		return true
	})
}

// AddInstance reserves addresses, writes settings, starts both daemons and
// lists the instance.
func (f *Fleet) AddInstance(ctx context.Context, id, zone string) (*Instance, error) {
	i := &Instance{ID: id, Zone: zone, EntryAddress: f.Address(), LocalAddress: f.Address(), ControlAddress: f.Address()}
	if err := f.writeSettings(i); err != nil {
		return nil, err
	}
	if err := f.StartEntry(i); err != nil {
		return nil, err
	}
	if err := f.StartControl(i); err != nil {
		return nil, err
	}
	f.Instances = append(f.Instances, i)
	return i, f.SetInstance(ctx, platform.Instance{
		ID: id, Kind: platform.KindOwn, Zone: zone, State: platform.InstanceLive,
		Control: i.ControlAddress, Entry: i.EntryAddress,
	})
}

// StartEntry starts, or starts again, an instance's sf-entry.
func (f *Fleet) StartEntry(i *Instance) error {
	p, err := f.Start(i.ID+"-entry", "sf-entry", "--settings", f.settingsPath(i, "entry"))
	i.Entry = p
	return err
}

// StartControl starts, or starts again, an instance's sf-control.
func (f *Fleet) StartControl(i *Instance) error {
	p, err := f.Start(i.ID+"-control", "sf-control", "--settings", f.settingsPath(i, "control"))
	i.Control = p
	return err
}

func (f *Fleet) settingsPath(i *Instance, program string) string {
	return filepath.Join(f.Dir, i.ID+"-"+program+".toml")
}

func (f *Fleet) writeSettings(i *Instance) error {
	common := fmt.Sprintf("instance = %q\nzone = %q\nplatform = %q\n", i.ID, i.Zone, f.PlatformAddress)
	entry := common + fmt.Sprintf("listen = %q\nlocal = %q\n", i.EntryAddress, i.LocalAddress) + f.EntryExtra + f.EntryTables
	control := common + fmt.Sprintf("listen = %q\nentry_local = %q\n", i.ControlAddress, i.LocalAddress) + f.ControlExtra + f.ControlTables
	if err := os.WriteFile(f.settingsPath(i, "entry"), []byte(entry), 0o644); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(f.settingsPath(i, "control"), []byte(control), 0o644))
}

// Stop kills each process that still runs, waits for its end, and stops the
// proxies.
func (f *Fleet) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.all {
		p.Kill()
	}
	for _, p := range f.proxies {
		p.Stop()
	}
}

// Until waits for a condition. The context bounds the wait.
func Until(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Errorf("never came true: %s", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// Post sends a JSON body and decodes the JSON answer, if reply is not nil.
func Post(ctx context.Context, address, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return errors.WithStack(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("%s%s: status %d", address, path, res.StatusCode)
	}
	if answer == nil {
		return nil
	}
	return errors.WithStack(json.NewDecoder(res.Body).Decode(answer))
}
