// Package httpserver serves callers over HTTP and stops without cutting one off:
// when the process is told to end it first says that it is not ready, serves on
// until the balancer has noticed, then takes no new connection and finishes
// what it has.
package httpserver

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/routes"
)

// Settings of a Server.
type Settings struct {
	// Address for callers.
	Address string
	// ReadyAddress and ReadyPath are where the balancer asks for readiness.
	ReadyAddress, ReadyPath string
	// GracePeriod is how long the process may take to end.
	GracePeriod time.Duration
	// DrainDelay is how long the balancer takes to see that an instance is not
	// ready.
	DrainDelay time.Duration
	// Limits returns those of the configuration in force; zero ones bound
	// nothing.
	Limits func() routes.Limits
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

// New returns a server. Ready tells whether requests can be served. Closing is
// called before idle connections are closed: a request that crosses that is
// read, though its connection is gone, and the handler must refuse it from then
// on, so that nothing runs whose answer cannot be delivered.
func New(s Settings, handler http.Handler, ready func() bool, closing func(), log *slog.Logger) *Server {
	return &Server{settings: s, handler: handler, ready: ready, closing: closing, log: log}
}

// margin is kept of the grace for the end of the process itself.
const margin = 500 * time.Millisecond

// Run serves until the context ends and the requests under way are done, or
// the grace is over.
func (s *Server) Run(ctx context.Context) error {
	public := &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		ReadHeaderTimeout: headerAtMost, IdleTimeout: idleAtMost, MaxHeaderBytes: headerBytesAtMost,
		ConnState: connState, ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	probe := &http.Server{Handler: http.HandlerFunc(s.serveReady), ReadHeaderTimeout: headerAtMost}
	failed := make(chan error, 2)
	for server, address := range map[*http.Server]string{public: s.settings.Address, probe: s.settings.ReadyAddress} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "front: listen")
		}
		limited := limitedListener{listener, s.settings.Limits}
		go func() { failed <- errors.Wrap(server.Serve(limited), "front: serve") }()
	}
	s.log.Info("front: started", "address", s.settings.Address, "ready", s.settings.ReadyAddress)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return s.stop(public, probe)
}

// stop ends the service as the package's comment says.
func (s *Server) stop(public, probe *http.Server) error {
	deadline := time.Now().Add(s.settings.GracePeriod - margin)
	s.stopping.Store(true)
	s.log.Info("front: stopping, not ready any more", "in_flight", s.inFlight.Load(), "grace", s.settings.GracePeriod)
	time.Sleep(min(s.settings.DrainDelay, s.settings.GracePeriod/2))
	s.closing()
	public.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := public.Shutdown(ctx)
	_ = probe.Close() // nobody is asked any more
	s.log.Info("front: stopped", "in_flight", s.inFlight.Load(), "error", err)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil // the grace is over; what was left is in the line above
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
