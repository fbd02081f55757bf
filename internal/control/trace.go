package control

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// startStepSpan starts the span of one step of a pool. The calls to the
// platform and the engines, and the order of that step, are its children.
func startStepSpan(ctx context.Context, pool string, auth authority) (context.Context, trace.Span) {
	return otel.Tracer("control").Start(ctx, "rollout step", trace.WithAttributes(
		attribute.String("pool", pool), attribute.Int64("epoch", auth.epoch),
	))
}
