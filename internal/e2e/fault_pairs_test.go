package e2e

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/standin"
	"carawaypick/internal/standin/fleet"
	"carawaypick/internal/testkit"
	"carawaypick/pkg/clock"
)

// fault injects and reverts one kind of fault; index selects the process or zone.
type fault struct {
	name   string
	inject func(fx *fixture, index int)
	revert func(fx *fixture, index int)
}

func pick[T any](all []T, index int) T { return all[index%len(all)] }

func (fx *fixture) engineAgent(index int) *fleet.Process {
	return fx.agent(fmt.Sprint(modelService, "-", index%len(fx.Engines)+1))
}

func (fx *fixture) plainAgent(index int) *fleet.Process {
	return fx.agent(fmt.Sprint(plainService, "-", index%len(fx.Plains)+1))
}

func (fx *fixture) kill(p *fleet.Process)   { require.NoError(fx.t, p.Kill()) }
func (fx *fixture) pause(p *fleet.Process)  { require.NoError(fx.t, p.Pause()) }
func (fx *fixture) resume(p *fleet.Process) { require.NoError(fx.t, p.Resume()) }

// restart starts the process again if it has ended.
func (fx *fixture) restart(p *fleet.Process) {
	if p.Exited() {
		require.NoError(fx.t, p.Start())
	}
}

func peerLink(p *fleet.Process) fleet.Link {
	return fleet.Link{Kind: fleet.PeerLink, To: p.Settings.Name}
}

func backendLink(p *fleet.Process) fleet.Link {
	return fleet.Link{Kind: fleet.BackendLink, To: p.Settings.Name}
}

func setStall(stalled bool) func(fx *fixture, index int) {
	return func(fx *fixture, index int) {
		fx.Engines[fx.engineAgent(index).Settings.Name].SetFault(func(f *standin.EngineFault) { f.Stall = stalled })
	}
}

func setTicketServiceDown(down bool) func(fx *fixture, index int) {
	return func(fx *fixture, _ int) {
		fx.Tickets.SetFault(func(f *standin.TicketFault) { f.Down = down })
		fx.publish(shareObjects(float64(fx.lastNumber%7 + 1)))
	}
}

func setZoneState(state string) func(fx *fixture, index int) {
	return func(fx *fixture, index int) { fx.publish(zoneObjects(pick(zones(), index), state)) }
}

// allFaults returns the faults from which TestAnswersStayCorrectUnderPairsOfFaults draws.
func allFaults() []fault {
	none := func(*fixture, int) {}
	return []fault{
		{"entry killed", func(fx *fixture, n int) { fx.kill(pick(fx.Entries, n)) }, func(fx *fixture, n int) { fx.restart(pick(fx.Entries, n)) }},
		{"entry paused", func(fx *fixture, n int) { fx.pause(pick(fx.Entries, n)) }, func(fx *fixture, n int) { fx.resume(pick(fx.Entries, n)) }},
		{"engine's agent killed", func(fx *fixture, n int) { fx.kill(fx.engineAgent(n)) }, func(fx *fixture, n int) { fx.restart(fx.engineAgent(n)) }},
		{"plain service's agent killed", func(fx *fixture, n int) { fx.kill(fx.plainAgent(n)) }, func(fx *fixture, n int) { fx.restart(fx.plainAgent(n)) }},
		{"plain service's agent paused", func(fx *fixture, n int) { fx.pause(fx.plainAgent(n)) }, func(fx *fixture, n int) { fx.resume(fx.plainAgent(n)) }},
		{"engine restarts", func(fx *fixture, n int) { fx.Engines[fx.engineAgent(n).Settings.Name].Restart() }, none},
		{"engine stalls", setStall(true), setStall(false)},
		{"plain service restarts", func(fx *fixture, n int) { fx.Plains[fx.plainAgent(n).Settings.Name].Restart() }, none},
		{"answers cut after the run", func(fx *fixture, _ int) { fx.setPlainFaults(func(f *standin.PlainFault) { f.CutsAfterRun = 2 }) }, none},
		{"answers swapped", func(fx *fixture, _ int) { fx.setPlainFaults(func(f *standin.PlainFault) { f.SwapResponses = true }) }, func(fx *fixture, _ int) { fx.setPlainFaults(func(f *standin.PlainFault) { f.SwapResponses = false }) }},
		{"link to an agent cut", func(fx *fixture, n int) { fx.cutLink(peerLink(fx.plainAgent(n))) }, func(fx *fixture, n int) { fx.restoreLink(peerLink(fx.plainAgent(n))) }},
		{"link to an engine cut", func(fx *fixture, n int) { fx.cutLink(backendLink(fx.engineAgent(n))) }, func(fx *fixture, n int) { fx.restoreLink(backendLink(fx.engineAgent(n))) }},
		{"configuration service down", setTicketServiceDown(true), setTicketServiceDown(false)},
		{"zone out", setZoneState("out"), setZoneState("in")},
	}
}

