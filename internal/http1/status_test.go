package http1

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// textConn is a connection on which the text is received.
type textConn struct {
	net.Conn
	io.Reader
}

func (c textConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

func TestCheckStatus(t *testing.T) {
	for _, status := range []int{100, 102, 103, 200, 204, 304, 404, 421, 503, 599} {
		assert.NoError(t, CheckStatus(status), status)
	}
	for _, status := range []int{-1, 0, 1, 99, 101, 600, 999} {
		assert.Error(t, CheckStatus(status), status)
	}
}

func TestConn(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nA: HTTP/1.1 000\r\n\r\n"
	cases := []struct {
		name, text string
		valid      bool
	}{
		{"final", "HTTP/1.1 200 OK\r\n\r\n", true},
		{"no reason", "HTTP/1.1 204\r\n\r\n", true},
		{"body that looks like an answer", "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 x\r\n\r\n", true},
		{"after an interim answer", interim + "HTTP/1.1 200 OK\r\n\r\n", true},
		{"not a number", "HTTP/1.1 abc x\r\n\r\n", true},
		{"000", "HTTP/1.1 000 OK\r\n\r\n", false},
		{"000 without a reason", "HTTP/1.1 000\r\n\r\n", false},
		{"099", "HTTP/1.1 099 OK\r\n\r\n", false},
		{"600", "HTTP/1.1 600 OK\r\n\r\n", false},
		{"101", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
		{"000 after an interim answer", interim + "HTTP/1.1 000 OK\r\n\r\n", false},
		{"000 after empty lines", "\r\n\r\nHTTP/1.1  000 OK\r\n\r\n", false},
	}
	for _, c := range cases {
		for _, pieces := range []int{1, 1000} {
			t.Run(c.name, func(t *testing.T) {
				read, err := io.ReadAll(pieceReader{&Conn{Conn: textConn{Reader: strings.NewReader(c.text)}}, pieces})
				assert.Equal(t, c.valid, err == nil, err)
				assert.Equal(t, c.valid, string(read) == c.text)
			})
		}
	}
}

// pieceReader reads at most so many bytes at once.
type pieceReader struct {
	reader io.Reader
	size   int
}

func (r pieceReader) Read(p []byte) (int, error) { return r.reader.Read(p[:min(len(p), r.size)]) }
