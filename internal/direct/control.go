package direct

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-kit/log/level"

	"carawaypick/pkg/clock"
)

const (
	statePath   = "/state"
	headerLimit = 10 * clock.Second // for a caller to send its header
	idleLimit   = 2 * clock.Minute  // of a caller's idle connection, above any limit that operators set
)

// controlHandler serves the other entries.
func (e *Entry) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after is not a revision", http.StatusBadRequest)
			return
		}
		if err := json.NewEncoder(w).Encode(e.belief.Since(after)); err != nil {
			level.Warn(e.journal.Logger).Log("msg", "state not sent to a peer", "error", err)
		}
	})
	return mux
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
