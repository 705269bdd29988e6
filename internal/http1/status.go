package http1

import (
	"bytes"
	"net"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// firstInvalid is the first number above the statuses of the protocol (RFC 9110, section 15).
const firstInvalid = 600

// maxStatusLine is the number of bytes of a status line that are kept, enough for the version and the status.
const maxStatusLine = 32

// CheckStatus returns an error for a status that no answer has: one that is not of the protocol, or that switches to another protocol,
// which nobody asks for. An interim answer has a valid status.
func CheckStatus(status int) error {
	if status < http.StatusContinue || status >= firstInvalid || status == http.StatusSwitchingProtocols {
		return errors.Newf("answer has the status %03d", status)
	}
	return nil
}

// IsInterim reports whether another answer follows one with the status.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK
}

// Conn is a connection that carries the answer to one request; reading fails if the answer has an invalid status. Package fasthttp takes
// the status 000 for 200. It implements net.Conn.
type Conn struct {
	net.Conn
	line    []byte // of the status line, or of a header line of an interim answer
	interim bool   // the head of an interim answer is read
	checked bool   // the status of the final answer is valid
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	for _, b := range p[:n] {
		if c.checked {
			break
		}
		if invalid := c.add(b); invalid != nil {
			return 0, invalid
		}
	}
	return n, err
}

// add adds a byte of a head, and checks the status at the end of its first line.
func (c *Conn) add(b byte) error {
	if b != '\n' {
		if len(c.line) < maxStatusLine {
			c.line = append(c.line, b)
		}
		return nil
	}
	line := bytes.TrimSpace(c.line)
	c.line = c.line[:0]
	if len(line) == 0 {
		c.interim = false // empty lines may also precede a status line
		return nil
	}
	if c.interim {
		return nil
	}
	_, rest, _ := bytes.Cut(line, []byte(" "))
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, err := strconv.Atoi(string(text))
	if err != nil {
		c.checked = true // the library rejects what is no number
		return nil
	}
	if err := CheckStatus(status); err != nil {
		return err
	}
	c.interim = IsInterim(status)
	c.checked = !c.interim
	return nil
}
