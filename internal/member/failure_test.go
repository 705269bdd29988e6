package member

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/pkg/clock"
)

// soon is how long a ticket may take to be in force everywhere.
const soon = 5 * clock.Second

func TestSpread(t *testing.T) {
	t.Run("a ticket is in force everywhere", func(t *testing.T) {
		w := warm(t, 40, 3, 1)
		w.service.publish(2, share(2, "ana", 2))
		t.Logf("in force after %d ms", w.runUntil(t, soon, w.inForce(2)))
		w.assertAgreed(t)
	})
}

func TestColdFleet(t *testing.T) {
	w := newWorld(9, 3, 1)
	w.run(clock.Second)
	assert.False(t, w.members[4].Ready())
	w.service.publish(1, share(1, "ana", 1))
	t.Logf("in force after %d ms", w.runUntil(t, 8*clock.Second, w.inForce(1)))
	w.assertAgreed(t)
}
