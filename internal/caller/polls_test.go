package caller

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/internal/platform"
	"carawaypick/pkg/clock"
)

// TestUnansweredPollsPileUp guards an agent that does not answer against further polls while one is under way.
func TestUnansweredPollsPileUp(t *testing.T) {
	now := clock.Time(1000)
	a := NewAgentTracker(clock.Manual(&now), 200)
	a.Update([]platform.Instance{{Name: "a", Peer: "1", Service: "s"}})
	due := a.DuePolls()
	assert.Len(t, due, 1)
	now = now.Add(clock.Second)
	assert.Empty(t, a.DuePolls())
	a.PollEnded(due[0])
	assert.Len(t, a.DuePolls(), 1)
}
