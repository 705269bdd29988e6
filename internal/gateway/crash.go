package gateway

import (
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"carawaypick/internal/balance"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// crashProbeTimeout limits the connection attempt that tells a crash from a broken connection; the request's retry or
// final answer waits for it.
const crashProbeTimeout = 150 * clock.Millisecond

// soundAfter is the time in ms from the first event of an attempt's stream after which the parts of the prompt are proved
// not to crash the backend server: one that they crash ends as it begins to write.
const soundAfter = 500 * clock.Millisecond

// fingerprint identifies the content of a request: its team, path and body. A request that a caller sends again has the
// same fingerprint, whatever its id and the entry that receives it.
func fingerprint(team, uri string, body ...[]byte) uint64 {
	var lengths [16]byte // keep a team and a path apart from others with the same concatenation
	binary.LittleEndian.PutUint64(lengths[:8], uint64(len(team)))
	binary.LittleEndian.PutUint64(lengths[8:], uint64(len(uri)))
	digest := xxhash.New()
	_, _ = digest.Write(lengths[:]) // a Digest never returns an error
	_, _ = digest.WriteString(team)
	_, _ = digest.WriteString(uri)
	for _, piece := range body {
		_, _ = digest.Write(piece)
	}
	return digest.Sum64()
}

// formatFingerprint returns the form of a fingerprint in log lines.
func formatFingerprint(content uint64) string {
	return strconv.FormatUint(content, 16)
}

// formatFingerprints returns the form of several fingerprints in log lines.
func formatFingerprints(contents []uint64) string {
	var texts []string
	for _, content := range contents {
		texts = append(texts, formatFingerprint(content))
	}
	return strings.Join(texts, " ")
}

// rejectQuarantined returns the rejection of a request whose content crashed backend servers, or nil.
func (e *Entry) rejectQuarantined(c *call) *rejection {
	if remaining, crashes := e.suspects.quarantined(c.content); len(crashes) > 0 {
		return &rejection{status: http.StatusServiceUnavailable, reason: "it crashed backend servers", retryAfter: remaining, crashes: crashes}
	}
	if remaining, crashes := e.suspects.quarantinedPart(c.SharedParts); len(crashes) > 0 {
		return &rejection{status: http.StatusServiceUnavailable, reason: "a part of its prompt crashed backend servers", retryAfter: remaining, crashes: crashes}
	}
	return nil
}

// partsInFlight returns the shared parts of the request's prompt as suspects of a crash during the exchange; none if the
// backend server had been writing on them.
func (c *call) partsInFlight(x *exchange, cold bool) (parts []balance.Part) {
	if x.partsSound {
		return nil
	}
	for depth, id := range c.SharedParts {
		parts = append(parts, balance.Part{ID: id, Depth: depth, Unlikely: depth == 0 || cold})
	}
	return parts
}

// recordEvidence records the attempt's result for or against the content of the request, tells the other entries of a
// crash at once, and reports whether the backend server crashed.
func (e *Entry) recordEvidence(c *call, s *routing.Server, x *exchange) (crashed bool) {
	if x.outcome == outcomeAnswered && x.response.StatusCode < http.StatusMultipleChoices && isFramed(x.response) {
		e.suspects.addCompleted(c.content)
		e.suspects.addCompletedParts(c.SharedParts)
		return false
	}
	if !e.serverCrashed(c, s, x) {
		return false
	}
	e.metrics.Crashes.Get("refused").Inc()
	id := crashID(s)
	cold := e.clock.Now() < s.ColdUntil
	parts := c.partsInFlight(x, cold)
	e.suspects.addCrash(id, c.content, x.progressed || cold, parts)
	e.logCrash(crashReport{ID: id, Contents: []uint64{c.content}, Parts: parts}, "attempt "+c.ID)
	e.peers.Notify()
	return true
}

// crashID returns the id of the crash that ends the process of s.
func crashID(s *routing.Server) string {
	return s.ID + "/" + strconv.FormatInt(s.StartedAt, 10)
}

// isFramed reports whether the end of the response's body is marked, so that a broken connection can't pass for it.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// logCrash logs news of a crash; source tells where they come from.
func (e *Entry) logCrash(r crashReport, source string) {
	e.limitedLogger.Log("crash", "msg", "backend server crashed", "crash", r.ID, "contents", formatFingerprints(r.Contents), "parts", formatFingerprints(partIDs(r.Parts)), "age", r.Age, "source", source)
}

func partIDs(parts []balance.Part) (ids []uint64) {
	for _, p := range parts {
		ids = append(ids, p.ID)
	}
	return ids
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
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout.Duration())
	defer cancel()
	conn, err := e.conns.dial(ctx, s.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	e.conns.put(s.ID, conn, 0, e.maxIdleConns(s, c.service))
	return false
}

// endedWithServer reports whether the process of s ended as it closed the connection at the end of its answer.
func (e *Entry) endedWithServer(c *call, s *routing.Server, x *exchange) bool {
	closed := *x
	closed.outcome, closed.err = outcomeUnknown, io.EOF
	return e.serverCrashed(c, s, &closed)
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
