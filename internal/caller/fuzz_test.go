package caller

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// fuzzNow is the arrival time of all fuzzed calls.
const fuzzNow = clock.Time(1000)

func fuzzState() *ticket.State {
	return &ticket.State{Number: 1, Objects: ticket.Objects{
		Services: map[string]*ticket.Service{
			"check": {Kind: kindModel, Idempotent: true},
			"desk":  {Kind: "plain"},
		},
		Teams: map[string]*ticket.Team{"politica": {Share: 1, Priority: 3}},
	}}
}

// parseRequest routes a request like the entry and returns the result of parse.
func parseRequest(target, idempotent string, headers [][2]string, body []byte) (call *Call, err error) {
	app := fiber.New(fiber.Config{Immutable: true})
	err = errors.WithStack(&BadRequestError{Field: "path", Reason: "has no route"})
	app.All("/v1/call/:service/*", func(c *fiber.Ctx) error {
		call, err = parse(c, fuzzNow, fuzzState())
		return nil
	})
	request := &fasthttp.RequestCtx{}
	request.Request.Header.SetMethod(fiber.MethodPost)
	request.Request.SetRequestURI(target)
	request.Request.Header.Set(HeaderIdempotent, idempotent)
	for _, h := range headers {
		request.Request.Header.Set(h[0], h[1])
	}
	request.Request.SetBody(body)
	app.Handler()(request)
	return call, err
}

func FuzzParse(f *testing.F) {
	f.Add("/v1/call/check/", "true", "r1", "politica", "9", "500", "", "1", []byte(`{"prompt":"a claim","tokens":8}`))
	f.Add("/v1/call/desk/fees?a=b,c", "false", "k.1", "junta", "-3", "", "!", "", []byte(nil))
	f.Add("/v1/call/check/%2e%2e/\x00", "yes", "", "", "x", "-1", "x", "4294967296", []byte(`{"prompt":"abcdefgh","tokens":4294967295}`))
	f.Add("/v1/call/check/", "", "r2", "noche", "", "", "", "", []byte(`{"prompt":"abcdefgh","tokens":4294967295}`))
	f.Fuzz(func(t *testing.T, target, idempotent, id, team, priority, deadline, binding, send string, body []byte) {
		call, err := parseRequest(target, idempotent, [][2]string{
			{HeaderID, id},
			{HeaderTeam, team},
			{HeaderPriority, priority},
			{HeaderDeadline, deadline},
			{HeaderBinding, binding},
			{HeaderSend, send},
		}, body)
		if err != nil {
			var invalid *BadRequestError
			require.True(t, errors.As(err, &invalid), "got %v", err)
			return
		}
		checkAccepted(t, call, idempotent)
	})
}

// checkAccepted asserts the invariants of accepted calls.
func checkAccepted(t *testing.T, call *Call, idempotent string) {
	t.Helper()
	allowed := call.Service == "check"
	assert.Equal(t, allowed && idempotent != "false", call.Idempotent, "a caller may only be stricter than the ticket")
	assert.NotEmpty(t, call.ID)
	assert.NotEmpty(t, call.Team)
	assert.LessOrEqual(t, len(call.ID), maxIDBytes)
	assert.Greater(t, call.Deadline, fuzzNow)
	assert.LessOrEqual(t, call.Deadline, fuzzNow.Add(maxDeadline))
	assert.Positive(t, call.Tokens)
	if call.Team == "politica" {
		assert.LessOrEqual(t, call.Priority, int32(3))
	}
	var p promptBody
	if call.Kind == kindModel && json.Unmarshal(call.Body, &p) == nil {
		assert.GreaterOrEqual(t, call.Tokens, p.Tokens, "a call costs at least the tokens it asks for")
	}
}
