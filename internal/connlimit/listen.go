package connlimit

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Listen returns a listener at a TCP address, whose connections have kernel queues of the given size for received bytes; 0
// leaves it to the kernel, which would let each grow to megabytes.
func Listen(address string, receiveQueue int) (net.Listener, error) {
	config := net.ListenConfig{}
	if receiveQueue > 0 {
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveQueue)
			})
			if err == nil {
				err = failed
			}
			return errors.Wrap(err, "connlimit: set SO_RCVBUF")
		}
	}
	listener, err := config.Listen(context.Background(), "tcp", address)
	return listener, errors.Wrap(err, "connlimit: listen")
}
