package gateway

import (
	"bufio"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestReadEvent(t *testing.T) {
	r := bufio.NewReaderSize(strings.NewReader("id: 1\ndata: "+strings.Repeat("x", 100)+"\n\n: comment\n\nid"), 16)
	v, err := readEvent(r, nil)
	require.NoError(t, err)
	assert.Equal(t, "1", v.id)
	v, err = readEvent(r, nil)
	require.NoError(t, err)
	assert.False(t, v.hasID)
	_, err = readEvent(r, nil)
	require.Error(t, err)
}

// TestLongLinesEndEvents guards against a line of as many bytes as the reader's buffer that ends its event, and against bytes within
// a line that are taken for an id.
func TestLongLinesEndEvents(t *testing.T) {
	for _, data := range []string{strings.Repeat("x", 10), strings.Repeat("x", 26), strings.Repeat("x", 10) + "id: 7", strings.Repeat("x", 10) + "id: 7890123456789"} {
		t.Run(data, func(t *testing.T) {
			text := "id: 1\ndata: " + data + "\ndata: y\n\n"
			v, err := readEvent(bufio.NewReaderSize(strings.NewReader(text+"id: 2\n\n"), 16), nil)
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
			v, err := readEvent(r, nil)
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
		v, ended, err := (&eventSequence{reader: bufio.NewReader(strings.NewReader(text))}).next()
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

// readSequence returns what of a body belongs to the caller's stream, and the error at which it ends; nil if it may end there.
func readSequence(last string, continues bool, body string) (raw string, err error) {
	s := eventSequence{reader: bufio.NewReaderSize(strings.NewReader(body), 16), last: last, continues: continues}
	for {
		v, ended, err := s.next()
		if err != nil {
			return raw, err
		}
		raw += string(v.raw)
		if ended {
			return raw, nil
		}
	}
}

// TestContinuedStreamTakesErrors guards against the answer of a second server, which may be an error, within a stream that
// another one began, and against such a stream that ends as complete.
func TestContinuedStreamTakesErrors(t *testing.T) {
	const eleven, twelve = "id: 11\ndata: x\n\n", "id: 12\ndata: x\n\n"
	for name, c := range map[string]struct {
		body, want string // want is what the caller gets
		whole      bool
	}{
		"goes on":                            {eleven + twelve, eleven + twelve, true},
		"comments and line ends":             {": a\r\n\r\nid: 11\r\ndata\r\n\r\n: b\n\n" + twelve, "id: 11\r\ndata\r\n\r\n: b\n\n" + twelve, true},
		"version at its first line":          {"x-carawaypick-weight-versions: 3\n" + eleven, "x-carawaypick-weight-versions: 3\n" + eleven, true},
		"last event without an id":           {eleven + "data: [DONE]\n\n", eleven + "data: [DONE]\n\n", true},
		"nothing":                            {"", "", false},
		"an empty line":                      {"\n", "", false},
		"comments only":                      {": a\n\n", "", false},
		"error event":                        {"event: error\ndata: {}\n\n", "", false},
		"error event before the next one":    {"event: error\ndata: {}\n\n" + eleven, "", false},
		"error event after the next one":     {eleven + "event: error\ndata: {}\n\n", eleven, false},
		"error event between two":            {eleven + "event: error\ndata: {}\n\n" + twelve, eleven, false},
		"data without an id":                 {"data: {}\n\n", "", false},
		"a head":                             {"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", "", false},
		"a head after the next one":          {eleven + "HTTP/1.1 500 Internal Server Error\r\n\r\n", eleven, false},
		"a head in an event":                 {"HTTP/1.1 200 OK\n" + eleven, "", false},
		"HTML":                               {"<html><body>Bad Gateway</body></html>\n\n", "", false},
		"text":                               {"upstream connect error\n\n", "", false},
		"one word":                           {"oops\n\n", "", false},
		"one word after the next one":        {eleven + "oops\n\n", eleven, false},
		"JSON":                               {`{"error":"x"}` + "\n\n", "", false},
		"ids from the start":                 {"id: 1\ndata: x\n\n", "", false},
		"the last event again":               {"id: 10\ndata: x\n\n", "", false},
		"an event left out":                  {twelve, "", false},
		"an empty id":                        {"id:\ndata: x\n\n", "", false},
		"an end within an event":             {eleven + "id: 12\nda", eleven, false},
		"an end within an event without one": {eleven + "da", eleven, false},
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := readSequence("10", true, c.body)
			assert.Equal(t, c.want, raw)
			assert.Equal(t, c.whole, err == nil, "%v", err)
		})
	}
}

// TestFirstAttemptIsPassedOnWhole checks that the whole body of one server is passed on, whatever has no id in it.
func TestFirstAttemptIsPassedOnWhole(t *testing.T) {
	for name, body := range map[string]string{
		"nothing": "", "without ids": "data: x\n\n", "error event at the end": "id: 1\n\nevent: error\ndata: {}\n\n",
		"other lines": "HTTP/1.1 500\n\nid: 1\nOther: x\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := readSequence("", false, body)
			require.NoError(t, err)
			assert.Equal(t, body, raw)
		})
	}
	t.Run("but not an end within an event", func(t *testing.T) {
		_, err := readSequence("", false, "id: 1\n\nid: 2")
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
}
