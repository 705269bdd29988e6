package backend

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/kernel"
	"carawaypick/pkg/clock"
)

// Task is one hand-over to a backend server.
type Task struct {
	ID       string
	Method   string
	Path     string
	Body     []byte
	Priority int32
	Resume   uint64 // events that the caller already has
	Limit    int    // most bytes of one event or body
	Epoch    uint64 // of the report on which the hand-over rests
}

// Piece is one event of an answer.
type Piece struct {
	Index uint64 // number of the event, from 0
	Data  []byte
}

// End closes a whole answer.
type End struct {
	Count   uint64 // events in the whole answer
	Hash    uint64 // xxhash64 over the data of all events
	Status  int    // HTTP status
	Content string // media type
}

// Load is a backend server's own report.
type Load struct {
	Incarnation string     `json:"incarnation"`
	Running     uint32     `json:"running"`
	Queued      uint32     `json:"queued"`
	Tokens      uint64     `json:"tokens"`
	Age         clock.Span `json:"age"` // milliseconds since the report was made
	Epoch       uint64     `json:"-"`   // of the backend server's process before the report
}

// Dialect speaks one backend server's protocol.
type Dialect struct {
	// Run hands a task over with one write and passes each event to emit in order.
	// Errors carry ErrNever where no byte was written, otherwise the task may have run.
	Run func(ctx context.Context, task Task, emit func(Piece) error) (End, error)
	// Cancel ends a task whose answer is no longer wanted and returns once the backend server has let go of it.
	// It is nil where the protocol has no such call: there a task runs to its end.
	Cancel func(ctx context.Context, id string) error
	// Epoch returns a number that changes at once when the backend server's process may have ended.
	// It is nil where the protocol has no such sign: there an idle backend server is asked before it gets work.
	Epoch func() uint64
	// Load returns the backend server's report.
	Load func(ctx context.Context) (Load, error)
}

// ErrNever marks a hand-over of which no byte left the agent.
var ErrNever = errors.New("not handed over")

// ErrRestarted marks a hand-over that was given up because the backend server's process may have ended.
var ErrRestarted = errors.Wrap(ErrNever, "backend server restarted")

// ErrCut marks an answer that broke off.
var ErrCut = errors.New("answer broke off")

// ErrForeign marks an answer that belongs to another request.
var ErrForeign = errors.New("answer belongs to another request")

// ErrStall marks an answer without progress.
var ErrStall = errors.New("answer makes no progress")

// Dialects holds the constructors of all dialects; each takes the base URL of the backend server.
var Dialects = kernel.NewRegistry[func(url string) (Dialect, error)]("dialect")
