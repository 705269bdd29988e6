package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/pkg/clock"
)

// serveRequests records requests of 100 tokens that take 500 ms, two at a time, with a pause after each pair.
func serveRequests(m *ServiceMeter, pause clock.Span) {
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
	t.Run("the rate does not depend on idle time", func(t *testing.T) {
		for _, pause := range []clock.Span{0, 100, 10 * clock.Second} {
			var m ServiceMeter
			serveRequests(&m, pause)
			assert.InDelta(t, 400, m.TokenRate(), 40)
			assert.Equal(t, 500*clock.Millisecond, m.ServiceTime(100))
		}
	})
	t.Run("the service time is zero if requests took no time", func(t *testing.T) {
		var m ServiceMeter
		for i := range clock.Time(3) {
			m.Start(i)
			m.Done(i, 10, 0)
		}
		assert.Zero(t, m.ServiceTime(10))
	})
	t.Run("the service time covers the longer requests of an uneven mix", func(t *testing.T) {
		var m ServiceMeter
		for i := range clock.Time(40) {
			m.Start(i * 1000)
			m.Done(i*1000+500, 100, 200+clock.Span(i%2)*400)
		}
		assert.GreaterOrEqual(t, m.ServiceTime(100), 600*clock.Millisecond)
		assert.LessOrEqual(t, m.ServiceTime(100), 1000*clock.Millisecond)
	})
	t.Run("the rate and service time are initially unknown", func(t *testing.T) {
		var m ServiceMeter
		assert.Zero(t, m.TokenRate())
		assert.Zero(t, m.ServiceTime(100))
	})
	t.Run("requests that did not complete do not count", func(t *testing.T) {
		var m ServiceMeter
		serveRequests(&m, 0)
		before := m.ServiceTime(100)
		m.Start(20_000)
		m.Done(20_000, 0, clock.Hour)
		assert.Equal(t, before, m.ServiceTime(100))
	})
}
