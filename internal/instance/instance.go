// Package instance assembles an instance: a process that serves callers on a platform whose store keeps the
// configuration and the upstreams. Its parts are the copy of the store's rows (rowsync), the exchange with
// other instances (peers), the data path (relay), and the duties of the lease holder (rolekeeper,
// usagereport, scaling). All parts run in one process. A second process would add no protection, because
// an instance has no disk and engines do not check leases.
//
// Inputs are the settings and the platform's adapter. Outputs are the front, control and metrics servers,
// and the rows of this instance and of quarantined contents in the store.
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

	"sassafrasfield/internal/forward"
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
	// Upstream decodes the row of an upstream.
	Upstream(row replica.Row) (upstreamstate.Upstream, error)
}

// Adapter connects an instance to a platform.
type Adapter struct {
	Feed      rowsync.Feed
	Table     platform.Table
	Sender    relay.Sender
	Orderer   rolekeeper.Orderer
	Documents Documents
	// Usage and Scaler receive usage reports and scaling orders. They are nil if the platform does not
	// support the duty.
	Usage  usagereport.Sender
	Scaler scaling.Sender
	// Handler returns the handler of the callers' protocol. It is given the limits of the configuration in
	// force.
	Handler func(r *relay.Relay, limits func() routes.Limits) http.Handler
	// UpstreamTable is the store's table of upstreams. SharedTable is the one with the rows whose keys begin with
	// QuarantinePrefix or VersionsPrefix.
	UpstreamTable, SharedTable string
}

// Settings configures an instance.
type Settings struct {
	Self    peers.Peer
	Seeds   []string
	Metrics string
	Front   httpserver.Settings
	Relay   relay.Settings
	Follow  rowsync.Settings
	Roles   rolekeeper.Settings
	// Usage has a Length of 0 if usage is not to be reported.
	Usage usagereport.Settings
	// Scaling has no effect if the adapter has no Scaler.
	Scaling scaling.Settings
}

// Instance is a running instance.
type Instance struct {
	settings Settings
	adapter  Adapter
	log      *slog.Logger
	relay    *relay.Relay
	follower *rowsync.Follower
	peers    *peers.Exchange
	reports  *peers.Reporter
	limits   atomic.Pointer[routes.Limits]
	forwards *forward.Server
	budget   atomic.Pointer[relay.BudgetSettings]
	started  time.Time
	// quarantinesRead is set once the quarantine rows are not waited for any more.
	quarantinesRead atomic.Bool
}

// New returns an instance that is ready to run.
func New(s Settings, a Adapter, log *slog.Logger) *Instance {
	in := &Instance{settings: s, adapter: a, log: log, started: time.Now()}
	in.relay = relay.New(s.Relay, a.Sender, logging.Part(log, "relay"))
	in.follower = rowsync.New(s.Follow, a.Feed, in.applyRows, logging.Part(log, "follow"))
	in.relay.SetQuarantineCheck(in.quarantinesKnown)
	in.peers = peers.New(s.Self, s.Seeds, in.follower, logging.Part(log, "peers"))
	in.follower.SetPeers(in.peers)
	in.reports = peers.NewReporter(in.peers, in.relay)
	in.relay.SetPoolRequester(in.reports.RequestRetry)
	in.relay.SetGrantRequester(in.reports.RequestGrant)
	in.relay.SetQuotaGranter(in.reports.RequestQuotaGrant, in.reports.RefundQuotaGrant)
	in.relay.SetStreamReplicator(in.reports.ReplicateStreams, in.reports.AskStream)
	in.relay.SetStreamClaimer(in.reports.ClaimStream)
	in.relay.SetVersionTable(in.versionTable)
	in.relay.SetEntriesCurrent(func() bool { return in.follower.Reading() || in.peers.HasOtherReaders() })
	in.relay.SetReservationClient(in.reports)
	secret := forward.NewSecret(a.Table, logging.Part(log, "forward"))
	in.relay.SetForwarder(forward.NewClient(in.peers, secret))
	in.forwards = forward.NewServer(in.peers, secret, in.relay, logging.Part(log, "forward"))
	in.budget.Store(&s.Relay.Budget)
	in.limits.Store(&routes.Limits{})
	in.settings.Front.Limits = in.limitsInForce
	return in
}

func (in *Instance) limitsInForce() routes.Limits { return *in.limits.Load() }

// Run serves until the context ends and the requests in progress are done.
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
	loops.Go(func() { in.sendReports(background) })
	loops.Go(func() { in.shareBudget(background) })
	loops.Go(func() { in.logEngineTimes(background) })
	loops.Go(func() { in.persistQuarantines(background) })
	loops.Go(func() { in.storeVersions(background) })
	loops.Go(func() { in.relay.ProbePaths(background) })
	keeper := rolekeeper.New(in.settings.Roles, in.adapter.Table, backoffOrderer{in.adapter.Orderer, in.relay}, in, in.duties(), logging.Part(in.log, "roles"))
	loops.Go(func() { keeper.Run(ctx) })
	handler := in.adapter.Handler(in.relay, in.limitsInForce)
	stopping := make(chan time.Time, 1)
	context.AfterFunc(ctx, func() {
		stopping <- time.Now()
		in.relay.StopWithin(in.settings.Front.GracePeriod - httpserver.ExitMargin - answerMargin)
		in.relay.HandOverStreams()
	})
	err = httpserver.New(in.settings.Front, handler, in.ready, in.relay.Close, logging.Part(in.log, "front")).Run(ctx)
	if err == nil {
		in.awaitForwarded(background, <-stopping)
		in.relay.HandOverStreams() // others may have sent records meanwhile
	}
	in.log.Info("instance: stopped", "error", err)
	return err
}