// TestAnswersStayCorrectUnderPairsOfFaults draws two faults, injects both under load, and checks that answers are correct
// and non-idempotent requests run at most once.
func TestAnswersStayCorrectUnderPairsOfFaults(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 3, engines: 3, plainServers: 2, proxiedLinks: []string{fleet.PeerLink, fleet.BackendLink}})
	fx.setPlainFaults(func(f *standin.PlainFault) { f.ServiceTime = 30 })
	checkCases(t, "6", func(t *rapid.T) { fx.checkFaultPair(t) })
}

// checkCases checks a property on the given number of cases unless RAPID_CHECKS sets another.
func checkCases(t *testing.T, cases string, check func(*rapid.T)) {
	if os.Getenv("RAPID_CHECKS") == "" {
		t.Setenv("RAPID_CHECKS", cases)
	}
	testkit.Property(t, check)
}

func (fx *fixture) checkFaultPair(t *rapid.T) {
	all := allFaults()
	first := rapid.IntRange(0, len(all)-1).Draw(t, "first")
	second := rapid.IntRange(0, len(all)-2).Draw(t, "second")
	if second >= first {
		second++
	}
	index := rapid.IntRange(0, 2).Draw(t, "index")
	gap := clock.Span(rapid.IntRange(0, 200).Draw(t, "gap"))
	fx.t.Logf("%s, after %d ms %s", all[first].name, gap, all[second].name)
	modelLoad := fx.startLoad(modelService, 4, modelCalls(30))
	boundLoad := fx.startBoundLoad(3)
	fx.awaitCalls(modelLoad, 4)
	all[first].inject(fx, index)
	fx.sleep(gap)
	all[second].inject(fx, index)
	fx.sleep(300)
	all[second].revert(fx, index)
	all[first].revert(fx, index)
	fx.awaitBackends()
	fx.awaitCalls(modelLoad, 4)
	modelResults, boundResults := modelLoad.drain(), boundLoad.drain()
	fx.awaitIdle()
	complete := countComplete(fx.t, modelResults)
	fx.assertAtMostOnce(boundResults...)
	assert.Positive(fx.t, complete, "no call was completed")
	if fx.t.Failed() {
		t.Fatalf("%s and %s", all[first].name, all[second].name)
	}
}

// startBoundLoad starts workers that send non-idempotent calls, each with the binding and key of its caller's location.
func (fx *fixture) startBoundLoad(workers int) *loadGenerator {
	ctx, cancel := context.WithCancel(fx.t.Context())
	generator := &loadGenerator{stop: cancel}
	callContext := fx.t.Context()
	for worker := range workers {
		c := fx.newCaller(plainService, pick(zones(), worker))
		generator.tasks.Go(func() {
			for ctx.Err() == nil {
				location, err := c.Locate(callContext)
				if err != nil || location.Binding == "" {
					standin.Sleep(ctx, 20)
					continue
				}
				tc := newNonIdempotentCall(location).sendTo(callContext, c, location)
				generator.mutex.Lock()
				generator.calls = append(generator.calls, tc)
				generator.mutex.Unlock()
			}
		})
	}
	fx.t.Cleanup(func() { generator.drain() })
	return generator
}
