package direct

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// ErrHistoryGone says that the store no longer holds the changes that a watch asked for.
var ErrHistoryGone = errors.New("the store's history no longer reaches back that far")

// Change is an entry of the store that was written or removed.
type Change struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
	Fault    error // why Value could not be read
}

// News is what a change means: a configuration, a backend server or an availability zone that is evacuated.
type News struct {
	Table  *routing.Table
	Server *routing.Server
	Gone   string // id of a backend server whose entry is gone or can't be read
	Zone   string // availability zone whose evacuation begins or ends
	Ends   bool   // the evacuation of Zone ends
}

// Call is what a caller's headers say of its request.
type Call struct {
	ID         string
	Key        string     // API key
	Budget     clock.Span // ms that the caller waits; 0 where it does not say
	LastEvent  string     // last event that the caller has, for a stream that goes on
	Prompt     int        // tokens of the prompt
	Output     int        // most tokens of the answer
	OutputHint int        // the caller's estimate of the tokens of the answer
}

// Forward is what an entry tells a backend server besides the caller's headers.
type Forward struct {
	Server    string // id that the backend server must have
	Team      string
	Left      clock.Span // ms that are left for the answer
	LastEvent string     // last event that the caller has
	Priority  int        // 0 is the most urgent, 9 the least; negative for none
}

// Answer is what a backend server's headers say.
type Answer struct {
	ID      string // the request that is answered
	Sealed  bool   // the answer bears the backend server's proof
	NotRun  bool   // the backend server states that it did not run the request
	Encoded bool   // the body was recoded on the way
	Server  string // the backend server that answers, where it tells
	Moved   bool   // another backend server than the one that was meant has the address
	Running int    // requests that it runs, -1 where it doesn't tell
	Waiting int    // requests that wait at it
	Cold    clock.Span
}

// Wire translates between the product and what callers, backend servers and the store speak.
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
