package testfleet

import (
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Process is a started program.
type Process struct {
	Name string
	// LogPath has what the program wrote.
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
	// The processes end with the one that started them, however it ends.
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
	_ = p.cmd.Process.Signal(signal) // it may have ended already
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Pid is the process's id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// PID returns the process's id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns how the process ended; nil is exit code 0.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Log returns what the program wrote so far.
func (p *Process) Log() string {
	data, _ := os.ReadFile(p.LogPath) // none yet: empty
	return string(data)
}
