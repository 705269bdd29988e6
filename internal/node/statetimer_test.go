package node

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/pkg/clock"
)

func TestStateTimer(t *testing.T) {
	var s stateTimer
	assert.Equal(t, clock.Span(0), s.age(100, 1, 7))
	assert.Equal(t, clock.Span(50), s.age(150, 1, 7))
	assert.Equal(t, clock.Span(0), s.age(160, 2, 8), "a new number restarts the timer")
	assert.Equal(t, clock.Span(0), s.age(170, 2, 9), "other content of the same number restarts it too")
	assert.Equal(t, clock.Span(30), s.age(200, 2, 9))
}
