// Package instance puts the parts of a program together that serves callers on
// a platform whose store keeps configuration and membership: the copy of the
// store's rows, the exchange with other instances, the data path and the duty
// of the engines' roles. One process does it all: without a disk, and with
// leases that engines do not check, a second process would guard nothing.
package instance

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/httpserver"
	"sassafrasfield/internal/logging"
	"sassafrasfield/internal/pause"
	"sassafrasfield/internal/peers"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/relay"
	"sassafrasfield/internal/replica"
	"sassafrasfield/internal/rolekeeper"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/rowsync"
	"sassafrasfield/internal/scaling"
	"sassafrasfield/internal/upstreamstate"
	"sassafrasfield/internal/usagereport"
)

// Documents decodes the rows that operators and upstreams write.
type Documents interface {
	// Routes returns the configuration among rows, or nil.
	Routes(rows []replica.Row) (*routes.Table, error)
	// Upstream decodes an upstream's row.
	Upstream(row replica.Row) (upstreamstate.Upstream, error)
}

// Adapter is the platform.
type Adapter struct {
	Feed      rowsync.Feed
	Table     platform.Table
	Sender    relay.Sender
	Orderer   rolekeeper.Orderer
	Documents Documents
	// Usage and Scaler are where the platform wants these duties done; nil for none.
	Usage  usagereport.Sender
	Scaler scaling.Sender
	// Handler returns the handler of the callers' protocol, given the limits of
	// the configuration in force.
	Handler func(r *relay.Relay, limits func() routes.Limits) http.Handler
	// UpstreamTable is the store's table of upstreams, QuarantineTable the one of the rows
	// whose keys begin with ApartPrefix.
	UpstreamTable, QuarantineTable string
}

// Settings of an instance.
type Settings struct {
	Self    peers.Peer
	Seeds   []string
	Metrics string
	Front   httpserver.Settings
	Relay   relay.Settings
	Follow  rowsync.Settings
	Roles   rolekeeper.Settings
	// Usage has a Length of 0 where no counts of requests are wanted.
	Usage usagereport.Settings
	// Scaling is of no effect without an adapter's Scaler.
	Scaling scaling.Settings
}

// Instance is the program.
type Instance struct {
	settings Settings
	adapter  Adapter
	log      *slog.Logger
	relay    *relay.Relay
	follower *rowsync.Follower
	peers    *peers.Exchange
	reports  *peers.Reporter
	limits   atomic.Pointer[routes.Limits]
	budget   atomic.Pointer[relay.BudgetSettings]
	started  time.Time
}

// New puts an instance together.
func New(s Settings, a Adapter, log *slog.Logger) *Instance {
	in := &Instance{settings: s, adapter: a, log: log, started: time.Now()}
	in.relay = relay.New(s.Relay, a.Sender, logging.Part(log, "relay"))
	in.follower = rowsync.New(s.Follow, a.Feed, in.changed, logging.Part(log, "follow"))
	in.peers = peers.New(s.Self, s.Seeds, in.follower, logging.Part(log, "peers"))
	in.follower.SetPeers(in.peers)
	in.reports = peers.NewReporter(in.peers, in.relay)
	in.relay.SetPoolRequester(in.reports.RequestRetry)
	in.relay.SetGrantRequester(in.reports.RequestGrant)
	in.budget.Store(&s.Relay.Budget)
	in.limits.Store(&routes.Limits{})
	in.settings.Front.Limits = in.limitsInForce
	return in
}

func (in *Instance) limitsInForce() routes.Limits { return *in.limits.Load() }

// Run works until the context ends and the requests under way are done.
func (in *Instance) Run(ctx context.Context) error {
	in.log.Info("instance: started", "instance", in.settings.Self.Name, "zone", in.settings.Self.Zone, "seeds", in.settings.Seeds)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var loops sync.WaitGroup
	defer loops.Wait()
	defer stop()
	control, err := in.serveControl()
	if err != nil {
		return err
	}
	defer control.Close()
	metricsServer, err := in.serveMetrics()
	if err != nil {
		return err
	}
	defer metricsServer.Close()
	loops.Go(func() { in.follower.Run(background) })
	loops.Go(func() { in.register(background) })
	loops.Go(func() { in.report(background) })
	loops.Go(func() { in.shareBudget(background) })
	loops.Go(func() { in.tellTimes(background) })
	loops.Go(func() { in.keepApart(background) })
	keeper := rolekeeper.New(in.settings.Roles, in.adapter.Table, restingOrderer{in.adapter.Orderer, in.relay}, in, in.duties(), logging.Part(in.log, "roles"))
	loops.Go(func() { keeper.Run(ctx) })
	handler := in.adapter.Handler(in.relay, in.limitsInForce)
	err = httpserver.New(in.settings.Front, handler, in.ready, in.relay.Close, logging.Part(in.log, "front")).Run(ctx)
	in.log.Info("instance: stopped", "error", err)
	return err
}

