package backend

import (
	"context"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/peer/peerpb"
)

func TestAgentCrash(t *testing.T) {
	crash := func(b *bench, marked string) {
		b.set(func() {
			b.work = func(ctx context.Context, task Task, emit func(Piece) error) (End, error) {
				if string(task.Body) != marked {
					return whole(ctx, task, emit)
				}
				b.set(func() { b.load = Load{Incarnation: b.load.Incarnation + "x"} })
				return End{}, ErrCut
			}
		})
	}
	t.Run("names the contents in flight and condemns after a second one alone", func(t *testing.T) {
		b := newBench(t)
		crash(b, "poison")
		requireRefusal(t, b.call(request("poison")), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonCrash)
		requireRefusal(t, b.call(request("poison")), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonCrash)
		requireRefusal(t, b.call(request("poison")), peerpb.Outcome_OUTCOME_FAILED, ReasonCondemned)
		assert.Equal(t, 2, b.ran("poison"))
		require.NotNil(t, b.call(request("innocent")).GetFinal())
	})
	t.Run("gets no work after a broken answer before the next report", func(t *testing.T) {
		b := newBench(t)
		hold := make(chan struct{})
		b.set(func() {
			b.work = func(ctx context.Context, task Task, emit func(Piece) error) (End, error) {
				if string(task.Body) == "cut" {
					b.set(func() { b.hold = hold })
					return End{}, ErrCut
				}
				return whole(ctx, task, emit)
			}
		})
		cut := b.start(request("cut"))
		b.eventually(func() bool { return b.asked.Load() })
		next := b.start(request("next"))
		b.eventually(func() bool { return b.agent.report("").GetQueued() == 1 })
		b.agent.pump()
		assert.Zero(t, b.ran("next"))
		close(hold)
		requireRefusal(t, <-cut, peerpb.Outcome_OUTCOME_UNKNOWN, ReasonCut)
		require.NotNil(t, (<-next).GetFinal())
	})
	t.Run("a suspect runs alone", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		suspect := request("suspect")
		suspect.Suspect = true
		first := b.start(suspect)
		b.eventually(func() bool { return b.running.Load() == 1 })
		second := b.start(request("neighbour"))
		b.eventually(func() bool { return b.agent.report("").GetQueued() == 1 })
		b.agent.pump()
		assert.EqualValues(t, 1, b.running.Load())
		open()
		require.NotNil(t, (<-first).GetFinal())
		require.NotNil(t, (<-second).GetFinal())
		assert.EqualValues(t, 1, b.peak.Load())
	})
	t.Run("a cut without a crash accuses nobody", func(t *testing.T) {
		b := newBench(t)
		b.set(func() {
			b.work = func(context.Context, Task, func(Piece) error) (End, error) { return End{}, ErrCut }
		})
		requireRefusal(t, b.call(request("cut")), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonCut)
		assert.Empty(t, b.member.Evidence())
	})
	t.Run("a suspect that ran whole elsewhere is a suspect no more", func(t *testing.T) {
		b := newBench(t)
		content := request("innocent").GetFingerprint()
		b.member.AddEvidence(&peerpb.Evidence{Crash: "a8/1/x", Contents: []uint64{content}, Age: 20})
		require.NotNil(t, b.call(request("innocent")).GetFinal())
		b.eventually(func() bool { return slices.ContainsFunc(b.member.Evidence(), (*peerpb.Evidence).GetWhole) })
		other := newBench(t)
		other.member.AddEvidence(b.member.Evidence()...)
		crash(other, "innocent")
		requireRefusal(t, other.call(request("innocent")), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonCrash)
		other.set(func() { other.work = whole })
		require.NotNil(t, other.call(request("innocent")).GetFinal(), "two coincidences condemned it")
	})
	t.Run("evidence from elsewhere counts", func(t *testing.T) {
		b := newBench(t)
		content := request("poison").GetFingerprint()
		for _, name := range []string{"a8/1/x", "a9/1/x"} {
			b.member.AddEvidence(&peerpb.Evidence{Crash: name, Contents: []uint64{content}, Alone: true})
		}
		requireRefusal(t, b.call(request("poison")), peerpb.Outcome_OUTCOME_FAILED, ReasonCondemned)
		assert.Zero(t, b.ran("poison"))
	})
}
