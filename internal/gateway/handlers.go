package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/go-kit/log/level"

	"carawaypick/pkg/clock"
)

const (
	statePath         = "/state"
	evidencePath      = "/evidence"
	readHeaderTimeout = 10 * clock.Second // time for a client to send its request headers
	callerIdleTimeout = 2 * clock.Minute  // idle time after which a client's connection is closed; longer than the idle timeouts that operators configure
)

// peerHandler serves the cluster state and the evidence of crashes to other entries.
func (e *Entry) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, r *http.Request) {
		after, err := parsePosition(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		content, err := json.Marshal(newStateMessage(e.state.ChangesSince(after)))
		if err == nil {
			e.stateSize.Store(int64(len(content)))
			_, err = w.Write(content)
		}
		if err != nil {
			level.Warn(e.limitedLogger.Logger).Log("msg", "cluster state not sent to a peer", "error", err)
		}
	})
	mux.HandleFunc("GET "+evidencePath, func(w http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(w).Encode(e.suspects.all()); err != nil {
			level.Warn(e.limitedLogger.Logger).Log("msg", "evidence of crashes not sent to a peer", "error", err)
		}
	})
	return mux
}

// directoryHandler serves the addresses of ready entries to callers.
func (e *Entry) directoryHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.protocol.DirectoryPath, func(w http.ResponseWriter, r *http.Request) {
		addresses := e.directoryAddresses(r)
		if len(addresses) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		content, err := e.protocol.EncodeDirectory(addresses, min(maxDirectoryTTL, e.settings.Load().TTL))
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			level.Error(e.limitedLogger.Logger).Log("msg", "directory response not encoded, answering with status 500", "error", err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if _, err := w.Write(content); err != nil {
			e.limitedLogger.Log("directory", "msg", "directory response not sent", "asker", r.RemoteAddr, "error", err)
		}
	})
	return mux
}

const maxDirectoryTTL = 2 * clock.Second // upper bound on the time that callers cache a response

// readyHandler answers the platform's readiness checks.
func (e *Entry) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.protocol.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// ready reports whether this entry accepts new callers.
func (e *Entry) ready() bool {
	return !e.draining.Load() && e.hasJoined() && e.state.View().Config != nil
}
