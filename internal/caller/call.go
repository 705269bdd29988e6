package caller

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"

	"carawaypick/internal/binding"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// Names of the headers that callers send.
const (
	HeaderID         = "Request-Id"
	HeaderTeam       = "Team"
	HeaderPriority   = "Priority"
	HeaderDeadline   = "Deadline"
	HeaderIdempotent = "Idempotent"
	HeaderBinding    = "Binding"
	HeaderSend       = "Send"
	HeaderAttempt    = "Attempt"
	HeaderTrace      = "Traceparent"
)

const (
	maxID           = 128                // longest request id, in bytes
	maxName         = 128                // longest team name, in bytes
	maxPath         = 2048               // longest path, in bytes
	defaultDeadline = 30 * clock.Second  // deadline where the caller gives none
	maxDeadline     = 600 * clock.Second // longest deadline
	prefixBytes     = 256                // bytes of a prompt that choose its home
	defaultTokens   = 64                 // cost of a model call that doesn't say
	bytesPerToken   = 4                  // prompt bytes that cost about one token
)

// Call is one request as its caller sent it, checked.
type Call struct {
	ID         string
	Team       string
	Service    string
	Kind       string // model, plain
	Priority   int32
	Start      clock.Time // when it came in
	Deadline   clock.Time
	Idempotent bool
	Binding    string
	Token      binding.Token // where not idempotent
	Send       uint32        // the caller's own count of sends from 1, 0 where not told
	Method     string
	Path       string
	Body       []byte
	Trace      string
	Content    uint64 // fingerprint of the content
	Prefix     uint64 // hash of the prompt's start
	Tokens     uint32 // expected cost
}

// BadError says which part of a caller's request is wrong.
type BadError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *BadError) Error() string {
	return e.Field + " " + e.Reason
}

func bad(field, reason string) error {
	return errors.WithStack(&BadError{Field: field, Reason: reason})
}

// prompt is the part of a model call's body that decides where it goes.
type prompt struct {
	Prompt string `json:"prompt"`
	Tokens uint32 `json:"tokens"`
}

// parse reads and checks a call; every error is a BadError.
func parse(c *fiber.Ctx, now clock.Time, state *ticket.State) (call *Call, err error) {
	call = &Call{
		ID:      c.Get(HeaderID),
		Team:    c.Get(HeaderTeam),
		Service: c.Params("service"),
		Binding: c.Get(HeaderBinding),
		Method:  c.Method(),
		Path:    "/" + c.Params("*"),
		Body:    bytes.Clone(c.Body()),
		Trace:   c.Get(HeaderTrace),
		Start:   now,
	}
	if query := string(c.Request().URI().QueryString()); query != "" {
		call.Path += "?" + query
	}
	if err := call.checkNames(); err != nil {
		return nil, err
	}
	if err := call.readNumbers(c, now); err != nil {
		return nil, err
	}
	service := state.Objects.Services[call.Service]
	if service == nil {
		return nil, bad("service", "is not known")
	}
	call.Kind = service.Kind
	if err := call.readIdempotent(c.Get(HeaderIdempotent), service.Idempotent); err != nil {
		return nil, err
	}
	limitPriority(call, state.Objects.Teams[call.Team])
	call.weigh()
	return call, nil
}

func (c *Call) checkNames() error {
	switch {
	case c.ID == "" || len(c.ID) > maxID:
		return bad(HeaderID, "must have 1 to "+strconv.Itoa(maxID)+" bytes")
	case c.Team == "" || len(c.Team) > maxName:
		return bad(HeaderTeam, "must have 1 to "+strconv.Itoa(maxName)+" bytes")
	case len(c.Path) > maxPath:
		return bad("path", "is longer than "+strconv.Itoa(maxPath)+" bytes")
	}
	return nil
}

func (c *Call) readNumbers(ctx *fiber.Ctx, now clock.Time) error {
	priority, err := number(ctx.Get(HeaderPriority), 0)
	if err != nil || priority < -100 || priority > 100 {
		return bad(HeaderPriority, "must be a number from -100 to 100")
	}
	span, err := number(ctx.Get(HeaderDeadline), int64(defaultDeadline))
	if err != nil || span < 1 || span > int64(maxDeadline) {
		return bad(HeaderDeadline, "must be ms from 1 to "+strconv.Itoa(int(maxDeadline)))
	}
	send, err := number(ctx.Get(HeaderSend), 0)
	if err != nil || send < 0 || send > 1<<30 {
		return bad(HeaderSend, "must be a count from 1")
	}
	c.Priority = int32(priority)
	c.Deadline = now.Add(clock.Span(span))
	c.Send = uint32(send)
	return nil
}

func number(text string, missing int64) (int64, error) {
	if text == "" {
		return missing, nil
	}
	return strconv.ParseInt(text, 10, 64)
}

// readIdempotent lets a caller make the service's ticket stricter, never laxer.
func (c *Call) readIdempotent(text string, allowed bool) error {
	switch text {
	case "", "true":
		c.Idempotent = allowed
	case "false":
		c.Idempotent = false
	default:
		return bad(HeaderIdempotent, "must be true or false")
	}
	if c.Idempotent {
		return nil
	}
	if c.Binding == "" {
		return bad(HeaderBinding, "is missing: ask /v1/locate for one")
	}
	token, err := binding.Decode(c.Binding)
	if err != nil {
		return bad(HeaderBinding, "is not readable")
	}
	if token.Service != c.Service {
		return bad(HeaderBinding, "is for another service")
	}
	if !token.Covers(c.ID) {
		return bad(HeaderID, "must begin with the binding's key and a dot")
	}
	c.Token = token
	return nil
}

func limitPriority(c *Call, team *ticket.Team) {
	if team != nil {
		c.Priority = min(c.Priority, team.Priority)
	}
}

// weigh derives the fingerprint, the prompt's home and the expected cost.
func (c *Call) weigh() {
	h := xxhash.New()
	_, _ = h.WriteString(c.Service + "\x00" + c.Method + "\x00" + c.Path + "\x00")
	_, _ = h.Write(c.Body)
	c.Content = h.Sum64()
	c.Tokens = 1
	if c.Kind != "model" {
		return
	}
	var p prompt
	if json.Unmarshal(c.Body, &p) != nil {
		p = prompt{Prompt: string(c.Body)}
	}
	if p.Tokens == 0 {
		p.Tokens = defaultTokens
	}
	c.Tokens = uint32(min(uint64(p.Tokens)+uint64(len(p.Prompt)/bytesPerToken), math.MaxUint32))
	c.Prefix = xxhash.Sum64String(p.Prompt[:min(len(p.Prompt), prefixBytes)])
}
