package entry

import (
	"net/http"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// tracer makes the spans of the data path.
func tracer() trace.Tracer {
	return otel.Tracer("entry")
}

// traced starts a span for each request, as a child of the caller's.
func (s *Server) traced(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := tracer().Start(ctx, "entry "+r.Method, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// meters are the counts that /metrics shows.
type meters struct {
	requests   metrics.Counter
	answered   metrics.Counter
	refused    metrics.Counter
	broken     metrics.Counter
	retries    metrics.Counter
	unretried  metrics.Counter
	resumed    metrics.Counter
	callerGone metrics.Counter
	tokens     metrics.Counter
	split      metrics.Counter
	firstToken metrics.Timer
}

func newMeters(registry metrics.Registry) *meters {
	return &meters{
		requests:   metrics.GetOrRegisterCounter("entry.requests", registry),
		answered:   metrics.GetOrRegisterCounter("entry.answered", registry),
		refused:    metrics.GetOrRegisterCounter("entry.refused", registry),
		broken:     metrics.GetOrRegisterCounter("entry.broken", registry),
		retries:    metrics.GetOrRegisterCounter("entry.retries", registry),
		unretried:  metrics.GetOrRegisterCounter("entry.retries_denied", registry),
		resumed:    metrics.GetOrRegisterCounter("entry.resumed", registry),
		callerGone: metrics.GetOrRegisterCounter("entry.caller_gone", registry),
		tokens:     metrics.GetOrRegisterCounter("entry.tokens", registry),
		split:      metrics.GetOrRegisterCounter("entry.split", registry),
		firstToken: metrics.GetOrRegisterTimer("entry.first_token", registry),
	}
}
