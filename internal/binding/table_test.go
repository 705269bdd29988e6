package binding

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/testkit"
	"carawaypick/pkg/clock"
)

const incarnation = 7

var limits = Limits{MaxLifetime: 10 * clock.Second, Retention: 60 * clock.Second, MaxRequests: 100, MaxResponseBytes: 1 << 20}

func token(expiry clock.Time) Token {
	return Token{Agent: "a1", Address: "127.0.0.1:1", Incarnation: incarnation, Expiry: expiry, Service: "desk"}
}

func requestID(tok Token, name string) string {
	return tok.IDPrefix() + "." + name
}

func TestToken(t *testing.T) {
	t.Run("decodes to what was encoded", func(t *testing.T) {
		got, err := Decode(token(5).Encode())
		require.NoError(t, err)
		assert.Equal(t, token(5), got)
	})
	t.Run("rejects malformed text", func(t *testing.T) {
		for _, text := range []string{"", "!", "e30", string(make([]byte, maxTokenBytes+1))} {
			_, err := Decode(text)
			assert.ErrorIs(t, err, ErrToken)
		}
	})
	t.Run("ties a request id to one expiry", func(t *testing.T) {
		assert.False(t, token(6).Covers(requestID(token(5), "x")))
	})
}

func TestTable(t *testing.T) {
	tok := token(clock.Time(10 * clock.Second))
	id := requestID(tok, "x")
	t.Run("a second send joins and then gets the stored response", func(t *testing.T) {
		table := NewTable(incarnation, limits)
		assert.Equal(t, ActionRun, table.Decide(0, tok, id, 1, 9).Action)
		joined := table.Decide(1, tok, id, 2, 9)
		assert.Equal(t, ActionJoin, joined.Action)
		assert.True(t, table.HandOver(2, tok, id))
		table.Finish(id, Response{Outcome: "done", Events: [][]byte{[]byte("ok")}})
		<-joined.Done
		again := table.Decide(3, tok, id, 3, 9)
		assert.Equal(t, ActionReplay, again.Action)
		assert.Equal(t, "ok", string(again.Response.Events[0]))
	})
	t.Run("a rejected send stays rejected and a later one runs", func(t *testing.T) {
		table := NewTable(incarnation, limits)
		table.Decide(0, tok, id, 2, 9)
		assert.True(t, table.Reject(id, 2))
		assert.Equal(t, ActionRejectNotRun, table.Decide(1, tok, id, 1, 9).Action)
		assert.Equal(t, ActionRejectNotRun, table.Decide(1, tok, id, 2, 9).Action)
		assert.Equal(t, ActionRun, table.Decide(1, tok, id, 3, 9).Action)
	})
	t.Run("other content under the same request id never runs", func(t *testing.T) {
		table := NewTable(incarnation, limits)
		table.Decide(0, tok, id, 1, 9)
		assert.Equal(t, Decision{Action: ActionRejectUnknown, Reason: ReasonContent}, table.Decide(0, tok, id, 2, 8))
	})
	t.Run("a table of another incarnation rejects with unknown", func(t *testing.T) {
		table := NewTable(incarnation+1, limits)
		assert.Equal(t, ActionRejectUnknown, table.Decide(0, tok, id, 1, 9).Action)
	})
	t.Run("an expired binding is rejected as not run, and as unknown after the retention", func(t *testing.T) {
		table := NewTable(incarnation, limits)
		assert.Equal(t, ActionRejectNotRun, table.Decide(tok.Expiry, tok, id, 1, 9).Action)
		assert.Equal(t, ActionRejectUnknown, table.Decide(tok.Expiry.Add(limits.Retention)+1, tok, id, 1, 9).Action)
	})
	t.Run("a run is handed over once", func(t *testing.T) {
		table := NewTable(incarnation, limits)
		table.Decide(0, tok, id, 1, 9)
		assert.True(t, table.HandOver(1, tok, id))
		assert.False(t, table.HandOver(1, tok, id))
	})
	t.Run("a request id of another binding does not run", func(t *testing.T) {
		table := NewTable(incarnation, limits)
		assert.Equal(t, Decision{Action: ActionRejectUnknown, Reason: ReasonMismatch}, table.Decide(0, token(tok.Expiry-1), id, 1, 9))
	})
	t.Run("a request that was handed over cannot be rejected", func(t *testing.T) {
		table := NewTable(incarnation, limits)
		table.Decide(0, tok, id, 1, 9)
		table.HandOver(0, tok, id)
		assert.False(t, table.Reject(id, 1))
		assert.Equal(t, ActionJoin, table.Decide(1, tok, id, 2, 9).Action)
	})
	t.Run("an agent paused past the retention hands nothing over", func(t *testing.T) {
		table := NewTable(incarnation, limits)
		table.Decide(0, tok, id, 1, 9)
		assert.False(t, table.HandOver(tok.Expiry.Add(limits.Retention), tok, id))
	})
}

// TestTableRunsOnce checks that no request id is handed over twice, over random sends, rejections, ends and pauses.
func TestTableRunsOnce(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		table := NewTable(incarnation, limits)
		now := clock.Time(0)
		runs := map[string]int{}
		rejectedSends := map[string]uint32{}
		waiting := map[string]Token{}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				tok := token(clock.Time(rapid.Int64Range(0, 200_000).Draw(t, "expiry")))
				id := requestID(tok, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name")))
				send := rapid.Uint32Range(0, 4).Draw(t, "send")
				decision := table.Decide(now, tok, id, send, 9)
				switch decision.Action {
				case ActionRun:
					if runs[id] > 0 {
						t.Fatalf("%s starts again", id)
					}
					if at, ok := rejectedSends[id]; ok && send <= at {
						t.Fatalf("%s starts send %d after rejecting %d", id, send, at)
					}
					waiting[id] = tok
				case ActionRejectNotRun:
					if runs[id] > 0 {
						t.Fatalf("%s ran but is reported as not run", id)
					}
				}
			},
			"hand over": func(t *rapid.T) {
				for id, tok := range waiting {
					if table.HandOver(now, tok, id) {
						runs[id]++
					}
					if runs[id] > 1 {
						t.Fatalf("%s ran twice", id)
					}
					delete(waiting, id)
				}
			},
			"reject": func(t *rapid.T) {
				send := rapid.Uint32Range(0, 4).Draw(t, "send")
				for id := range waiting {
					if table.Reject(id, send) {
						rejectedSends[id] = max(rejectedSends[id], send)
					}
					delete(waiting, id)
				}
			},
			"not sent": func(t *rapid.T) {
				send := rapid.Uint32Range(0, 4).Draw(t, "send")
				for id, tok := range waiting {
					if table.HandOver(now, tok, id) {
						table.Withdraw(id, send)
						rejectedSends[id] = max(rejectedSends[id], send)
					}
					delete(waiting, id)
				}
			},
			"finish": func(*rapid.T) {
				for id := range runs {
					table.Finish(id, Response{Outcome: "done"})
				}
			},
			"pause": func(t *rapid.T) {
				now = now.Add(clock.Span(rapid.Int64Range(0, 30_000).Draw(t, "pause")))
			},
		})
	})
}
