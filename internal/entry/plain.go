package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"sassafrasfield/internal/attempt"
	"sassafrasfield/internal/callerapi"
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/connlimit"
	"sassafrasfield/internal/idempotency"
	"sassafrasfield/internal/load"
	"sassafrasfield/internal/outcome"
	"sassafrasfield/internal/service"
)

// hopHeaders are the headers that are not forwarded. Source: RFC 9110, section 7.6.1.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Authorization",
}

// plainService forwards a call to a plain service.
func (s *Server) plainService(c *echo.Context) error {
	s.metrics.requests.Inc(1)
	if _, err := s.currentService(c.Request().URL.Path); err != nil {
		return err
	}
	organisation, err := s.authenticate(c.Request())
	if err != nil {
		return err
	}
	if err := s.withinRate(c, organisation, false); err != nil {
		return err
	}
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	svc, err := s.currentService(c.Request().URL.Path) // reading the body may have taken long
	if err != nil {
		return err
	}
	call := service.Call{
		Method: c.Request().Method, Path: c.Request().URL.RequestURI(), Header: endToEndHeaders(c.Request().Header), Body: body,
		Reserve: connlimit.AnswerOf(c.Request().Context()).Reserve,
	}
	answer, err := s.runCall(c, svc, organisation, call)
	if err != nil {
		return err
	}
	s.metrics.answered.Inc(1)
	s.retries.Succeeded(s.now())
	return s.writeAnswer(c, answer)
}

// currentService returns the service for a path. The freshness check must precede the lookup: a service
// found before the check may be from an older configuration than the one that passed it.
func (s *Server) currentService(path string) (*config.Service, error) {
	if err := s.checkReady(); err != nil {
		return nil, notRun("not_ready", err.Error(), defaultRetryAfter)
	}
	svc := s.serviceFor(path)
	if svc == nil {
		return nil, notFound("no_such_path", "no service has this path")
	}
	return svc, nil
}

func (s *Server) serviceFor(path string) *config.Service {
	doc := s.state.config()
	for i := range doc.Services {
		prefix := strings.TrimSuffix(doc.Services[i].Prefix, "/")
		if path == prefix || strings.HasPrefix(path, prefix+"/") {
			return &doc.Services[i]
		}
	}
	return nil
}

func endToEndHeaders(header http.Header) http.Header {
	kept := header.Clone()
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}

func (s *Server) runCall(c *echo.Context, svc *config.Service, organisation *config.Organisation, call service.Call) (service.Answer, error) {
	ctx := c.Request().Context()
	key := c.Request().Header.Get(callerapi.HeaderIdempotencyKey)
	repeatable := idempotent(svc, call)
	if repeatable || key == "" {
		answer, err := s.tryCall(ctx, svc, call, repeatable)
		return answer, callRefusal(err)
	}
	answer, err := s.idempotencyRunner.Do(ctx, idempotency.Key(svc.Name, organisation.Name, key), call, func(ctx context.Context) (service.Answer, error) {
		return s.tryCall(ctx, svc, call, false)
	})
	return answer, callRefusal(err)
}

// idempotent reports whether a call may be repeated.
func idempotent(svc *config.Service, call service.Call) bool {
	if slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions}, call.Method) {
		return true
	}
	for _, pair := range svc.NonIdempotent {
		method, prefix, _ := strings.Cut(pair, " ")
		if method == call.Method && strings.HasPrefix(call.Path, prefix) {
			return false
		}
	}
	return slices.Contains([]string{http.MethodPut, http.MethodDelete}, call.Method)
}

// serviceCall is a call to the upstreams of a plain service. It implements attempt.Call.
type serviceCall struct {
	server   *Server
	service  *config.Service
	call     service.Call
	attempts *attempt.Attempts
	answer   service.Answer
	// failed is the error of an answer that was not kept.
	failed error
}

