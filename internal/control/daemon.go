// Package control is the daemon sf-control. Its inputs are the platform's
// instance list and table, the status and load reports of engines, and calls
// from peers, operators and the local sf-entry. It passes what it reads to the
// decision packages (lease, rollout, gossip, freshness, roles) and carries out
// the actions that they return. All sf-control processes are equal: each of
// them can hold any lease.
package control

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"connectrpc.com/otelconnect"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/gossip"
	"sassafrasfield/internal/httptransport"
	"sassafrasfield/internal/logging"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/versions"
)

// compressMinBytes is the size from which a message between peers is
// compressed.
const compressMinBytes = 1024

// maxIdlePeerConns bounds the idle connections to peers.
const maxIdlePeerConns = 16

// Daemon is one sf-control process.
type Daemon struct {
	settings *Settings
	// runID identifies this run of the process as a holder of leases: the instance
	// ID, a slash and a UUID.
	runID           string
	log             *slog.Logger
	platform        platform.Platform
	versions        versions.Log
	holder          *gossip.Holder
	members         *members
	spread          *spreader
	entry           *entryLink
	leases          *leases
	roles           *rolePolicy
	demand          *demand
	history         *rolloutHistory
	waitReasonCache waitReasonCache
	orders          *orderMetrics
	http            *http.Client
	options         []connect.ClientOption
	// traced starts a span for each call that a handler serves.
	traced connect.HandlerOption

	mu      sync.Mutex // protects engines
	engines map[string]engine.Engine
}

// New returns a daemon that is not running yet.
func New(s *Settings, log *slog.Logger) (*Daemon, error) {
	interceptor, err := otelconnect.NewInterceptor(otelconnect.WithTrustRemote(), otelconnect.WithoutMetrics())
	if err != nil {
		return nil, errors.Wrap(err, "control: tracing")
	}
	client := platform.NewClient(s.Platform, s.PlatformTimeout)
	d := &Daemon{
		settings: s,
		runID:    s.Instance + "/" + uuid.NewString(),
		log:      log,
		platform: client,
		versions: versions.Log{Table: client},
		holder:   gossip.NewHolder(),
		http:     &http.Client{Timeout: s.PlatformTimeout, Transport: httptransport.Isolate(peerTransport())},
		options:  []connect.ClientOption{connect.WithInterceptors(interceptor)},
		traced:   connect.WithInterceptors(interceptor),
		engines:  map[string]engine.Engine{},
	}
	d.members = newMembers(client, logging.Part(log, "members"))
	d.members.onList = d.onInstanceList
	d.spread = newSpreader(d, logging.Part(log, "spread"))
	d.entry = newEntryLink(d.holder, func() int { return len(d.members.liveOwn()) }, s.EntryLocal, d.http, d.options, logging.Part(log, "entry"))
	d.demand = newDemand(s.Demand)
	d.leases = newLeases(d, logging.Part(log, "lease"))
	d.roles = newRolePolicy(d, logging.Part(log, "roles"))
	d.history = newRolloutHistory(s.Rollout)
	d.orders = newOrderMetrics()
	return d, nil
}

// Run runs the daemon until the context ends, then releases its leases.
func (d *Daemon) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	loops := []func(context.Context){
		d.demandLoop, d.spread.loop, d.entryLoop, d.memberLoop, d.leases.loop, d.rolloutLoop, d.roles.loop,
	}
	for _, loop := range loops {
		group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	group.Go(func() error { return d.serve(ctx) })
	d.log.Info("control: started", "listen", d.settings.Listen)
	return group.Wait()
}

// serve serves peers, operators and probes until the context ends.
func (d *Daemon) serve(ctx context.Context) error {
	server := &http.Server{Addr: d.settings.Listen, Handler: d.handler(), ReadHeaderTimeout: 10 * time.Second}
	done := make(chan error, 1)
	go func() { done <- server.ListenAndServe() }()
	select {
	case err := <-done:
		return errors.Wrap(err, "control: listen")
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
	defer cancel()
	return errors.Wrap(server.Shutdown(stop), "control: shutdown")
}

func (d *Daemon) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(sfv1connect.NewPeerServiceHandler(&peerService{daemon: d}, connect.WithCompressMinBytes(compressMinBytes), d.traced))
	mux.Handle(sfv1connect.NewLeaseServiceHandler(&leaseService{leases: d.leases}, d.traced))
	mux.Handle(sfv1connect.NewOperatorServiceHandler(&operatorService{daemon: d}, d.traced))
	mux.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", d.readyz)
	mux.HandleFunc("/metrics", serveMetrics)
	return mux
}

// readyz reports whether the configuration held can be treated as the newest,
// and the reason if it can't.
func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	status := d.spread.status()
	if !status.Fresh {
		http.Error(w, status.Reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintf(w, "ready, fresh by %s\n", status.Rule)
}

// engineAt returns the client for an engine's address.
func (d *Daemon) engineAt(address string) engine.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	client, ok := d.engines[address]
	if !ok {
		client = engine.NewClient(address, d.settings.Rollout.EngineTimeout)
		d.engines[address] = client
	}
	return client
}

// peer returns a client for another instance's sf-control.
func (d *Daemon) peer(address string) sfv1connect.PeerServiceClient {
	options := append([]connect.ClientOption{
		connect.WithSendGzip(), connect.WithCompressMinBytes(compressMinBytes),
	}, d.options...)
	return sfv1connect.NewPeerServiceClient(d.http, "http://"+address, options...)
}

// runPeriodically calls work immediately and then once per period until the
// context ends.
func runPeriodically(ctx context.Context, period time.Duration, work func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// peerTransport returns a transport that keeps few idle connections: with
// hundreds of instances, an exchange is rarely with a recent peer.
func peerTransport() *http.Transport {
	return &http.Transport{MaxIdleConns: maxIdlePeerConns, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
}
