package direct

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/balance"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// plain answers a request whose answer is one body: it is passed on only once it is whole.
func (e *Entry) plain(ctx context.Context, w http.ResponseWriter, c *call) {
	for {
		s, no := e.next(c)
		if no != nil {
			e.refuse(w, c, *no)
			return
		}
		x, content := e.whole(ctx, c, s)
		if x.fate == fateAnswered && !e.worthRepeating(c, x.response.StatusCode) {
			e.pass(w, c, x.response, content)
			return
		}
		if ctx.Err() != nil && c.request.Context().Err() != nil {
			e.log(c, "left")
			return
		}
		if e.again(c, x.fate) {
			e.metrics.Retries.Get(x.reason).Inc()
			continue
		}
		if x.fate == fateAnswered {
			e.pass(w, c, x.response, content)
			return
		}
		e.giveUp(w, c, x)
		return
	}
}

// giveUp gives the final answer after the last attempt.
func (e *Entry) giveUp(w http.ResponseWriter, c *call, x exchange) {
	if x.fate == fateNotRun {
		e.refuse(w, c, refusal{http.StatusServiceUnavailable, "the backend server did not run it", emptyAfter / 4})
		return
	}
	if e.clock.Now() >= c.deadline {
		e.refuse(w, c, refusal{http.StatusGatewayTimeout, "no answer in time", 0})
		return
	}
	e.refuse(w, c, refusal{http.StatusBadGateway, "the backend server's answer was lost", 0})
}

// worthRepeating tells whether a failure of the backend server may not be the request's last answer.
func (e *Entry) worthRepeating(c *call, status int) bool {
	return status >= http.StatusInternalServerError && c.route.Kind == routing.Safe
}

// patience returns the moment up to which one attempt may take: an idempotent request keeps time for another.
func (e *Entry) patience(c *call) clock.Time {
	if c.route.Kind != routing.Safe || c.attempts >= c.route.Attempts {
		return c.deadline
	}
	left := c.deadline.Sub(e.clock.Now())
	return min(c.deadline, e.clock.Now().Add(max(left/2, 2*c.route.Aim)))
}

// whole makes one attempt and reads the answer to its end.
func (e *Entry) whole(ctx context.Context, c *call, s *routing.Server) (x exchange, content []byte) {
	c.attempts++ // the patience of the last attempt is the whole time
	moment := e.patience(c)
	c.attempts--
	ctx, cancel := until(ctx, e.clock, moment)
	defer cancel()
	x = e.attempt(ctx, c, s, "")
	if x.fate != fateAnswered {
		e.ended(c, s, &x)
		return x, nil
	}
	content, err := io.ReadAll(io.LimitReader(x.response.Body, maxAnswer+1))
	if err == nil && len(content) > maxAnswer {
		err = errors.Newf("answer of more than %d bytes", maxAnswer)
	}
	if err == nil && !x.answer.valid(c.ID, x.response.StatusCode) {
		err = errors.Newf("status %d without proof", x.response.StatusCode)
	}
	if err != nil {
		x.fate, x.err, x.reason = fateUnknown, err, "partial"
		c.unproven, c.last = true, x.reason
	}
	e.ended(c, s, &x)
	return x, content
}

// valid tells whether an answer may be passed on to the caller of the request with the id.
func (a Answer) valid(id string, status int) bool {
	if status < http.StatusMultipleChoices {
		return a.Sealed && a.ID == id && !a.Encoded
	}
	return a.ID == id
}

// ended notes the end of an attempt whose body, if any, was read.
func (e *Entry) ended(c *call, s *routing.Server, x *exchange) {
	verdict := balance.Bad
	switch {
	case x.fate == fateAnswered && x.response.StatusCode < http.StatusInternalServerError:
		verdict = balance.Good
	case x.reason == "dial":
		verdict = balance.Unreachable
	case x.fate == fateNotRun || x.reason == "left":
		verdict = balance.Neutral
	}
	if x.conn != nil {
		clean := x.fate == fateAnswered
		if x.fate == fateNotRun && x.response != nil {
			clean = discard(x.response) == nil
		}
		e.done(c, s, x, clean)
	}
	e.board.End(s.ID, verdict)
	e.learn(s, x)
	e.dispatch()
	if x.fate != fateAnswered {
		e.journal.Log("attempt", "msg", "attempt failed", "id", c.ID, "server", s.ID, "address", s.Address, "reason", x.reason,
			"error", x.err, "attempt", c.attempts, "notrun", x.fate == fateNotRun, "took", e.clock.Since(c.start))
	}
}

// learn takes in what the end of an attempt tells of the backend server's standing.
func (e *Entry) learn(s *routing.Server, x *exchange) {
	if x.fate == fateNotRun && x.answer.Moved {
		e.belief.Disown(s, x.answer.Server)
		return
	}
	if s.Group == "" {
		return
	}
	switch {
	case x.fate == fateNotRun && x.response != nil:
		e.board.Close(s.Service + "/" + s.Group)
	case x.fate == fateAnswered:
		e.board.Open(s.Service + "/" + s.Group)
	}
}

// pass hands the backend server's whole answer on.
func (e *Entry) pass(w http.ResponseWriter, c *call, response *http.Response, content []byte) {
	copyHeader(w.Header(), response.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(response.StatusCode)
	if _, err := w.Write(content); err != nil {
		e.log(c, "left", "error", err)
		return
	}
	outcome := "whole"
	if response.StatusCode >= http.StatusBadRequest {
		outcome = "failed"
	}
	e.log(c, outcome, "status", response.StatusCode)
}

func copyHeader(to, from http.Header) {
	for name, values := range endToEnd(from) {
		to[name] = values
	}
}
