// Command harness runs the review's cases: sf-instance processes on loopback addresses before stand-ins of the store,
// the runners and the callers.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"sassafrasfield/platform/standin"
	"sassafrasfield/platform/wire"
)

// Ports of each instance; every instance has a loopback address of its own.
const (
	frontPort, readyPort, controlPort = 8149, 8141, 8144
	metricsPort                       = 9464
)

// record is the case's record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// instance is one sf-instance process.
type instance struct {
	name, zone, ip string
	link           *proxy
	settings       string
	cmd            *exec.Cmd
	done           chan struct{}
}

func (in *instance) front() string { return fmt.Sprintf("%s:%d", in.ip, frontPort) }

// fleet is the stand-in platform with its instances.
type fleet struct {
	rec       *record
	dir, base string
	store     *standin.Store
	instances []*instance
	version   int64
}

// newFleet starts a store on a free loopback address.
func newFleet(rec *record, dir string) (*fleet, error) {
	for range 50 {
		base := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
		store, err := standin.NewStore(base + ".250:8142")
		if err == nil {
			return &fleet{rec: rec, dir: dir, base: base, store: store}, nil
		}
	}
	return nil, fmt.Errorf("no free loopback address")
}

// values returns the platform's fields for the template of the settings. The bounds are those of the small sites.
func (f *fleet) values(in *instance, provider string) map[string]string {
	return map[string]string{
		"node_name": in.name, "zone": in.zone, "ip": in.ip,
		"listen.front": in.front(), "listen.ready": fmt.Sprintf("%s:%d", in.ip, readyPort), "listen.control": fmt.Sprintf("%s:%d", in.ip, controlPort),
		"provider.address": provider, "bounds.grace_s": "8", "bounds.drain_ms": "2000", "bounds.lease_ms": "3000",
		"bounds.retry_budget_ratio": "0.2", "bounds.retry_slack": "58", "bounds.budget_window_s": "10",
		"limits.memory_mb": "284", "limits.link_mbps": "1000.0",
	}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.]+)\}\}`)
)

// render fills in deploy/settings.toml as the platform does.
func render(template string, values map[string]string, seeds []string) string {
	text := strings.Replace(template, `{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, `"`+strings.Join(seeds, `","`)+`"`, 1)
	text = regexp.MustCompile(`(?s)\{\{#cloud_api.address\}\}.*\{\{/cloud_api.address\}\}`).ReplaceAllString(text, "")
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		parts := section.FindStringSubmatch(s)
		if values[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string { return values[s[2:len(s)-2]] })
}

// addInstances starts instances, the zones by turns.
func (f *fleet) addInstances(zones []string, each int) error {
	template, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		return err
	}
	for i := range len(zones) * each {
		zone := zones[i%len(zones)]
		in := &instance{name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone: zone, ip: fmt.Sprintf("%s.%d", f.base, i+1)}
		if in.link, err = newProxy(fmt.Sprintf("%s.251:%d", f.base, 9000+i), f.store.Address); err != nil {
			return err
		}
		f.instances = append(f.instances, in)
	}
	var seeds []string
	for _, in := range f.instances[:min(3, len(f.instances))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", in.ip, controlPort))
	}
	for _, in := range f.instances {
		in.settings = filepath.Join(f.dir, in.name+".conf")
		text := render(string(template), f.values(in, in.link.address), seeds)
		if err := os.WriteFile(in.settings, []byte(text), 0o644); err != nil {
			return err
		}
		if err := f.startProcess(in); err != nil {
			return err
		}
	}
	return nil
}

// startProcess starts the program of deploy/system.toml.
func (f *fleet) startProcess(in *instance) error {
	log, err := os.OpenFile(filepath.Join(f.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	in.cmd = exec.Command("target/sf-instance")
	in.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SASSAFRASFIELD_BOOT=" + in.settings}
	in.cmd.Stdout, in.cmd.Stderr = log, log
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in.done = make(chan struct{})
	if err := in.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // how it ended does not matter
		close(done)
	}(in.cmd, in.done)
	return nil
}

func (f *fleet) ready(in *instance) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d%s", in.ip, readyPort, wire.ReadyPath))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all instances are ready.
func (f *fleet) waitReady(within time.Duration) error {
	until := time.Now().Add(within)
	for _, in := range f.instances {
		for !f.ready(in) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", in.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) configure(c wire.Config) error {
	f.version += 3
	c.Version = f.version
	return f.store.Put(wire.OperatorTable, wire.ConfigKey, c)
}

func (f *fleet) stop() {
	for _, in := range f.instances {
		if in.cmd != nil && in.cmd.Process != nil {
			_ = in.cmd.Process.Kill() // it may have ended
			<-in.done
		}
		in.link.listener.Close()
	}
	f.store.Close()
}

var feedCall = regexp.MustCompile(`GET /v1/rows-feed\?\S*table=([a-z_]+)`)

// proxy is the link of an instance to the store.
type proxy struct {
	address  string
	listener net.Listener

	mu   sync.Mutex // protects all below
	cut  bool
	sent int // bytes from the instance since the last count
	// polled is when the instance last began to wait for changes, by table.
	polled map[string]time.Time
	// healed is closed when the link is not cut.
	healed chan struct{}
}

func newProxy(address, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: address, listener: listener, healed: make(chan struct{}), polled: map[string]time.Time{}}
	close(p.healed)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn, to)
		}
	}()
	return p, nil
}

func (p *proxy) serve(conn net.Conn, to string) {
	defer conn.Close()
	p.wait()
	upstream, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer upstream.Close()
	go func() {
		p.pass(conn, upstream, true)
		upstream.Close()
	}()
	p.pass(upstream, conn, false)
}

// pass copies bytes, and holds them back while the link is cut.
func (p *proxy) pass(from, to net.Conn, counts bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if counts {
			p.mu.Lock()
			p.sent += n
			if poll := feedCall.FindSubmatch(buffer[:n]); poll != nil {
				p.polled[string(poll[1])] = time.Now()
			}
			p.mu.Unlock()
		}
		p.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) wait() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	<-healed
}

// setCut cuts the link silently, in both directions, or heals it.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut == p.cut {
		return
	}
	if p.cut = cut; cut {
		p.healed = make(chan struct{})
		return
	}
	close(p.healed)
}

// readers returns the instances that called the store within a time.
func (f *fleet) readers(within time.Duration) []*instance {
	for _, in := range f.instances {
		in.link.counted()
	}
	time.Sleep(within)
	var list []*instance
	for _, in := range f.instances {
		if in.link.counted() > 0 {
			list = append(list, in)
		}
	}
	return list
}

// counted returns how many bytes the instance sent to the store since the last call.
func (p *proxy) counted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.sent
	p.sent = 0
	return n
}

// oldestPoll returns the time since the instance began to wait for the changes of each table.
func (p *proxy) oldestPoll() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := time.Duration(0)
	for _, at := range p.polled {
		oldest = max(oldest, time.Since(at))
	}
	return oldest
}
