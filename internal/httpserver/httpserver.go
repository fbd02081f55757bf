// Package httpserver serves callers over HTTP and shuts down without aborting requests. On shutdown it
// first reports that the instance is not ready and continues to serve until the load balancer has noticed.
// Then it accepts no new connections and completes the requests in flight.
package httpserver

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/connlimit"
	"sassafrasfield/internal/routes"
)

// Settings of a Server.
type Settings struct {
	// Address is the address for callers.
	Address string
	// ReadyAddress and ReadyPath are where the load balancer probes readiness.
	ReadyAddress, ReadyPath string
	// GracePeriod is the maximum duration of the shutdown.
	GracePeriod time.Duration
	// DrainDelay is how long the load balancer takes to notice that an instance is not ready.
	DrainDelay time.Duration
	// Limits returns the limits of the configuration in force. A limit of zero is no limit.
	Limits func() routes.Limits
	// SendQueueBytes is the size of the kernel's queue of each connection to a caller; 0 leaves it to the kernel.
	SendQueueBytes int
	// ReceiveQueueBytes is the same for bytes that a caller sends.
	ReceiveQueueBytes int
	// Connections bounds the connections of callers and what their requests hold. It is zero for no bounds.
	Connections connlimit.Bounds
}

// Server serves callers.
type Server struct {
	settings Settings
	handler  http.Handler
	ready    func() bool
	closing  func()
	log      *slog.Logger
	stopping atomic.Bool
	inFlight atomic.Int64
}

// New returns a server. The function ready reports whether requests can be served. The server calls
// closing before it closes idle connections. A request that arrives while its idle connection is being
// closed may still be read, so the handler must refuse all requests after this call: otherwise a request
// runs whose response cannot be delivered.
func New(s Settings, handler http.Handler, ready func() bool, closing func(), log *slog.Logger) *Server {
	return &Server{settings: s, handler: handler, ready: ready, closing: closing, log: log}
}

// ExitMargin is the part of the grace period that is reserved for the exit of the process.
const ExitMargin = 500 * time.Millisecond

// Run serves until the context is cancelled, then completes the requests in flight within the grace
// period.
func (s *Server) Run(ctx context.Context) error {
	public := s.newServer(http.HandlerFunc(s.serve), "caller", MaxBodyTime, s.limiter("front", s.settings.Connections, s.maxBodyBytes))
	probe := s.newServer(http.HandlerFunc(s.serveReady), "probe", maxHeaderTimeout, s.limiter("ready", connlimit.ProbeBounds(), noBody))
	failed := make(chan error, 2)
	for _, l := range []struct {
		server  *limitedServer
		address string
	}{
		{public, s.settings.Address},
		{probe, s.settings.ReadyAddress}, // last: once it answers, callers are sent to the other one
	} {
		listener, err := connlimit.Listen(l.address, s.settings.ReceiveQueueBytes)
		if err != nil {
			return errors.Wrap(err, "front: listen")
		}
		limited := l.server.limiter.Listener(limitedListener{listener, s.settings.Limits, s.settings.SendQueueBytes})
		go func() { failed <- errors.Wrap(l.server.Serve(limited), "front: serve") }()
	}
	s.log.Info("front: started", "address", s.settings.Address, "ready", s.settings.ReadyAddress)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return s.stop(public.Server, probe.Server)
}

// limitedServer is a server whose connections are bounded.
type limitedServer struct {
	*http.Server
	limiter *connlimit.Limiter
}

// newServer returns a server for requests whose bodies have to be received within a time. Peer names its clients.
func (s *Server) newServer(handler http.Handler, peer string, bodyTime time.Duration, limiter *connlimit.Limiter) *limitedServer {
	return &limitedServer{limiter: limiter, Server: &http.Server{
		Handler:           limiter.Handler(BoundBodies(handler, peer, bodyTime)),
		ReadHeaderTimeout: maxHeaderTimeout, IdleTimeout: maxIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: func(conn net.Conn, state http.ConnState) {
			limiter.ConnState(conn, state)
			connState(conn, state)
		},
		ConnContext: limiter.ConnContext, ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}}
}

// limiter returns the limiter of the connections to one of the addresses.
func (s *Server) limiter(name string, bounds connlimit.Bounds, maxBodyBytes func() int64) *connlimit.Limiter {
	return connlimit.New(connlimit.Options{
		Name: name, Bounds: bounds, MaxHeadBytes: s.maxHeadBytes, HeadTimeout: maxHeaderTimeout, MaxBodyBytes: maxBodyBytes, Log: s.log,
	})
}

// maxHeadBytes returns the size up to which heads are read.
func (s *Server) maxHeadBytes() int {
	return cmp.Or(s.settings.Limits().MaxHeaderBytes, maxHeaderBytes)
}

// maxBodyBytes returns the size up to which bodies of callers are read.
func (s *Server) maxBodyBytes() int64 {
	return cmp.Or(s.settings.Limits().MaxBodyBytes, math.MaxInt64)
}

// noBody is the size up to which the bodies of probes are read.
func noBody() int64 { return 0 }

// stop shuts the server down as the package comment describes.
func (s *Server) stop(public, probe *http.Server) error {
	deadline := time.Now().Add(s.settings.GracePeriod - ExitMargin)
	s.stopping.Store(true)
	s.log.Info("front: shutting down, reporting not ready", "in_flight", s.inFlight.Load(), "grace", s.settings.GracePeriod)
	time.Sleep(min(s.settings.DrainDelay, s.settings.GracePeriod/2))
	s.closing()
	public.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := public.Shutdown(ctx)
	_ = probe.Close() // no probes are expected any more
	s.log.Info("front: stopped", "in_flight", s.inFlight.Load(), "error", err)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil // the log line above has the number of aborted requests
	}
	return errors.Wrap(err, "front: stop")
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.headerTooLarge(r) {
		w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	s.handler.ServeHTTP(w, r)
}

func (s *Server) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != s.settings.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if s.stopping.Load() || !s.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
