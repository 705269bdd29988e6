package direct

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

func eventOf(id string) string {
	return "id: " + id + "\r\ndata: x\r\n\r\n"
}

// streams sends the events from the one after the caller's last, and ends whole or in the middle of an event.
func streams(upTo string, whole bool) script {
	return func(conn net.Conn, r *http.Request) {
		text := streamHead
		for _, id := range []string{"1", "2", "3", "4"} {
			if id > r.Header.Get("Last") && id <= upTo {
				text += chunk(eventOf(id))
			}
		}
		if whole {
			say(conn, r, text+"0\n\n")
			return
		}
		say(conn, r, text+chunk("id: 9\r\nda"))
		reset(conn, r)
	}
}

func TestStream(t *testing.T) {
	four := eventOf("1") + eventOf("2") + eventOf("3") + eventOf("4")
	cases := []struct {
		name, path string
		script     script
		want       string
		broken     bool
	}{
		{"whole", "/stream/", streams("4", true), four, false},
		{"resumed after the last whole event", "/stream/", once(streams("2", false), streams("4", true)), four, false},
		{"not resumable", "/fixed/", once(streams("2", false), streams("4", true)), eventOf("1") + eventOf("2"), true},
		{"cut twice", "/stream/", streams("2", false), eventOf("1") + eventOf("2"), true},
		{"rejected first", "/stream/", once(rejects, streams("4", true)), four, false},
		{"an event missing", "/stream/", func(conn net.Conn, r *http.Request) {
			say(conn, r, streamHead+chunk(eventOf("1"))+chunk(eventOf("3"))+"0\n\n")
		}, eventOf("1"), true},
		{"ended inside an event", "/fixed/", func(conn net.Conn, r *http.Request) {
			say(conn, r, streamHead+chunk(eventOf("1"))+chunk("id: 2\r\nda")+"0\n\n")
		}, eventOf("1"), true},
		{"without a length, reset", "/fixed/", func(conn net.Conn, r *http.Request) {
			say(conn, r, "200 OK\nId: $ID\nSeal: s\n\n"+eventOf("1"))
			reset(conn, r)
		}, eventOf("1"), true},
		{"without a length, closed", "/fixed/", func(conn net.Conn, r *http.Request) {
			say(conn, r, "200 OK\nId: $ID\nSeal: s\n\n"+strings.ReplaceAll(eventOf("1"), "\r", ""))
			_ = conn.Close()
		}, eventOf("1"), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, url := newTestEntry(t, newBackend(t, c.script), newBackend(t, c.script))
			response, err := ask(t, t.Context(), http.MethodPost, url+c.path, "x")
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
	assert.False(t, v.known)
	_, err = readEvent(r)
	require.Error(t, err)
}

func TestFollows(t *testing.T) {
	assert.True(t, follows("", "7"))
	assert.True(t, follows("7", "8"))
	assert.False(t, follows("7", "7"))
	assert.False(t, follows("7", "9"))
	assert.False(t, follows("a", "a"))
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
