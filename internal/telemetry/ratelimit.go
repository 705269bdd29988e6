package telemetry

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"

	"carawaypick/pkg/clock"
)

const (
	maxQueuedLines        = 2048    // log lines buffered while the output blocks
	maxQueuedBytes        = 4 << 20 // of these lines, which may hold what callers sent
	routineLinesPerSecond = 40      // budget of a kind that reports success
	otherLinesPerSecond   = 150     // budget of any other kind
)

// BoundedWriter is a non-blocking writer in front of one that may block: when its buffer is full, it drops lines and counts them.
type BoundedWriter struct {
	lines   chan []byte
	queued  atomic.Int64 // bytes of the lines in the buffer
	Dropped atomic.Uint64
}

// NewBoundedWriter returns a BoundedWriter that buffers lines until Run writes them.
func NewBoundedWriter() *BoundedWriter {
	return &BoundedWriter{lines: make(chan []byte, maxQueuedLines)}
}

// Write buffers a copy of one line, or drops the line when the buffer is full; it never fails.
func (b *BoundedWriter) Write(line []byte) (n int, err error) {
	size := int64(len(line))
	if b.queued.Add(size) > maxQueuedBytes {
		b.queued.Add(-size)
		b.Dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.queued.Add(-size)
		b.Dropped.Add(1)
	}
	return len(line), nil
}

// Run writes buffered lines to w until ctx ends, then flushes the rest and returns the first error of that flush.
func (b *BoundedWriter) Run(ctx context.Context, w io.Writer) error {
	for {
		select {
		case line := <-b.lines:
			b.queued.Add(-int64(len(line)))
			if _, err := w.Write(line); err != nil {
				b.Dropped.Add(1)
			}
		case <-ctx.Done():
			return b.flush(w)
		}
	}
}

func (b *BoundedWriter) flush(w io.Writer) error {
	for {
		select {
		case line := <-b.lines:
			if _, err := w.Write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// RateLimitedLogger limits the log lines per second of each kind; it is safe for concurrent use.
type RateLimitedLogger struct {
	Logger       log.Logger
	Clock        clock.Clock
	RoutineKinds map[string]bool // kinds that report success and get the smaller budget

	mu      sync.Mutex
	second  clock.Time     // current second on Clock, in s instead of ms
	written map[string]int // lines written in this second, by kind
	dropped map[string]int // lines left out in this second, by kind
}

// Log writes a line of the kind unless its budget for this second is used up; the number of lines left out is logged in a later second.
func (l *RateLimitedLogger) Log(kind string, keyvals ...any) {
	dropped, allowed := l.allow(kind)
	for name, count := range dropped {
		_ = l.Logger.Log("msg", "lines left out", "kind", name, "count", count) // BoundedWriter.Write never fails
	}
	if allowed {
		_ = l.Logger.Log(keyvals...)
	}
}

func (l *RateLimitedLogger) allow(kind string) (dropped map[string]int, allowed bool) {
	second := l.Clock.Now() / clock.Time(clock.Second)
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.second || l.written == nil {
		dropped = l.dropped
		l.second, l.written, l.dropped = second, make(map[string]int), make(map[string]int)
	}
	budget := otherLinesPerSecond
	if l.RoutineKinds[kind] {
		budget = routineLinesPerSecond
	}
	if l.written[kind] >= budget {
		l.dropped[kind]++
		return dropped, false
	}
	l.written[kind]++
	return dropped, true
}
