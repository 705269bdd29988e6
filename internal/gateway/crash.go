package gateway

import (
	"context"
	"encoding/binary"
	"io"
	"strconv"
	"syscall"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"carawaypick/internal/routing"
)

// fingerprint identifies the content of a request: its team, path and body. A request that a caller sends again has the
// same fingerprint, whatever its id and the entry that receives it.
func fingerprint(team, uri string, body []byte) uint64 {
	var lengths [16]byte // keep a team and a path apart from others with the same concatenation
	binary.LittleEndian.PutUint64(lengths[:8], uint64(len(team)))
	binary.LittleEndian.PutUint64(lengths[8:], uint64(len(uri)))
	digest := xxhash.New()
	_, _ = digest.Write(lengths[:]) // a Digest never returns an error
	_, _ = digest.WriteString(team)
	_, _ = digest.WriteString(uri)
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// formatFingerprint returns the form of a fingerprint in log lines.
func formatFingerprint(content uint64) string {
	return strconv.FormatUint(content, 16)
}

// serverCrashed reports whether the process of s ended during the exchange: it closed the connection, its address refuses
// a new one, and it had not announced its shutdown. A reset connection, a network partition or a paused instance is no
// crash.
func (e *Entry) serverCrashed(c *call, s *routing.Server, x *exchange) bool {
	if x.outcome != outcomeUnknown || !closedByPeer(x.err) {
		return false
	}
	current := e.state.View().Servers[s.ID]
	if current == nil || current.Draining || current.ExpiresAt != 0 {
		return false
	}
	conn, err := e.conns.dial(context.Background(), s.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	e.conns.put(s.ID, conn, 0, e.maxIdleConns(c.service))
	return false
}

// closedByPeer reports whether err is the end or the reset of a connection by its other end.
func closedByPeer(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
