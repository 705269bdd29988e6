package e2e

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/standin"
	"carawaypick/internal/standin/fleet"
	"carawaypick/pkg/clock"
)

const basePrompt = "Verificar: la congresista dijo que «subió un 12 %» en la sesión del martes"

func (fx *fixture) setEngineFaults(change func(*standin.EngineFault)) {
	for _, e := range fx.Engines {
		e.SetFault(change)
	}
}

// awaitStream waits until an engine has sent an event of a request's stream and returns the name of the engine's agent.
func (fx *fixture) awaitStream(id string) (name string) {
	fx.t.Helper()
	return fx.awaitEvents(id, 1)
}

// awaitEvents waits until an engine runs a request and has sent a number of its events, and returns the name of the engine's
// agent.
func (fx *fixture) awaitEvents(id string, count int) (name string) {
	fx.t.Helper()
	fx.eventually(id+" has started", func() bool {
		for agentName, e := range fx.Engines {
			for _, r := range e.Record().Requests {
				if r.ID == id && r.Outcome == "running" && r.EventsSent >= count {
					name = agentName
					return true
				}
			}
		}
		return false
	})
	return name
}

// callUntilRetried sends calls under a fault until one is retried, and checks that each answer is complete.
func (fx *fixture) callUntilRetried(c *standin.Caller, tokens int, inject func()) {
	fx.t.Helper()
	const maxCalls = 50
	for range maxCalls {
		inject()
		tc := newModelCall(fmt.Sprint(callSequence.Load(), " ", basePrompt), tokens).send(fx.t.Context(), c)
		assertComplete(fx.t, tc)
		if tc.answer.Attempt > 1 || fx.t.Failed() {
			return
		}
	}
	assert.Fail(fx.t, "no call was retried")
}

// TestStreamsAreCompleteUnderFaults interrupts streams with faults of engines, agents and links, and compares the text that
// callers receive with the deterministic complete answer.
func TestStreamsAreCompleteUnderFaults(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 2, engines: 3, plainServers: 1, proxiedLinks: []string{fleet.PeerLink, fleet.BackendLink}})
	c := fx.newCaller(modelService, "zone-a")
	const tokens = 6
	fx.subtest("cut before every event", func(t *testing.T) {
		for k := 1; k <= tokens; k++ {
			fx.setEngineFaults(func(f *standin.EngineFault) { f.CutIndex, f.CutsLeft = k, 1 })
			assertComplete(t, newModelCall(fmt.Sprintf("%s, corte %d", basePrompt, k), tokens).send(t.Context(), c))
		}
		fx.setEngineFaults(func(f *standin.EngineFault) { f.CutsLeft = 0 })
	})
	setTwoEngineFaults := func(change func(*standin.EngineFault)) {
		fx.Engines[modelService+"-1"].SetFault(change)
		fx.Engines[modelService+"-2"].SetFault(change)
	}
	fx.subtest("cut before the first event at two engines of three", func(t *testing.T) {
		fx.callUntilRetried(c, tokens, func() {
			setTwoEngineFaults(func(f *standin.EngineFault) { f.CutIndex, f.CutsLeft = 0, 1 })
		})
		fx.setEngineFaults(func(f *standin.EngineFault) { f.CutsLeft = 0 })
	})
	fx.subtest("another request's answer at two engines of three", func(t *testing.T) {
		fx.callUntilRetried(c, tokens, func() {
			setTwoEngineFaults(func(f *standin.EngineFault) { f.SwapsLeft = 1 })
		})
		fx.setEngineFaults(func(f *standin.EngineFault) { f.SwapsLeft = 0 })
	})
	fx.subtest("another request's answer at all engines is not forwarded", func(t *testing.T) {
		fx.setEngineFaults(func(f *standin.EngineFault) { f.SwapsLeft = 100 })
		assert.False(t, assertValid(t, newModelCall(basePrompt+", ajena", tokens).send(t.Context(), c)))
		fx.setEngineFaults(func(f *standin.EngineFault) { f.SwapsLeft = 0 })
	})
	fx.setEngineFaults(func(f *standin.EngineFault) { f.Interval = 15 })
	faults := []struct {
		name   string
		inject func(agentName string)
		revert func(agentName string)
	}{
		{"engine restarts cold", func(n string) { fx.Engines[n].Restart() }, nil},
		{
			"engine stalls",
			func(n string) { fx.Engines[n].SetFault(func(f *standin.EngineFault) { f.Stall = true }) },
			func(n string) { fx.Engines[n].SetFault(func(f *standin.EngineFault) { f.Stall = false }) },
		},
		{
			"link to the agent breaks",
			func(n string) { fx.cutLink(fleet.Link{Kind: fleet.PeerLink, To: n}) },
			func(n string) { fx.restoreLink(fleet.Link{Kind: fleet.PeerLink, To: n}) },
		},
		{
			"link to the engine breaks",
			func(n string) { fx.cutLink(fleet.Link{Kind: fleet.BackendLink, To: n}) },
			func(n string) { fx.restoreLink(fleet.Link{Kind: fleet.BackendLink, To: n}) },
		},
		{
			"agent is paused",
			func(n string) { require.NoError(t, fx.agent(n).Pause()) },
			func(n string) { require.NoError(t, fx.agent(n).Resume()) },
		},
		{
			"agent dies",
			func(n string) { require.NoError(t, fx.agent(n).Kill()) },
			func(n string) { require.NoError(t, fx.agent(n).Start()) },
		},
	}
	for _, f := range faults {
		fx.subtest(f.name, func(t *testing.T) {
			tc := newModelCall(basePrompt+", "+f.name, 40)
			result := async(func() testCall { return tc.send(t.Context(), c) })
			name := fx.awaitStream(tc.call.ID)
			f.inject(name)
			answered := <-result
			if f.revert != nil {
				f.revert(name)
			}
			assertComplete(t, answered)
			assert.Greater(t, answered.answer.Attempt, 1, "stream ended before the fault took effect")
			fx.awaitBackends()
		})
	}
}

