package base

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// Link is a proxy in front of an engine. It can cut the path between the engine and one machine: what either side sends is held
// until the path is back, as packets of a partition are sent again.
type Link struct {
	target string
	server net.Listener

	mu     sync.Mutex // protects the fields below
	pid    int
	healed chan struct{} // nil while nothing is cut
}

// StartLink starts a proxy.
func StartLink(listen, target string) (*Link, error) {
	server, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, server: server}
	go l.accept()
	return l, nil
}

// Close ends the proxy.
func (l *Link) Close() { _ = l.server.Close() }

// Cut cuts the path to the machine with a process.
func (l *Link) Cut(pid int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pid, l.healed = pid, make(chan struct{})
}

// Heal ends the cut.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed != nil {
		close(l.healed)
		l.healed = nil
	}
}

// await waits while the path to a process is cut.
func (l *Link) await(pid int) {
	for {
		l.mu.Lock()
		healed := l.healed
		if l.pid != pid {
			healed = nil
		}
		l.mu.Unlock()
		if healed == nil {
			return
		}
		<-healed
	}
}

func (l *Link) accept() {
	for {
		conn, err := l.server.Accept()
		if err != nil {
			return
		}
		go l.pass(conn.(*net.TCPConn))
	}
}

func (l *Link) pass(conn *net.TCPConn) {
	pid := pidOf(conn.RemoteAddr().String())
	l.await(pid)
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	go l.copy(to.(*net.TCPConn), conn, pid)
	l.copy(conn, to.(*net.TCPConn), pid)
}

// copy passes bytes on, and then the end of the connection: a reset as a reset.
func (l *Link) copy(to, from *net.TCPConn, pid int) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		l.await(pid)
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		switch {
		case err == io.EOF:
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = from.SetLinger(0)
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// pidOf returns the process whose end of a connection has a loopback address; 0 if there is none.
func pidOf(address string) int {
	_, port, _ := net.SplitHostPort(address)
	var number int
	_, _ = fmt.Sscan(port, &number)
	inode := inodeOf(fmt.Sprintf(":%04X", number))
	if inode == "" {
		return 0
	}
	links, _ := filepath.Glob("/proc/[0-9]*/fd/[0-9]*")
	for _, link := range links {
		if name, err := os.Readlink(link); err == nil && name == "socket:["+inode+"]" {
			pid := 0
			_, _ = fmt.Sscan(strings.Split(link, "/")[2], &pid)
			if pid != os.Getpid() {
				return pid
			}
		}
	}
	return 0
}

// inodeOf returns the inode of the socket that has a local port and is no listener.
func inodeOf(port string) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close()
	const local, state, inode, established = 1, 3, 9, "01"
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		fields := strings.Fields(scanner.Text())
		if len(fields) > inode && strings.HasSuffix(fields[local], port) && fields[state] == established {
			return fields[inode]
		}
	}
	return ""
}
