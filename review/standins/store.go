package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const pageSize = 500 // items of one page of a range

// item is a key of the store with its value, or its removal.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"rev"`
	Created   int64  `json:"created"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's metadata store: ranges and watches for the system, and writes by engines and the operator.
type store struct {
	address string

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	changed  chan struct{} // closed on the next change
}

func startStore(address string) (s *store, err error) {
	s = &store{address: address, items: make(map[string]item), changed: make(chan struct{}), revision: 1}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a key, unless it has the value; an empty value removes it. It returns the time of the ack.
func (s *store) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.items[key]
	if len(value) == 0 && !known || string(old.Value) == string(value) {
		return time.Now()
	}
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: old.Created, Tombstone: len(value) == 0}
	if !known {
		i.Created = s.revision
	}
	if i.Tombstone {
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// putJSON writes a key with a JSON value.
func (s *store) putJSON(key string, value any) time.Time {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err) // maps of strings and numbers always encode
	}
	return s.put(key, content)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var items []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	page := items[:min(len(items), pageSize)]
	writeJSON(w, map[string]any{"items": page, "truncated": len(page) < len(items), "as-of": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || waitErr != nil {
		http.Error(w, "after and wait-ms are whole numbers", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ctx.Err() != nil {
			writeJSON(w, map[string]any{"events": events, "as-of": revision})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails if the caller has left
}
