package entry

import (
	"net"
	"net/http"
	"time"

	"sassafrasfield/internal/connlimit"
)

// writeChunkBytes is the maximum number of bytes written under one write deadline.
const writeChunkBytes = 64 << 10

// deadlineWriter writes answers to callers, and fails if a caller reads nothing for the timeout.
type deadlineWriter struct {
	w       http.ResponseWriter
	timeout time.Duration
	// wrote is called after each chunk; nil for nothing.
	wrote func()
}

// writeAll writes the data in chunks. Each chunk has the full timeout.
func (d deadlineWriter) writeAll(data []byte) error {
	for len(data) > 0 {
		part := data[:min(len(data), writeChunkBytes)]
		d.extendDeadline()
		if _, err := d.w.Write(part); err != nil {
			return err
		}
		data = data[len(part):]
		if d.wrote != nil {
			d.wrote()
		}
	}
	return nil
}

// flush sends the buffered data.
func (d deadlineWriter) flush() error {
	d.extendDeadline()
	return http.NewResponseController(d.w).Flush()
}

// extendDeadline renews the write deadline. The next request on the connection clears it.
func (d deadlineWriter) extendDeadline() {
	_ = http.NewResponseController(d.w).SetWriteDeadline(time.Now().Add(d.timeout)) // a response recorder in tests has no deadline
}

// limitWriteBuffer limits the kernel's send buffer, which holds data that the caller has not read.
// Otherwise the kernel would grow the buffer, to megabytes on a fast network.
func (s *Server) limitWriteBuffer(conn net.Conn) {
	if limited, ok := conn.(*connlimit.Conn); ok {
		conn = limited.NetConn()
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(s.settings.Limits.WriteBufferBytes) // on an error the kernel's default limit applies
	}
}
