package backend

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/peer/peerpb"
)

func TestAgentAdmits(t *testing.T) {
	t.Run("never more than the backend server bears", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		var ends []<-chan *peerpb.RunEvent
		for i := range 5 * bears {
			ends = append(ends, b.start(request(fmt.Sprint("r", i))))
		}
		b.eventually(func() bool { return b.running.Load() == bears })
		open()
		for _, end := range ends {
			require.NotNil(t, (<-end).GetFinal())
		}
		assert.EqualValues(t, bears, b.peak.Load())
	})
	t.Run("a slot only once the backend server has let go of it", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		defer open()
		letGo := make(chan struct{})
		b.set(func() { b.letGo = letGo })
		ctx, cancel := context.WithCancel(context.Background())
		for i := range bears {
			r := request(fmt.Sprint("r", i))
			r.Stream = true
			r.Service = "desk"
			go func() { _ = b.agent.Run(r, &wire{ctx: ctx}) }()
		}
		b.eventually(func() bool { return b.running.Load() == bears })
		cancel()
		b.eventually(func() bool { return b.cancels.Load() == bears })
		b.start(request("next"))
		b.eventually(func() bool { return b.agent.report("").GetQueued() == 1 })
		b.agent.pump()
		assert.Zero(t, b.ran("next"))
		close(letGo)
		b.eventually(func() bool { return b.ran("next") == 1 })
	})
	t.Run("a plain call keeps its slot until it ends, though its entry is gone", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		ctx, cancel := context.WithCancel(context.Background())
		for i := range bears {
			go func() { _ = b.agent.Run(request(fmt.Sprint("r", i)), &wire{ctx: ctx}) }()
		}
		b.eventually(func() bool { return b.running.Load() == bears })
		cancel()
		next := b.start(request("next"))
		b.eventually(func() bool { return b.agent.report("").GetQueued() == 1 })
		b.agent.pump()
		assert.Zero(t, b.ran("next"))
		open()
		require.NotNil(t, (<-next).GetFinal())
	})
	t.Run("nothing once the zone is out, and what runs is finished", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		running := b.start(request("old"))
		b.eventually(func() bool { return b.running.Load() == 1 })
		b.publish(`"zones":{"z1":{"state":"out"}}`)
		requireRefusal(t, b.call(request("new")), peerpb.Outcome_OUTCOME_NOTRUN, StateOut)
		open()
		require.NotNil(t, (<-running).GetFinal())
		assert.Zero(t, b.ran("new"))
	})
	t.Run("a request that waits past its deadline is refused with proof", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		defer open()
		for i := range bears {
			b.start(request(fmt.Sprint("r", i)))
		}
		b.eventually(func() bool { return b.running.Load() == bears })
		late := request("late")
		late.Deadline = 50
		end := b.call(late)
		assert.Equal(t, peerpb.Outcome_OUTCOME_NOTRUN, end.GetRefusal().GetOutcome())
		assert.Zero(t, b.ran("late"))
	})
	t.Run("an answer without progress is given up", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		defer open()
		r := request("stalled")
		r.Stream = true
		requireRefusal(t, b.call(r), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonStall)
	})
}
