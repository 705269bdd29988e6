package backend

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/binding"
	"carawaypick/internal/peer/peerpb"
)

func TestAgentRunsOnce(t *testing.T) {
	t.Run("concurrent sends of one request run once and all get the answer", func(t *testing.T) {
		f := newFixture(t)
		release := f.holdRuns()
		tok := f.token()
		var ends []<-chan *peerpb.RunEvent
		for i := range 6 {
			r := bound(tok, "fee")
			r.Send = uint32(i + 1)
			ends = append(ends, f.start(r))
		}
		f.eventually(func() bool { return f.running.Load() == 1 })
		release()
		for _, end := range ends {
			require.NotNil(t, (<-end).GetFinal())
		}
		assert.Equal(t, 1, f.runCount(tok.IDPrefix()+".fee"))
	})
	t.Run("a run continues after its entry disconnected", func(t *testing.T) {
		f := newFixture(t)
		release := f.holdRuns()
		r := bound(f.token(), "fee")
		ctx, cancel := context.WithCancel(context.Background())
		left := make(chan error, 1)
		go func() { left <- f.agent.Run(r, &recorder{ctx: ctx}) }()
		f.eventually(func() bool { return f.running.Load() == 1 })
		cancel()
		require.Error(t, <-left)
		release()
		require.NotNil(t, f.call(r).GetFinal())
		assert.Equal(t, 1, f.runCount(r.GetId()))
	})
	t.Run("the outcome of a truncated answer stays unknown", func(t *testing.T) {
		f := newFixture(t)
		f.set(func() {
			f.handler = func(context.Context, Task, func(Event) error) (Summary, error) { return Summary{}, ErrTruncated }
		})
		r := bound(f.token(), "fee")
		requireRefusal(t, f.call(r), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonTruncated)
		r.Send = 2
		requireRefusal(t, f.call(r), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonTruncated)
		assert.Equal(t, 1, f.runCount(r.GetId()))
	})
	t.Run("a failed dial proves that nothing ran, and a later send runs", func(t *testing.T) {
		f := newFixture(t)
		f.set(func() {
			f.handler = func(context.Context, Task, func(Event) error) (Summary, error) { return Summary{}, ErrNotSent }
		})
		r := bound(f.token(), "fee")
		requireRefusal(t, f.call(r), peerpb.Outcome_OUTCOME_NOTRUN, ReasonDown)
		f.set(func() { f.handler = echoBody })
		requireRefusal(t, f.call(r), peerpb.Outcome_OUTCOME_NOTRUN, binding.ReasonSealed)
		r.Send = 2
		f.eventually(func() bool { return f.agent.report("").GetState() == StateLive })
		require.NotNil(t, f.call(r).GetFinal())
	})
	t.Run("a request that is rejected while queued is not sent", func(t *testing.T) {
		f := newFixture(t)
		release := f.holdRuns()
		var ends []<-chan *peerpb.RunEvent
		for i := range warmLimit {
			ends = append(ends, f.start(request(fmt.Sprint("r", i))))
		}
		f.eventually(func() bool { return f.running.Load() == warmLimit })
		r := bound(f.token(), "fee")
		waiting := f.start(r)
		f.eventually(func() bool { return f.agent.report("").GetQueued() == 1 })
		require.True(t, f.agent.table.Reject(r.GetId(), 1))
		release()
		for _, end := range ends {
			<-end
		}
		assert.Equal(t, peerpb.Outcome_OUTCOME_NOTRUN, (<-waiting).GetRefusal().GetOutcome())
		f.eventually(f.agent.Idle)
		assert.Zero(t, f.runCount(r.GetId()))
	})
	t.Run("a leaving agent rejects new requests and replays stored answers", func(t *testing.T) {
		f := newFixture(t)
		tok := f.token()
		require.NotNil(t, f.call(bound(tok, "old")).GetFinal())
		f.agent.Leave()
		require.NotNil(t, f.call(bound(tok, "old")).GetFinal())
		requireRefusal(t, f.call(bound(tok, "new")), peerpb.Outcome_OUTCOME_NOTRUN, StateLeaving)
	})
}
