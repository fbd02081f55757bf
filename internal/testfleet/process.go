package testfleet

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Process is a program that was started, and may have exited since.
type Process struct {
	Name string
	// LogPath is the file with the program's standard output and standard error.
	LogPath string

	cmd  *exec.Cmd
	done chan struct{}

	mu  sync.Mutex // protects err
	err error
}

func start(name, path, logPath string, environment, args []string) (*Process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer log.Close()
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), environment...)
	// The kernel kills the process when its parent exits, whatever the cause.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	p := &Process{Name: name, LogPath: logPath, cmd: cmd, done: make(chan struct{})}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.cmd.Process.Signal(signal) // the process may have exited already
}

// Kill sends SIGKILL to the process and waits until it exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the exit error of the process. It is nil while the process runs and after exit code 0.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// CheckRunning returns an error if the process has ended.
func (p *Process) CheckRunning() error {
	select {
	case <-p.done:
		return errors.Errorf("%s ended: %v", p.Name, p.Err())
	default:
		return nil
	}
}

// PeakMemory returns the largest resident memory that the process has had, in bytes (VmHWM of Linux).
func (p *Process) PeakMemory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes int64
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		return 0, errors.Wrap(err, p.Name)
	}
	return kilobytes << 10, nil
}

// Descriptors returns the number of open file descriptors of the process.
func (p *Process) Descriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	return len(entries), errors.WithStack(err)
}

// Load is the most that a process was seen to hold while it was observed.
type Load struct {
	Descriptors int
	// Unread are bytes that the kernel had received on connections to the process and the process had not read.
	Unread int64
}

// Observe begins to observe what the process holds, at the addresses where it listens. The returned function ends that.
func (p *Process) Observe(addresses ...string) (end func() Load) {
	const interval = 5 * time.Millisecond
	stop, result := make(chan struct{}), make(chan Load)
	go func() {
		var most Load
		for ended := false; !ended; {
			select {
			case <-stop:
				ended = true // after a last look
			case <-time.After(interval):
			}
			if n, err := p.Descriptors(); err == nil {
				most.Descriptors = max(most.Descriptors, n)
			}
			most.Unread = max(most.Unread, unreadAt(addresses))
		}
		result <- most
	}()
	return func() Load {
		close(stop)
		return <-result
	}
}

// unreadAt returns the bytes received and not read on the connections to listening addresses.
func unreadAt(addresses []string) int64 {
	const local, state, queues, listening = 1, 3, 4, "0A"
	data, _ := os.ReadFile("/proc/net/tcp") // an error gives 0
	var sum int64
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) <= queues || fields[state] == listening || !slices.ContainsFunc(addresses, func(a string) bool { return fields[local] == hexAddress(a) }) {
			continue
		}
		_, received, _ := strings.Cut(fields[queues], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		sum += n
	}
	return sum
}

// hexAddress returns an IPv4 address with a port in the format of /proc/net/tcp.
func hexAddress(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	ip := parsed.Addr().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), parsed.Port())
}

// LimitDescriptors sets the number of file descriptors that the process may have open.
func (p *Process) LimitDescriptors(n int) error {
	limit := unix.Rlimit{Cur: uint64(n), Max: uint64(n)}
	return errors.Wrap(unix.Prlimit(p.PID(), unix.RLIMIT_NOFILE, &limit, nil), p.Name)
}

// Log returns the content of the log file.
func (p *Process) Log() string {
	data, _ := os.ReadFile(p.LogPath) // an unreadable log counts as empty
	return string(data)
}
