// Package tracing sets up OpenTelemetry. It exports spans to an OTLP/HTTP collector, to a file or to both,
// and propagates W3C trace context. Both exports are off by default.
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

// Settings configure tracing.
type Settings struct {
	// OTLP is the URL of an OTLP/HTTP collector. Empty disables this export.
	OTLP string `toml:"otlp"`
	// File is the file to which each span is appended as a JSON object. Empty
	// disables this export.
	File string `toml:"file"`
	// Ratio is the fraction of traces that are sampled, from 0 to 1. Default 1.
	Ratio float64 `toml:"ratio"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{Ratio: 1}
}

// Check adds findings for invalid values under the given key of the file.
func (s Settings) Check(file *tomlfile.File, key string) {
	if s.Ratio < 0 || s.Ratio > 1 {
		file.Add(key+".ratio", "want 0 to 1, not %g", s.Ratio)
	}
	if u, err := url.Parse(s.OTLP); s.OTLP != "" && (err != nil || u.Host == "") {
		file.Add(key+".otlp", "want a URL, not %q", s.OTLP)
	}
}

// Setup installs the propagator and the tracer provider. The caller must call the returned function at
// shutdown; it exports the remaining spans.
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
			return nil, errors.Wrap(err, "tracing: create OTLP exporter")
		}
		options = append(options, trace.WithBatcher(exporter))
	}
	if s.File != "" {
		file, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, errors.Wrap(err, "tracing: open span file")
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, errors.Wrap(err, "tracing: create file exporter")
		}
		options = append(options, trace.WithSyncer(exporter))
	}
	provider := trace.NewTracerProvider(options...)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}
