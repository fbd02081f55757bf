package testfleet

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"

	"github.com/pkg/errors"
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

// Log returns the content of the log file.
func (p *Process) Log() string {
	data, _ := os.ReadFile(p.LogPath) // an unreadable log counts as empty
	return string(data)
}
