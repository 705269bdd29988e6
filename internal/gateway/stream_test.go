package gateway

import (
	"bufio"
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

func TestReadEvent(t *testing.T) {
	r := bufio.NewReaderSize(strings.NewReader("id: 1\ndata: "+strings.Repeat("x", 100)+"\n\n: comment\n\nid"), 16)
	v, err := readEvent(r)
	require.NoError(t, err)
	assert.Equal(t, "1", v.id)
	v, err = readEvent(r)
	require.NoError(t, err)
	assert.False(t, v.hasID)
	_, err = readEvent(r)
	require.Error(t, err)
}

// TestLongLinesEndEvents guards against a line of as many bytes as the reader's buffer that ends its event, and against bytes within
// a line that are taken for an id.
func TestLongLinesEndEvents(t *testing.T) {
	for _, data := range []string{strings.Repeat("x", 10), strings.Repeat("x", 26), strings.Repeat("x", 10) + "id: 7", strings.Repeat("x", 10) + "id: 7890123456789"} {
		t.Run(data, func(t *testing.T) {
			text := "id: 1\ndata: " + data + "\ndata: y\n\n"
			v, err := readEvent(bufio.NewReaderSize(strings.NewReader(text+"id: 2\n\n"), 16))
			require.NoError(t, err)
			assert.Equal(t, text, string(v.raw))
			assert.Equal(t, "1", v.id)
		})
	}
}

func TestIsNextEvent(t *testing.T) {
	assert.True(t, isNextEvent("", "7"))
	assert.True(t, isNextEvent("7", "8"))
	assert.False(t, isNextEvent("7", "7"))
	assert.False(t, isNextEvent("7", "9"))
	assert.False(t, isNextEvent("a", "a"))
}

func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		r := bufio.NewReaderSize(strings.NewReader(string(content)), 16)
		read := 0
		for {
			v, err := readEvent(r)
			if err != nil {
				return
			}
			read += len(v.raw)
			assert.LessOrEqual(t, read, len(content))
		}
	})
}

// TestUnnumberedEventsReachCallers guards against events without an id that are passed on before the server is known to
// send others as well.
func TestUnnumberedEventsReachCallers(t *testing.T) {
	read := func(text string) (raw, id string, ended bool, err error) {
		v, ended, err := readNumberedEvent(bufio.NewReader(strings.NewReader(text)))
		return string(v.raw), v.id, ended, err
	}
	t.Run("one is read with the next that has an id", func(t *testing.T) {
		raw, id, ended, err := read(": a\n\nid: 3\ndata: x\n\nid: 4\n\n")
		require.NoError(t, err)
		assert.Equal(t, ": a\n\nid: 3\ndata: x\n\n", raw)
		assert.Equal(t, "3", id)
		assert.False(t, ended)
	})
	t.Run("the last ones are read at the end", func(t *testing.T) {
		raw, id, ended, err := read("data: done\n\n")
		require.NoError(t, err)
		assert.Equal(t, "data: done\n\n", raw)
		assert.Empty(t, id)
		assert.True(t, ended)
	})
	t.Run("none are read from a server that sends nothing else", func(t *testing.T) {
		_, _, _, err := read(strings.Repeat(": a\n\n", maxEventSize))
		assert.ErrorContains(t, err, "events without an id")
	})
}
