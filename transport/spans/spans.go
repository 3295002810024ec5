// Package spans sends traces to a collector or a file.
package spans

import (
	"context"
	"os"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.37.0"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

const (
	scope = "github.com/dragonflyroute/dragonflyroute"
	mode  = 0o600
)

// Spans owns the exporters of a process's traces.
type Spans struct {
	// Host names the process's host in each span.
	Host string
	// OTLP is the URL of an OTLP/HTTP collector, empty for none.
	OTLP string
	// File is the path of a JSON-lines file, empty for none.
	File string
	// Sample is the part of new traces that is kept; a caller's choice goes first.
	Sample float64

	provider *trace.TracerProvider
	file     *os.File
}

// Open installs the process's tracer and the W3C trace-context propagator.
func (s *Spans) Open(ctx context.Context) error {
	options := []trace.TracerProviderOption{
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(s.Sample))),
		trace.WithResource(resource.NewSchemaless(semconv.ServiceName("dragonflyroute"), semconv.ServiceInstanceID(s.Host))),
	}
	if s.OTLP != "" {
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.OTLP))
		if err != nil {
			return fault.Wrap(kind.BadRequest, err, "trace.otlp")
		}
		options = append(options, trace.WithBatcher(e))
	}
	if s.File != "" {
		f, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, mode)
		if err != nil {
			return fault.Wrap(kind.BadRequest, err, "trace.file")
		}
		s.file = f
		e, err := stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			return fault.Wrap(kind.Internal, err, "trace.file")
		}
		options = append(options, trace.WithBatcher(e))
	}
	s.provider = trace.NewTracerProvider(options...)
	otel.SetTracerProvider(s.provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return nil
}

// Close sends what is left and closes the exporters.
func (s *Spans) Close(ctx context.Context) error {
	err := s.provider.Shutdown(ctx)
	if s.file != nil {
		_ = s.file.Close()
	}
	return err
}

// Start begins a span and returns the function that ends it with the hop's error.
func Start(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, func(err error)) {
	ctx, span := otel.Tracer(scope).Start(ctx, name)
	span.SetAttributes(attributes...)
	return ctx, func(err error) {
		if err != nil {
			span.SetStatus(codes.Error, fault.KindOf(err).String())
		}
		span.End()
	}
}
