package promise

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

// newWork is the number of requests that an engine was given so far, by its own record.
func (b *bench) newWork(name string) int {
	return len(b.Engines[name].Record().Requests)
}

// engineIn returns the name of the engine in a zone.
func (b *bench) engineIn(zone string) string {
	b.t.Helper()
	for name := range b.Engines {
		if b.agent(name).Settings.Zone == zone {
			return name
		}
	}
	require.Fail(b.t, "no engine in "+zone)
	return ""
}

// streams counts the streams that all engines together began for a request.
func (b *bench) streams(id string) (count int) {
	for _, e := range b.Engines {
		for _, r := range e.Record().Requests {
			if r.ID == id {
				count++
			}
		}
	}
	return count
}

// questions makes each worker ask different questions of a few events.
func questions(tokens int) func(worker, turn int) sent {
	return func(worker, turn int) sent {
		return ask(fmt.Sprintf("%s, mesa %d, pregunta %d", question, worker, turn), tokens)
	}
}

// assertNoNewWork holds that an engine gets nothing while the traffic goes on.
func (b *bench) assertNoNewWork(name string, load *traffic) {
	b.t.Helper()
	before := b.newWork(name)
	b.more(load, 40)
	assert.Equal(b.t, before, b.newWork(name), "%s got new work", name)
}

// assertUncut holds that no call of the traffic lost its answer on the way.
func assertUncut(t *testing.T, calls []sent) {
	t.Helper()
	cut := 0
	for _, s := range calls {
		assertWhole(t, s)
		if s.answer.Sends > 1 {
			cut++
		}
	}
	assert.Zero(t, cut, "calls cut of %d", len(calls))
}

// TestPromiseZoneOut takes a zone out under load while the list lags and an entry is paused, and brings it back.
func TestPromiseZoneOut(t *testing.T) {
	b := open(t, setup{entries: 3, engines: 3, plains: 1, bears: 8, cold: 2})
	b.everyEngine(func(f *standin.EngineFault) { f.Bears, f.Cold = 8, 2 })
	for _, l := range b.Lists {
		l.SetFault(func(f *standin.ListFault) { f.Lag = 20 * clock.Second })
	}
	c := b.caller(model, "zone-a") // whose entry stays awake
	load := b.load(model, 6, questions(6))
	b.more(load, 60)
	out := b.engineIn("zone-b")
	long := ask(question+", discurso largo", 700) // outlives the notice
	running := later(func() sent { return long.do(t.Context(), c) })
	for b.running(long.call.ID) != out {
		long = ask(question+", discurso largo "+fmt.Sprint(b.newWork(out)), 700)
		running = later(func() sent { return long.do(t.Context(), c) })
	}
	asleep := b.Entries[1]
	require.NoError(t, asleep.Pause())
	b.publish(zoneTicket("zone-b", "out"))
	b.pass(grace)
	require.NoError(t, asleep.Resume())
	b.assertNoNewWork(out, load)
	got := <-running
	assertWhole(t, got)
	assert.Equal(t, 1, b.streams(long.call.ID), "running work was moved")
	b.run("comes back", func(t *testing.T) {
		b.publish(zoneTicket("zone-b", "in"))
		before := b.newWork(out)
		b.eventually("new work in the zone", func() bool { return b.newWork(out) > before })
	})
	for _, s := range load.end() {
		if s.zone == asleep.Settings.Zone {
			assertTrue(t, s) // through the entry that slept, which may refuse
			continue
		}
		assertWhole(t, s)
	}
	for name, e := range b.Engines {
		assert.Zero(t, e.Record().Overload, "%s fell over", name)
	}
}

// drainLongEnough lets a shutdown outlast the list's lag, the readers' interval and the ttl.
func drainLongEnough(c *config.Settings) {
	c.Timing.Drain = 4 * clock.Second
}

