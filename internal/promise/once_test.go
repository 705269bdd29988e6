package promise

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/config"
	"carawaypick/internal/operator"
	"carawaypick/internal/standin"
	"carawaypick/internal/standin/fleet"
	"carawaypick/pkg/clock"
)

const workSpan = 300 * clock.Millisecond

func (b *bench) everyPlain(change func(*standin.PlainFault)) {
	for _, p := range b.Plains {
		p.SetFault(change)
	}
}

// ran waits until a request runs on a plain service and returns the service's name.
func (b *bench) ran(id string) (name string) {
	b.t.Helper()
	b.eventually(id+" has begun", func() bool {
		for n, p := range b.Plains {
			if p.Count(id) > 0 {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

// idle waits until no plain service runs a call, so that a fault meets the next one.
func (b *bench) idle() {
	b.t.Helper()
	b.eventually("plain services are idle", func() bool {
		running := 0
		for _, p := range b.Plains {
			running += p.Running()
		}
		return running == 0
	})
}

// again sends a call once more, as the second send.
func (s sent) again(ctx context.Context, c *standin.Caller, location standin.Location) sent {
	s.answer = c.Send(ctx, s.call, location.Addresses[0], location.Binding, 2, s.call.Deadline)
	return s
}

// forgotten waits until no entry knows a backend server any more.
func (b *bench) forgotten(name string) {
	b.t.Helper()
	for _, p := range b.Entries {
		b.eventually(name+" is forgotten at "+p.Settings.Name, func() bool {
			s, ok := b.status(p)
			return ok && !slices.ContainsFunc(s.Backends, func(o operator.Backend) bool { return o.Name == name })
		})
	}
}

// entryAt returns the entry at a caller's address.
func (b *bench) entryAt(address string) *fleet.Process {
	b.t.Helper()
	for i, a := range b.EntryAddresses() {
		if a == address {
			return b.Entries[i]
		}
	}
	require.Fail(b.t, "no entry at "+address)
	return nil
}

// midway sends a correction, acts once it runs, and returns what the caller got.
func (b *bench) midway(c *standin.Caller, act func(service string, location standin.Location)) sent {
	b.t.Helper()
	location := b.locate(c)
	s := correct(location)
	result := later(func() sent { return s.at(b.t.Context(), c, location) })
	b.eventually("a run or an answer", func() bool { return b.Runs(s.call.ID) > 0 || len(result) > 0 })
	if b.Runs(s.call.ID) == 0 {
		early := (<-result).answer
		require.Fail(b.t, "no run", "%s %s", early.Outcome, early.Reason)
	}
	act(b.ran(s.call.ID), location)
	return <-result
}

// TestPromiseRunsAtMostOnce breaks every part of the way of requests that may not be repeated.
func TestPromiseRunsAtMostOnce(t *testing.T) {
	b := open(t, setup{entries: 3, engines: 1, plains: 2, proxied: []string{fleet.CallerLink, fleet.PeerLink, fleet.BackendLink}})
	c := b.caller(plain, "zone-a")
	b.everyPlain(func(f *standin.PlainFault) { f.Work = workSpan })
	keep := func(t *testing.T, s sent) {
		t.Helper()
		b.assertAtMostOnce(s)
	}
	b.run("entry dies after the handover", func(t *testing.T) {
		var died *fleet.Process
		s := b.midway(c, func(_ string, l standin.Location) {
			died = b.entryAt(l.Addresses[0])
			require.NoError(t, died.Kill())
		})
		keep(t, s)
		assertWhole(t, s)
		assert.Greater(t, s.answer.Sends, 1, "the fault came too late")
		require.NoError(t, died.Start())
		b.located()
	})
	b.run("entry dies before and during the handover", func(t *testing.T) {
		for pause := clock.Span(0); pause < 5; pause++ {
			location := b.locate(c)
			s := correct(location)
			result := later(func() sent { return s.at(t.Context(), c, location) })
			b.pass(pause)
			died := b.entryAt(location.Addresses[0])
			require.NoError(t, died.Kill())
			keep(t, <-result)
			require.NoError(t, died.Start())
			b.located()
		}
	})
	b.run("link to the entry breaks", func(t *testing.T) {
		var broken fleet.Link
		s := b.midway(c, func(_ string, l standin.Location) {
			broken = fleet.Link{Kind: fleet.CallerLink, To: b.entryAt(l.Addresses[0]).Settings.Name}
			b.cut(broken)
		})
		b.mend(broken)
		keep(t, s)
		assertWhole(t, s)
	})
	b.run("link to the agent breaks", func(t *testing.T) {
		s := b.midway(c, func(name string, _ standin.Location) {
			link := fleet.Link{Kind: fleet.PeerLink, To: name}
			b.cut(link)
			b.mend(link)
		})
		keep(t, s)
		b.located()
	})
	b.run("agent dies, is forgotten and comes back", func(t *testing.T) {
		var died *fleet.Process
		var location standin.Location
		s := b.midway(c, func(name string, l standin.Location) {
			died, location = b.agent(name), l
			require.NoError(t, died.Kill())
		})
		keep(t, s)
		assert.Equal(t, standin.Unknown, s.answer.Outcome)
		require.NoError(t, b.Mark(died, ""))
		b.forgotten(died.Settings.Name)
		keep(t, s.again(t.Context(), c, location))
		require.NoError(t, died.Start())
		require.NoError(t, b.Mark(died, "live"))
		b.located()
		again := s.again(t.Context(), c, location)
		keep(t, again)
		assert.Equal(t, standin.Unknown, again.answer.Outcome, "a resend")
	})
	b.run("backend server dies", func(t *testing.T) {
		s := b.midway(c, func(name string, _ standin.Location) { b.Plains[name].Restart() })
		keep(t, s)
		assert.Equal(t, standin.Unknown, s.answer.Outcome)
	})
	b.run("answer is lost after the run", func(t *testing.T) {
		b.idle()
		b.everyPlain(func(f *standin.PlainFault) { f.After = 1 })
		location := b.locate(c)
		s := correct(location).at(t.Context(), c, location)
		b.everyPlain(func(f *standin.PlainFault) { f.After = 0 })
		keep(t, s)
		again := s.again(t.Context(), c, location)
		assert.Equal(t, standin.Unknown, again.answer.Outcome, "a resend")
		keep(t, again)
	})
	b.run("connection is cut before the run", func(t *testing.T) {
		b.idle()
		b.everyPlain(func(f *standin.PlainFault) { f.Before = 1 })
		location := b.locate(c)
		keep(t, correct(location).at(t.Context(), c, location))
		b.everyPlain(func(f *standin.PlainFault) { f.Before = 0 })
	})
}

// TestPromiseRunsOnceForManySends sends one id through every entry at once, and again later.
func TestPromiseRunsOnceForManySends(t *testing.T) {
	b := open(t, setup{entries: 3, engines: 1, plains: 2})
	b.everyPlain(func(f *standin.PlainFault) { f.Work = workSpan })
	c := b.caller(plain, "zone-a")
	location := b.locate(c)
	s := correct(location)
	results := []<-chan sent{}
	for i, address := range append(b.EntryAddresses(), b.EntryAddresses()...) {
		results = append(results, later(func() sent {
			s.answer = c.Send(t.Context(), s.call, address, location.Binding, i+1, s.call.Deadline)
			return s
		}))
	}
	for _, result := range results {
		assertWhole(t, <-result)
	}
	b.assertAtMostOnce(s.again(t.Context(), c, location))
	b.run("another content under the same id is refused", func(t *testing.T) {
		other := s
		other.call.Body = []byte(`{"story":"another"}`)
		other = other.at(t.Context(), c, location)
		assert.NotEqual(t, standin.Whole, other.answer.Outcome)
		assert.Equal(t, 1, b.Runs(s.call.ID))
	})
	b.run("no binding, no run", func(t *testing.T) {
		bare := correct(location)
		bare.answer = c.Send(t.Context(), bare.call, location.Addresses[0], "", 1, s.call.Deadline)
		assert.Equal(t, standin.Bad, bare.answer.Outcome)
		assert.Zero(t, b.Runs(bare.call.ID))
	})
}

// TestPromiseRunsAtMostOnceAcrossPauses wakes agents and entries that believe old things.
func TestPromiseRunsAtMostOnceAcrossPauses(t *testing.T) {
	b := open(t, setup{entries: 3, engines: 1, plains: 2})
	c := b.caller(plain, "zone-a")
	life := fleet.QuickTiming().Life
	calls := []sent{}
	b.run("agent sleeps past the binding's life", func(t *testing.T) {
		location := b.locate(c)
		s := correct(location)
		s.call.Deadline = life + 4*clock.Second
		for _, p := range b.Plains {
			require.NoError(t, b.agentOf(p).Pause())
		}
		result := later(func() sent { return s.at(t.Context(), c, location) })
		b.pass(life + clock.Second)
		for _, p := range b.Plains {
			require.NoError(t, b.agentOf(p).Resume())
		}
		calls = append(calls, <-result)
	})
	b.run("entry sleeps while the same id goes through another", func(t *testing.T) {
		location := b.locate(c)
		s := correct(location)
		asleep := b.entryAt(location.Addresses[0])
		require.NoError(t, asleep.Pause())
		first := later(func() sent {
			f := s
			f.answer = c.Send(t.Context(), s.call, location.Addresses[0], location.Binding, 1, 8*clock.Second)
			return f
		})
		second := s
		second.answer = c.Send(t.Context(), s.call, location.Addresses[1], location.Binding, 2, 8*clock.Second)
		b.assertAtMostOnce(second)
		require.NoError(t, asleep.Resume())
		calls = append(calls, second, <-first)
	})
	require.NoError(t, b.Terminate(t.Context()))
	b.assertAtMostOnce(calls...)
}

// TestPromiseRunsAtMostOnceAfterForgetting wakes an agent after all that it remembered is too old, and resends.
func TestPromiseRunsAtMostOnceAfterForgetting(t *testing.T) {
	const life, keep = clock.Second, 2 * clock.Second
	b := open(t, setup{entries: 2, engines: 1, plains: 1, change: func(c *config.Settings) {
		c.Timing.TTL, c.Timing.Life, c.Timing.Keep = life/2, life, keep
	}})
	c := b.caller(plain, "zone-a")
	location := b.locate(c)
	s := correct(location).at(t.Context(), c, location)
	assertWhole(t, s)
	agent := b.Agents[len(b.Agents)-1]
	require.NoError(t, agent.Pause())
	b.pass(life + keep + keep/2)
	require.NoError(t, agent.Resume())
	b.located()
	// Another request makes the agent sweep what it has to forget.
	fresh := b.locate(c)
	other := correct(fresh).at(t.Context(), c, fresh)
	assertWhole(t, other)
	again := s.again(t.Context(), c, location)
	assert.Equal(t, standin.Unknown, again.answer.Outcome, "%s", again.answer.Reason)
	b.assertAtMostOnce(s, other, again)
}

func (b *bench) agentOf(plain *standin.Plain) *fleet.Process {
	b.t.Helper()
	for name, p := range b.Plains {
		if p == plain {
			return b.agent(name)
		}
	}
	require.Fail(b.t, "no agent")
	return nil
}

// TestPromiseRunsAtMostOnceAcrossTickets changes the configuration and takes the zone out halfway.
func TestPromiseRunsAtMostOnceAcrossTickets(t *testing.T) {
	b := open(t, setup{entries: 3, engines: 1, plains: 3})
	b.everyPlain(func(f *standin.PlainFault) { f.Work = 2 * clock.Second })
	c := b.caller(plain, "zone-a")
	s := b.midway(c, func(name string, _ standin.Location) {
		zone := b.agent(name).Settings.Zone
		b.inForce(b.publish(zoneTicket(zone, "out")))
	})
	b.assertAtMostOnce(s)
	assertWhole(t, s)
	b.everyPlain(func(f *standin.PlainFault) { f.Work = 0 })
	b.run("the zone gets no further request", func(t *testing.T) {
		for i := range 6 {
			location := b.locate(c)
			next := correct(location).at(t.Context(), c, location)
			assertWhole(t, next)
			b.assertAtMostOnce(next)
			require.NotEqual(t, b.ran(s.call.ID), b.ran(next.call.ID), fmt.Sprint("request ", i))
		}
	})
}
