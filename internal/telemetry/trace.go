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

// Bounds of the buffer of finished spans.
const (
	queueSpans    = 2048 // finished spans that are buffered; further ones are dropped
	batchSpans    = 256  // spans that are written at once
	batchInterval = clock.Second
)

// notSampledSuffix is the end of a W3C traceparent without the sampled flag.
const notSampledSuffix = "-00"

// traceparentHeader is the W3C Trace Context header that carries the parent span.
const traceparentHeader = "traceparent"

// Tracer starts spans; the zero Tracer records none and propagates parents unchanged.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	file     output
}

// NewTracer returns a tracer that writes spans as JSON lines to the file of the settings or to standard output; without a file it records none.
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
		sdk.WithBatchTimeout(batchInterval.Duration()))
	provider := sdk.NewTracerProvider(
		sdk.WithSpanProcessor(batch),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(s.Ratio))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "carawaypick"),
			attribute.String("name", name),
			attribute.String("role", role))))
	return &Tracer{provider: provider, tracer: provider.Tracer("carawaypick"), file: file}, nil
}

// Start starts a span whose parent is the W3C traceparent, or the span of ctx if parent is empty; a parent that is not sampled starts no span.
func (t *Tracer) Start(ctx context.Context, parent, name string, attributes ...attribute.KeyValue) (context.Context, Span) {
	if t.tracer == nil || strings.HasSuffix(parent, notSampledSuffix) {
		return ctx, Span{parent: parent}
	}
	if parent != "" {
		ctx = propagation.TraceContext{}.Extract(ctx, &carrier{parent: parent})
	}
	ctx, s := t.tracer.Start(ctx, name, trace.WithAttributes(attributes...))
	return ctx, Span{span: s}
}

// Close flushes pending spans and closes the file.
func (t *Tracer) Close(ctx context.Context) (err error) {
	if t.provider == nil {
		return nil
	}
	err = errors.CombineErrors(t.provider.Shutdown(ctx), t.file.close())
	return errors.Wrap(err, "close tracer")
}

// Span is one operation of a request; the zero Span records nothing.
type Span struct {
	span   trace.Span
	parent string
}

// Parent returns the W3C traceparent to send to the next hop, or an empty string if there is none.
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

// Fail records err and sets the status of the span to error; nil is ignored.
func (s Span) Fail(err error) {
	if s.span == nil || err == nil {
		return
	}
	s.span.RecordError(err)
	s.span.SetStatus(codes.Error, err.Error())
}

// End completes the span.
func (s Span) End() {
	if s.span != nil {
		s.span.End()
	}
}

// carrier is a propagation.TextMapCarrier for the traceparent header alone.
type carrier struct {
	parent string
}

// Get returns the traceparent, or an empty string for any other header.
func (c *carrier) Get(key string) string {
	if key == traceparentHeader {
		return c.parent
	}
	return ""
}

// Set stores the traceparent and ignores any other header.
func (c *carrier) Set(key, value string) {
	if key == traceparentHeader {
		c.parent = value
	}
}

// Keys returns the name of the traceparent header.
func (c *carrier) Keys() []string {
	return []string{traceparentHeader}
}
