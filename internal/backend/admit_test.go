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
	t.Run("no more than the concurrency limit", func(t *testing.T) {
		f := newFixture(t)
		release := f.holdRuns()
		var ends []<-chan *peerpb.RunEvent
		for i := range 5 * warmLimit {
			ends = append(ends, f.start(request(fmt.Sprint("r", i))))
		}
		f.eventually(func() bool { return f.running.Load() == warmLimit })
		release()
		for _, end := range ends {
			require.NotNil(t, (<-end).GetFinal())
		}
		assert.EqualValues(t, warmLimit, f.peak.Load())
	})
	t.Run("a slot is reused only after the backend server has cancelled", func(t *testing.T) {
		f := newFixture(t)
		release := f.holdRuns()
		defer release()
		holdCancels := make(chan struct{})
		f.set(func() { f.holdCancels = holdCancels })
		ctx, cancel := context.WithCancel(context.Background())
		for i := range warmLimit {
			r := request(fmt.Sprint("r", i))
			r.Stream = true
			r.Service = "desk"
			go func() { _ = f.agent.Run(r, &recorder{ctx: ctx}) }()
		}
		f.eventually(func() bool { return f.running.Load() == warmLimit })
		cancel()
		f.eventually(func() bool { return f.cancels.Load() == warmLimit })
		f.start(request("next"))
		f.eventually(func() bool { return f.agent.report("").GetQueued() == 1 })
		f.agent.dispatchQueued()
		assert.Zero(t, f.runCount("next"))
		close(holdCancels)
		f.eventually(func() bool { return f.runCount("next") == 1 })
	})
	t.Run("a plain call keeps its slot until completion after its entry disconnected", func(t *testing.T) {
		f := newFixture(t)
		release := f.holdRuns()
		ctx, cancel := context.WithCancel(context.Background())
		for i := range warmLimit {
			go func() { _ = f.agent.Run(request(fmt.Sprint("r", i)), &recorder{ctx: ctx}) }()
		}
		f.eventually(func() bool { return f.running.Load() == warmLimit })
		cancel()
		next := f.start(request("next"))
		f.eventually(func() bool { return f.agent.report("").GetQueued() == 1 })
		f.agent.dispatchQueued()
		assert.Zero(t, f.runCount("next"))
		release()
		require.NotNil(t, (<-next).GetFinal())
	})
	t.Run("no new work in a zone that is out, running work is finished", func(t *testing.T) {
		f := newFixture(t)
		release := f.holdRuns()
		running := f.start(request("old"))
		f.eventually(func() bool { return f.running.Load() == 1 })
		f.publishTicket(`"zones":{"z1":{"state":"out"}}`)
		requireRefusal(t, f.call(request("new")), peerpb.Outcome_OUTCOME_NOTRUN, StateOut)
		release()
		require.NotNil(t, (<-running).GetFinal())
		assert.Zero(t, f.runCount("new"))
	})
	t.Run("a request queued past its deadline is rejected as not run", func(t *testing.T) {
		f := newFixture(t)
		release := f.holdRuns()
		defer release()
		for i := range warmLimit {
			f.start(request(fmt.Sprint("r", i)))
		}
		f.eventually(func() bool { return f.running.Load() == warmLimit })
		late := request("late")
		late.Deadline = 50
		end := f.call(late)
		assert.Equal(t, peerpb.Outcome_OUTCOME_NOTRUN, end.GetRefusal().GetOutcome())
		assert.Zero(t, f.runCount("late"))
	})
	t.Run("an answer without progress is aborted as stalled", func(t *testing.T) {
		f := newFixture(t)
		release := f.holdRuns()
		defer release()
		r := request("stalled")
		r.Stream = true
		requireRefusal(t, f.call(r), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonStalled)
	})
}
