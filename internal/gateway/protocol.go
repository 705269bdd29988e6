package gateway

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/routing"
	"carawaypick/internal/store"
	"carawaypick/pkg/clock"
)

// ErrCompacted is returned by Watch if the store does not have all changes after the requested position.
var ErrCompacted = errors.New("the store does not have all changes after the position")

// Change is a record of the store that was written or removed.
type Change struct {
	Key      string
	Value    []byte
	Position store.Position
	Removed  bool
	Fault    error // error from decoding Value
}

// StoreAnswer is the store's answer to a range or a watch.
type StoreAnswer struct {
	Changes  []Change
	Position store.Position // that the changes reach, in an unknown era if the store does not tell it
}

// Update is a decoded change: a configuration, a backend server's registration or removal, or the evacuation of a zone.
type Update struct {
	Config          *routing.Config
	Server          *routing.Server
	RemovedServer   string // id of a backend server whose registration was removed or can't be decoded
	Zone            string // zone whose evacuation starts or ends
	EvacuationEnded bool   // the evacuation of Zone ends
}

// RequestHeaders holds the values of a caller's request headers.
type RequestHeaders struct {
	ID                   string
	APIKey               string
	Timeout              clock.Span // ms that the caller waits, 0 if not set
	LastEventID          string     // id of the last event that the caller received, to resume a stream
	PromptTokens         int        // tokens of the prompt
	MaxOutputTokens      int        // upper bound on the tokens of the response
	ExpectedOutputTokens int        // the caller's estimate of the tokens of the response
	ExpectedServer       string     // id of the backend server that the sender takes this entry for, empty from callers
	ExpectsVersion       bool       // a backend server with another version of the weights rejects the request
	SharedParts          []uint64   // hashes of the parts of the prompt that other requests may share, in order
}

// ForwardHeaders holds the values of the request headers that an entry sets for a backend server.
type ForwardHeaders struct {
	ServerID    string // id of the intended backend server
	Team        string
	Timeout     clock.Span // ms that are left for the response
	LastEventID string     // id of the last event that the caller received
	Priority    int        // from 0, the most urgent, to 9; negative for none
}

// ResponseHeaders holds the values of a backend server's response headers.
type ResponseHeaders struct {
	RequestID   string     // id of the request
	Sealed      bool       // the response has the backend server's seal
	NotExecuted bool       // the backend server reports that it did not run the request
	Reencoded   bool       // the body was re-encoded on the way
	ServerID    string     // id of the responding backend server, empty if not sent
	Misdirected bool       // the backend server is not the intended one, or not one that the request asks for
	Running     int        // requests that the backend server runs, -1 if not sent
	Waiting     int        // requests in the backend server's queue
	BadLoad     string     // header of the load if it can't be used, quoted and shortened; empty for none
	Cold        clock.Span // warm-up time in ms, 0 if not sent

	Leaving      bool       // the backend server leaves, whatever its registration says
	RetryAfter   clock.Span // ms for which the backend server wants no requests from this entry, 0 if not sent
	FaultyServer string     // id of the backend server because of which the request was not executed, empty if not sent
	Malformed    string     // name and value of a header that can't be read, quoted and shortened; empty for none

	RateLimit     float64 // requests per second that the backend server takes from all entries together, 0 if not sent
	MalformedRate string  // the value that was sent instead of such a number, quoted and shortened; empty for none
}

// Protocol holds the functions that translate to the protocols of callers, backend servers and the store.
type Protocol struct {
	ParseRequest        func(http.Header) RequestHeaders
	SetForwardHeaders   func(http.Header, ForwardHeaders)
	ParseResponse       func(status int, h http.Header) ResponseHeaders
	SetRejectionHeaders func(h http.Header, id string, after clock.Span)
	DecodeChange        func(Change) (Update, error)
	EncodeDirectory     func(addresses []string, ttl clock.Span) ([]byte, error)
	ParseDirectoryQuery func(url.Values) (zone string)

	ReadyPath     string
	DirectoryPath string

	// Range returns all records and a position from which Watch misses no later change.
	Range func(ctx context.Context, prefix string) (StoreAnswer, error)
	// Watch waits up to wait ms for changes after a position and returns them, or ErrCompacted.
	Watch func(ctx context.Context, prefix string, after store.Position, wait clock.Span) (StoreAnswer, error)
}
