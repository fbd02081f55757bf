package peers

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/quota"
	"sassafrasfield/internal/relay"
	"sassafrasfield/internal/replica"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/upstreamstate"
)

// node is an instance of the exchange under test. Its calls are served over HTTP.
type node struct {
	*Exchange
	relay    *relay.Relay
	reporter *Reporter
	sender   *blockingSender
	stop     func()

	mu      sync.Mutex // protects all below
	rows    *replica.Replica
	reading bool
}

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

func (n *node) Revisions() map[string]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rows.Newest()
}

func (n *node) RowRevisions() map[string]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rows.NewestRows()
}

func (n *node) State() replica.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rows.State()
}

func (n *node) Since(state replica.State) ([]replica.Row, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rows.SinceState(state), 0
}

func (n *node) LoadedTables() []string { return nil }

func (n *node) MarkTablesLoaded([]string) {}

func (n *node) ApplyRows(rows []replica.Row, _ time.Duration) {
	n.mu.Lock()
	changes := n.rows.Apply(rows, 0)
	n.mu.Unlock()
	if len(changes) > 0 {
		n.NotifyRows()
	}
}

func (n *node) Reading() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reading
}

func (n *node) has(revision int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	row, ok := n.rows.Get(replica.Key{Table: "t", Key: "k"})
	return ok && row.Revision == revision
}

// newNode starts an instance that serves calls and exchanges reports.
func newNode(t *testing.T, name, zone string, seeds ...string) *node {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	n := &node{rows: replica.New(replica.Settings{}), sender: &blockingSender{release: make(chan struct{})}}
	n.relay = relay.New(relay.DefaultSettings(), n.sender, discardLogger())
	self := Peer{Name: name, Address: server.Listener.Addr().String(), Zone: zone}
	n.Exchange = New(self, seeds, n, discardLogger())
	_, server.Config.Handler = n.Handler()
	server.Start()
	n.reporter = NewReporter(n.Exchange, n.relay)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.reporter.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	n.stop = sync.OnceFunc(func() {
		stop()
		<-done
		server.Close()
	})
	t.Cleanup(n.stop)
	return n
}

func rowAt(revision int64) []replica.Row {
	return []replica.Row{{Key: replica.Key{Table: "t", Key: "k"}, Value: []byte("v"), Revision: revision}}
}

func waitFor(holds func() bool) {
	for !holds() {
		time.Sleep(time.Millisecond)
	}
}

// newFleet starts three instances in each of three zones and waits until they know one another.
func newFleet(t *testing.T) []*node {
	t.Helper()
	var all []*node
	for i, name := range []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"} {
		var seeds []string
		if i > 0 {
			seeds = []string{all[0].self.Address}
		}
		n := newNode(t, name, string(rune('a'+i%3)), seeds...)
		all = append(all, n)
	}
	for _, n := range all[1:] {
		waitFor(func() bool { return n.Pull(context.Background()) == nil })
	}
	for _, n := range all {
		waitFor(func() bool {
			_ = n.Pull(context.Background()) // retried
			return n.InstanceCount() == len(all)
		})
	}
	return all
}

func TestRowsReachAllInstances(t *testing.T) {
	all := newFleet(t)
	for i, n := range all {
		n.ApplyRows(rowAt(int64(7+i)), 0)
		for _, other := range all {
			waitFor(func() bool { return other.has(int64(7 + i)) })
		}
	}
}

func TestFewInstancesReadStore(t *testing.T) {
	all := newFleet(t)
	countReaders := func() (n int) {
		for _, node := range all {
			if node.ShouldReadStore() {
				n++
			}
		}
		return n
	}
	waitForAllToTry := func() {
		tried := map[*node]bool{}
		waitFor(func() bool {
			for _, node := range all {
				if node.ShouldReadStore() {
					tried[node] = true
				}
			}
			return len(tried) == len(all)
		})
	}
	waitForAllToTry() // no instance reports that it follows the store
	for _, n := range all {
		n.mu.Lock()
		n.reading = true
		n.mu.Unlock()
	}
	waitFor(func() bool { return countReaders() == 3 }) // one in each zone
	for _, n := range all {
		n.mu.Lock()
		n.reading = false // the store answers no instance
		n.mu.Unlock()
	}
	waitForAllToTry()
}

