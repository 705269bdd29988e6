package promise

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/standin"
	"carawaypick/internal/standin/fleet"
	"carawaypick/pkg/clock"
)

const question = "Verificar: la congresista dijo que «subió un 12 %» en la sesión del martes"

func (b *bench) everyEngine(change func(*standin.EngineFault)) {
	for _, e := range b.Engines {
		e.SetFault(change)
	}
}

// running waits until a request runs on an engine and returns the engine's name.
func (b *bench) running(id string) (name string) {
	b.t.Helper()
	b.eventually(id+" has begun", func() bool {
		for n, e := range b.Engines {
			for _, r := range e.Record().Requests {
				if r.ID == id && r.End == "running" && r.Sent > 0 {
					name = n
					return true
				}
			}
		}
		return false
	})
	return name
}

// retried makes calls under a fault, all of them whole, until one has met it.
func (b *bench) retried(c *standin.Caller, tokens int, fault func()) {
	b.t.Helper()
	const most = 50
	for range most {
		fault()
		s := ask(fmt.Sprint(callCount.Load(), " ", question), tokens).do(b.t.Context(), c)
		assertWhole(b.t, s)
		if s.answer.Attempt > 1 || b.t.Failed() {
			return
		}
	}
	assert.Fail(b.t, "no call met the fault")
}

// TestPromiseWholeAnswers breaks streams in every way and holds the callers' text against the deterministic whole.
func TestPromiseWholeAnswers(t *testing.T) {
	b := open(t, setup{entries: 2, engines: 3, plains: 1, proxied: []string{fleet.PeerLink, fleet.BackendLink}})
	c := b.caller(model, "zone-a")
	const tokens = 6
	b.run("cut before every event", func(t *testing.T) {
		for k := 1; k <= tokens; k++ {
			b.everyEngine(func(f *standin.EngineFault) { f.Cut, f.Cuts = k, 1 })
			assertWhole(t, ask(fmt.Sprintf("%s, corte %d", question, k), tokens).do(t.Context(), c))
		}
		b.everyEngine(func(f *standin.EngineFault) { f.Cuts = 0 })
	})
	twoOf := func(change func(*standin.EngineFault)) {
		b.Engines[model+"-1"].SetFault(change)
		b.Engines[model+"-2"].SetFault(change)
	}
	b.run("cut before the first event at two engines of three", func(t *testing.T) {
		b.retried(c, tokens, func() {
			twoOf(func(f *standin.EngineFault) { f.Cut, f.Cuts = 0, 1 })
		})
		b.everyEngine(func(f *standin.EngineFault) { f.Cuts = 0 })
	})
	b.run("another request's answer at two engines of three", func(t *testing.T) {
		b.retried(c, tokens, func() {
			twoOf(func(f *standin.EngineFault) { f.Swap = 1 })
		})
		b.everyEngine(func(f *standin.EngineFault) { f.Swap = 0 })
	})
	b.run("another request's answer at all engines is never passed on", func(t *testing.T) {
		b.everyEngine(func(f *standin.EngineFault) { f.Swap = 100 })
		assert.False(t, assertTrue(t, ask(question+", ajena", tokens).do(t.Context(), c)))
		b.everyEngine(func(f *standin.EngineFault) { f.Swap = 0 })
	})
	b.everyEngine(func(f *standin.EngineFault) { f.Interval = 15 })
	faults := []struct {
		name string
		act  func(agent string)
		undo func(agent string)
	}{
		{"engine restarts cold", func(n string) { b.Engines[n].Restart() }, nil},
		{
			"engine stalls",
			func(n string) { b.Engines[n].SetFault(func(f *standin.EngineFault) { f.Stall = true }) },
			func(n string) { b.Engines[n].SetFault(func(f *standin.EngineFault) { f.Stall = false }) },
		},
		{
			"link to the agent breaks",
			func(n string) { b.cut(fleet.Link{Kind: fleet.PeerLink, To: n}) },
			func(n string) { b.mend(fleet.Link{Kind: fleet.PeerLink, To: n}) },
		},
		{
			"link to the engine breaks",
			func(n string) { b.cut(fleet.Link{Kind: fleet.BackendLink, To: n}) },
			func(n string) { b.mend(fleet.Link{Kind: fleet.BackendLink, To: n}) },
		},
		{
			"agent is paused",
			func(n string) { require.NoError(t, b.agent(n).Pause()) },
			func(n string) { require.NoError(t, b.agent(n).Resume()) },
		},
		{
			"agent dies",
			func(n string) { require.NoError(t, b.agent(n).Kill()) },
			func(n string) { require.NoError(t, b.agent(n).Start()) },
		},
	}
	for _, f := range faults {
		b.run(f.name, func(t *testing.T) {
			s := ask(question+", "+f.name, 40)
			result := later(func() sent { return s.do(t.Context(), c) })
			name := b.running(s.call.ID)
			f.act(name)
			got := <-result
			if f.undo != nil {
				f.undo(name)
			}
			assertWhole(t, got)
			assert.Greater(t, got.answer.Attempt, 1, "the fault came too late")
			b.located()
		})
	}
}

// TestPromiseOwnAnswers crosses, doubles and delays the answers of a plain service.
func TestPromiseOwnAnswers(t *testing.T) {
	b := open(t, setup{entries: 2, engines: 1, plains: 2})
	c := b.caller(plain, "zone-a")
	cases := []struct {
		name   string
		change func(*standin.PlainFault)
	}{
		{"crossed", func(f *standin.PlainFault) { f.Swap = true }},
		{"doubled", func(f *standin.PlainFault) { f.Double = true }},
		{"late", func(f *standin.PlainFault) { f.Late = 30 * clock.Millisecond }},
	}
	for _, one := range cases {
		b.run(one.name, func(t *testing.T) {
			for _, p := range b.Plains {
				p.SetFault(one.change)
			}
			for range 10 {
				assertTrue(t, look().do(t.Context(), c))
				assertTrue(t, correct(b.locate(c)).do(t.Context(), c))
			}
			for _, p := range b.Plains {
				p.SetFault(func(f *standin.PlainFault) { *f = standin.PlainFault{} })
			}
			assertWhole(t, look().do(t.Context(), c))
		})
	}
}
