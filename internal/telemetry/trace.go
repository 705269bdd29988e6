package telemetry

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"carawaypick/internal/config"
	"carawaypick/pkg/clock"
)

// Bounds of what the tracer holds back before it writes.
const (
	queueSpans  = 2048
	batchSpans  = 256
	batchPeriod = clock.Second
)

// notSampled ends a W3C traceparent whose request is not traced.
const notSampled = "-00"

// header is the W3C name under which the parent is carried.
const header = "traceparent"

// Tracer starts spans; the zero Tracer writes none and passes parents on.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	file     output
}

// NewTracer returns a tracer that writes spans as JSON lines to the file of the settings or to standard output.
func NewTracer(s config.Trace, name, role string) (*Tracer, error) {
	return newTracer(s, name, role, os.Stdout)
}

func newTracer(s config.Trace, name, role string, stdout io.Writer) (t *Tracer, err error) {
	if s.File == "" {
		return &Tracer{}, nil
	}
	file, err := open(s.File, stdout, nil)
	if err != nil {
		return nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, errors.CombineErrors(err, file.close())
	}
	batch := sdk.NewBatchSpanProcessor(exporter,
		sdk.WithMaxQueueSize(queueSpans),
		sdk.WithMaxExportBatchSize(batchSpans),
		sdk.WithBatchTimeout(batchPeriod.Duration()))
	provider := sdk.NewTracerProvider(
		sdk.WithSpanProcessor(batch),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(s.Ratio))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "carawaypick"),
			attribute.String("name", name),
			attribute.String("role", role))))
	return &Tracer{provider: provider, tracer: provider.Tracer("carawaypick"), file: file}, nil
}

// Start begins a span under parent, a W3C traceparent, or under the span of ctx where parent is empty.
func (t *Tracer) Start(ctx context.Context, parent, name string, attributes ...attribute.KeyValue) (context.Context, Span) {
	if t.tracer == nil || strings.HasSuffix(parent, notSampled) {
		return ctx, Span{parent: parent}
	}
	if parent != "" {
		ctx = propagation.TraceContext{}.Extract(ctx, &carrier{parent: parent})
	}
	ctx, s := t.tracer.Start(ctx, name, trace.WithAttributes(attributes...))
	return ctx, Span{span: s}
}

// Close writes the spans that are still held back and closes the file.
func (t *Tracer) Close(ctx context.Context) (err error) {
	if t.provider == nil {
		return nil
	}
	err = errors.CombineErrors(t.provider.Shutdown(ctx), t.file.close())
	return errors.Wrap(err, "close tracer")
}

// Span is one hop of a request; the zero Span records nothing.
type Span struct {
	span   trace.Span
	parent string
}

// Parent returns the W3C traceparent for the next hop, empty where there is none.
func (s Span) Parent() string {
	if s.span == nil {
		return s.parent
	}
	c := carrier{}
	propagation.TraceContext{}.Inject(trace.ContextWithSpan(context.Background(), s.span), &c)
	return c.parent
}

// Set adds attributes to the span.
func (s Span) Set(attributes ...attribute.KeyValue) {
	if s.span != nil {
		s.span.SetAttributes(attributes...)
	}
}

// Fail marks the span as failed by err.
func (s Span) Fail(err error) {
	if s.span == nil || err == nil {
		return
	}
	s.span.RecordError(err)
	s.span.SetStatus(codes.Error, err.Error())
}

// End finishes the span.
func (s Span) End() {
	if s.span != nil {
		s.span.End()
	}
}

// carrier holds the one header that spans are passed on in.
type carrier struct {
	parent string
}

// Get returns the parent for its header name.
func (c *carrier) Get(key string) string {
	if key == header {
		return c.parent
	}
	return ""
}

// Set keeps the parent.
func (c *carrier) Set(key, value string) {
	if key == header {
		c.parent = value
	}
}

// Keys names the one header.
func (c *carrier) Keys() []string {
	return []string{header}
}
