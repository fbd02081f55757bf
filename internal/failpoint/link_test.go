package failpoint

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// setLink sets the fault of the links.
func setLink(t *testing.T, path string, fault LinkFault) {
	t.Helper()
	if err := os.WriteFile(path, []byte(fault), 0o600); err != nil {
		t.Fatal(err)
	}
}

// faultyPair returns a connection with faults and its peer's end.
func faultyPair(t *testing.T, path string) (conn, peer net.Conn) {
	t.Helper()
	t.Setenv(LinkVariable, path)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dial := WrapDial((&net.Dialer{}).DialContext, LinkTimeouts{Connect: time.Second, Unacknowledged: 200 * time.Millisecond})
	if conn, err = dial(context.Background(), "tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if peer, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	return conn, peer
}

// TestSilentLinkDropsTheEndOfAConnection guards against a link that drops the last bytes of an answer and delivers the end of its
// connection, so that an answer without a length looks whole.
func TestSilentLinkDropsTheEndOfAConnection(t *testing.T) {
	path := filepath.Join(t.TempDir(), "links")
	conn, peer := faultyPair(t, path)
	setLink(t, path, LinkSilent)
	if _, err := peer.Write([]byte("lost")); err != nil {
		t.Fatal(err)
	}
	_ = peer.Close()
	if n, err := conn.Read(make([]byte, 16)); n != 0 || !errors.Is(err, syscall.ETIMEDOUT) {
		t.Errorf("read %d bytes, %v, want a time-out", n, err)
	}
}

// TestDroppedBytesAreNotFollowed guards against a link that delivers bytes after others of the same connection were dropped.
func TestDroppedBytesAreNotFollowed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "links")
	conn, peer := faultyPair(t, path)
	setLink(t, path, LinkSilent)
	if n, err := conn.Write([]byte("lost")); n != 4 || err != nil {
		t.Fatalf("wrote %d bytes, %v", n, err)
	}
	setLink(t, path, LinkOK)
	if n, err := conn.Write([]byte("later")); n != 5 || err != nil {
		t.Fatalf("wrote %d bytes, %v", n, err)
	}
	_ = conn.Close()
	if n, err := peer.Read(make([]byte, 16)); n != 0 || err == nil {
		t.Errorf("the peer read %d bytes, %v", n, err)
	}
}

// TestCloseEndsAReadOfADroppedEnd guards against a read that waits for ever after the end of its connection was dropped.
func TestCloseEndsAReadOfADroppedEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "links")
	conn, peer := faultyPair(t, path)
	setLink(t, path, LinkOpenSilent)
	_ = peer.Close()
	ended := make(chan error)
	go func() {
		_, err := conn.Read(make([]byte, 16))
		ended <- err
	}()
	_ = conn.Close()
	if err := <-ended; err == nil {
		t.Error("the read succeeded")
	}
}
