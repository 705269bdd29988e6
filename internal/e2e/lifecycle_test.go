package e2e

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/config"
	"carawaypick/internal/standin"
	"carawaypick/internal/standin/fleet"
	"carawaypick/pkg/clock"
)

// requestCount returns the number of requests that an engine has received.
func (fx *fixture) requestCount(name string) int {
	return len(fx.Engines[name].Record().Requests)
}

// engineInZone returns the name of the agent of an engine in a zone.
func (fx *fixture) engineInZone(zone string) string {
	fx.t.Helper()
	for name := range fx.Engines {
		if fx.agent(name).Settings.Zone == zone {
			return name
		}
	}
	require.Fail(fx.t, "no engine in "+zone)
	return ""
}

// streamCount returns the number of streams that all engines started for a request.
func (fx *fixture) streamCount(id string) (count int) {
	for _, e := range fx.Engines {
		for _, r := range e.Record().Requests {
			if r.ID == id {
				count++
			}
		}
	}
	return count
}

// modelCalls returns a function that makes model calls with a different prompt for each worker and iteration.
func modelCalls(tokens int) func(worker, iteration int) testCall {
	return func(worker, iteration int) testCall {
		return newModelCall(fmt.Sprintf("%s, mesa %d, pregunta %d", basePrompt, worker, iteration), tokens)
	}
}

// assertNoNewRequests checks that an engine gets no request until 40 more calls of the load have ended.
func (fx *fixture) assertNoNewRequests(name string, load *loadGenerator) {
	fx.t.Helper()
	before := fx.requestCount(name)
	fx.awaitCalls(load, 40)
	assert.Equal(fx.t, before, fx.requestCount(name), "%s got new requests", name)
}

// assertSentOnce checks that all calls are complete and that no caller had to send a call again.
func assertSentOnce(t *testing.T, calls []testCall) {
	t.Helper()
	resent := 0
	for _, tc := range calls {
		assertComplete(t, tc)
		if tc.answer.Sends > 1 {
			resent++
		}
	}
	assert.Zero(t, resent, "calls sent again, of %d", len(calls))
}

// TestZoneOutGetsNoNewRequests takes a zone out under load, while the instance list lags and an entry is paused, and checks
// that the zone gets no new requests, that running requests finish there, and that the zone gets requests again once it is
// back in.
func TestZoneOutGetsNoNewRequests(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 3, engines: 3, plainServers: 1, capacity: 8, coldCapacity: 2})
	fx.setEngineFaults(func(f *standin.EngineFault) { f.MaxConcurrency, f.MaxColdConcurrency = 8, 2 })
	for _, l := range fx.Lists {
		l.SetFault(func(f *standin.ListFault) { f.Lag = 20 * clock.Second })
	}
	c := fx.newCaller(modelService, "zone-a") // its entry is not paused
	load := fx.startLoad(modelService, 6, modelCalls(6))
	fx.awaitCalls(load, 60)
	agentName := fx.engineInZone("zone-b")
	longCall := newModelCall(basePrompt+", discurso largo", 700) // streams for at least 3.5 s, longer than removalLimit
	result := async(func() testCall { return longCall.send(t.Context(), c) })
	for fx.awaitStream(longCall.call.ID) != agentName {
		longCall = newModelCall(basePrompt+", discurso largo "+fmt.Sprint(fx.requestCount(agentName)), 700)
		result = async(func() testCall { return longCall.send(t.Context(), c) })
	}
	paused := fx.Entries[1]
	require.NoError(t, paused.Pause())
	fx.publish(zoneObjects("zone-b", "out"))
	fx.sleep(removalLimit)
	require.NoError(t, paused.Resume())
	fx.assertNoNewRequests(agentName, load)
	answered := <-result
	assertComplete(t, answered)
	assert.Equal(t, 1, fx.streamCount(longCall.call.ID), "running stream was moved to another engine")
	fx.subtest("zone back in", func(t *testing.T) {
		fx.publish(zoneObjects("zone-b", "in"))
		before := fx.requestCount(agentName)
		fx.eventually("new requests in the zone", func() bool { return fx.requestCount(agentName) > before })
	})
	for _, tc := range load.drain() {
		if tc.zone == paused.Settings.Zone {
			assertValid(t, tc) // sent through the paused entry, which may reject it
			continue
		}
		assertComplete(t, tc)
	}
	for name, e := range fx.Engines {
		assert.Zero(t, e.Record().OverloadCrashes, "%s crashed by overload", name)
	}
}

// extendDrain makes a graceful shutdown last longer than the lag and the poll interval of the instance list and the TTL of
// located addresses.
func extendDrain(c *config.Settings) {
	c.Timing.DrainPeriod = 4 * clock.Second
}

// shutDown shuts processes down as the platform does: with SIGTERM and the state leaving in the instance list. The
// signal and the new state may reach a process in either order.
func (fx *fixture) shutDown(processes ...*fleet.Process) {
	fx.t.Helper()
	for _, p := range processes {
		require.NoError(fx.t, p.Terminate())
		require.NoError(fx.t, fx.SetInstanceState(p, "leaving"))
	}
	for _, p := range processes {
		require.NoError(fx.t, p.Wait(fx.t.Context()))
	}
}