// TestAnswersMatchTheirRequests checks that callers get no other request's answer from a plain service that swaps,
// duplicates or delays its answers.
func TestAnswersMatchTheirRequests(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 2, engines: 1, plainServers: 2})
	c := fx.newCaller(plainService, "zone-a")
	cases := []struct {
		name   string
		change func(*standin.PlainFault)
	}{
		{"swapped", func(f *standin.PlainFault) { f.SwapResponses = true }},
		{"duplicated", func(f *standin.PlainFault) { f.DuplicateResponses = true }},
		{"delayed", func(f *standin.PlainFault) { f.ResponseDelay = 30 * clock.Millisecond }},
	}
	for _, test := range cases {
		fx.subtest(test.name, func(t *testing.T) {
			for _, p := range fx.Plains {
				p.SetFault(test.change)
			}
			for range 10 {
				assertValid(t, newIdempotentCall().send(t.Context(), c))
				assertValid(t, newNonIdempotentCall(fx.awaitBinding(c)).send(t.Context(), c))
			}
			for _, p := range fx.Plains {
				p.SetFault(func(f *standin.PlainFault) { *f = standin.PlainFault{} })
			}
			assertComplete(t, newIdempotentCall().send(t.Context(), c))
		})
	}
}

// TestCallGivesUpAsAgentsAreSilent guards an idempotent call against an end as "unknown" where its agent is paused and the
// reports of the others are late, though there is time left.
func TestCallGivesUpAsAgentsAreSilent(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 2, engines: 3, plainServers: 1})
	c := fx.newCaller(modelService, "zone-a")
	fx.setEngineFaults(func(f *standin.EngineFault) { f.Interval = 300 })
	tc := newModelCall(basePrompt+", en pausa", 3)
	result := async(func() testCall { return tc.send(t.Context(), c) })
	chosen := fx.awaitEvents(tc.call.ID, 0)
	names := slices.Collect(maps.Keys(fx.Engines))
	for _, name := range names {
		require.NoError(t, fx.agent(name).Pause())
	}
	time.Sleep(1500 * time.Millisecond)
	for _, name := range names {
		if name != chosen {
			require.NoError(t, fx.agent(name).Resume())
		}
	}
	assertComplete(t, <-result)
	require.NoError(t, fx.agent(chosen).Resume())
}
