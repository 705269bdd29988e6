package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/pkg/clock"
)

// serve passes requests of 100 tokens that take 500 ms, two at a time, with a pause after each pair.
func serve(m *Meter, pause clock.Span) {
	now := clock.Time(0)
	for range 40 {
		m.Start(now)
		m.Start(now)
		now = now.Add(500)
		m.Done(now, 100, 500)
		m.Done(now, 100, 500)
		now = now.Add(pause)
	}
}

func TestMeter(t *testing.T) {
	t.Run("tells the rate while busy, whatever the pauses", func(t *testing.T) {
		for _, pause := range []clock.Span{0, 100, 10 * clock.Second} {
			var m Meter
			serve(&m, pause)
			assert.InDelta(t, 400, m.Rate(), 40)
			assert.Equal(t, 500*clock.Millisecond, m.Took(100))
		}
	})
	t.Run("expects no time where requests took none", func(t *testing.T) {
		var m Meter
		for i := range clock.Time(3) {
			m.Start(i)
			m.Done(i, 10, 0)
		}
		assert.Zero(t, m.Took(10))
	})
	t.Run("expects the longer ones of uneven times", func(t *testing.T) {
		var m Meter
		for i := range clock.Time(40) {
			m.Start(i * 1000)
			m.Done(i*1000+500, 100, 200+clock.Span(i%2)*400)
		}
		assert.GreaterOrEqual(t, m.Took(100), 600*clock.Millisecond)
		assert.LessOrEqual(t, m.Took(100), 1000*clock.Millisecond)
	})
	t.Run("knows nothing at first", func(t *testing.T) {
		var m Meter
		assert.Zero(t, m.Rate())
		assert.Zero(t, m.Took(100))
	})
	t.Run("work that did not run whole does not count", func(t *testing.T) {
		var m Meter
		serve(&m, 0)
		before := m.Took(100)
		m.Start(20_000)
		m.Done(20_000, 0, clock.Hour)
		assert.Equal(t, before, m.Took(100))
	})
}
