package telemetry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/go-kit/log/level"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/attribute"

	"carawaypick/internal/config"
)

func TestLogger(t *testing.T) {
	var out bytes.Buffer
	l, err := NewLogger(&out, "info", "e1", "entry")
	require.NoError(t, err)
	require.NoError(t, level.Debug(l).Log("msg", "too low"))
	require.NoError(t, level.Info(l).Log("msg", "started", "id", "r1", "ticket", 7))
	var line struct {
		TS, Name, Role, Msg, ID, Level string
		Ticket                         int
	}
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Regexp(t, `^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z$`, line.TS)
	assert.Equal(t, []string{"e1", "entry", "started", "r1", "info"}, []string{line.Name, line.Role, line.Msg, line.ID, line.Level})
	assert.Equal(t, 7, line.Ticket)
	_, err = NewLogger(&out, "loud", "e1", "entry")
	assert.ErrorContains(t, err, "loud")
}

func TestMetrics(t *testing.T) {
	m := NewMetrics()
	var out bytes.Buffer
	t.Run("writes each kind", func(t *testing.T) {
		m.Rejections.Get("noroom").Inc()
		m.Rejections.Get("noroom").Inc()
		m.Skew.Get("g1").Set(1.5)
		m.Latency.Get("check").Update(3)
		m.TicketNumber.Set(9)
		m.Write(&out)
		assert.Contains(t, out.String(), `carawaypick_refusals_total{reason="noroom"} 2`)
		assert.Contains(t, out.String(), `carawaypick_step_skew{group="g1"} 1.5`)
		assert.Contains(t, out.String(), `carawaypick_call_ms_count{service="check"} 1`)
		assert.Contains(t, out.String(), `carawaypick_ticket_number 9`)
		assert.Contains(t, out.String(), `process_resident_memory_bytes`)
	})
	t.Run("invalid label values neither panic nor exceed the bound", func(t *testing.T) {
		m.Retries.Get("a\"\n\\{}é").Inc()
		assert.Equal(t, uint64(1), m.Retries.Get("a\"\n\\{}é").Get())
		for i := range 2 * maxLabels {
			m.DroppedAnswers.Get(fmt.Sprint("reason ", i)).Inc()
		}
		assert.LessOrEqual(t, len(m.DroppedAnswers.byValue), maxLabels+1)
		assert.Equal(t, uint64(maxLabels), m.DroppedAnswers.Get(overflowLabel).Get())
	})
}

// spanRecord is the part of a written span that the tests check.
type spanRecord struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ TraceID, SpanID string }
	Status      struct{ Code, Description string }
}

func newFileTracer(t *testing.T, ratio float64) (*Tracer, string) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "trace")
	tracer, err := NewTracer(config.Trace{File: name, Ratio: ratio}, "e1", "entry")
	require.NoError(t, err)
	return tracer, name
}

// writtenSpans closes the tracer and returns its spans by name.
func writtenSpans(t *testing.T, tracer *Tracer, name string) map[string]spanRecord {
	t.Helper()
	require.NoError(t, tracer.Close(context.Background()))
	f, err := os.Open(name)
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	spans := map[string]spanRecord{}
	for scan := bufio.NewScanner(f); scan.Scan(); {
		var l spanRecord
		require.NoError(t, json.Unmarshal(scan.Bytes(), &l))
		spans[l.Name] = l
	}
	return spans
}

func TestTracer(t *testing.T) {
	t.Run("spans are linked across processes and through the context", func(t *testing.T) {
		tracer, name := newFileTracer(t, 1)
		ctx, call := tracer.Start(context.Background(), "", "call", attribute.String("id", "r1"))
		_, attempt := tracer.Start(ctx, "", "attempt")
		_, agent := tracer.Start(context.Background(), attempt.Parent(), "agent")
		agent.Fail(assert.AnError)
		agent.End()
		attempt.End()
		call.End()
		spans := writtenSpans(t, tracer, name)
		require.Len(t, spans, 3)
		assert.Equal(t, spans["call"].SpanContext.SpanID, spans["attempt"].Parent.SpanID)
		assert.Equal(t, spans["attempt"].SpanContext.SpanID, spans["agent"].Parent.SpanID)
		assert.Equal(t, spans["call"].SpanContext.TraceID, spans["agent"].SpanContext.TraceID)
		assert.Equal(t, "Error", spans["agent"].Status.Code)
	})
	t.Run("a request that is not sampled stays unsampled at the next hop", func(t *testing.T) {
		entry, first := newFileTracer(t, 0)
		agent, second := newFileTracer(t, 1)
		_, call := entry.Start(context.Background(), "", "call")
		_, run := agent.Start(context.Background(), call.Parent(), "run")
		assert.NotEmpty(t, call.Parent())
		assert.Equal(t, call.Parent(), run.Parent())
		run.End()
		call.End()
		assert.Empty(t, writtenSpans(t, entry, first))
		assert.Empty(t, writtenSpans(t, agent, second))
	})
	t.Run("a tracer without a file propagates the parent", func(t *testing.T) {
		_, s := (&Tracer{}).Start(context.Background(), "00-1-2-01", "call")
		s.Fail(assert.AnError)
		s.End()
		assert.Equal(t, "00-1-2-01", s.Parent())
	})
	t.Run("a malformed parent starts a new trace", func(t *testing.T) {
		tracer, name := newFileTracer(t, 1)
		_, s := tracer.Start(context.Background(), "not a parent", "call")
		s.End()
		assert.NotEmpty(t, writtenSpans(t, tracer, name)["call"].SpanContext.TraceID)
	})
}

func TestOpen(t *testing.T) {
	s := config.Defaults()
	s.Name = "e1"
	s.Trace = config.Trace{File: StandardOutput, Ratio: 1}
	var stdout, stderr bytes.Buffer
	opened, err := Open(s, "entry", &stdout, &stderr)
	require.NoError(t, err)
	require.NoError(t, opened.Logger.Log("msg", "hello"))
	_, span := opened.Tracer.Start(context.Background(), "", "call")
	span.End()
	require.NoError(t, opened.Close(context.Background()))
	assert.Contains(t, stderr.String(), `"msg":"hello"`)
	assert.Contains(t, stdout.String(), `"Name":"call"`)
	s.Log.File = filepath.Join(t.TempDir(), "none", "log")
	_, err = Open(s, "entry", &stdout, &stderr)
	assert.ErrorIs(t, err, os.ErrNotExist)
}

func BenchmarkNotSampled(b *testing.B) {
	tracer := &Tracer{}
	for b.Loop() {
		_, s := tracer.Start(context.Background(), "", "call")
		s.End()
	}
}

// TestBoundedWriterBoundsBytes guards against long lines, which callers may cause, that fill the memory while the output blocks.
func TestBoundedWriterBoundsBytes(t *testing.T) {
	b := NewBoundedWriter()
	line := bytes.Repeat([]byte("x"), 16<<10)
	for range maxQueuedLines {
		_, err := b.Write(line)
		require.NoError(t, err)
	}
	held := int64(len(b.lines)) * int64(len(line))
	assert.LessOrEqual(t, held, int64(maxQueuedBytes))
	assert.Equal(t, uint64(maxQueuedLines-len(b.lines)), b.Dropped.Load())
	assert.NoError(t, b.flush(io.Discard))
}
