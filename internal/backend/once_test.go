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
	t.Run("many sends of one identifier run once and all get the answer", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		tok := b.token()
		var ends []<-chan *peerpb.RunEvent
		for i := range 6 {
			r := bound(tok, "fee")
			r.Send = uint32(i + 1)
			ends = append(ends, b.start(r))
		}
		b.eventually(func() bool { return b.running.Load() == 1 })
		open()
		for _, end := range ends {
			require.NotNil(t, (<-end).GetFinal())
		}
		assert.Equal(t, 1, b.ran(tok.Key()+".fee"))
	})
	t.Run("a run goes on when its entry is gone", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		r := bound(b.token(), "fee")
		ctx, cancel := context.WithCancel(context.Background())
		left := make(chan error, 1)
		go func() { left <- b.agent.Run(r, &wire{ctx: ctx}) }()
		b.eventually(func() bool { return b.running.Load() == 1 })
		cancel()
		require.Error(t, <-left)
		open()
		require.NotNil(t, b.call(r).GetFinal())
		assert.Equal(t, 1, b.ran(r.GetId()))
	})
	t.Run("a broken answer stays unknown", func(t *testing.T) {
		b := newBench(t)
		b.set(func() {
			b.work = func(context.Context, Task, func(Piece) error) (End, error) { return End{}, ErrCut }
		})
		r := bound(b.token(), "fee")
		requireRefusal(t, b.call(r), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonCut)
		r.Send = 2
		requireRefusal(t, b.call(r), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonCut)
		assert.Equal(t, 1, b.ran(r.GetId()))
	})
	t.Run("a dial that fails proves that nothing ran and a later send may", func(t *testing.T) {
		b := newBench(t)
		b.set(func() {
			b.work = func(context.Context, Task, func(Piece) error) (End, error) { return End{}, ErrNever }
		})
		r := bound(b.token(), "fee")
		requireRefusal(t, b.call(r), peerpb.Outcome_OUTCOME_NOTRUN, ReasonDown)
		b.set(func() { b.work = whole })
		requireRefusal(t, b.call(r), peerpb.Outcome_OUTCOME_NOTRUN, binding.ReasonSealed)
		r.Send = 2
		b.eventually(func() bool { return b.agent.report("").GetState() == StateLive })
		require.NotNil(t, b.call(r).GetFinal())
	})
	t.Run("an identifier that was refused while it waited is not handed over", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		var ends []<-chan *peerpb.RunEvent
		for i := range bears {
			ends = append(ends, b.start(request(fmt.Sprint("r", i))))
		}
		b.eventually(func() bool { return b.running.Load() == bears })
		r := bound(b.token(), "fee")
		waiting := b.start(r)
		b.eventually(func() bool { return b.agent.report("").GetQueued() == 1 })
		require.True(t, b.agent.table.Refuse(r.GetId(), 1))
		open()
		for _, end := range ends {
			<-end
		}
		assert.Equal(t, peerpb.Outcome_OUTCOME_NOTRUN, (<-waiting).GetRefusal().GetOutcome())
		b.eventually(b.agent.Idle)
		assert.Zero(t, b.ran(r.GetId()))
	})
	t.Run("a leaving agent refuses new identifiers and still gives held answers", func(t *testing.T) {
		b := newBench(t)
		tok := b.token()
		require.NotNil(t, b.call(bound(tok, "old")).GetFinal())
		b.agent.Leave()
		require.NotNil(t, b.call(bound(tok, "old")).GetFinal())
		requireRefusal(t, b.call(bound(tok, "new")), peerpb.Outcome_OUTCOME_NOTRUN, StateLeaving)
	})
}
