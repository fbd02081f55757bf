package peers

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/replica"
)

// node is an instance of the exchange under test, served over HTTP.
type node struct {
	*Exchange
	mu   sync.Mutex // protects rows
	rows *replica.Replica
}

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func (n *node) take(rows []replica.Row, hops int) {
	n.mu.Lock()
	news := n.rows.Apply(rows, 0)
	n.mu.Unlock()
	n.Push(context.Background(), news, hops)
}

func (n *node) since(revision int64) []replica.Row {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rows.Since(revision)
}

func (n *node) has(revision int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	row, ok := n.rows.Get(replica.Key{Table: "t", Key: "k"})
	return ok && row.Revision == revision
}

func newNode(t *testing.T, name string, seeds ...string) *node {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	n := &node{rows: replica.New()}
	self := Peer{Name: name, Address: server.Listener.Addr().String(), Zone: "a"}
	n.Exchange = New(self, seeds, n.take, n.since, quiet())
	_, server.Config.Handler = n.Handler()
	server.Start()
	t.Cleanup(server.Close)
	return n
}

func news(revision int64) []replica.Row {
	return []replica.Row{{Key: replica.Key{Table: "t", Key: "k"}, Value: []byte("v"), Revision: revision}}
}

func TestNewsReachesAllThroughPeers(t *testing.T) {
	first := newNode(t, "n0")
	all := []*node{first}
	for _, name := range []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"} {
		n := newNode(t, name, first.self.Address)
		if err := n.Pull(context.Background(), 0); err != nil {
			t.Fatal(err)
		}
		all = append(all, n)
	}
	first.take(news(7), 0)
	for _, n := range all {
		for !n.has(7) {
			time.Sleep(time.Millisecond) // what no push brought, a pull does
			_ = n.Pull(context.Background(), 0)
		}
	}
}

func TestPullBringsRowsAndPeers(t *testing.T) {
	a := newNode(t, "a")
	a.take(news(3), 0)
	b := newNode(t, "b", a.self.Address)
	if err := b.Pull(context.Background(), 0); err != nil || !b.has(3) {
		t.Fatalf("%v, has the row: %t", err, b.has(3))
	}
	if got := strings.Join(b.Names(), " "); got != "a b" {
		t.Errorf("b knows %q", got)
	}
	if got := strings.Join(a.Names(), " "); got != "a b" {
		t.Errorf("a knows %q", got)
	}
}

func TestAPeerThatDoesNotAnswerIsLeftAloneForAWhile(t *testing.T) {
	n := newNode(t, "n", "127.0.0.1:1")
	if err := n.Pull(context.Background(), 0); err == nil || errors.Is(err, ErrNobody) {
		t.Fatalf("%v", err)
	}
	if err := n.Pull(context.Background(), 0); !errors.Is(err, ErrNobody) {
		t.Errorf("%v; want ErrNobody", err)
	}
}
