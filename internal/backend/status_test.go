package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestAnswerWithStatus000 guards against an engine's answer with the status 000 that is passed on as 200, as the library reads it.
func TestAnswerWithStatus000(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			served <- err
			return
		}
		if _, err = http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, err = io.WriteString(conn, "HTTP/1.1 000 OK\r\nRequest-Id: a\r\nContent-Length: 3\r\n\r\nran")
		}
		served <- err
		_ = conn.Close()
	}()
	protocol, err := NewPlain("http://" + listener.Addr().String())
	require.NoError(t, err)
	_, err = protocol.Run(t.Context(), Task{ID: "a", Method: http.MethodGet, Path: "/", MaxBytes: 1000}, func(Event) error {
		t.Error("the caller gets an answer")
		return nil
	})
	assert.ErrorIs(t, err, ErrTruncated)
	assert.NoError(t, <-served)
	assert.NoError(t, listener.Close())
}