// answerMargin is the part of the grace period in which the callers of requests without a result are answered.
const answerMargin = 300 * time.Millisecond

// awaitForwarded waits until the requests of other instances that are in progress are done, for as long as the
// grace period allows.
func (in *Instance) awaitForwarded(ctx context.Context, stopping time.Time) {
	const interval = 20 * time.Millisecond
	end := stopping.Add(in.settings.Front.GracePeriod - httpserver.ExitMargin)
	for in.relay.ForwardedInFlight() > 0 && time.Now().Before(end) && pause.For(ctx, interval) {
	}
}

// Reload applies the settings that may change while the instance runs.
func (in *Instance) Reload(seeds []string, budget relay.BudgetSettings) {
	var list []peers.Peer
	for _, address := range seeds {
		list = append(list, peers.Peer{Address: address})
	}
	in.peers.AddPeers(list)
	in.budget.Store(&budget)
}

// headerTimeout bounds the reading of a request header by the control and metrics servers.
const headerTimeout = 2 * time.Second

// Bounds of the requests that the control and metrics servers receive.
const (
	// maxHeaderBytes bounds a request's header. Other instances send some hundred bytes: what they forward of a
	// caller's header is in the body.
	maxHeaderBytes = 32 << 10
	// bodyTimeout bounds the time to receive a request's body. The largest one, a forwarded request of 16 MB, takes
	// 13 s on a link of 10 Mbit/s.
	bodyTimeout = 20 * time.Second
	// idleTimeout is how long a connection is kept without a request. Other instances close theirs after 5 s.
	idleTimeout = 30 * time.Second
)

func (in *Instance) sendReports(ctx context.Context) {
	if err := in.reports.Run(ctx); err != nil {
		in.log.Error("instance: reports to other instances failed", "error", err)
	}
}

func (in *Instance) serveControl() (*http.Server, error) {
	mux := http.NewServeMux()
	mux.Handle(in.peers.Handler())
	mux.Handle(in.forwards.Handler())
	return serve(in.settings.Self.Address, mux)
}

func (in *Instance) serveMetrics() (*http.Server, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WriteOnce(metrics.DefaultRegistry, w)
	})
	return serve(in.settings.Metrics, mux)
}

// applyRows applies changed rows: of the configuration, of upstreams, and of quarantined contents.
func (in *Instance) applyRows(rows []replica.Row) {
	table, err := in.adapter.Documents.Routes(rows)
	if err != nil {
		in.log.Error("instance: invalid configuration, keeping the previous version", "error", err)
	}
	if table != nil && in.relay.SetRoutes(table) {
		in.limits.Store(&table.Limits)
		in.log.Info("instance: configuration in force", "version", table.Version, "routes", len(table.Routes))
	}
	in.applyUpstreamRows(rows)
	in.applySharedRows(rows)
}

// applyUpstreamRows applies changed rows of upstreams.
func (in *Instance) applyUpstreamRows(rows []replica.Row) {
	for _, row := range rows {
		if row.Table == in.adapter.UpstreamTable {
			in.applyUpstreamRow(row)
		}
	}
}

func (in *Instance) applyUpstreamRow(row replica.Row) {
	if row.Deleted {
		in.relay.RemoveUpstream(row.Key.Key)
		in.log.Info("instance: upstream gone", "upstream", row.Key.Key, "revision", row.Revision)
		return
	}
	u, err := in.adapter.Documents.Upstream(row)
	if err != nil {
		in.relay.RemoveUpstream(row.Key.Key) // the upstream of an earlier, valid row must not stay in use
		in.log.Error("instance: invalid upstream row", "upstream", row.Key.Key, "revision", row.Revision, "error", err)
		return
	}
	in.relay.UpdateUpstream(u)
	in.log.Info("instance: upstream", "upstream", u.ID, "service", u.Service, "zone", u.Zone, "role", u.Role, "version", u.Version,
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

// ShouldYield implements rolekeeper.View.
func (in *Instance) ShouldYield() bool { return in.relay.EnginesUnreached() }

// Candidates implements rolekeeper.View. It lists the hubs, because each hub knows all other hubs.
func (in *Instance) Candidates() []string { return in.peers.Hubs() }

func serve(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "instance: listen")
	}
	server := &http.Server{
		Handler:           httpserver.BoundBodies(handler, "instance", bodyTimeout),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	go func() { _ = server.Serve(listener) }() // returns after Close
	return server, nil
}
