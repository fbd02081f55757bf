// Package entry implements sf-entry, the data path daemon. It admits callers' requests, routes them to
// upstreams and streams the answers. It resumes answers that were interrupted at an upstream or at another
// entry.
//
// Inputs are callers' HTTP requests, the configuration and heartbeats that sf-control of the same instance
// sends, and the load reports of the engines. Outputs are the calls to engines and plain services, the
// answers to callers, and the demand and status that sf-control reads.
package entry

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sassafrasfield/internal/attempt"
	"sassafrasfield/internal/engine"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/idempotency"
	"sassafrasfield/internal/logging"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/service"
)

// Server is one sf-entry process.
type Server struct {
	settings          *Settings
	start             time.Time
	log               *slog.Logger
	state             *state
	idempotencyRunner *idempotency.Runner
	stopping          atomic.Bool
	// background tracks work that continues after its request.
	background sync.WaitGroup
	metrics    *meters
	demand     *demandMeter
	// admission, rates and retries have their own locks.
	admission   *admission
	rates       *rates
	retries     *attempt.Budget
	quarantines *quarantines

	mu       sync.Mutex // protects engines and services
	engines  map[string]engine.Engine
	services map[string]service.Service
}

// New returns a server that is not started.
func New(s *Settings, log *slog.Logger) *Server {
	server := &Server{
		settings:          s,
		start:             time.Now(),
		log:               log,
		state:             newState(s, log),
		idempotencyRunner: idempotency.New(platform.NewClient(s.Platform, s.PlatformTimeout), s.Claims, s.Instance, logging.Part(log, "once")),
		metrics:           newMeters(metrics.DefaultRegistry),
		demand:            newDemandMeter(s.DemandWindow),
		engines:           map[string]engine.Engine{},
		services:          map[string]service.Service{},
		retries:           newRetries(s.Retry, newRetryMeters(metrics.DefaultRegistry)),
		rates:             newRates(s.Rate),
		quarantines:       newQuarantines(),
	}
	server.admission = newAdmission(s.Admission, server)
	return server
}

// now returns the time of the server's monotonic clock.
func (s *Server) now() time.Duration {
	return time.Since(s.start)
}

// Run serves until the context is cancelled, then shuts down gracefully; see stop.
func (s *Server) Run(ctx context.Context) error {
	base, abort := context.WithCancelCause(context.WithoutCancel(ctx))
	defer abort(nil)
	s.boundHeap()
	public, listener, err := s.newPublicServer(base)
	if err != nil {
		return err
	}
	local := &http.Server{Addr: s.settings.Local, Handler: s.localHandler(), ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 2)
	go func() { failed <- errors.Wrap(public.Serve(listener), "entry: listen") }()
	go func() { failed <- errors.Wrap(local.ListenAndServe(), "entry: local listener") }()
	background, stopBackground := context.WithCancel(base)
	defer stopBackground()
	go s.reportLoop(background)
	go s.admission.reviewLoop(background, s.settings.Admission.ReviewEvery)
	go s.idempotencyRunner.SweepLoop(background)
	s.log.Info("entry: started", "listen", s.settings.Listen)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return s.stop(base, abort, public, local)
}

func (s *Server) handler() http.Handler {
	e := echo.New()
	e.Logger = s.log
	e.HTTPErrorHandler = s.errorHandler
	e.POST("/v1/chat/completions", s.completions(chatShape{}))
	e.POST("/v1/completions", s.completions(textShape{}))
	e.GET("/v1/models", s.models)
	e.GET("/livez", func(c *echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", s.readyz)
	e.GET("/metrics", s.serveMetrics)
	e.Any("/*", s.plainService)
	return s.traced(s.prepareConnection(e))
}

func (s *Server) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(sfv1connect.NewEntryServiceHandler(&localService{server: s}, connect.WithReadMaxBytes(64<<20)))
	return mux
}

func (s *Server) readyz(c *echo.Context) error {
	if s.stopping.Load() {
		return c.String(http.StatusServiceUnavailable, "stopping\n")
	}
	if err := s.checkReady(); err != nil {
		return c.String(http.StatusServiceUnavailable, err.Error()+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *Server) serveMetrics(c *echo.Context) error {
	c.Response().Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(metrics.DefaultRegistry, c.Response())
	return nil
}

// engineAt returns the client for an engine's address.
func (s *Server) engineAt(address string) engine.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	client, ok := s.engines[address]
	if !ok {
		client = engine.NewClient(address, s.settings.Engine.Timeout)
		s.engines[address] = client
	}
	return client
}

// serviceAt returns the client for a plain service's address.
func (s *Server) serviceAt(address string) service.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	client, ok := s.services[address]
	if !ok {
		client = service.NewClient(address, s.settings.Engine.Timeout)
		s.services[address] = client
	}
	return client
}
