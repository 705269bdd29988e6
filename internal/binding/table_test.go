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

var limits = Limits{Life: 10 * clock.Second, Keep: 60 * clock.Second, Held: 100, Bytes: 1 << 20}

func token(expiry clock.Time) Token {
	return Token{Agent: "a1", Address: "127.0.0.1:1", Incarnation: incarnation, Expiry: expiry, Service: "desk"}
}

func identifier(tok Token, name string) string {
	return tok.Key() + "." + name
}

func TestToken(t *testing.T) {
	t.Run("is read as it was written", func(t *testing.T) {
		got, err := Decode(token(5).Encode())
		require.NoError(t, err)
		assert.Equal(t, token(5), got)
	})
	t.Run("refuses what it can't read", func(t *testing.T) {
		for _, text := range []string{"", "!", "e30", string(make([]byte, maxToken+1))} {
			_, err := Decode(text)
			assert.ErrorIs(t, err, ErrToken)
		}
	})
	t.Run("ties an identifier to one expiry", func(t *testing.T) {
		assert.False(t, token(6).Covers(identifier(token(5), "x")))
	})
}

func TestTable(t *testing.T) {
	tok := token(clock.Time(10 * clock.Second))
	id := identifier(tok, "x")
	t.Run("a second send joins and then gets the held answer", func(t *testing.T) {
		table := NewTable(incarnation, limits)
		assert.Equal(t, Run, table.Open(0, tok, id, 1, 9).Step)
		joined := table.Open(1, tok, id, 2, 9)
		assert.Equal(t, Join, joined.Step)
		assert.True(t, table.Hand(2, tok, id))
		table.Finish(id, Answer{Outcome: "done", Events: [][]byte{[]byte("ok")}})
		<-joined.Done
		again := table.Open(3, tok, id, 3, 9)
		assert.Equal(t, Replay, again.Step)
		assert.Equal(t, "ok", string(again.Answer.Events[0]))
	})
	t.Run("a refused send stays refused and a later one runs", func(t *testing.T) {
		table := NewTable(incarnation, limits)
		table.Open(0, tok, id, 2, 9)
		assert.True(t, table.Refuse(id, 2))
		assert.Equal(t, NotRun, table.Open(1, tok, id, 1, 9).Step)
		assert.Equal(t, NotRun, table.Open(1, tok, id, 2, 9).Step)
		assert.Equal(t, Run, table.Open(1, tok, id, 3, 9).Step)
	})
	t.Run("other content under the same identifier never runs", func(t *testing.T) {
		table := NewTable(incarnation, limits)
		table.Open(0, tok, id, 1, 9)
		assert.Equal(t, Verdict{Step: Unknown, Reason: ReasonContent}, table.Open(0, tok, id, 2, 8))
	})
	t.Run("another incarnation knows nothing", func(t *testing.T) {
		table := NewTable(incarnation+1, limits)
		assert.Equal(t, Unknown, table.Open(0, tok, id, 1, 9).Step)
	})
	t.Run("an expired binding is refused with proof, then without", func(t *testing.T) {
		table := NewTable(incarnation, limits)
		assert.Equal(t, NotRun, table.Open(tok.Expiry, tok, id, 1, 9).Step)
		assert.Equal(t, Unknown, table.Open(tok.Expiry.Add(limits.Keep)+1, tok, id, 1, 9).Step)
	})
	t.Run("one run is handed over once", func(t *testing.T) {
		table := NewTable(incarnation, limits)
		table.Open(0, tok, id, 1, 9)
		assert.True(t, table.Hand(1, tok, id))
		assert.False(t, table.Hand(1, tok, id))
	})
	t.Run("an identifier of another binding is not run", func(t *testing.T) {
		table := NewTable(incarnation, limits)
		assert.Equal(t, Verdict{Step: Unknown, Reason: ReasonMismatch}, table.Open(0, token(tok.Expiry-1), id, 1, 9))
	})
	t.Run("what was handed over can't be refused", func(t *testing.T) {
		table := NewTable(incarnation, limits)
		table.Open(0, tok, id, 1, 9)
		table.Hand(0, tok, id)
		assert.False(t, table.Refuse(id, 1))
		assert.Equal(t, Join, table.Open(1, tok, id, 2, 9).Step)
	})
	t.Run("an agent that wakes too late hands nothing over", func(t *testing.T) {
		table := NewTable(incarnation, limits)
		table.Open(0, tok, id, 1, 9)
		assert.False(t, table.Hand(tok.Expiry.Add(limits.Keep), tok, id))
	})
}

// TestTableRunsOnce draws sends, refusals, ends and pauses and counts hand-overs on its own side.
func TestTableRunsOnce(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		table := NewTable(incarnation, limits)
		now := clock.Time(0)
		runs := map[string]int{}
		denied := map[string]uint32{}
		waiting := map[string]Token{}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				tok := token(clock.Time(rapid.Int64Range(0, 200_000).Draw(t, "expiry")))
				id := identifier(tok, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name")))
				send := rapid.Uint32Range(0, 4).Draw(t, "send")
				verdict := table.Open(now, tok, id, send, 9)
				switch verdict.Step {
				case Run:
					if runs[id] > 0 {
						t.Fatalf("%s starts again", id)
					}
					if at, ok := denied[id]; ok && send <= at {
						t.Fatalf("%s starts send %d after refusing %d", id, send, at)
					}
					waiting[id] = tok
				case NotRun:
					if runs[id] > 0 {
						t.Fatalf("%s ran but is said not to have", id)
					}
				}
			},
			"hand": func(t *rapid.T) {
				for id, tok := range waiting {
					if table.Hand(now, tok, id) {
						runs[id]++
					}
					if runs[id] > 1 {
						t.Fatalf("%s ran twice", id)
					}
					delete(waiting, id)
				}
			},
			"refuse": func(t *rapid.T) {
				send := rapid.Uint32Range(0, 4).Draw(t, "send")
				for id := range waiting {
					if table.Refuse(id, send) {
						denied[id] = max(denied[id], send)
					}
					delete(waiting, id)
				}
			},
			"never": func(t *rapid.T) {
				send := rapid.Uint32Range(0, 4).Draw(t, "send")
				for id, tok := range waiting {
					if table.Hand(now, tok, id) {
						table.Never(id, send)
						denied[id] = max(denied[id], send)
					}
					delete(waiting, id)
				}
			},
			"finish": func(*rapid.T) {
				for id := range runs {
					table.Finish(id, Answer{Outcome: "done"})
				}
			},
			"pause": func(t *rapid.T) {
				now = now.Add(clock.Span(rapid.Int64Range(0, 30_000).Draw(t, "pause")))
			},
		})
	})
}
