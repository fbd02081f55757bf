// Package testfleet starts the built programs and the stand-ins of their dependencies as processes
// on loopback addresses. The demo and the process tests use it; the product itself starts no
// processes. It also provides fault-injecting proxies between the processes.
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
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/pkg/errors"

	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/testservers"
)

// firstPort is the port below the first one that a fleet assigns. Each fleet has its own IP address
// in 127.0.0.0/8, so the ports of several fleets do not collide.
const firstPort = 7000

// fleets counts the fleets created in this process.
var fleets atomic.Int64

// Fleet is a set of processes with their settings files.
type Fleet struct {
	// Bin is the folder of the built programs. Dir is the folder of settings and logs.
	Bin string
	Dir string
	// IP is the loopback address of this fleet.
	IP string
	// PlatformAddress is the address of the platform in the settings of new instances. To inject
	// faults, set it to the address of a proxy before AddInstance.
	PlatformAddress string
	// Environment is added to the environment of processes started later, for example
	// failpoint.Variable.
	Environment []string
	// ControlExtra and EntryExtra are top-level lines added to each settings file. ControlTables
	// and EntryTables are appended at its end.
	ControlExtra, EntryExtra   string
	ControlTables, EntryTables string

	Platform  *Process
	Instances []*Instance
	Engines   []*Engine
	Services  []*Service

	platformDirect string

	mu        sync.Mutex // protects all below
	nextPort  int
	processes []*Process
	proxies   []*toxiproxy.Proxy
}

// Instance is an instance with its two daemons, sf-entry and sf-control.
type Instance struct {
	ID, Zone                                   string
	EntryAddress, LocalAddress, ControlAddress string
	Entry, Control                             *Process
}

// Engine is a stand-in engine.
type Engine struct {
	ID, Zone, Address string
	Process           *Process
}

// Service is a stand-in of a plain service.
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

// Address reserves an unused host:port of the fleet.
func (f *Fleet) Address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextPort++
	return fmt.Sprintf("%s:%d", f.IP, f.nextPort)
}

// Start starts a program. Its output is appended to the file NAME.log in Dir.
func (f *Fleet) Start(name, program string, args ...string) (*Process, error) {
	return f.StartWith(nil, name, program, args...)
}

// StartWith is Start with further variables in the environment of this process.
func (f *Fleet) StartWith(environment []string, name, program string, args ...string) (*Process, error) {
	environment = append(slices.Clone(f.Environment), environment...)
	p, err := start(name, filepath.Join(f.Bin, program), filepath.Join(f.Dir, name+".log"), environment, args)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p, nil
}

// StartPlatform starts the platform's stand-in and waits until it answers.
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

// PlatformClient returns a client that connects to the platform without a proxy.
func (f *Fleet) PlatformClient() *platform.Client {
	return platform.NewClient(f.platformDirect, 5*time.Second)
}

// PlatformFault replaces the platform's faults.
func (f *Fleet) PlatformFault(ctx context.Context, faults testservers.PlatformFaults) error {
	return Post(ctx, f.platformDirect, testservers.PathFault, faults, nil)
}

// SetInstance adds or replaces an entry of the platform's instance list.
func (f *Fleet) SetInstance(ctx context.Context, instance platform.Instance) error {
	return Post(ctx, f.platformDirect, testservers.PathSetInstance, instance, nil)
}

// AddEngine starts a stand-in engine with additional flags and adds it to the instance list.
func (f *Fleet) AddEngine(ctx context.Context, id, zone string, flags ...string) (*Engine, error) {
	e := &Engine{ID: id, Zone: zone, Address: f.Address()}
	args := append([]string{"--listen", e.Address, "engine", "--id", id}, flags...)
	p, err := f.Start(id, "sf-standin", args...)
	if err != nil {
		return nil, err
	}
	e.Process = p
	f.Engines = append(f.Engines, e)
	if err := waitForListener(ctx, e.Address); err != nil {
		return e, err
	}
	return e, f.SetInstance(ctx, platform.Instance{ID: id, Kind: platform.KindUpstream, Zone: zone, State: platform.InstanceLive})
}

// AddService starts a stand-in of a plain service and adds it to the instance list.
func (f *Fleet) AddService(ctx context.Context, id, zone string) (*Service, error) {
	s := &Service{ID: id, Zone: zone, Address: f.Address()}
	p, err := f.Start(id, "sf-standin", "--listen", s.Address, "service", "--id", id)
	if err != nil {
		return nil, err
	}
	s.Process = p
	f.Services = append(f.Services, s)
	if err := waitForListener(ctx, s.Address); err != nil {
		return s, err
	}
	return s, f.SetInstance(ctx, platform.Instance{ID: id, Kind: platform.KindUpstream, Zone: zone, State: platform.InstanceLive})
}

// waitForListener waits until a stand-in accepts connections.
func waitForListener(ctx context.Context, address string) error {
	return Until(ctx, address+" accepts connections", func() bool {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		_ = conn.Close() // nothing was sent on the connection
		return true
	})
}

// AddInstance reserves addresses, writes settings, starts both daemons and adds the instance to the
// instance list.
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

// StartEntry starts or restarts the sf-entry of an instance.
func (f *Fleet) StartEntry(i *Instance) error {
	p, err := f.Start(i.ID+"-entry", "sf-entry", "--settings", f.settingsPath(i, "entry"))
	i.Entry = p
	return err
}

// StartControl starts or restarts the sf-control of an instance.
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

// Stop kills the remaining processes, waits until they exited and stops the proxies.
func (f *Fleet) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.Kill()
	}
	for _, p := range f.proxies {
		p.Stop()
	}
}

// Until polls condition until it is true or the context ends. The error contains the description
// what.
func Until(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Errorf("condition not met before the context ended: %s", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// client is not the default one, whose idle connections each httptest.Server closes when it ends.
var client = &http.Client{Transport: &http.Transport{}}

// Post sends a JSON body and decodes the JSON response into answer, unless answer is nil.
func Post(ctx context.Context, address, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return errors.WithStack(err)
	}
	res, err := client.Do(req)
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