// leave shuts processes down as the platform does: the list says so and a signal comes, in either order.
func (b *bench) leave(processes ...*fleet.Process) {
	b.t.Helper()
	for _, p := range processes {
		require.NoError(b.t, p.Terminate())
		require.NoError(b.t, b.Mark(p, "leaving"))
	}
	for _, p := range processes {
		require.NoError(b.t, p.Wait(b.t.Context()))
	}
}

// TestPromiseLeavingBackend marks a backend server as leaving, by the list and by a signal.
func TestPromiseLeavingBackend(t *testing.T) {
	for _, way := range []string{"list", "signal"} {
		t.Run("by "+way, func(t *testing.T) {
			b := open(t, setup{entries: 3, engines: 3, plains: 1, change: drainLongEnough})
			load := b.load(model, 6, questions(20))
			b.more(load, 20)
			leaving := b.agent(model + "-1")
			if way == "list" {
				require.NoError(t, b.Mark(leaving, "leaving"))
			} else {
				require.NoError(t, leaving.Terminate())
			}
			b.pass(grace)
			b.assertNoNewWork(model+"-1", load)
			assertUncut(t, load.end())
		})
	}
}

// TestPromiseLeavingEntry shuts an entry down while callers keep its address for the whole ttl.
func TestPromiseLeavingEntry(t *testing.T) {
	b := open(t, setup{entries: 3, engines: 2, plains: 1, change: drainLongEnough})
	load := b.load(model, 6, questions(20))
	b.more(load, 20)
	b.leave(b.Entries[0])
	b.more(load, 20)
	assertUncut(t, load.end())
}

// TestPromiseRollingRestart restarts every entry and agent under load, one of a zone after the other.
func TestPromiseRollingRestart(t *testing.T) {
	b := open(t, setup{entries: 3, engines: 3, plains: 3, change: drainLongEnough})
	models := b.load(model, 4, questions(20))
	looks := b.load(plain, 2, func(int, int) sent { return look() })
	b.more(models, 20)
	for i := range b.Entries {
		wave := []*fleet.Process{b.Entries[i], b.agent(fmt.Sprint(model, "-", i+1)), b.agent(fmt.Sprint(plain, "-", i+1))}
		b.leave(wave...)
		for _, p := range wave {
			require.NoError(t, p.Start())
			require.NoError(t, b.Mark(p, "live"))
			require.NoError(t, p.Ready(t.Context()))
		}
		b.located()
	}
	b.more(models, 20)
	assertUncut(t, models.end())
	assertUncut(t, looks.end())
}

// TestPromiseRamp restarts engines cold, without warning, under full load from all entries.
func TestPromiseRamp(t *testing.T) {
	const bears, cold = 8, 2
	b := open(t, setup{entries: 3, engines: 3, plains: 1, bears: bears, cold: cold})
	b.everyEngine(func(f *standin.EngineFault) { f.Bears, f.Cold, f.Interval = bears, cold, 2 })
	load := b.load(model, 36, questions(12))
	warm := func() bool {
		for _, e := range b.Engines {
			if e.Record().Peak < bears {
				return false
			}
		}
		return true
	}
	b.eventually("all engines carry their full load", warm)
	for name, e := range b.Engines {
		b.run(name+" restarts", func(t *testing.T) {
			process := e.Record().Incarnation
			e.Restart()
			b.eventually("work on the new incarnation", func() bool { return b.ended(name, process) >= 4*bears })
		})
	}
	b.run("all restart at once", func(t *testing.T) {
		for _, e := range b.Engines {
			e.Restart()
		}
		b.more(load, 8*bears)
	})
	calls := load.end()
	whole := 0
	for _, s := range calls {
		if assertTrue(t, s) {
			whole++
		}
	}
	t.Logf("%d of %d answers are whole", whole, len(calls))
	for name, e := range b.Engines {
		assert.Zero(t, e.Record().Overload, "%s fell over", name)
	}
}

// ended counts the requests that an engine completed since the incarnation changed from process.
func (b *bench) ended(name, process string) (count int) {
	for _, r := range b.Engines[name].Record().Requests {
		if r.Process == process {
			count = 0
			continue
		}
		if r.End == "end" {
			count++
		}
	}
	return count
}
