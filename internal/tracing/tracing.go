// Package tracing sets up OpenTelemetry: spans go to an OTLP/HTTP collector or
// to a file, and W3C trace context is passed on. Both are off by default.
package tracing

import (
	"context"
	"net/url"
	"os"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"

	"sassafrasfield/internal/tomlfile"
)

// Settings of the traces.
type Settings struct {
	// OTLP is the URL of an OTLP/HTTP collector; empty is off.
	OTLP string `toml:"otlp"`
	// File takes one JSON object a span; empty is off.
	File string `toml:"file"`
	// Ratio of traces that are kept, from 0 to 1. Default 1.
	Ratio float64 `toml:"ratio"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{Ratio: 1}
}

// Check records faults under the key.
func (s Settings) Check(file *tomlfile.File, key string) {
	if s.Ratio < 0 || s.Ratio > 1 {
		file.Add(key+".ratio", "want 0 to 1, not %g", s.Ratio)
	}
	if u, err := url.Parse(s.OTLP); s.OTLP != "" && (err != nil || u.Host == "") {
		file.Add(key+".otlp", "want a URL, not %q", s.OTLP)
	}
}

// Setup installs the tracer provider. Call the returned function at the end:
// it writes out what is left.
func Setup(ctx context.Context, s Settings, program, instance string) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	options := []trace.TracerProviderOption{
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(s.Ratio))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", program),
			attribute.String("service.instance.id", instance),
		)),
	}
	if s.OTLP == "" && s.File == "" {
		return func(context.Context) error { return nil }, nil
	}
	if s.OTLP != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.OTLP))
		if err != nil {
			return nil, errors.Wrap(err, "tracing: otlp")
		}
		options = append(options, trace.WithBatcher(exporter))
	}
	if s.File != "" {
		file, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, errors.Wrap(err, "tracing: file")
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, errors.Wrap(err, "tracing: file")
		}
		options = append(options, trace.WithSyncer(exporter))
	}
	provider := trace.NewTracerProvider(options...)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}
