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
	crashOn := func(f *fixture, poison string) {
		f.set(func() {
			f.handler = func(ctx context.Context, task Task, emit func(Event) error) (Summary, error) {
				if string(task.Body) != poison {
					return echoBody(ctx, task, emit)
				}
				f.set(func() { f.load = LoadReport{Incarnation: f.load.Incarnation + "x"} })
				return Summary{}, ErrTruncated
			}
		})
	}
	t.Run("reports the contents in flight and quarantines after a second, isolated crash", func(t *testing.T) {
		f := newFixture(t)
		crashOn(f, "poison")
		requireRefusal(t, f.call(request("poison")), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonCrash)
		requireRefusal(t, f.call(request("poison")), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonCrash)
		requireRefusal(t, f.call(request("poison")), peerpb.Outcome_OUTCOME_FAILED, ReasonQuarantined)
		assert.Equal(t, 2, f.runCount("poison"))
		require.NotNil(t, f.call(request("innocent")).GetFinal())
	})
	t.Run("nothing is dispatched after a truncated answer before the next report", func(t *testing.T) {
		f := newFixture(t)
		holdReports := make(chan struct{})
		f.set(func() {
			f.handler = func(ctx context.Context, task Task, emit func(Event) error) (Summary, error) {
				if string(task.Body) == "cut" {
					f.set(func() { f.holdReports = holdReports })
					return Summary{}, ErrTruncated
				}
				return echoBody(ctx, task, emit)
			}
		})
		cut := f.start(request("cut"))
		f.eventually(func() bool { return f.reportHeld.Load() })
		next := f.start(request("next"))
		f.eventually(func() bool { return f.agent.report("").GetQueued() == 1 })
		f.agent.dispatchQueued()
		assert.Zero(t, f.runCount("next"))
		close(holdReports)
		requireRefusal(t, <-cut, peerpb.Outcome_OUTCOME_UNKNOWN, ReasonTruncated)
		require.NotNil(t, (<-next).GetFinal())
	})
	t.Run("a suspect runs isolated", func(t *testing.T) {
		f := newFixture(t)
		release := f.holdRuns()
		suspect := request("suspect")
		suspect.Suspect = true
		first := f.start(suspect)
		f.eventually(func() bool { return f.running.Load() == 1 })
		second := f.start(request("neighbour"))
		f.eventually(func() bool { return f.agent.report("").GetQueued() == 1 })
		f.agent.dispatchQueued()
		assert.EqualValues(t, 1, f.running.Load())
		release()
		require.NotNil(t, (<-first).GetFinal())
		require.NotNil(t, (<-second).GetFinal())
		assert.EqualValues(t, 1, f.peak.Load())
	})
	t.Run("a truncated answer without a crash creates no crash report", func(t *testing.T) {
		f := newFixture(t)
		f.set(func() {
			f.handler = func(context.Context, Task, func(Event) error) (Summary, error) { return Summary{}, ErrTruncated }
		})
		requireRefusal(t, f.call(request("cut")), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonTruncated)
		assert.Empty(t, f.member.Evidence())
	})
	t.Run("a completed run elsewhere clears a suspect", func(t *testing.T) {
		f := newFixture(t)
		content := request("innocent").GetFingerprint()
		f.member.AddEvidence(&peerpb.Evidence{Crash: "a8/1/x", Contents: []uint64{content}, Age: 20})
		require.NotNil(t, f.call(request("innocent")).GetFinal())
		f.eventually(func() bool { return slices.ContainsFunc(f.member.Evidence(), (*peerpb.Evidence).GetWhole) })
		other := newFixture(t)
		other.member.AddEvidence(f.member.Evidence()...)
		crashOn(other, "innocent")
		requireRefusal(t, other.call(request("innocent")), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonCrash)
		other.set(func() { other.handler = echoBody })
		require.NotNil(t, other.call(request("innocent")).GetFinal(), "quarantined although a completed run had cleared the content")
	})
	t.Run("crash reports of other processes count", func(t *testing.T) {
		f := newFixture(t)
		content := request("poison").GetFingerprint()
		for _, name := range []string{"a8/1/x", "a9/1/x"} {
			f.member.AddEvidence(&peerpb.Evidence{Crash: name, Contents: []uint64{content}, Alone: true})
		}
		requireRefusal(t, f.call(request("poison")), peerpb.Outcome_OUTCOME_FAILED, ReasonQuarantined)
		assert.Zero(t, f.runCount("poison"))
	})
}
