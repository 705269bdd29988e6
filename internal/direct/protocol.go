package direct

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// ErrHistoryGone is returned by Watch if the store no longer has all changes after the requested revision.
var ErrHistoryGone = errors.New("the store no longer has all changes after the revision")

// Change is a record of the store that was written or removed.
type Change struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
	Fault    error // error from reading Value
}

// News is a decoded change: a configuration, a backend server's registration or removal, or the evacuation of a zone.
type News struct {
	Table  *routing.Table
	Server *routing.Server
	Gone   string // id of a backend server whose registration was removed or can't be decoded
	Zone   string // zone whose evacuation starts or ends
	Ends   bool   // the evacuation of Zone ends
}

// Call holds the values of a caller's request headers.
type Call struct {
	ID         string
	Key        string     // API key
	Budget     clock.Span // ms that the caller waits, 0 if not set
	LastEvent  string     // id of the last event that the caller received, to resume a stream
	Prompt     int        // tokens of the prompt
	Output     int        // upper bound on the tokens of the response
	OutputHint int        // the caller's estimate of the tokens of the response
}

// Forward holds the values of the request headers that an entry sets for a backend server.
type Forward struct {
	Server    string // id of the intended backend server
	Team      string
	Left      clock.Span // ms that are left for the response
	LastEvent string     // id of the last event that the caller received
	Priority  int        // from 0, the most urgent, to 9; negative for none
}

// Answer holds the values of a backend server's response headers.
type Answer struct {
	ID      string // id of the request
	Sealed  bool   // the response has the backend server's seal
	NotRun  bool   // the backend server reports that it did not run the request
	Encoded bool   // the body was re-encoded on the way
	Server  string // id of the responding backend server, empty if not sent
	Moved   bool   // the address belongs to another backend server than the intended one
	Running int    // requests that it runs, -1 if not sent
	Waiting int    // requests in its queue
	Cold    clock.Span
}

// Wire holds the functions that translate to the protocols of callers, backend servers and the store.
type Wire struct {
	Call    func(http.Header) Call
	Forward func(http.Header, Forward)
	Answer  func(status int, h http.Header) Answer
	Refuse  func(h http.Header, id string, after clock.Span)
	Decode  func(Change) (News, error)
	Resolve func(addresses []string, ttl clock.Span) ([]byte, error)
	Asked   func(url.Values) (zone string)

	ReadyPath   string
	ResolvePath string

	Range func(ctx context.Context, prefix string) ([]Change, int64, error)
	Watch func(ctx context.Context, prefix string, after int64, wait clock.Span) ([]Change, int64, error)
}
