package gateway

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/memory"
	"carawaypick/pkg/clock"
)

const (
	firstPiece     = 4 << 10      // bytes of the first piece of a body without a length
	bodyPiece      = 64 << 10     // bytes of a piece of a large body
	maxDiscarded   = 64 << 20     // bytes of the rest of a rejected body that are read, so that its caller sees the rejection
	activeCost     = 32 << 10     // bytes that a request takes beside head and body: what is received behind it and not read
	roomRetryAfter = clock.Second // mean Retry-After of a request for which there is no memory
	writeGrace     = clock.Second // beyond a request's deadline, for its caller to read the answer
)

// bodyPieces is the body of a request or an answer, in pieces that are kept as they were received.
type bodyPieces [][]byte

func (b bodyPieces) size() (n int) {
	for _, piece := range b {
		n += len(piece)
	}
	return n
}

// reader returns a reader of the body; each attempt needs its own.
func (b bodyPieces) reader() io.Reader {
	if len(b) == 1 {
		return bytes.NewReader(b[0])
	}
	return &pieceReader{pieces: b}
}

// pieceReader reads pieces one after the other. Unlike io.MultiReader it allocates no buffer of its own for each copy.
type pieceReader struct {
	pieces bodyPieces // that are not read yet
	offset int        // in the first of them
}

// Read implements io.Reader.
func (r *pieceReader) Read(p []byte) (n int, err error) {
	if len(r.pieces) == 0 {
		return 0, io.EOF
	}
	n = copy(p, r.pieces[0][r.offset:])
	if r.offset += n; r.offset == len(r.pieces[0]) {
		r.pieces, r.offset = r.pieces[1:], 0
	}
	return n, nil
}

// receive validates the request and reads its body, as far as there is memory for it.
func (e *Entry) receive(w http.ResponseWriter, c *call) *rejection {
	control := http.NewResponseController(w)
	if err := c.begin(control); err != nil {
		c.unread = c.request.ContentLength != 0
		return rejectionOfMemory()
	}
	maxBody, rej := e.validate(c)
	if rej != nil {
		return rej
	}
	_ = control.SetWriteDeadline(clock.Deadline(c.timeout() + writeGrace)) // not supported in tests without a connection
	if rej := e.receiveBody(c, control, int64(maxBody)); rej != nil {
		return rej
	}
	c.content = fingerprint(c.team.Name, c.request.RequestURI, c.body...)
	return e.rejectQuarantined(c)
}

// begin takes what any request takes, and bounds the time for its body. A request without a body is whole.
func (c *call) begin(control *http.ResponseController) error {
	hasBody := c.request.ContentLength != 0
	// Fails only in tests without a connection.
	_ = control.SetWriteDeadline(clock.Deadline(maxTimeout))
	if hasBody {
		_ = control.SetReadDeadline(clock.Deadline(c.timeout()))
	}
	if c.conn == nil {
		return nil
	}
	c.conn.HeadRead()
	if err := c.conn.Holder().Take(activeCost); err != nil {
		return err
	}
	if !hasBody && !c.conn.Holder().Pin() {
		return memory.ErrFull
	}
	return nil
}

// receiveBody reads the body of the request, until its deadline at the latest.
func (e *Entry) receiveBody(c *call, control *http.ResponseController, limit int64) (rej *rejection) {
	if c.request.ContentLength == 0 {
		return nil
	}
	if c.conn != nil {
		c.conn.Holder().SetTeam(c.team.Name)
	}
	_ = control.SetReadDeadline(clock.Deadline(max(c.deadline.Sub(e.clock.Now()), 1)))
	body, err := readPieces(c.request.Body, c.request.ContentLength, limit, c.take)
	if err == nil && c.conn != nil && !c.conn.Holder().Pin() {
		err = memory.ErrFull
	}
	if err == nil {
		_ = control.SetReadDeadline(time.Time{}) // the server waits for the caller to leave
		c.body = body
		return nil
	}
	c.unread = true
	c.lastFailure = err.Error()
	switch {
	case errors.Is(err, errBodyTooLarge):
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	case errors.Is(err, memory.ErrFull) || (c.conn != nil && c.conn.Holder().Evicted()):
		return rejectionOfMemory()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &rejection{status: http.StatusRequestTimeout, reason: "the body did not come in time"}
	}
	return &rejection{status: http.StatusBadRequest, reason: "the body can't be read"}
}

// take takes memory for the request.
func (c *call) take(n int64) error {
	if c.conn == nil {
		return nil
	}
	return c.conn.Holder().Take(n)
}

// rejectionOfMemory returns the rejection of a request that was not received whole, as there is no memory for it.
func rejectionOfMemory() *rejection {
	spread := clock.Span(rand.Int64N(int64(roomRetryAfter)))
	return &rejection{status: http.StatusServiceUnavailable, reason: "no memory for the request", retryAfter: roomRetryAfter/2 + spread}
}

var errBodyTooLarge = errors.New("body exceeds the limit")

// readPieces reads a body of so many bytes, -1 if its length is not known, of at most limit bytes; 0 is no limit. A body with a
// length takes its memory before any of it is read, so that one for which there is no room is rejected at once.
func readPieces(from io.Reader, length, limit int64, take func(int64) error) (body bodyPieces, err error) {
	if limit > 0 && length > limit {
		return nil, errBodyTooLarge
	}
	if length >= 0 {
		if err := take(length); err != nil {
			return nil, err
		}
	}
	for received := int64(0); received != length; {
		piece := make([]byte, nextPiece(received, length))
		if length < 0 {
			if err := take(int64(len(piece))); err != nil {
				return nil, err
			}
		}
		n, err := fill(piece, from)
		received += int64(n)
		if n > 0 {
			body = append(body, piece[:n])
		}
		switch {
		case limit > 0 && received > limit:
			return nil, errBodyTooLarge
		case errors.Is(err, io.EOF) && length < 0:
			return body, nil
		case err != nil && received != length:
			return nil, err
		}
	}
	return body, nil
}

// nextPiece returns the size of the next piece of a body of so many bytes, -1 if its length is not known.
func nextPiece(received, length int64) int64 {
	switch {
	case length >= 0:
		return min(length-received, bodyPiece)
	case received == 0:
		return firstPiece
	}
	return bodyPiece
}

// fill reads until the piece is full, and returns the error of the last read.
func fill(piece []byte, from io.Reader) (n int, err error) {
	for n < len(piece) && err == nil {
		read := 0
		read, err = from.Read(piece[n:])
		n += read
	}
	return n, err
}

// endUnread gives back the memory of a rejected request of which more may come, lets its caller read the answer, and ends the
// connection for writing.
func (e *Entry) endUnread(w http.ResponseWriter, c *call) {
	if !c.unread || c.conn == nil {
		return
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return // the caller has left
	}
	c.conn.Holder().EndRequest()
	rest := c.request.ContentLength
	if rest < 0 {
		rest = maxDiscarded
	}
	c.conn.Linger(min(rest, maxDiscarded))
}
