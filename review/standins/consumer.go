package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// consumer sends requests one after the other on a kept connection to one entry.
type consumer struct {
	in      *installation
	entry   *entry
	conn    net.Conn
	reader  *bufio.Reader
	limiter *pacer // of what it sends; nil for none
}

// result is the answer to a request as the consumer saw it.
type result struct {
	id       string
	status   int   // 0 for none
	err      error // why the answer is not whole
	sealed   bool
	body     []byte
	began    time.Time
	ended    time.Time
	sent     bool // the whole request was sent
	keptConn bool // an earlier request was answered on the connection
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// do sends a request and reads its answer; the connection is kept unless either fails.
func (c *consumer) do(method, path string, body []byte, timeLimit time.Duration, headers ...string) (r result) {
	r = result{id: newID(), began: time.Now(), keptConn: c.conn != nil}
	defer func() {
		r.ended = time.Now()
		if r.err != nil && c.conn != nil {
			_ = c.conn.Close()
			c.conn = nil
		}
	}()
	if c.conn == nil {
		conn, err := dialer.Dial("tcp4", c.entry.ip+":8227")
		if err != nil {
			r.err = err
			return r
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(r.began.Add(timeLimit)) // fails on a closed connection only
	lines := append([]string{
		method + " " + path + " HTTP/1.1", "Host: " + host, "X-Carawaypick-Attempt-Id: " + r.id,
		fmt.Sprintf("X-Carawaypick-Deadline-Ms: %d", timeLimit.Milliseconds()), "Authorization: Token " + apiKey,
		fmt.Sprintf("Content-Length: %d", len(body)),
	}, headers...)
	if _, r.err = io.WriteString(c.conn, strings.Join(lines, "\r\n")+"\r\n\r\n"); r.err != nil {
		return r
	}
	for rest := body; len(rest) > 0; {
		n := min(len(rest), 32<<10)
		c.limiter.wait(n)
		if _, r.err = c.conn.Write(rest[:n]); r.err != nil {
			return r
		}
		rest = rest[n:]
	}
	r.sent = true
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.sealed = response.StatusCode, response.Header.Get("X-Carawaypick-Response-Seal") != ""
	r.body, r.err = io.ReadAll(response.Body)
	if r.err == nil && response.Close {
		_ = c.conn.Close() // the answer is whole
		c.conn = nil
	}
	return r
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close() // nothing is left to lose
		c.conn = nil
	}
}

// pacer limits the bytes a second that reach a machine, as its link does.
type pacer struct {
	bytesPerSecond float64

	mu   sync.Mutex
	next time.Time
}

func (p *pacer) wait(n int) {
	if p == nil {
		return
	}
	p.mu.Lock()
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	at := p.next
	p.next = p.next.Add(time.Duration(float64(n) / p.bytesPerSecond * float64(time.Second)))
	p.mu.Unlock()
	time.Sleep(time.Until(at))
}
