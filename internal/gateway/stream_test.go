package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const streamHead = "200 OK\nId: $ID\nSeal: s\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n"

// chunk returns the bytes of one chunk of a body.
func chunk(text string) string {
	const digits = "0123456789abcdef"
	return string([]byte{digits[len(text)/16], digits[len(text)%16]}) + "\n" + text + "\n"
}

func sseEvent(id string) string {
	return "id: " + id + "\r\ndata: x\r\n\r\n"
}

// streamEvents returns a handler that sends the events after the caller's last one up to upTo. The stream then ends, or
// breaks within a further event if complete is false.
func streamEvents(upTo string, complete bool) backendHandler {
	return func(conn net.Conn, r *http.Request) {
		text := streamHead
		for _, id := range []string{"1", "2", "3", "4"} {
			if id > r.Header.Get("Last") && id <= upTo {
				text += chunk(sseEvent(id))
			}
		}
		if complete {
			respond(conn, r, text+"0\n\n")
			return
		}
		respond(conn, r, text+chunk("id: 9\r\nda"))
		resetConn(conn, r)
	}
}

func TestStream(t *testing.T) {
	allEvents := sseEvent("1") + sseEvent("2") + sseEvent("3") + sseEvent("4")
	cases := []struct {
		name, path string
		handler    backendHandler
		want       string
		broken     bool
	}{
		{"complete", "/stream/", streamEvents("4", true), allEvents, false},
		{"resumed after the last complete event", "/stream/", firstThen(streamEvents("2", false), streamEvents("4", true)), allEvents, false},
		{"not resumable", "/fixed/", firstThen(streamEvents("2", false), streamEvents("4", true)), sseEvent("1") + sseEvent("2"), true},
		{"interrupted twice", "/stream/", streamEvents("2", false), sseEvent("1") + sseEvent("2"), true},
		{"rejected first", "/stream/", firstThen(respondRejected, streamEvents("4", true)), allEvents, false},
		{"event missing", "/stream/", func(conn net.Conn, r *http.Request) {
			respond(conn, r, streamHead+chunk(sseEvent("1"))+chunk(sseEvent("3"))+"0\n\n")
		}, sseEvent("1"), true},
		{"ended within an event", "/fixed/", func(conn net.Conn, r *http.Request) {
			respond(conn, r, streamHead+chunk(sseEvent("1"))+chunk("id: 2\r\nda")+"0\n\n")
		}, sseEvent("1"), true},
		{"no content length, reset", "/fixed/", func(conn net.Conn, r *http.Request) {
			respond(conn, r, "200 OK\nId: $ID\nSeal: s\n\n"+sseEvent("1"))
			resetConn(conn, r)
		}, sseEvent("1"), true},
		{"no content length, closed", "/fixed/", func(conn net.Conn, r *http.Request) {
			respond(conn, r, "200 OK\nId: $ID\nSeal: s\n\n"+strings.ReplaceAll(sseEvent("1"), "\r", ""))
			_ = conn.Close()
		}, sseEvent("1"), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, url := newTestEntry(t, newFakeBackend(t, c.handler), newFakeBackend(t, c.handler))
			response, err := doRequest(t, t.Context(), http.MethodPost, url+c.path, "x")
			if c.broken {
				if response == nil {
					require.Error(t, err)
					return
				}
				require.Error(t, err, "a broken stream must not look complete")
				assert.True(t, strings.HasPrefix(c.want, response.body), "%q", response.body)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, "s", response.header.Get("Seal"))
			assert.Equal(t, c.want, response.body)
		})
	}
}

// TestResumedStreamTakesAnswer guards against callers that find the answer of a second server in the middle of their stream, or
// whose stream ends as complete, though that server answered with something else than the events that follow.
func TestResumedStreamTakesAnswer(t *testing.T) {
	const sealed, bare = "200 OK\nId: $ID\nSeal: s\nContent-Type: text/event-stream\n", "200 OK\nId: $ID\nContent-Type: text/event-stream\n"
	for name, c := range map[string]struct {
		head, body string
		whole      bool
	}{
		"the events that follow": {sealed, sseEvent("3") + sseEvent("4"), true},
		"an error event":         {sealed, "event: error\r\ndata: x\r\n\r\n", false},
		"a head":                 {sealed, "HTTP/1.1 500 Oops\r\nA: b\r\n\r\n", false},
		"HTML":                   {sealed, "<html>\r\n\r\n", false},
		"nothing":                {sealed, "", false},
		"a comment":              {sealed, ": a\r\n\r\n", false},
		"another content type":   {"200 OK\nId: $ID\nSeal: s\nContent-Type: application/json\n", sseEvent("3"), false},
		"no proof":               {bare, sseEvent("3") + sseEvent("4"), false},
		"a failure":              {"500 Oops\nId: $ID\nSeal: s\n", "text", false},
		"no content":             {"204 No Content\nId: $ID\nSeal: s\n", "", false},
		"a part":                 {"206 Partial Content\nId: $ID\nSeal: s\nContent-Type: text/event-stream\n", sseEvent("3"), false},
		"events from the start":  {sealed, sseEvent("1") + sseEvent("2"), false},
	} {
		for _, framed := range []bool{true, false} {
			t.Run(name+map[bool]string{true: ", framed", false: ", ends with the connection"}[framed], func(t *testing.T) {
				second := func(conn net.Conn, r *http.Request) {
					if !framed {
						respond(conn, r, c.head+"\n"+c.body)
						_ = conn.Close()
						return
					}
					text := c.head + "Transfer-Encoding: chunked\n\n"
					if c.body != "" {
						text += chunk(c.body)
					}
					respond(conn, r, text+"0\n\n")
				}
				handler := firstThen(streamEvents("2", false), second)
				_, url := newTestEntry(t, newFakeBackend(t, handler), newFakeBackend(t, handler))
				response, err := doRequest(t, t.Context(), http.MethodPost, url+"/stream/", "x")
				require.NotNil(t, response)
				want := sseEvent("1") + sseEvent("2")
				if c.whole {
					require.NoError(t, err)
					want += c.body
				} else {
					require.Error(t, err, "the stream must not look complete")
				}
				assert.Equal(t, want, response.body)
			})
		}
	}
	t.Run("ids that aren't numbers", func(t *testing.T) {
		first := func(conn net.Conn, r *http.Request) {
			respond(conn, r, streamHead+chunk(sseEvent("a"))+chunk("id: 9\r\nda"))
			resetConn(conn, r)
		}
		handler := firstThen(first, func(conn net.Conn, r *http.Request) { respond(conn, r, streamHead+chunk(sseEvent("b"))+"0\n\n") })
		b, o := newFakeBackend(t, handler), newFakeBackend(t, handler)
		_, url := newTestEntry(t, b, o)
		response, err := doRequest(t, t.Context(), http.MethodPost, url+"/stream/", "x")
		require.Error(t, err)
		assert.Equal(t, sseEvent("a"), response.body)
		assert.Equal(t, 1, b.count()+o.count(), "no other server can go on")
	})
}