// Reload takes the settings that may change while the instance runs.
func (in *Instance) Reload(seeds []string, budget relay.BudgetSettings) {
	var list []peers.Peer
	for _, address := range seeds {
		list = append(list, peers.Peer{Address: address})
	}
	in.peers.AddPeers(list)
	in.budget.Store(&budget)
}

// headerTimeout bounds the reading of a header by the inner servers.
const headerTimeout = 2 * time.Second

// Counts of the instances that share the budget.
const (
	countEvery = time.Second
	// countFrom is the time from the start to the first count: until then the
	// instances of a whole deployment that starts anew may not have heard of one
	// another, and each would take all of the pools for its own. Instances report
	// every 0.1 to 0.4 s.
	countFrom = 3 * time.Second
	// poolFrom is how long an instance has been its zone's hub when it opens the
	// zone's pool: two that take themselves for it find out before.
	poolFrom = time.Second
)

// shareBudget keeps this instance to its part of the sends beyond the first.
func (in *Instance) shareBudget(ctx context.Context) {
	pause.For(ctx, countFrom)
	for pause.For(ctx, countEvery) {
		settings := *in.budget.Load()
		in.relay.SetBudget(settings)
		members := 0
		if in.peers.HubDuration() >= poolFrom {
			members = in.peers.ZoneInstanceCount()
		}
		in.relay.SetPool(settings, members, in.peers.InstanceCount())
	}
}

func (in *Instance) report(ctx context.Context) {
	if err := in.reports.Run(ctx); err != nil {
		in.log.Error("instance: no reports to the other instances", "error", err)
	}
}

func (in *Instance) serveControl() (*http.Server, error) {
	mux := http.NewServeMux()
	mux.Handle(in.peers.Handler())
	return serve(in.settings.Self.Address, mux)
}

func (in *Instance) serveMetrics() (*http.Server, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WriteOnce(metrics.DefaultRegistry, w)
	})
	return serve(in.settings.Metrics, mux)
}

// changed puts news of the rows in force.
func (in *Instance) changed(news []replica.Row) {
	table, err := in.adapter.Documents.Routes(news)
	if err != nil {
		in.log.Error("instance: configuration not read, the last one stays", "error", err)
	}
	if table != nil && in.relay.SetRoutes(table) {
		in.limits.Store(&table.Limits)
		in.log.Info("instance: configuration in force", "version", table.Version, "routes", len(table.Routes))
	}
	in.setUpstreams(news)
	in.setApart(news)
}

// setUpstreams takes changes of the upstreams' rows.
func (in *Instance) setUpstreams(news []replica.Row) {
	for _, row := range news {
		if row.Table == in.adapter.UpstreamTable {
			in.noteUpstream(row)
		}
	}
}

func (in *Instance) noteUpstream(row replica.Row) {
	if row.Deleted {
		in.relay.RemoveUpstream(row.Key.Key)
		in.log.Info("instance: upstream gone", "upstream", row.Key.Key, "revision", row.Revision)
		return
	}
	u, err := in.adapter.Documents.Upstream(row)
	if err != nil {
		in.relay.RemoveUpstream(row.Key.Key) // whatever it named before
		in.log.Error("instance: upstream not read", "upstream", row.Key.Key, "revision", row.Revision, "error", err)
		return
	}
	in.relay.UpdateUpstream(u)
	in.log.Info("instance: upstream", "upstream", u.ID, "service", u.Service, "zone", u.Zone, "role", u.Role,
		"draining", u.Draining, "born", u.StartedAt, "revision", row.Revision)
}

// Engines implements rolekeeper.View.
func (in *Instance) Engines() map[string][]upstreamstate.Engine { return in.relay.Engines() }

// Times implements rolekeeper.View.
func (in *Instance) Times(service string) upstreamstate.Times { return in.relay.EngineTimes(service) }

// MarkUnavailable implements rolekeeper.View.
func (in *Instance) MarkUnavailable(engine string, d time.Duration) {
	in.relay.MarkUnavailable(engine, d)
}

// Serving implements rolekeeper.View.
func (in *Instance) Serving() bool { return in.relay.HasRecentRequests() }

// Candidates implements rolekeeper.View: the instances that pass reports on know all
// others of their kind.
func (in *Instance) Candidates() []string { return in.peers.Hubs() }

func serve(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "instance: listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }() // ends with Close
	return server, nil
}
