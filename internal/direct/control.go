package direct

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"carawaypick/pkg/clock"
)

const (
	statePath   = "/state"
	askTimeout  = clock.Second
	askAfter    = 300 * clock.Millisecond // silence of the store after which peers are asked
	maxState    = 64 << 20                // bytes of a peer's answer
	headerLimit = 10 * clock.Second       // for a caller to send its header
	idleLimit   = 2 * clock.Minute        // of a caller's idle connection, above any limit that operators set
)

// state is all that a peer knows of the store's entries.
type state struct {
	Revision int64   `json:"revision"`
	Items    []entry `json:"items"`
}

// entry is one of the store's entries.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
}

// controlHandler serves the other entries.
func (e *Entry) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, _ *http.Request) {
		items, revision := e.belief.Items()
		s := state{Revision: revision}
		for _, c := range items {
			s.Items = append(s.Items, entry{Key: c.Key, Value: c.Value, Revision: c.Revision})
		}
		if err := json.NewEncoder(w).Encode(s); err != nil {
			level.Warn(e.journal.Logger).Log("msg", "state not sent to a peer", "error", err)
		}
	})
	return mux
}

// askPeer reads the belief of a peer that knows more, since the store can't be reached.
func (e *Entry) askPeer(ctx context.Context) (err error) {
	control, ok := e.peers.Ahead(e.belief.Revision())
	if !ok {
		return nil
	}
	defer func() { err = errors.Wrapf(err, "ask peer %s", control) }()
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+statePath, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	var s state
	err = json.NewDecoder(io.LimitReader(response.Body, maxState)).Decode(&s)
	if err = errors.CombineErrors(err, response.Body.Close()); err != nil {
		return err
	}
	items := make([]Change, 0, len(s.Items))
	for _, i := range s.Items {
		items = append(items, Change{Key: i.Key, Value: i.Value, Revision: i.Revision})
	}
	e.belief.Replace(items, s.Revision, "peer "+control)
	level.Info(e.journal.Logger).Log("msg", "belief taken from a peer", "peer", control, "revision", s.Revision, "items", len(items))
	return nil
}

// directoryHandler tells callers which entries to use.
func (e *Entry) directoryHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.wire.ResolvePath, func(w http.ResponseWriter, r *http.Request) {
		addresses := e.peers.Fronts()
		if e.ready() {
			addresses = append(addresses, e.settings.Load().Front)
		}
		if len(addresses) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		content, err := e.wire.Resolve(addresses[:min(len(addresses), maxNamed)], min(directoryTTL, e.settings.Load().TTL))
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			level.Error(e.journal.Logger).Log("msg", "directory's answer not encoded", "error", err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if _, err := w.Write(content); err != nil {
			e.journal.Log("directory", "msg", "directory's answer not sent", "asker", r.RemoteAddr, "error", err)
		}
	})
	return mux
}

const (
	maxNamed     = 64               // addresses in one answer of the directory
	directoryTTL = 2 * clock.Second // time that callers keep an answer
)

// readyHandler tells the platform whether this entry takes callers.
func (e *Entry) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.wire.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// ready tells whether new callers may be sent here.
func (e *Entry) ready() bool {
	return !e.leaving.Load() && e.belief.View().Table != nil
}
