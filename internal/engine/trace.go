package engine

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// startOrderSpan starts the trace span of an order.
func startOrderSpan(ctx context.Context, order Order) (context.Context, trace.Span) {
	return otel.Tracer("engine").Start(ctx, "engine order", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("order", order.ID), attribute.Int64("fence", order.Fence)))
}
