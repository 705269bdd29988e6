package promise

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/internal/config"
	"carawaypick/internal/standin"
	"carawaypick/pkg/clock"
)

const poison = "VENENO"

func (b *bench) crashes() (count int) {
	for _, e := range b.Engines {
		count += e.Record().Crashes
	}
	return count
}

// TestPromiseCrashingRequest resends a request that crashes engines to every entry, among innocent neighbours.
func TestPromiseCrashingRequest(t *testing.T) {
	b := open(t, setup{entries: 3, engines: 4, plains: 1})
	b.everyEngine(func(f *standin.EngineFault) { f.Crash, f.Interval = poison, 10 })
	load := b.load(model, 6, questions(12))
	b.more(load, 12)
	bad := ask(question+" "+poison, 10)
	c := b.caller(model, "zone-a")
	ends := []sent{}
	for turn := range 4 {
		for i, address := range b.EntryAddresses() {
			s := bad
			s.call.ID = fmt.Sprintf("%s-%d-%d", bad.call.ID, turn, i)
			s.answer = c.Send(t.Context(), s.call, address, "", 1, 10*clock.Second)
			ends = append(ends, s)
		}
	}
	for _, s := range ends {
		assert.False(t, assertTrue(t, s), "no engine can answer it")
	}
	assert.Equal(t, standin.Failed, ends[len(ends)-1].answer.Outcome, "the last send: %s", ends[len(ends)-1].answer.Reason)
	assert.LessOrEqual(t, b.crashes(), 2, "engines lost to one content")
	b.more(load, 12)
	for _, s := range load.end() {
		assertWhole(t, s)
	}
}

// TestPromiseCrashByCoincidence kills engines under an innocent request and condemns nobody.
func TestPromiseCrashByCoincidence(t *testing.T) {
	for kills, name := range []string{"never", "once", "twice"} {
		t.Run(name, func(t *testing.T) { coincidence(t, kills) })
	}
}

// coincidence kills the engine under each of some calls with one content, each of which another engine answers whole,
// and sends the content once more.
func coincidence(t *testing.T, kills int) {
	b := open(t, setup{entries: 2, engines: 3, plains: 1})
	b.everyEngine(func(f *standin.EngineFault) { f.Interval = 15 })
	c := b.caller(model, "zone-a")
	s := ask(question+", inocente", 30)
	for range kills {
		s.call.ID = ask("", 1).call.ID
		result := later(func() sent { return s.do(t.Context(), c) })
		b.Engines[b.running(s.call.ID)].Restart()
		assertWhole(t, <-result)
	}
	s.call.ID = ask("", 1).call.ID
	assertWhole(t, s.do(t.Context(), c))
}

// TestPromiseCondemnationExpires lets a content run again once its time is over and the fault is gone.
func TestPromiseCondemnationExpires(t *testing.T) {
	b := open(t, setup{entries: 2, engines: 3, plains: 1, change: func(c *config.Settings) { c.Timing.Seal = 4 * clock.Second }})
	b.everyEngine(func(f *standin.EngineFault) { f.Crash = poison })
	c := b.caller(model, "zone-a")
	bad := ask(question+" "+poison, 10)
	again := func() standin.Outcome {
		s := bad
		s.call.ID = ask("", 1).call.ID
		s = s.do(t.Context(), c)
		assertTrue(t, s)
		return s.answer.Outcome
	}
	b.eventually("condemned", func() bool { return again() == standin.Failed })
	assert.LessOrEqual(t, b.crashes(), 2)
	b.everyEngine(func(f *standin.EngineFault) { f.Crash = "" })
	assert.Equal(t, standin.Failed, again(), "condemned for a time")
	b.eventually("heard again", func() bool { return again() == standin.Whole })
}
