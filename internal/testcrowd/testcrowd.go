// Package testcrowd opens many connections at once to a server under test, as clients do that do not behave: they send
// requests that stop short, heads of very many fields, requests without reading the answers, or nothing, and keep their
// connections open. Tests and the soak use it.
package testcrowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Client writes what one client sends, given its number. The number makes requests distinct.
type Client func(conn io.Writer, number int) error

// Target is where the requests of a crowd go.
type Target struct {
	Method, Path, Host string
	// Header has further header lines, each with its end of line.
	Header string
}

// head returns the beginning of a request, without the empty line at its end.
func (t Target) head(number int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: crowd-%d\r\n%s", t.Method, t.Path, t.Host, number, t.Header)
}

func write(w io.Writer, text string) error {
	_, err := io.WriteString(w, text)
	return err
}

// Nothing sends nothing.
func Nothing(io.Writer, int) error { return nil }

// HalfHead sends a head that is not ended.
func (t Target) HalfHead(w io.Writer, number int) error { return write(w, t.head(number)) }

// ShortBody sends a body that declares a size in bytes and stops one short of it.
func (t Target) ShortBody(size int) Client {
	return func(w io.Writer, number int) error {
		return write(w, t.head(number)+fmt.Sprintf("Content-Length: %d\r\n\r\n", size)+strings.Repeat("x", size-1))
	}
}

// SlowBody sends a body that declares a size in bytes in the given number of pieces, with a pause after each, and stops one byte short
// of it.
func (t Target) SlowBody(size, pieces int, pause time.Duration) Client {
	return func(w io.Writer, number int) error {
		if err := write(w, t.head(number)+fmt.Sprintf("Content-Length: %d\r\n\r\n", size)); err != nil {
			return err
		}
		for rest := size - 1; rest > 0; {
			piece := min(rest, size/pieces)
			if err := write(w, strings.Repeat("x", piece)); err != nil {
				return err
			}
			rest -= piece
			time.Sleep(pause)
		}
		return nil
	}
}

// ShortChunks sends a body of a size in bytes in chunks, without the last one.
func (t Target) ShortChunks(size, chunk int) Client {
	return func(w io.Writer, number int) error {
		one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
		return write(w, t.head(number)+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat(one, size/chunk))
	}
}

// LongBody declares a body of a size in bytes, and sends it until the server no longer reads.
func (t Target) LongBody(size int) Client {
	const piece = 64 << 10
	return func(w io.Writer, number int) error {
		if err := write(w, t.head(number)+fmt.Sprintf("Content-Length: %d\r\n\r\n", size)); err != nil {
			return err
		}
		for range size / piece {
			if err := write(w, strings.Repeat("x", piece)); err != nil {
				return err
			}
		}
		return nil
	}
}

// Fields describes a head of very many short fields.
type Fields struct {
	// Bytes is the size of the fields.
	Bytes int
	// Same has all fields bear the same name.
	Same bool
	// Ended has the head end, and a body follow that is one byte short.
	Ended bool
}

// ManyFields sends a head of very many short fields.
func (t Target) ManyFields(f Fields) Client {
	var fields strings.Builder
	for i := 0; fields.Len() < f.Bytes; i++ {
		if f.Same {
			i = 10
		}
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	end := ""
	if f.Ended {
		end = "Content-Length: 2\r\n\r\nx"
	}
	return func(w io.Writer, number int) error { return write(w, t.head(number)+fields.String()+end) }
}

// Ahead sends whole requests with bodies of a size in bytes, without reading an answer.
func (t Target) Ahead(requests, size int) Client {
	return func(w io.Writer, number int) error {
		for i := range requests {
			request := t.head(number*requests+i) + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("x", size)
			if err := write(w, request); err != nil {
				return err
			}
		}
		return nil
	}
}

// Crowd is the open connections of clients.
type Crowd struct {
	conns []net.Conn
}

// sendTimeout bounds what a client sends. A server that does not read blocks it.
const sendTimeout = 5 * time.Second

// Open opens the connections of n clients and returns once each client has sent all that it does, or can send no more.
// A connection that is refused or closed by the server is left out.
func Open(address string, n int, client Client) *Crowd {
	c := &Crowd{}
	var mu sync.Mutex // protects c.conns
	var clients sync.WaitGroup
	places := make(chan struct{}, 64) // clients that connect or send at the same time
	for number := range n {
		places <- struct{}{}
		clients.Go(func() {
			defer func() { <-places }()
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				return
			}
			mu.Lock()
			c.conns = append(c.conns, conn)
			mu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // fails only if the connection is closed
			_ = client(conn, number)                               // the server may refuse to read on
		})
	}
	clients.Wait()
	return c
}

// Size returns the number of connections.
func (c *Crowd) Size() int { return len(c.conns) }

// Close closes the connections.
func (c *Crowd) Close() {
	for _, conn := range c.conns {
		_ = conn.Close() // the server may have closed it already
	}
}
