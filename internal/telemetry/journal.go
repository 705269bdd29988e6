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
	journalLines = 2048 // lines that wait for a slow reader of the output
	plainBudget  = 40   // lines a second of a kind that tells of success
	otherBudget  = 150  // lines a second of any other kind
)

// Bounded passes lines on to a writer that may block: it never waits and counts what it drops.
type Bounded struct {
	lines   chan []byte
	Dropped atomic.Uint64
}

// NewBounded returns a Bounded for a writer that Run is given.
func NewBounded() *Bounded {
	return &Bounded{lines: make(chan []byte, journalLines)}
}

// Write takes one line or drops it.
func (b *Bounded) Write(line []byte) (n int, err error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.Dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines to w until ctx ends, then what is left.
func (b *Bounded) Run(ctx context.Context, w io.Writer) error {
	for {
		select {
		case line := <-b.lines:
			if _, err := w.Write(line); err != nil {
				b.Dropped.Add(1)
			}
		case <-ctx.Done():
			return b.flush(w)
		}
	}
}

func (b *Bounded) flush(w io.Writer) error {
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

// Journal writes the lines on decisions, each kind within a budget a second.
type Journal struct {
	Logger log.Logger
	Clock  clock.Clock
	Plain  map[string]bool // kinds that tell of success

	mu      sync.Mutex
	second  clock.Time
	written map[string]int
	dropped map[string]int
}

// Log writes a line of the kind unless its budget for this second is used up; what was left out is told afterwards.
func (j *Journal) Log(kind string, keyvals ...any) {
	dropped, allowed := j.allow(kind)
	for name, count := range dropped {
		_ = j.Logger.Log("msg", "lines left out", "kind", name, "count", count) // the bounded output never fails
	}
	if allowed {
		_ = j.Logger.Log(keyvals...)
	}
}

func (j *Journal) allow(kind string) (dropped map[string]int, allowed bool) {
	second := j.Clock.Now() / clock.Time(clock.Second)
	j.mu.Lock()
	defer j.mu.Unlock()
	if second != j.second || j.written == nil {
		dropped = j.dropped
		j.second, j.written, j.dropped = second, make(map[string]int), make(map[string]int)
	}
	budget := otherBudget
	if j.Plain[kind] {
		budget = plainBudget
	}
	if j.written[kind] >= budget {
		j.dropped[kind]++
		return dropped, false
	}
	j.written[kind]++
	return dropped, true
}
