package e2e

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/internal/config"
	"carawaypick/internal/standin"
	"carawaypick/pkg/clock"
)

// poison in a prompt makes an engine crash.
const poison = "VENENO"

func (fx *fixture) crashCount() (count int) {
	for _, e := range fx.Engines {
		count += e.Record().Crashes
	}
	return count
}

// TestPoisonRequestCrashesAtMostTwoEngines sends a request that crashes engines to every entry several times, and checks
// that at most two engines crash and that concurrent requests are not affected.
func TestPoisonRequestCrashesAtMostTwoEngines(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 3, engines: 4, plainServers: 1})
	fx.setEngineFaults(func(f *standin.EngineFault) { f.CrashWord, f.Interval = poison, 10 })
	load := fx.startLoad(modelService, 6, modelCalls(12))
	fx.awaitCalls(load, 12)
	poisoned := newModelCall(basePrompt+" "+poison, 10)
	c := fx.newCaller(modelService, "zone-a")
	results := []testCall{}
	for round := range 4 {
		for i, address := range fx.EntryAddresses() {
			tc := poisoned
			tc.call.ID = fmt.Sprintf("%s-%d-%d", poisoned.call.ID, round, i)
			tc.answer = c.Send(t.Context(), tc.call, address, "", 1, 10*clock.Second)
			results = append(results, tc)
		}
	}
	for _, tc := range results {
		assert.False(t, assertValid(t, tc), "poison request has a complete answer")
	}
	assert.Equal(t, standin.Failed, results[len(results)-1].answer.Outcome, "last send: %s", results[len(results)-1].answer.Reason)
	assert.LessOrEqual(t, fx.crashCount(), 2, "engine crashes caused by one content")
	fx.awaitCalls(load, 12)
	for _, tc := range load.drain() {
		assertComplete(t, tc)
	}
}

// TestUnrelatedCrashesDoNotQuarantine checks that a request is not quarantined because engines restarted while it ran.
func TestUnrelatedCrashesDoNotQuarantine(t *testing.T) {
	for crashes, name := range []string{"never", "once", "twice"} {
		t.Run(name, func(t *testing.T) { testNotQuarantined(t, crashes) })
	}
}

// testNotQuarantined restarts the engine under each of several calls with the same content, checks that another engine
// completes each of them, and then sends the content once more.
func testNotQuarantined(t *testing.T, crashes int) {
	fx := startFixture(t, fixtureOptions{entries: 2, engines: 3, plainServers: 1})
	fx.setEngineFaults(func(f *standin.EngineFault) { f.Interval = 15 })
	c := fx.newCaller(modelService, "zone-a")
	tc := newModelCall(basePrompt+", inocente", 30)
	for range crashes {
		tc.call.ID = newModelCall("", 1).call.ID // another id for the same content
		result := async(func() testCall { return tc.send(t.Context(), c) })
		fx.Engines[fx.awaitStream(tc.call.ID)].Restart()
		assertComplete(t, <-result)
	}
	tc.call.ID = newModelCall("", 1).call.ID
	assertComplete(t, tc.send(t.Context(), c))
}

// TestQuarantineExpires checks that a quarantined content is rejected after the fault is gone and runs again after the
// quarantine has expired.
func TestQuarantineExpires(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 2, engines: 3, plainServers: 1, changeSettings: func(c *config.Settings) { c.Timing.SealDelay = 4 * clock.Second }})
	fx.setEngineFaults(func(f *standin.EngineFault) { f.CrashWord = poison })
	c := fx.newCaller(modelService, "zone-a")
	poisoned := newModelCall(basePrompt+" "+poison, 10)
	resend := func() standin.Outcome {
		tc := poisoned
		tc.call.ID = newModelCall("", 1).call.ID
		tc = tc.send(t.Context(), c)
		assertValid(t, tc)
		return tc.answer.Outcome
	}
	fx.eventually("content is quarantined", func() bool { return resend() == standin.Failed })
	assert.LessOrEqual(t, fx.crashCount(), 2)
	fx.setEngineFaults(func(f *standin.EngineFault) { f.CrashWord = "" })
	assert.Equal(t, standin.Failed, resend(), "quarantine lasts beyond the fault")
	fx.eventually("quarantine has expired", func() bool { return resend() == standin.Complete })
}
