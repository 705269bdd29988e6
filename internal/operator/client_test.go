package operator

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"carawaypick/internal/lifecycle"
	"carawaypick/internal/ticket"
)

// serveList serves content as the instance list and returns its base URL.
func serveList(t *testing.T, content string) string {
	t.Helper()
	return serveHTTP(t, func(c *fasthttp.RequestCtx) { c.SetBodyString(content) })
}

// serveHTTP serves the handler until the test ends and returns the base URL.
func serveHTTP(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := fasthttp.Server{Handler: handler}
	done := lifecycle.Start(context.Background(), func(context.Context) error { return server.Serve(l) })
	t.Cleanup(func() {
		require.NoError(t, server.Shutdown())
		require.NoError(t, <-done)
	})
	return "http://" + l.Addr().String()
}

func entryViews(name string, number uint64, hash string) Views {
	ring := NewDecisionRing(4)
	ring.Add(Decision{
		Key: "k.1", Attempt: uint32(number), Process: name, Kind: "choose", Backend: "a1",
		Candidates: []Candidate{{Name: "a1", Zone: "lima-a", Outstanding: 2, Grant: 4}},
	})
	return newViews(Status{Name: name, Role: "entry", Zone: "lima-a", State: "live", Number: number, Hash: hash}, ring)
}

func TestQuery(t *testing.T) {
	first := servePeer(t, entryViews("e1", 4, "0a"))
	second := servePeer(t, entryViews("e2", 3, "0b"))
	c := Client{DialOptions: insecureDial(), ListURL: serveList(t, fmt.Sprintf(
		`{"version":1,"instances":[{"name":"e2","role":"entry","peer":%q,"state":"live"},{"name":"e1","role":"entry","peer":%q,"state":"live"},{"name":"e3","role":"entry","peer":"127.0.0.1:1","state":"live"}]}`,
		second, first))}
	processes, err := c.Processes()
	require.NoError(t, err)
	t.Run("the table shows every process by name", func(t *testing.T) {
		var out bytes.Buffer
		require.NoError(t, WriteStatus(&out, c.Query(context.Background(), processes, "")))
		assert.Regexp(t, `(?s)NAME.*\ne1 +entry +lima-a +live +4 +0a .*\ne2 .*\ne3 +entry +unreachable.*cannot reach 127.0.0.1:1`, out.String())
	})
	t.Run("the decisions of all processes are sorted", func(t *testing.T) {
		all := Decisions(c.Query(context.Background(), processes, "k.1"))
		require.Len(t, all, 2)
		assert.Equal(t, []string{"e2", "e1"}, []string{all[0].Process, all[1].Process})
		var out bytes.Buffer
		require.NoError(t, WriteDecisions(&out, all))
		assert.Contains(t, out.String(), "zone lima-a, outstanding 2 of 4")
	})
	t.Run("given addresses are queried over HTTP", func(t *testing.T) {
		given := Client{Addresses: []string{serveViews(t, entryViews("e9", 7, "0c"))}}
		processes, err := given.Processes()
		require.NoError(t, err)
		replies := given.Query(context.Background(), processes, "")
		assert.Equal(t, uint64(7), replies[0].Response.Status.Number)
		state, err := given.State()
		require.NoError(t, err)
		assert.Equal(t, ticket.Number(4), state.Number)
	})
	t.Run("an invalid list is rejected", func(t *testing.T) {
		bad := Client{ListURL: serveList(t, `[]`)}
		_, err := bad.Processes()
		assert.ErrorContains(t, err, "read instance list")
		var unreachable *UnreachableError
		_, err = (&Client{ListURL: "http://127.0.0.1:1"}).Processes()
		assert.True(t, errors.As(err, &unreachable))
	})
}

func newReply(name, state string, s *Status, reason string) Reply {
	return Reply{Process: Process{Name: name, State: state}, Response: Response{Status: s}, Error: reason}
}

// assertPending asserts that ticket 4 is pending for exactly these reasons, or in force if there are none.
func assertPending(t *testing.T, replies []Reply, want ...string) {
	t.Helper()
	err := checkReplies(4, replies)
	if len(want) == 0 {
		assert.NoError(t, err)
		return
	}
	var p *PendingError
	require.True(t, errors.As(err, &p))
	assert.Equal(t, want, p.Pending)
}

func TestWait(t *testing.T) {
	at := func(name string, number uint64, hash string) Reply {
		return newReply(name, "live", &Status{Number: number, Hash: hash}, "")
	}
	t.Run("every process at the number or above", func(t *testing.T) {
		assertPending(t, []Reply{at("e1", 4, "a"), at("e2", 5, "b")})
	})
	t.Run("one behind, one missing a ticket", func(t *testing.T) {
		missing := newReply("e3", "live", &Status{Number: 2, Missing: &MissingTicket{Number: 3, MissingFor: 900}}, "")
		assertPending(t, []Reply{at("e1", 4, "a"), at("e2", 1, "b"), missing}, "e2: at ticket 1", "e3: at ticket 2, missing ticket 3 for 900 ms")
	})
	t.Run("one number with two hashes", func(t *testing.T) {
		assertPending(t, []Reply{at("e1", 4, "a"), at("e2", 4, "b")}, "e2: at ticket 4 with hash b where others have a")
	})
	t.Run("a missing response counts unless the instance is leaving", func(t *testing.T) {
		assertPending(t, []Reply{newReply("e1", "live", nil, "no answer")}, "e1: no answer")
		assertPending(t, []Reply{at("e1", 4, "a"), newReply("e2", "leaving", nil, "no answer")})
		assertPending(t, nil, "no process is listed")
	})
	t.Run("retries until the context ends", func(t *testing.T) {
		c := Client{Addresses: []string{serveViews(t, entryViews("e1", 3, "a"))}}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		assert.ErrorContains(t, c.Wait(ctx, 4), "at ticket 3")
		assert.NoError(t, c.Wait(context.Background(), 3))
	})
}

func TestPublishedState(t *testing.T) {
	zone := func(number int, state string) string {
		return fmt.Sprintf(`{"number":%d,"author":"desk","objects":{"zones":{"lima-a":{"state":%q}}}}`, number, state)
	}
	pages := map[string]string{
		"0": zone(2, "out") + "," + zone(1, "in"),
		"2": zone(3, "nowhere") + "," + zone(5, "in"),
	}
	service := serveHTTP(t, func(c *fasthttp.RequestCtx) {
		if string(c.Path()) == "/snapshot" {
			c.Error("none", fasthttp.StatusNotFound)
			return
		}
		c.SetBodyString(`{"tickets":[` + pages[string(c.QueryArgs().Peek("after"))] + `]}`)
	})
	s, err := PublishedState(service)
	require.NoError(t, err)
	t.Run("applies tickets up to the first gap", func(t *testing.T) {
		assert.Equal(t, ticket.Number(3), s.Number)
		assert.Equal(t, "out", s.Objects.Zones["lima-a"].State)
	})
	t.Run("an invalid ticket is skipped", func(t *testing.T) {
		require.Len(t, s.Skipped, 1)
		assert.Equal(t, ticket.Number(3), s.Skipped[0].Number)
	})
	t.Run("a service that is down is unreachable", func(t *testing.T) {
		_, err := PublishedState("http://127.0.0.1:1")
		var unreachable *UnreachableError
		assert.True(t, errors.As(err, &unreachable))
	})
}