// TestLeavingBackendGetsNoNewRequests checks that a backend server gets no new requests once the instance list shows it as
// leaving or its agent has received SIGTERM.
func TestLeavingBackendGetsNoNewRequests(t *testing.T) {
	for _, trigger := range []string{"list", "signal"} {
		t.Run("by "+trigger, func(t *testing.T) {
			fx := startFixture(t, fixtureOptions{entries: 3, engines: 3, plainServers: 1, changeSettings: extendDrain})
			load := fx.startLoad(modelService, 6, modelCalls(20))
			fx.awaitCalls(load, 20)
			leaving := fx.agent(modelService + "-1")
			if trigger == "list" {
				require.NoError(t, fx.SetInstanceState(leaving, "leaving"))
			} else {
				require.NoError(t, leaving.Terminate())
			}
			fx.sleep(removalLimit)
			fx.assertNoNewRequests(modelService+"-1", load)
			assertSentOnce(t, load.drain())
		})
	}
}

// TestLeavingEntryInterruptsNoCalls shuts an entry down while callers keep its address until the TTL expires, and checks
// that no call is interrupted.
func TestLeavingEntryInterruptsNoCalls(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 3, engines: 2, plainServers: 1, changeSettings: extendDrain})
	load := fx.startLoad(modelService, 6, modelCalls(20))
	fx.awaitCalls(load, 20)
	fx.shutDown(fx.Entries[0])
	fx.awaitCalls(load, 20)
	assertSentOnce(t, load.drain())
}

// TestRollingRestartInterruptsNoCalls restarts the entries and agents under load, one zone after the other, and checks that
// no call is interrupted.
func TestRollingRestartInterruptsNoCalls(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 3, engines: 3, plainServers: 3, changeSettings: extendDrain})
	modelLoad := fx.startLoad(modelService, 4, modelCalls(20))
	plainLoad := fx.startLoad(plainService, 2, func(int, int) testCall { return newIdempotentCall() })
	fx.awaitCalls(modelLoad, 20)
	for i := range fx.Entries {
		batch := []*fleet.Process{fx.Entries[i], fx.agent(fmt.Sprint(modelService, "-", i+1)), fx.agent(fmt.Sprint(plainService, "-", i+1))}
		fx.shutDown(batch...)
		for _, p := range batch {
			require.NoError(t, p.Start())
			require.NoError(t, fx.SetInstanceState(p, "live"))
			require.NoError(t, p.AwaitReady(t.Context()))
		}
		fx.awaitBackends()
	}
	fx.awaitCalls(modelLoad, 20)
	assertSentOnce(t, modelLoad.drain())
	assertSentOnce(t, plainLoad.drain())
}

// TestColdRestartKeepsSlowStart restarts engines cold, without warning, under full load from all entries, and checks that
// slow start prevents an overload of the restarted engines.
func TestColdRestartKeepsSlowStart(t *testing.T) {
	const capacity, coldCapacity = 8, 2
	fx := startFixture(t, fixtureOptions{entries: 3, engines: 3, plainServers: 1, capacity: capacity, coldCapacity: coldCapacity})
	fx.setEngineFaults(func(f *standin.EngineFault) {
		f.MaxConcurrency, f.MaxColdConcurrency, f.Interval = capacity, coldCapacity, 2
	})
	load := fx.startLoad(modelService, 36, modelCalls(12))
	atCapacity := func() bool {
		for _, e := range fx.Engines {
			if e.Record().PeakRunning < capacity {
				return false
			}
		}
		return true
	}
	fx.eventually("all engines reach their capacity", atCapacity)
	for name, e := range fx.Engines {
		fx.subtest(name+" restarts", func(t *testing.T) {
			incarnation := e.Record().Incarnation
			e.Restart()
			fx.eventually("requests completed by the new incarnation", func() bool { return fx.completedSince(name, incarnation) >= 4*capacity })
		})
	}
	fx.subtest("all restart at once", func(t *testing.T) {
		for _, e := range fx.Engines {
			e.Restart()
		}
		fx.awaitCalls(load, 8*capacity)
	})
	calls := load.drain()
	complete := 0
	for _, tc := range calls {
		if assertValid(t, tc) {
			complete++
		}
	}
	t.Logf("%d of %d answers are complete", complete, len(calls))
	for name, e := range fx.Engines {
		assert.Zero(t, e.Record().OverloadCrashes, "%s crashed by overload", name)
	}
}

// completedSince returns the number of requests that an engine has completed after the last request of the incarnation previous.
func (fx *fixture) completedSince(name, previous string) (count int) {
	for _, r := range fx.Engines[name].Record().Requests {
		if r.Incarnation == previous {
			count = 0
			continue
		}
		if r.Outcome == "end" {
			count++
		}
	}
	return count
}
