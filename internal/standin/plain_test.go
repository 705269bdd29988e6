package standin

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func startPlain(t *testing.T, change func(*PlainFault)) *Plain {
	t.Helper()
	p, err := NewPlain("")
	require.NoError(t, err)
	t.Cleanup(p.Stop)
	p.SetFault(change)
	return p
}

func callPlain(t *testing.T, p *Plain, id string) (PlainResponse, error) {
	t.Helper()
	var answer PlainResponse
	request, err := http.NewRequest(http.MethodPost, p.URL()+"/corrections", strings.NewReader("body of "+id))
	require.NoError(t, err)
	request.Header.Set("Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(content, &answer))
	assert.Equal(t, answer.ID, response.Header.Get("Request-Id"))
	return answer, nil
}

func TestPlain(t *testing.T) {
	t.Run("responds by path and body, and records each run", func(t *testing.T) {
		p := startPlain(t, func(*PlainFault) {})
		for range 2 {
			answer, err := callPlain(t, p, "a")
			require.NoError(t, err)
			assert.Equal(t, PlainResponse{ID: "a", Result: PlainResult("/corrections", []byte("body of a"))}, answer)
		}
		assert.Equal(t, []RequestRuns{{ID: "a", Count: 2}}, p.Runs().Runs)
	})
	t.Run("connection closed before the run", func(t *testing.T) {
		p := startPlain(t, func(f *PlainFault) { f.CutsBeforeRun = 1 })
		_, err := callPlain(t, p, "a")
		assert.Error(t, err)
		assert.Zero(t, p.RunCount("a"))
	})
	t.Run("connection closed after the run", func(t *testing.T) {
		p := startPlain(t, func(f *PlainFault) { f.CutsAfterRun = 1 })
		_, err := callPlain(t, p, "a")
		assert.Error(t, err)
		assert.Equal(t, 1, p.RunCount("a"))
	})
	t.Run("responds with the previous id", func(t *testing.T) {
		p := startPlain(t, func(*PlainFault) {})
		_, err := callPlain(t, p, "a")
		require.NoError(t, err)
		p.SetFault(func(f *PlainFault) { f.SwapResponses = true })
		answer, err := callPlain(t, p, "b")
		require.NoError(t, err)
		assert.Equal(t, "a", answer.ID)
	})
	t.Run("responds twice on one connection", func(t *testing.T) {
		p := startPlain(t, func(f *PlainFault) { f.DuplicateResponses = true })
		conn, err := net.Dial("tcp", p.Address)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\n\r\n")
		require.NoError(t, err)
		reader := bufio.NewReader(conn)
		for range 2 {
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			content, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.Contains(t, string(content), `"id":"a"`)
			_ = response.Body.Close()
		}
	})
}
