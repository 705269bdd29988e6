package promise

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

// trouble is one fault of the fixed list, and what ends it.
type trouble struct {
	name string
	act  func(b *bench, turn int)
	undo func(b *bench, turn int)
}

func pick[T any](all []T, turn int) T { return all[turn%len(all)] }

func (b *bench) engineAgent(turn int) *fleet.Process {
	return b.agent(fmt.Sprint(model, "-", turn%len(b.Engines)+1))
}

func (b *bench) plainAgent(turn int) *fleet.Process {
	return b.agent(fmt.Sprint(plain, "-", turn%len(b.Plains)+1))
}

func (b *bench) kill(p *fleet.Process)   { require.NoError(b.t, p.Kill()) }
func (b *bench) pause(p *fleet.Process)  { require.NoError(b.t, p.Pause()) }
func (b *bench) resume(p *fleet.Process) { require.NoError(b.t, p.Resume()) }

// revive starts a process that was killed.
func (b *bench) revive(p *fleet.Process) {
	if p.Ended() {
		require.NoError(b.t, p.Start())
	}
}

func peerLink(p *fleet.Process) fleet.Link {
	return fleet.Link{Kind: fleet.PeerLink, To: p.Settings.Name}
}

func backendLink(p *fleet.Process) fleet.Link {
	return fleet.Link{Kind: fleet.BackendLink, To: p.Settings.Name}
}

func stall(on bool) func(b *bench, turn int) {
	return func(b *bench, turn int) {
		b.Engines[b.engineAgent(turn).Settings.Name].SetFault(func(f *standin.EngineFault) { f.Stall = on })
	}
}

func serviceDown(down bool) func(b *bench, turn int) {
	return func(b *bench, _ int) {
		b.Tickets.SetFault(func(f *standin.TicketFault) { f.Down = down })
		b.publish(share(float64(b.number%7 + 1)))
	}
}

func zoneState(state string) func(b *bench, turn int) {
	return func(b *bench, turn int) { b.publish(zoneTicket(pick(zones(), turn), state)) }
}

// troubles is the list from which pairs are drawn.
func troubles() []trouble {
	none := func(*bench, int) {}
	return []trouble{
		{"entry killed", func(b *bench, n int) { b.kill(pick(b.Entries, n)) }, func(b *bench, n int) { b.revive(pick(b.Entries, n)) }},
		{"entry paused", func(b *bench, n int) { b.pause(pick(b.Entries, n)) }, func(b *bench, n int) { b.resume(pick(b.Entries, n)) }},
		{"engine's agent killed", func(b *bench, n int) { b.kill(b.engineAgent(n)) }, func(b *bench, n int) { b.revive(b.engineAgent(n)) }},
		{"service's agent killed", func(b *bench, n int) { b.kill(b.plainAgent(n)) }, func(b *bench, n int) { b.revive(b.plainAgent(n)) }},
		{"service's agent paused", func(b *bench, n int) { b.pause(b.plainAgent(n)) }, func(b *bench, n int) { b.resume(b.plainAgent(n)) }},
		{"engine restarts", func(b *bench, n int) { b.Engines[b.engineAgent(n).Settings.Name].Restart() }, none},
		{"engine stalls", stall(true), stall(false)},
		{"service restarts", func(b *bench, n int) { b.Plains[b.plainAgent(n).Settings.Name].Restart() }, none},
		{"answers cut after the run", func(b *bench, _ int) { b.everyPlain(func(f *standin.PlainFault) { f.After = 2 }) }, none},
		{"answers crossed", func(b *bench, _ int) { b.everyPlain(func(f *standin.PlainFault) { f.Swap = true }) }, func(b *bench, _ int) { b.everyPlain(func(f *standin.PlainFault) { f.Swap = false }) }},
		{"link to an agent cut", func(b *bench, n int) { b.cut(peerLink(b.plainAgent(n))) }, func(b *bench, n int) { b.mend(peerLink(b.plainAgent(n))) }},
		{"link to an engine cut", func(b *bench, n int) { b.cut(backendLink(b.engineAgent(n))) }, func(b *bench, n int) { b.mend(backendLink(b.engineAgent(n))) }},
		{"configuration service down", serviceDown(true), serviceDown(false)},
		{"zone out", zoneState("out"), zoneState("in")},
	}
}

// TestPromisePairsOfFaults draws two faults, lets both act under load, and holds every promise about answers.
func TestPromisePairsOfFaults(t *testing.T) {
	b := open(t, setup{entries: 3, engines: 3, plains: 2, proxied: []string{fleet.PeerLink, fleet.BackendLink}})
	b.everyPlain(func(f *standin.PlainFault) { f.Work = 30 })
	pairs(t, "6", func(t *rapid.T) { b.pair(t) })
}

// pairs checks a property on a few cases, unless the environment asks for more.
func pairs(t *testing.T, cases string, check func(*rapid.T)) {
	if os.Getenv("RAPID_CHECKS") == "" {
		t.Setenv("RAPID_CHECKS", cases)
	}
	testkit.Property(t, check)
}

func (b *bench) pair(t *rapid.T) {
	all := troubles()
	first := rapid.IntRange(0, len(all)-1).Draw(t, "first")
	second := rapid.IntRange(0, len(all)-2).Draw(t, "second")
	if second >= first {
		second++
	}
	at := rapid.IntRange(0, 2).Draw(t, "at")
	gap := clock.Span(rapid.IntRange(0, 200).Draw(t, "gap"))
	b.t.Logf("%s, after %d ms %s", all[first].name, gap, all[second].name)
	models := b.load(model, 4, questions(30))
	onces := b.bound(3)
	b.more(models, 4)
	all[first].act(b, at)
	b.pass(gap)
	all[second].act(b, at)
	b.pass(300)
	all[second].undo(b, at)
	all[first].undo(b, at)
	b.located()
	b.more(models, 4)
	asked, corrected := models.end(), onces.end()
	b.idle()
	whole := wholeOf(b.t, asked)
	b.assertAtMostOnce(corrected...)
	assert.Positive(b.t, whole, "nobody was served")
	if b.t.Failed() {
		t.Fatalf("%s and %s", all[first].name, all[second].name)
	}
}

// bound sends corrections, each under a binding of its own caller's location.
func (b *bench) bound(workers int) *traffic {
	ctx, cancel := context.WithCancel(b.t.Context())
	traffic := &traffic{stop: cancel}
	base := b.t.Context()
	for worker := range workers {
		c := b.caller(plain, pick(zones(), worker))
		traffic.tasks.Go(func() {
			for ctx.Err() == nil {
				location, err := c.Locate(base)
				if err != nil || location.Binding == "" {
					standin.Sleep(ctx, 20)
					continue
				}
				s := correct(location).at(base, c, location)
				traffic.mutex.Lock()
				traffic.calls = append(traffic.calls, s)
				traffic.mutex.Unlock()
			}
		})
	}
	b.t.Cleanup(func() { traffic.end() })
	return traffic
}
