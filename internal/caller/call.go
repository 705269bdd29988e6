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

// HTTP headers of requests and answers.
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
	maxIDBytes      = 128                // maximum length of the request identifier
	maxTeamBytes    = 128                // maximum length of the team name
	maxPathBytes    = 2048               // maximum length of the path and query
	defaultDeadline = 30 * clock.Second  // time from arrival to the deadline of a call that states none
	maxDeadline     = 600 * clock.Second // largest accepted deadline
	prefixBytes     = 256                // length of the start of a prompt that is hashed for cache affinity
	defaultTokens   = 64                 // expected output tokens of a model call that states no number
	bytesPerToken   = 4                  // average prompt bytes per token
)

// Call is one validated request of a caller.
type Call struct {
	ID          string
	Team        string
	Service     string
	Kind        string // "model" or "plain"
	Priority    int32
	ReceivedAt  clock.Time // time of arrival
	Deadline    clock.Time
	Idempotent  bool
	Binding     string
	Token       binding.Token // decoded Binding; zero for an idempotent call
	Send        uint32        // number of this send, which the caller counts from 1; 0 if not given
	Method      string
	Path        string
	Body        []byte
	Trace       string
	Fingerprint uint64 // hash of service, method, path and body
	PrefixHash  uint64 // hash of the prompt's first prefixBytes bytes
	Tokens      uint32 // expected cost in tokens
}

// BadRequestError names the invalid part of a caller's request.
type BadRequestError struct {
	Field  string
	Reason string
}

// Error returns the field followed by the reason.
func (e *BadRequestError) Error() string {
	return e.Field + " " + e.Reason
}

func badRequest(field, reason string) error {
	return errors.WithStack(&BadRequestError{Field: field, Reason: reason})
}

// promptBody is the part of a model call's body that its routing depends on.
type promptBody struct {
	Prompt string `json:"prompt"`
	Tokens uint32 `json:"tokens"`
}

// parse reads and validates a call; every error is a BadRequestError.
func parse(c *fiber.Ctx, now clock.Time, state *ticket.State) (call *Call, err error) {
	call = &Call{
		ID:         c.Get(HeaderID),
		Team:       c.Get(HeaderTeam),
		Service:    c.Params("service"),
		Binding:    c.Get(HeaderBinding),
		Method:     c.Method(),
		Path:       "/" + c.Params("*"),
		Body:       bytes.Clone(c.Body()),
		Trace:      c.Get(HeaderTrace),
		ReceivedAt: now,
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
		return nil, badRequest("service", "is not known")
	}
	call.Kind = service.Kind
	if err := call.readIdempotent(c.Get(HeaderIdempotent), service.Idempotent); err != nil {
		return nil, err
	}
	limitPriority(call, state.Objects.Teams[call.Team])
	call.deriveRouting()
	return call, nil
}

func (c *Call) checkNames() error {
	switch {
	case c.ID == "" || len(c.ID) > maxIDBytes:
		return badRequest(HeaderID, "must have 1 to "+strconv.Itoa(maxIDBytes)+" bytes")
	case c.Team == "" || len(c.Team) > maxTeamBytes:
		return badRequest(HeaderTeam, "must have 1 to "+strconv.Itoa(maxTeamBytes)+" bytes")
	case len(c.Path) > maxPathBytes:
		return badRequest("path", "is longer than "+strconv.Itoa(maxPathBytes)+" bytes")
	}
	return nil
}

func (c *Call) readNumbers(ctx *fiber.Ctx, now clock.Time) error {
	priority, err := parseInt(ctx.Get(HeaderPriority), 0)
	if err != nil || priority < -100 || priority > 100 {
		return badRequest(HeaderPriority, "must be a number from -100 to 100")
	}
	deadline, err := parseInt(ctx.Get(HeaderDeadline), int64(defaultDeadline))
	if err != nil || deadline < 1 || deadline > int64(maxDeadline) {
		return badRequest(HeaderDeadline, "must be ms from 1 to "+strconv.Itoa(int(maxDeadline)))
	}
	send, err := parseInt(ctx.Get(HeaderSend), 0)
	if err != nil || send < 0 || send > 1<<30 {
		return badRequest(HeaderSend, "must be a count from 1")
	}
	c.Priority = int32(priority)
	c.Deadline = now.Add(clock.Span(deadline))
	c.Send = uint32(send)
	return nil
}

func parseInt(value string, fallback int64) (int64, error) {
	if value == "" {
		return fallback, nil
	}
	return strconv.ParseInt(value, 10, 64)
}

// readIdempotent sets Idempotent and, for a call that is not idempotent, Token. A caller can waive idempotency that
// the service declares, but not claim idempotency that the service doesn't declare.
func (c *Call) readIdempotent(value string, allowed bool) error {
	switch value {
	case "", "true":
		c.Idempotent = allowed
	case "false":
		c.Idempotent = false
	default:
		return badRequest(HeaderIdempotent, "must be true or false")
	}
	if c.Idempotent {
		return nil
	}
	if c.Binding == "" {
		return badRequest(HeaderBinding, "is missing: ask /v1/locate for one")
	}
	token, err := binding.Decode(c.Binding)
	if err != nil {
		return badRequest(HeaderBinding, "is not readable")
	}
	if token.Service != c.Service {
		return badRequest(HeaderBinding, "is for another service")
	}
	if !token.Covers(c.ID) {
		return badRequest(HeaderID, "must begin with the binding's key and a dot")
	}
	c.Token = token
	return nil
}

func limitPriority(c *Call, team *ticket.Team) {
	if team != nil {
		c.Priority = min(c.Priority, team.Priority)
	}
}

// deriveRouting sets the fingerprint, the expected cost and, for model calls, the prefix hash.
func (c *Call) deriveRouting() {
	h := xxhash.New()
	_, _ = h.WriteString(c.Service + "\x00" + c.Method + "\x00" + c.Path + "\x00")
	_, _ = h.Write(c.Body)
	c.Fingerprint = h.Sum64()
	c.Tokens = 1
	if c.Kind != "model" {
		return
	}
	var p promptBody
	if json.Unmarshal(c.Body, &p) != nil {
		p = promptBody{Prompt: string(c.Body)}
	}
	if p.Tokens == 0 {
		p.Tokens = defaultTokens
	}
	c.Tokens = uint32(min(uint64(p.Tokens)+uint64(len(p.Prompt)/bytesPerToken), math.MaxUint32))
	c.PrefixHash = xxhash.Sum64String(p.Prompt[:min(len(p.Prompt), prefixBytes)])
}
