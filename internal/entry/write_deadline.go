package entry

import (
	"context"
	"net"
	"net/http"
	"time"
)

// writePart is how much of an answer one write deadline is for.
const writePart = 64 << 10

// deadlineWriter writes answers to callers, and gives up on one that takes
// nothing for the timeout.
type deadlineWriter struct {
	w       http.ResponseWriter
	timeout time.Duration
}

// writeAll writes the data. Each part of it has the whole timeout.
func (d deadlineWriter) writeAll(data []byte) error {
	for len(data) > 0 {
		part := data[:min(len(data), writePart)]
		d.extend()
		if _, err := d.w.Write(part); err != nil {
			return err
		}
		data = data[len(part):]
	}
	return nil
}

// flush sends what was written.
func (d deadlineWriter) flush() error {
	d.extend()
	return http.NewResponseController(d.w).Flush()
}

// extend sets the deadline anew. The connection's next request clears it.
func (d deadlineWriter) extend() {
	_ = http.NewResponseController(d.w).SetWriteDeadline(time.Now().Add(d.timeout)) // a test's recorder has none
}

// boundBuffer fixes what the kernel holds for a caller that does not take it:
// it would else grow the buffer, to megabytes on a fast network.
func (s *Server) boundBuffer(ctx context.Context, conn net.Conn) context.Context {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(s.settings.Limits.WriteBufferBytes) // the kernel's own bound stays
	}
	return ctx
}