// tryCall sends a call to one upstream after another as long as a repetition is safe: a call that is not
// repeatable is sent to another upstream only if the previous one ran nothing. Errors: service.ErrNotRun
// and service.ErrUnknown.
func (s *Server) tryCall(ctx context.Context, svc *config.Service, call service.Call, repeatable bool) (service.Answer, error) {
	attempts := attempt.New(attempt.Rules{Repeatable: repeatable, MaxSends: s.settings.Engine.Attempts})
	c := &serviceCall{server: s, service: svc, call: call, attempts: attempts}
	result, verdict := attempts.Run(ctx, s.retries, s.now, c)
	if result.Status == attempt.Done {
		return c.answer, c.failed
	}
	if verdict == attempt.Denied {
		s.logBudgetExhausted(attempts)
	}
	if attempts.Outcome() == outcome.NotRun {
		return service.Answer{}, errors.WithMessage(service.ErrNotRun, "no upstream took the call")
	}
	return service.Answer{}, errors.WithMessage(service.ErrUnknown, "no upstream answered")
}

// Started implements attempt.Call. It returns false because the answer is sent to the caller only when it
// is complete.
func (c *serviceCall) Started() bool { return false }

// Try implements attempt.Call.
func (c *serviceCall) Try(ctx context.Context) attempt.Result {
	s, request := c.server, uuid.NewString()
	upstream, ok := s.state.placeCall(c.service, request, c.attempts.Excluded(), s.now())
	if !ok {
		return attempt.Result{Status: attempt.NoUpstream}
	}
	id := servicePrefix + upstream.ID
	defer func() { s.state.release(id, request, s.now()) }()
	if err := c.attempts.Sent(); err != nil {
		return attempt.Result{Status: attempt.NoUpstream, Err: err}
	}
	ctx, span := tracer().Start(ctx, "service call", trace.WithAttributes(attribute.String("upstream", upstream.ID)))
	defer span.End()
	answer, err := s.serviceAt(upstream.Address).Do(ctx, c.call)
	switch {
	case err == nil:
		c.answer = answer
		s.recordCall(id, load.CallSucceeded)
		return attempt.Result{Status: attempt.Done}
	case errors.Is(err, service.ErrNoRoom):
		c.failed = err // another run would need the same room
		s.recordCall(id, load.CallSucceeded)
		return attempt.Result{Status: attempt.Done}
	case errors.Is(err, service.ErrRefused):
		s.recordCall(id, load.CallRefused)
	case ctx.Err() == nil:
		s.recordCall(id, load.CallFailed)
	}
	if errors.Is(err, service.ErrNotRun) {
		return attempt.Result{Status: attempt.Refused, Upstream: upstream.ID, Err: err}
	}
	return attempt.Result{Status: attempt.Lost, Upstream: upstream.ID, Err: err}
}

// callRefusal converts the error of a call to the response to the caller.
func callRefusal(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, idempotency.ErrMismatch):
		return &refusal{status: http.StatusUnprocessableEntity, body: callerapi.Error{
			Message: "the idempotency key was used with another call", Type: "invalid_request_error",
			Code: "idempotency_key_reused", Outcome: callerapi.OutcomeNotRun,
		}}
	case errors.Is(err, idempotency.ErrInProgress):
		r := unknownOutcome("in_progress", "the key is claimed, and no answer can be read yet; ask again with the same key")
		r.status, r.retryAfter = http.StatusConflict, defaultRetryAfter
		return r
	case errors.Is(err, idempotency.ErrNotRun), errors.Is(err, service.ErrNotRun):
		return notRun("not_run", "this call was not sent; try again with the same key", defaultRetryAfter)
	default:
		return unknownOutcome("outcome_unknown", "no answer came or was kept; the call may have run, and is not run again with this key")
	}
}

func (s *Server) writeAnswer(c *echo.Context, answer service.Answer) error {
	header := c.Response().Header()
	for name, values := range endToEndHeaders(answer.Header) {
		header[name] = values
	}
	c.Response().WriteHeader(answer.Status)
	held := connlimit.AnswerOf(c.Request().Context())
	held.Begin(int64(len(answer.Body)))
	return deadlineWriter{c.Response(), s.settings.WriteTimeout, held.Wrote}.writeAll(answer.Body)
}
