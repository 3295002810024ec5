// Package spans exports traces to an OTLP collector or a file.
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
	// tracerName is the instrumentation scope of all spans.
	tracerName = "github.com/dragonflyroute/dragonflyroute"
	// fileMode is the permissions of a new trace file.
	fileMode = 0o600
)

// Exporter holds the trace provider and exporters of a process.
type Exporter struct {
	// Host is the service instance id in each span.
	Host string
	// OTLP is the URL of an OTLP/HTTP collector, empty for none.
	OTLP string
	// File is the path of a JSON-lines file, empty for none.
	File string
	// SampleRate is the fraction of new traces that is sampled, 0 to 1; a caller's sampling decision takes precedence.
	SampleRate float64

	provider *trace.TracerProvider
	file     *os.File
}

// Open installs the process's tracer provider and the W3C trace context propagator.
func (e *Exporter) Open(ctx context.Context) error {
	options := []trace.TracerProviderOption{
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(e.SampleRate))),
		trace.WithResource(resource.NewSchemaless(semconv.ServiceName("dragonflyroute"), semconv.ServiceInstanceID(e.Host))),
	}
	if e.OTLP != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(e.OTLP))
		if err != nil {
			return fault.Wrap(kind.BadRequest, err, "trace.otlp")
		}
		options = append(options, trace.WithBatcher(exporter))
	}
	if e.File != "" {
		f, err := os.OpenFile(e.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
		if err != nil {
			return fault.Wrap(kind.BadRequest, err, "trace.file")
		}
		e.file = f
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			return fault.Wrap(kind.Internal, err, "trace.file")
		}
		options = append(options, trace.WithBatcher(exporter))
	}
	e.provider = trace.NewTracerProvider(options...)
	otel.SetTracerProvider(e.provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return nil
}

// Close flushes the remaining spans and closes the exporters.
func (e *Exporter) Close(ctx context.Context) error {
	err := e.provider.Shutdown(ctx)
	if e.file != nil {
		_ = e.file.Close()
	}
	return err
}

// Start begins a span and returns the function that ends it; a non-nil error sets its status.
func Start(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, func(err error)) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, name)
	span.SetAttributes(attributes...)
	return ctx, func(err error) {
		if err != nil {
			span.SetStatus(codes.Error, fault.KindOf(err).String())
		}
		span.End()
	}
}
