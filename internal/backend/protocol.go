package backend

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/lifecycle"
	"carawaypick/pkg/clock"
)

// Task is one request to a backend server.
type Task struct {
	ID       string
	Method   string
	Path     string
	Body     []byte
	Priority int32
	Resume   uint64 // number of events that the caller already has
	MaxBytes int    // largest event or body, in bytes
	Epoch    uint64 // epoch of the load report that the dispatch is based on
}

// Event is one event of an answer.
type Event struct {
	Index uint64 // position of the event, from 0
	Data  []byte
}

// Summary describes a complete answer.
type Summary struct {
	Count     uint64 // number of events
	Hash      uint64 // xxhash64 over the data of all events
	Status    int    // HTTP status
	MediaType string
}

// LoadReport is the load that a backend server reports.
type LoadReport struct {
	Incarnation string     `json:"incarnation"`
	Running     uint32     `json:"running"`
	Queued      uint32     `json:"queued"`
	Tokens      uint64     `json:"tokens"`
	Age         clock.Span `json:"age"` // milliseconds since the report was made
	Epoch       uint64     `json:"-"`   // epoch before the report was requested
}

// Protocol is the set of functions that talk to one backend server.
type Protocol struct {
	// Run sends a task and passes each event to emit in order.
	// Errors wrap ErrNotSent if no byte was written; otherwise the task may have run.
	Run func(ctx context.Context, task Task, emit func(Event) error) (Summary, error)
	// Cancel cancels a task and returns once the backend server has freed its slot.
	// It is nil for protocols without cancellation, where a task always runs to completion.
	Cancel func(ctx context.Context, id string) error
	// Epoch returns a number that changes as soon as the backend server's process may have ended.
	// It is nil for protocols that can't detect this; an idle backend server is then probed before it gets work.
	Epoch func() uint64
	// Load requests the backend server's load report.
	Load func(ctx context.Context) (LoadReport, error)
}

// ErrNotSent marks a task of which no byte left the agent.
var ErrNotSent = errors.New("not handed over")

// ErrRestarted marks a task that was not sent because the backend server's process may have ended.
var ErrRestarted = errors.Wrap(ErrNotSent, "backend server restarted")

// ErrTruncated marks an incomplete or malformed answer.
var ErrTruncated = errors.New("answer broke off")

// ErrMismatch marks an answer that belongs to another request.
var ErrMismatch = errors.New("answer belongs to another request")

// ErrStalled marks an answer without an event for the stall timeout.
var ErrStalled = errors.New("answer makes no progress")

// Protocols registers the constructors of all protocols; each takes the base URL of the backend server.
var Protocols = lifecycle.NewRegistry[func(url string) (Protocol, error)]("dialect")