// waitForHub waits until a zone has a hub and returns it.
func waitForHub(all []*node, zone string) *node {
	for {
		for _, n := range all {
			if n.self.Zone == zone && n.HubDuration() > 2*hubTimeout {
				return n
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func TestPlacementsReachAllZones(t *testing.T) {
	all := newFleet(t)
	for _, n := range all {
		n.relay.UpdateUpstream(upstreamstate.Upstream{ID: "e", Service: "s", Role: "decode"})
	}
	hub := waitForHub(all, "b")
	waitFor(func() bool {
		// A part is reported once and the datagram may be lost, so it is placed again each time.
		hub.relay.ApplyReport("instance x", upstreamstate.Report{Placed: []upstreamstate.PlacedPart{{Engine: 1, Part: 2}}})
		for _, n := range all {
			if n.self.Zone != hub.self.Zone && !n.relay.HasPlacement(upstreamstate.PlacedPart{Engine: 1, Part: 2}) {
				return false
			}
		}
		return true
	})
}

// blockingSender blocks requests until release is closed, and then fails them.
type blockingSender struct {
	release chan struct{}
}

func (s *blockingSender) Send(ctx context.Context, _ *relay.Request, _ relay.Send) (*relay.Reply, error) {
	select {
	case <-s.release:
	case <-ctx.Done():
	}
	return nil, relay.ErrNoValidAnswer
}

func (s *blockingSender) Prefill(context.Context, *relay.Request, relay.Send) (relay.KV, upstreamstate.Load, error) {
	return relay.KV{}, upstreamstate.Load{}, relay.ErrNoValidAnswer
}

func (*blockingSender) SetStatusHandler(func(upstreamstate.Upstream, upstreamstate.UpstreamStatus)) {}

func (*blockingSender) Crashed(context.Context, upstreamstate.Upstream, string) (bool, error) {
	return false, nil
}

func (*blockingSender) Runs(context.Context, upstreamstate.Upstream) (relay.EngineRuns, error) {
	return relay.EngineRuns{}, nil
}

func (*blockingSender) Stop(context.Context, upstreamstate.Upstream, string, upstreamstate.Upstream) (relay.KV, error) {
	return relay.KV{}, relay.ErrNoSuchRun
}

func (*blockingSender) Alive(context.Context, upstreamstate.Upstream, string) (bool, error) {
	return true, nil
}

func (s *blockingSender) Free(context.Context, relay.KV) error { return nil }

// setRoutes gives all instances one engine and the route to it.
func setRoutes(all []*node) {
	table := routes.NewTable(1, []routes.Route{{
		Name: "generate", Kind: routes.Generation, Host: "h", Prefix: "/", MaxAttempts: 1,
		Shares: []routes.Share{{Service: "s", Weight: 1}},
	}}, []routes.Service{{Name: "s"}}, routes.Limits{})
	for _, n := range all {
		n.relay.SetRoutes(table)
		n.relay.UpdateUpstream(upstreamstate.Upstream{ID: "e", Service: "s", Role: "decode"})
	}
}

func requestsOn(n *node) int { return n.relay.Engines()["s"][0].Load.Requests }

// waitForRequests waits until all instances know that many requests on the engine.
func waitForRequests(all []*node, requests int) {
	for _, n := range all {
		waitFor(func() bool { return requestsOn(n) == requests })
	}
}

// TestRequestsInProgressAreReportedToAll has an instance that is not a hub serve a request. All
// instances of all zones must count the request until it ends.
func TestRequestsInProgressAreReportedToAll(t *testing.T) {
	all := newFleet(t)
	setRoutes(all)
	hub := waitForHub(all, "b")
	var busy *node
	for _, n := range all {
		if n.self.Zone == hub.self.Zone && n != hub {
			busy = n
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		request := &relay.Request{ID: "r", Host: "h", Path: "/x", Prompt: &placement.Prompt{Tokens: 100}}
		_ = busy.relay.Serve(context.Background(), request, httptest.NewRecorder()) // blocks, then fails
	}()
	waitForRequests(all, 1)
	close(busy.sender.release)
	<-done
	waitForRequests(all, 0)
}

// TestStandbyReplacesStoppedHub checks that requests in progress are still reported after the hub
// of a zone stopped, also to an instance that has just started.
func TestStandbyReplacesStoppedHub(t *testing.T) {
	all := newFleet(t)
	setRoutes(all)
	hub := waitForHub(all, "a")
	hub.stop()
	var remaining []*node
	for _, n := range all {
		if n != hub {
			remaining = append(remaining, n)
		}
	}
	busy := waitForHub(remaining, "a")
	go func() {
		request := &relay.Request{ID: "r", Host: "h", Path: "/x", Prompt: &placement.Prompt{Tokens: 100}}
		_ = busy.relay.Serve(context.Background(), request, httptest.NewRecorder()) // blocks until the end of the test
	}()
	defer close(busy.sender.release)
	waitForRequests(remaining, 1)
	newcomer := newNode(t, "newcomer", "a", remaining[0].self.Address, remaining[1].self.Address)
	setRoutes([]*node{newcomer})
	waitForRequests([]*node{newcomer}, 1)
}

// TestLongReportIsDelivered guards against reports that are truncated. An instance that orders
// 1,000 engines into other roles reports that all of them are unavailable. When 1,950 engines
// were ordered at the start, receivers could not decode the reports because they were truncated at
// 4 kB.
func TestLongReportIsDelivered(t *testing.T) {
	from, to := newNode(t, "from", "a"), newNode(t, "to", "a")
	message := from.reporter.newDatagram(sfv1.Datagram_KIND_OWN)
	var unavailable []upstreamstate.UnavailableUpstream
	for i := range 1000 {
		unavailable = append(unavailable, upstreamstate.UnavailableUpstream{Upstream: uint32(i), For: 15 * time.Second})
	}
	message.Beyond = reportToMessage(upstreamstate.Report{Unavailable: unavailable})
	waitFor(func() bool { return from.reporter.conn.Load() != nil && to.reporter.conn.Load() != nil })
	if !eventually(10*time.Second, func() bool {
		from.reporter.send(message, []string{to.self.Address})
		return to.InstanceCount() == 2
	}) {
		t.Error("the report did not arrive")
	}
}

// TestHubGrantsRetriesFromPool checks that an instance gets a retry from its zone's hub if that
// has a pool, and none in a zone whose hub has no pool.
func TestHubGrantsRetriesFromPool(t *testing.T) {
	all := newFleet(t)
	hub, other := waitForHub(all, "a"), waitForHub(all, "b")
	hub.relay.SetPool(relay.BudgetSettings{Slack: 1000, Window: time.Second}, len(all), len(all))
	const service = 7
	for _, n := range all {
		switch n.self.Zone {
		case "a":
			waitFor(func() bool { return n.reporter.RequestRetry(context.Background(), service) })
		case other.self.Zone:
			if n.reporter.RequestRetry(context.Background(), service) {
				t.Errorf("%s got a send although its zone has no pool", n.self.Name)
			}
		}
	}
}

func TestUnreachablePeerIsExcluded(t *testing.T) {
	n := newNode(t, "n", "a", "127.0.0.1:1")
	if err := n.Pull(context.Background()); err == nil || errors.Is(err, ErrNoPeer) {
		t.Fatalf("%v", err)
	}
	if err := n.Pull(context.Background()); !errors.Is(err, ErrNoPeer) {
		t.Errorf("%v; want ErrNoPeer", err)
	}
}

// TestPullReturnsLimits checks that an instance that has just started knows the upstreams' limits
// as soon as it has rows to serve with.
func TestPullReturnsLimits(t *testing.T) {
	first := newNode(t, "n0", "a")
	first.relay.ApplyLimits([]quota.UpstreamLimit{{Upstream: 7, Rate: 2, Age: time.Second}}, true)
	first.ApplyRows(rowAt(1), 0)
	second := newNode(t, "n1", "b", first.self.Address)
	if err := second.Pull(context.Background()); err != nil {
		t.Fatal(err)
	}
	limits := second.relay.Limits()
	if !second.has(1) || len(limits) != 1 || limits[0].Upstream != 7 || limits[0].Rate != 2 || limits[0].Age < time.Second {
		t.Errorf("limits: %v", limits)
	}
}

// TestRemovalReachesInstanceThatPulls guards against requests to an upstream that has departed: an
// instance that was paused during the removal gets its rows only from one that started since.
func TestRemovalReachesInstanceThatPulls(t *testing.T) {
	for name, present := range map[string][]replica.Row{
		"rows were written since":  {{Key: replica.Key{Table: "t", Key: "new"}, Revision: 4}},
		"no row was written since": nil,
	} {
		t.Run(name, func(t *testing.T) {
			started := newNode(t, "started", "a")
			paused := newNode(t, "paused", "a", started.self.Address)
			paused.ApplyRows(rowAt(1), 0)
			waitFor(func() bool { return started.has(1) })
			started.mu.Lock()
			started.rows = replica.New(replica.Settings{})
			started.rows.Replace("t", present, 5, 0)
			started.mu.Unlock()
			started.NotifyRows()
			waitFor(func() bool { return !paused.has(1) && !paused.isBehind() })
		})
	}
}

// TestBuildsWithoutBookmarksDoNotWait guards against instances of an earlier build that are not ready during
// a rollout: they read neither bookmarks nor the field known, and wait for each revision that is named.
func TestBuildsWithoutBookmarksDoNotWait(t *testing.T) {
	n := newNode(t, "n", "a")
	n.rows.Replace("t", rowAt(3), 9, 0)
	message := n.reporter.newDatagram(sfv1.Datagram_KIND_OWN)
	if message.GetRevisions()["t"] != 3 || knownRevisions(message)["t"] != 9 {
		t.Errorf("revisions %v, known %v", message.GetRevisions(), message.GetKnown())
	}
}
