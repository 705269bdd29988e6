package e2e

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/internal/standin"
	"carawaypick/pkg/clock"
)

// countStreams returns the number of streams that the engines started, by request id and in total.
func (fx *fixture) countStreams() (streams map[string]int, total int) {
	streams = map[string]int{}
	for _, e := range fx.Engines {
		for _, request := range e.Record().Requests {
			streams[request.ID]++
			total++
		}
	}
	return streams, total
}

func countComplete(t *testing.T, calls []testCall) (complete int) {
	t.Helper()
	for _, tc := range calls {
		if assertValid(t, tc) {
			complete++
		}
	}
	return complete
}

// modelCallsWithDeadline is like modelCalls, but sets the deadline of each call, in ms.
func modelCallsWithDeadline(tokens int, deadline clock.Span) func(worker, iteration int) testCall {
	return func(worker, iteration int) testCall {
		tc := modelCalls(tokens)(worker, iteration)
		tc.call.Deadline = deadline
		return tc
	}
}

// TestTeamKeepsItsShareDuringFlood floods the fleet from one team while another team with the same share sends twice the
// engines' capacity, and checks that the other team gets at least half of its share.
func TestTeamKeepsItsShareDuringFlood(t *testing.T) {
	const capacity = 4
	fx := startFixture(t, fixtureOptions{entries: 3, engines: 2, plainServers: 1, capacity: capacity, coldCapacity: capacity})
	fx.setEngineFaults(func(f *standin.EngineFault) {
		f.Interval, f.MaxConcurrency, f.MaxColdConcurrency = 10, capacity, capacity
	})
	flood := fx.startLoad(modelService, 60, modelCallsWithDeadline(10, 10*clock.Second))
	fx.eventually("flood uses the unused shares of other teams", func() bool {
		for _, e := range fx.Engines {
			if e.Record().PeakRunning < capacity {
				return false
			}
		}
		return true
	})
	before := flood.endedCount()
	other := fx.startTeamLoad("noche", modelService, 4*capacity, modelCallsWithDeadline(10, 10*clock.Second))
	fx.awaitCalls(other, 60)
	flooded := flood.endedCount() - before
	answers := other.drain()
	for _, tc := range answers {
		assertComplete(t, tc)
	}
	t.Logf("%d answers for the flooding team while the other got %d", flooded, len(answers))
	// The shares are equal, so half of a share is a quarter of all answers.
	assert.GreaterOrEqual(t, 3*len(answers), flooded, "other team got less than half of its share")
	countComplete(t, flood.drain())
	for name, e := range fx.Engines {
		assert.Zero(t, e.Record().OverloadCrashes, "%s crashed by overload", name)
	}
}

// TestOverloadPreservesGoodput sends several times the engines' capacity, with deadlines that not all requests can meet,
// and checks that at least 90 % of the started streams are completed.
func TestOverloadPreservesGoodput(t *testing.T) {
	const capacity = 4
	deadline := 400 * clock.Millisecond
	fx := startFixture(t, fixtureOptions{entries: 3, engines: 2, plainServers: 1, capacity: capacity, coldCapacity: capacity})
	fx.setEngineFaults(func(f *standin.EngineFault) {
		f.Interval, f.MaxConcurrency, f.MaxColdConcurrency = 10, capacity, capacity
	})
	baseline := fx.startLoad(modelService, capacity, modelCallsWithDeadline(10, 10*clock.Second))
	fx.awaitCalls(baseline, 100)
	for _, tc := range baseline.drain() {
		assertComplete(t, tc)
	}
	_, before := fx.countStreams()
	load := fx.startLoad(modelService, 12*capacity, modelCallsWithDeadline(10, deadline))
	fx.awaitCalls(load, 600)
	calls := load.drain()
	streams, total := fx.countStreams()
	total -= before
	complete, rejected := 0, 0
	for _, tc := range calls {
		if assertValid(t, tc) {
			complete++
			continue
		}
		rejected++
		if tc.answer.Outcome == standin.NotRun {
			assert.Zero(t, streams[tc.call.ID], "%s ran but its outcome is notrun: %s", tc.call.ID, tc.answer.Reason)
		}
	}
	t.Logf("%d complete, %d rejected, %d streams", complete, rejected, total)
	assert.Positive(t, rejected, "no call was rejected")
	assert.GreaterOrEqual(t, 10*complete, 9*total, "too many streams were not completed")
	for name, e := range fx.Engines {
		assert.Zero(t, e.Record().OverloadCrashes, "%s crashed by overload", name)
	}
}

// TestRetryBudgetBoundsAttempts makes every stream fail and checks that there are at most two attempts per call on average.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 2, engines: 4, plainServers: 1})
	fx.setEngineFaults(func(f *standin.EngineFault) { f.Interval, f.CutIndex, f.CutsLeft = 1, 0, 1_000_000 })
	load := fx.startLoad(modelService, 8, modelCalls(4))
	fx.awaitCalls(load, 400)
	calls := load.drain()
	_, total := fx.countStreams()
	t.Logf("%d calls, %d streams", len(calls), total)
	assert.Zero(t, countComplete(t, calls))
	assert.LessOrEqual(t, total, 2*len(calls), "retries multiply an outage")
}

// TestExpiredRequestsNeverReachEngine queues requests for a busy engine and checks that those whose deadline passes in the
// queue don't reach it.
func TestExpiredRequestsNeverReachEngine(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 1, engines: 1, plainServers: 1, capacity: 1, coldCapacity: 1})
	fx.setEngineFaults(func(f *standin.EngineFault) { f.Interval, f.MaxConcurrency, f.MaxColdConcurrency = 20, 1, 1 })
	c := fx.newCaller(modelService, "zone-a")
	longCall := newModelCall(basePrompt+", larga", 60)
	first := async(func() testCall { return longCall.send(t.Context(), c) })
	fx.awaitStream(longCall.call.ID)
	shortResults := []<-chan testCall{}
	for i := range 5 {
		tc := newModelCall(fmt.Sprint(basePrompt, ", breve ", i), 2)
		tc.call.Deadline = 200 * clock.Millisecond
		shortResults = append(shortResults, async(func() testCall { return tc.send(t.Context(), c) }))
	}
	for _, result := range shortResults {
		tc := <-result
		assert.Equal(t, standin.NotRun, tc.answer.Outcome, "%s", tc.answer.Reason)
		assert.Zero(t, fx.streamCount(tc.call.ID), "%s ran", tc.call.ID)
	}
	assertComplete(t, <-first)
	assertComplete(t, newModelCall(basePrompt+", después", 2).send(t.Context(), c))
}
