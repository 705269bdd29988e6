package standin

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// tokenEvent returns one encoded event of a well-formed stream.
func tokenEvent(id string, index int, text string) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"index\":%d,\"text\":%q}\n\n", index, id, index, text)
}

// finalEventText returns the encoded final event of a stream with the given text.
func finalEventText(id string, count int, text string) string {
	return fmt.Sprintf("event: final\ndata: {\"id\":%q,\"attempt\":1,\"count\":%d,\"hash\":%q}\n\n", id, count, HashText(text))
}

// sendTo sends a call with the id r1 to a server with this handler.
func sendTo(t *testing.T, handler http.HandlerFunc) CallResult {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	c := NewCaller("check", "lima-a", "politics")
	t.Cleanup(c.Close)
	return c.Send(t.Context(), Call{ID: "r1", Path: "/"}, strings.TrimPrefix(server.URL, "http://"), "", 1, 1000)
}

// sendToStream sends a call with the id r1 to a server that responds with this stream.
func sendToStream(t *testing.T, body string) CallResult {
	t.Helper()
	return sendTo(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte(body))
	})
}

func TestCallerChecksStreams(t *testing.T) {
	good := tokenEvent("r1", 0, "one ") + tokenEvent("r1", 1, "two ")
	cases := []struct {
		name, body string
		outcome    Outcome
	}{
		{"complete", good + finalEventText("r1", 2, "one two "), Complete},
		{"ends without a final event", good, ProtocolError},
		{"event of another request", tokenEvent("r2", 0, "one ") + finalEventText("r1", 1, "one "), ProtocolError},
		{"final event of another request", good + finalEventText("r2", 2, "one two "), ProtocolError},
		{"repeated event", tokenEvent("r1", 0, "a") + tokenEvent("r1", 0, "a") + finalEventText("r1", 2, "aa"), ProtocolError},
		{"skipped event", tokenEvent("r1", 1, "a") + finalEventText("r1", 1, "a"), ProtocolError},
		{"wrong count", good + finalEventText("r1", 3, "one two "), ProtocolError},
		{"wrong hash", good + finalEventText("r1", 2, "one three "), ProtocolError},
		{"error event", good + "event: error\ndata: {\"id\":\"r1\",\"outcome\":\"failed\",\"events\":2}\n\n", Failed},
		{"error event with a wrong count", good + "event: error\ndata: {\"id\":\"r1\",\"outcome\":\"failed\",\"events\":1}\n\n", ProtocolError},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			result := sendToStream(t, c.body)
			assert.Equal(t, c.outcome, result.Outcome, result.Reason)
		})
	}
}

func TestCallerChecksRejections(t *testing.T) {
	cases := []struct {
		name    string
		status  int
		body    string
		outcome Outcome
	}{
		{"notrun", http.StatusServiceUnavailable, `{"id":"r1","outcome":"notrun","reason":"busy","after":50}`, NotRun},
		{"unknown", http.StatusBadGateway, `{"id":"r1","outcome":"unknown"}`, Unknown},
		{"failed", http.StatusInternalServerError, `{"id":"r1","outcome":"failed"}`, Failed},
		{"wrong status", http.StatusInternalServerError, `{"id":"r1","outcome":"notrun"}`, ProtocolError},
		{"other request id", http.StatusServiceUnavailable, `{"id":"r2","outcome":"notrun"}`, ProtocolError},
		{"body that is not JSON", http.StatusServiceUnavailable, `busy`, ProtocolError},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			result := sendTo(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			})
			assert.Equal(t, c.outcome, result.Outcome, result.Reason)
		})
	}
}

func TestCallerResends(t *testing.T) {
	sends := []string{}
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sends = append(sends, r.Header.Get("Send")+" "+r.Header.Get("Request-Id")+" "+r.Header.Get("Binding"))
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		_, _ = w.Write([]byte(`{"id":"k.1","result":"x"}`))
	}))
	t.Cleanup(good.Close)
	cutting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(cutting.Close)
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	c := NewCaller("desk", "lima-a", "politics")
	t.Cleanup(c.Close)
	location := Location{Addresses: []string{address(cutting), address(good)}, Binding: "b", Key: "k"}
	result := c.DoAt(t.Context(), Call{ID: "k.1", Path: "/x", MaxSends: 3, Deadline: 5000}, location, c.clock.Now())
	require.Equal(t, Complete, result.Outcome, result.Reason)
	assert.Equal(t, 2, result.Sends)
	assert.Equal(t, []string{"2 k.1 b"}, sends)
}
