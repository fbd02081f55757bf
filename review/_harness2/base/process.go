package base

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// Process is a program that was started.
type Process struct {
	cmd     *exec.Cmd
	logPath string
	done    chan struct{}
}

// start starts a program. Its output is appended to a file.
func start(path, logPath string, environment ...string) (*Process, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(path)
	cmd.Stdout, cmd.Stderr, cmd.Env = log, log, append(os.Environ(), environment...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the harness
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{cmd: cmd, logPath: logPath, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // it may have ended

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Kill ends the process.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Log returns the output so far.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.logPath)
	return string(text)
}

// addresses hands out loopback addresses.
type addresses struct {
	mu   sync.Mutex // protects port
	port int
}

const firstPort = 7000

// Address returns an unused address. Each run has an IP of its own in 127.0.0.0/8.
func (a *addresses) Address() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.port++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1:%d", 1+pid%250, pid/250%250, firstPort+a.port)
}

func (f *Fleet) logPath(name string) string { return filepath.Join(f.Dir, name+".log") }
