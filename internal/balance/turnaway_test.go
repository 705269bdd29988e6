package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"carawaypick/internal/testkit"
	"carawaypick/pkg/clock"
)

func TestTurnAway(t *testing.T) {
	t.Run("asks for no requests until its time is over, whatever it answers to earlier ones", func(t *testing.T) {
		var a TurnAway
		a.Reject(1000, 3000, 9, false)
		a.Reject(1010, 1, 9, false)
		a.Answer(1020)
		until, ok := a.AskedUntil(3999)
		assert.True(t, ok)
		assert.Equal(t, clock.Time(4000), until)
		_, ok = a.AskedUntil(4000)
		assert.False(t, ok)
	})
	t.Run("is tried by one request at a time", func(t *testing.T) {
		var a TurnAway
		a.Reject(1000, 0, 9, false)
		assert.True(t, a.Closed(clock.Time(999).Add(firstTurnAwayPause), false))
		assert.False(t, a.Closed(clock.Time(1000).Add(firstTurnAwayPause), false))
		a.Send(1060)
		assert.True(t, a.Closed(1061, false), "while a request tries it")
		a.Answer(999)
		assert.True(t, a.Closed(1061, false), "after the answer to a request from before the rejection")
		a.Answer(1060)
		assert.False(t, a.Closed(1061, false))
	})
	t.Run("is open if the request that tries it is neither answered nor rejected", func(t *testing.T) {
		var a TurnAway
		a.Reject(1000, 0, 9, false)
		a.Send(1060)
		assert.False(t, a.Closed(clock.Time(1060).Add(trialTimeout), false))
	})
	t.Run("is closed by rejections of requests of other entries, each of which counts once", func(t *testing.T) {
		var a TurnAway
		a.HearRejection(1000, 990, 9, false)
		assert.True(t, a.Closed(1001, false))
		for now := clock.Time(1001); now < 1040; now++ {
			a.HearRejection(now, 995, 9, false)
		}
		assert.False(t, a.Closed(clock.Time(1000).Add(firstTurnAwayPause), false), "one rejection")
		a.HearRejection(1100, 1090, 9, false)
		assert.True(t, a.Closed(1200, false), "two rejections")
		_, own := a.Rejected()
		assert.False(t, own, "a rejection is not handed on")
	})
	t.Run("is not closed by a rejection that is older than its last answer", func(t *testing.T) {
		var a TurnAway
		a.Answer(1000)
		a.HearRejection(1010, 999, 9, false)
		assert.False(t, a.Closed(1011, false))
		a.Reject(1020, 0, 9, false)
		_, own := a.Rejected()
		assert.True(t, own)
		a.Answer(1021)
		_, own = a.Rejected()
		assert.False(t, own, "an answer ends what is told to others")
	})
	t.Run("does not hear of a rejection that names a time", func(t *testing.T) {
		var a TurnAway
		a.Reject(1000, 3000, 9, false)
		_, own := a.Rejected()
		assert.False(t, own)
	})
	t.Run("is not closed for long while it is busy", func(t *testing.T) {
		var a TurnAway
		for now := clock.Time(1000); now < 3000; now += 100 {
			a.Reject(now, 0, 9, true)
			assert.False(t, a.Closed(now.Add(firstTurnAwayPause), false))
		}
	})
	t.Run("is tried at once if it took a request of another entry", func(t *testing.T) {
		var a TurnAway
		a.Reject(1000, 0, 9, false)
		a.Reject(1100, 0, 9, false)
		a.Recover(1050)
		assert.True(t, a.Closed(1200, false), "that was before the last rejection")
		a.Recover(1150)
		assert.False(t, a.Closed(1200, false))
		a.Send(1200)
		assert.True(t, a.Closed(1201, false), "one request tries it")
		assert.True(t, a.Answer(1200))
		assert.False(t, a.Answer(1300), "it had recovered before")
	})
	t.Run("is tried earlier if it runs requests of others", func(t *testing.T) {
		var a TurnAway
		a.Reject(1000, 0, 9, false)
		a.Reject(1100, 0, 9, false)
		assert.True(t, a.Closed(1500, false))
		assert.False(t, a.Closed(1500, true))
	})
}

// TestTurnAwayDrawsFewRequests offers a request each millisecond at each entry to a server that rejects all of them for a
// time: all entries together try it about three times a second, and it is found again within the longest pause.
func TestTurnAwayDrawsFewRequests(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 400).Draw(t, "entries")
		var a TurnAway
		duration := clock.Time(rapid.IntRange(1, 20_000).Draw(t, "ms"))
		sent := 0
		for now := clock.Time(1); now <= duration; now++ {
			if !a.Closed(now, false) {
				a.Send(now)
				a.Reject(now, 0, entries, false)
				sent++
			}
		}
		pause := min(turnAwayPause*clock.Span(entries), maxTurnAwayPause)
		assert.LessOrEqual(t, sent, 3+int(duration)/int(pause), "requests of one entry to a server that rejects all of them")
		assert.False(t, a.Closed(duration.Add(maxTurnAwayPause), false), "it is found again")
	})
}
