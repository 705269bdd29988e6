package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/pkg/clock"
)

func requireRefused(t *testing.T, err error, reason string) {
	t.Helper()
	var r *RefusedError
	require.ErrorAs(t, err, &r)
	assert.Equal(t, reason, r.Reason)
	assert.GreaterOrEqual(t, r.After, leastAfter)
}

func TestAdmit(t *testing.T) {
	good := Standing{Tokens: 500, Rate: 1000, Window: 4}
	t.Run("takes what can be served in time", func(t *testing.T) {
		assert.NoError(t, Admit(0, Work{Tokens: 100, Deadline: 700}, good))
	})
	t.Run("takes work without a deadline", func(t *testing.T) {
		assert.NoError(t, Admit(0, Work{Tokens: 100}, good))
	})
	cases := []struct {
		reason string
		work   Work
		change func(*Standing)
	}{
		{reason: ReasonLate, work: Work{Tokens: 100, Deadline: 600}, change: func(*Standing) {}},
		{reason: ReasonLeaving, change: func(s *Standing) { s.Leaving = true }},
		{reason: ReasonOut, change: func(s *Standing) { s.Out = true }},
		{reason: ReasonDown, change: func(s *Standing) { s.Down = true }},
		{reason: ReasonDown, change: func(s *Standing) { s.Window = 0 }},
		{reason: ReasonCondemned, work: Work{Condemned: clock.Second}, change: func(*Standing) {}},
	}
	for _, c := range cases {
		t.Run("refuses as "+c.reason, func(t *testing.T) {
			s := good
			c.change(&s)
			requireRefused(t, Admit(0, c.work, s), c.reason)
		})
	}
}
