package e2e

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

const plainServiceTime = 300 * clock.Millisecond

func (fx *fixture) setPlainFaults(change func(*standin.PlainFault)) {
	for _, p := range fx.Plains {
		p.SetFault(change)
	}
}

// awaitRun waits until a plain service has started to run a request and returns the name of the service's agent.
func (fx *fixture) awaitRun(id string) (name string) {
	fx.t.Helper()
	fx.eventually(id+" has started", func() bool {
		for agentName, p := range fx.Plains {
			if p.RunCount(id) > 0 {
				name = agentName
				return true
			}
		}
		return false
	})
	return name
}

// awaitIdle waits until no plain service runs a call, so that a fault set afterwards affects the next call.
func (fx *fixture) awaitIdle() {
	fx.t.Helper()
	fx.eventually("plain services are idle", func() bool {
		running := 0
		for _, p := range fx.Plains {
			running += p.Running()
		}
		return running == 0
	})
}

// resend sends the call again to the first address of the location, with send number 2.
func (tc testCall) resend(ctx context.Context, c *standin.Caller, location standin.Location) testCall {
	tc.answer = c.Send(ctx, tc.call, location.Addresses[0], location.Binding, 2, tc.call.Deadline)
	return tc
}

// awaitRemoval waits until no entry lists the backend server in its status.
func (fx *fixture) awaitRemoval(name string) {
	fx.t.Helper()
	for _, p := range fx.Entries {
		fx.eventually(name+" is removed at "+p.Settings.Name, func() bool {
			s, ok := fx.status(p)
			return ok && !slices.ContainsFunc(s.Backends, func(o operator.BackendStatus) bool { return o.Name == name })
		})
	}
}

// entryAt returns the entry that callers reach at this address.
func (fx *fixture) entryAt(address string) *fleet.Process {
	fx.t.Helper()
	for i, a := range fx.EntryAddresses() {
		if a == address {
			return fx.Entries[i]
		}
	}
	require.Fail(fx.t, "no entry at "+address)
	return nil
}

// sendWithFault sends a non-idempotent call, injects a fault once the call runs, and returns the call with its answer.
func (fx *fixture) sendWithFault(c *standin.Caller, inject func(agentName string, location standin.Location)) testCall {
	fx.t.Helper()
	location := fx.awaitBinding(c)
	tc := newNonIdempotentCall(location)
	result := async(func() testCall { return tc.sendTo(fx.t.Context(), c, location) })
	fx.eventually("call runs or is answered", func() bool { return fx.RunCount(tc.call.ID) > 0 || len(result) > 0 })
	if fx.RunCount(tc.call.ID) == 0 {
		answer := (<-result).answer
		require.Fail(fx.t, "call was answered without a run", "%s %s", answer.Outcome, answer.Reason)
	}
	inject(fx.awaitRun(tc.call.ID), location)
	return <-result
}

// TestNonIdempotentRequestRunsAtMostOnce breaks each process and connection on the path of a non-idempotent request and
// checks that the request runs at most once and that its outcome agrees with the runs.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 3, engines: 1, plainServers: 2, proxiedLinks: []string{fleet.CallerLink, fleet.PeerLink, fleet.BackendLink}})
	c := fx.newCaller(plainService, "zone-a")
	fx.setPlainFaults(func(f *standin.PlainFault) { f.ServiceTime = plainServiceTime })
	check := func(t *testing.T, tc testCall) {
		t.Helper()
		fx.assertAtMostOnce(tc)
	}
	fx.subtest("entry killed while the request runs", func(t *testing.T) {
		var killed *fleet.Process
		tc := fx.sendWithFault(c, func(_ string, l standin.Location) {
			killed = fx.entryAt(l.Addresses[0])
			require.NoError(t, killed.Kill())
		})
		check(t, tc)
		assertComplete(t, tc)
		assert.Greater(t, tc.answer.Sends, 1, "call ended before the fault took effect")
		require.NoError(t, killed.Start())
		fx.awaitBackends()
	})
	fx.subtest("entry killed before and while it forwards the request", func(t *testing.T) {
		for delay := clock.Span(0); delay < 5; delay++ {
			location := fx.awaitBinding(c)
			tc := newNonIdempotentCall(location)
			result := async(func() testCall { return tc.sendTo(t.Context(), c, location) })
			fx.sleep(delay)
			killed := fx.entryAt(location.Addresses[0])
			require.NoError(t, killed.Kill())
			check(t, <-result)
			require.NoError(t, killed.Start())
			fx.awaitBackends()
		}
	})
	fx.subtest("link to the entry breaks", func(t *testing.T) {
		var link fleet.Link
		tc := fx.sendWithFault(c, func(_ string, l standin.Location) {
			link = fleet.Link{Kind: fleet.CallerLink, To: fx.entryAt(l.Addresses[0]).Settings.Name}
			fx.cutLink(link)
		})
		fx.restoreLink(link)
		check(t, tc)
		assertComplete(t, tc)
	})
	fx.subtest("link to the agent breaks", func(t *testing.T) {
		tc := fx.sendWithFault(c, func(name string, _ standin.Location) {
			link := fleet.Link{Kind: fleet.PeerLink, To: name}
			fx.cutLink(link)
			fx.restoreLink(link)
		})
		check(t, tc)
		fx.awaitBackends()
	})
	fx.subtest("agent killed, removed and restarted", func(t *testing.T) {
		var killed *fleet.Process
		var location standin.Location
		tc := fx.sendWithFault(c, func(name string, l standin.Location) {
			killed, location = fx.agent(name), l
			require.NoError(t, killed.Kill())
		})
		check(t, tc)
		assert.Equal(t, standin.Unknown, tc.answer.Outcome)
		require.NoError(t, fx.SetInstanceState(killed, ""))
		fx.awaitRemoval(killed.Settings.Name)
		check(t, tc.resend(t.Context(), c, location))
		require.NoError(t, killed.Start())
		require.NoError(t, fx.SetInstanceState(killed, "live"))
		fx.awaitBackends()
		resent := tc.resend(t.Context(), c, location)
		check(t, resent)
		assert.Equal(t, standin.Unknown, resent.answer.Outcome, "resent call")
	})
	fx.subtest("backend server restarts", func(t *testing.T) {
		tc := fx.sendWithFault(c, func(name string, _ standin.Location) { fx.Plains[name].Restart() })
		check(t, tc)
		assert.Equal(t, standin.Unknown, tc.answer.Outcome)
	})
	fx.subtest("connection is cut after the run", func(t *testing.T) {
		fx.awaitIdle()
		fx.setPlainFaults(func(f *standin.PlainFault) { f.CutsAfterRun = 1 })
		location := fx.awaitBinding(c)
		tc := newNonIdempotentCall(location).sendTo(t.Context(), c, location)
		fx.setPlainFaults(func(f *standin.PlainFault) { f.CutsAfterRun = 0 })
		check(t, tc)
		resent := tc.resend(t.Context(), c, location)
		assert.Equal(t, standin.Unknown, resent.answer.Outcome, "resent call")
		check(t, resent)
	})
	fx.subtest("connection is cut before the run", func(t *testing.T) {
		fx.awaitIdle()
		fx.setPlainFaults(func(f *standin.PlainFault) { f.CutsBeforeRun = 1 })
		location := fx.awaitBinding(c)
		check(t, newNonIdempotentCall(location).sendTo(t.Context(), c, location))
		fx.setPlainFaults(func(f *standin.PlainFault) { f.CutsBeforeRun = 0 })
	})
}

// TestConcurrentSendsRunOnce sends one request id twice through each entry concurrently and once more afterwards, and
// checks that it runs once.
func TestConcurrentSendsRunOnce(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 3, engines: 1, plainServers: 2})
	fx.setPlainFaults(func(f *standin.PlainFault) { f.ServiceTime = plainServiceTime })
	c := fx.newCaller(plainService, "zone-a")
	location := fx.awaitBinding(c)
	tc := newNonIdempotentCall(location)
	results := []<-chan testCall{}
	for i, address := range append(fx.EntryAddresses(), fx.EntryAddresses()...) {
		results = append(results, async(func() testCall {
			tc.answer = c.Send(t.Context(), tc.call, address, location.Binding, i+1, tc.call.Deadline)
			return tc
		}))
	}
	for _, result := range results {
		assertComplete(t, <-result)
	}
	fx.assertAtMostOnce(tc.resend(t.Context(), c, location))
	fx.subtest("different content under the same id is rejected", func(t *testing.T) {
		conflicting := tc
		conflicting.call.Body = []byte(`{"story":"another"}`)
		conflicting = conflicting.sendTo(t.Context(), c, location)
		assert.NotEqual(t, standin.Complete, conflicting.answer.Outcome)
		assert.Equal(t, 1, fx.RunCount(tc.call.ID))
	})
	fx.subtest("request without a binding is rejected", func(t *testing.T) {
		unbound := newNonIdempotentCall(location)
		unbound.answer = c.Send(t.Context(), unbound.call, location.Addresses[0], "", 1, tc.call.Deadline)
		assert.Equal(t, standin.BadRequest, unbound.answer.Outcome)
		assert.Zero(t, fx.RunCount(unbound.call.ID))
	})
}

// TestRequestRunsAtMostOnceAcrossPauses checks that agents and entries that resume with outdated state don't run a
// non-idempotent request a second time.
func TestRequestRunsAtMostOnceAcrossPauses(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 3, engines: 1, plainServers: 2})
	c := fx.newCaller(plainService, "zone-a")
	lifetime := fleet.QuickTiming().BindingLifetime
	calls := []testCall{}
	fx.subtest("agent paused past the binding's lifetime", func(t *testing.T) {
		location := fx.awaitBinding(c)
		tc := newNonIdempotentCall(location)
		tc.call.Deadline = lifetime + 4*clock.Second
		for _, p := range fx.Plains {
			require.NoError(t, fx.agentOf(p).Pause())
		}
		result := async(func() testCall { return tc.sendTo(t.Context(), c, location) })
		fx.sleep(lifetime + clock.Second)
		for _, p := range fx.Plains {
			require.NoError(t, fx.agentOf(p).Resume())
		}
		calls = append(calls, <-result)
	})
	fx.subtest("entry paused while another entry gets the same id", func(t *testing.T) {
		location := fx.awaitBinding(c)
		tc := newNonIdempotentCall(location)
		paused := fx.entryAt(location.Addresses[0])
		require.NoError(t, paused.Pause())
		first := async(func() testCall {
			firstCall := tc
			firstCall.answer = c.Send(t.Context(), tc.call, location.Addresses[0], location.Binding, 1, 8*clock.Second)
			return firstCall
		})
		second := tc
		second.answer = c.Send(t.Context(), tc.call, location.Addresses[1], location.Binding, 2, 8*clock.Second)
		fx.assertAtMostOnce(second)
		require.NoError(t, paused.Resume())
		calls = append(calls, second, <-first)
	})
	require.NoError(t, fx.Terminate(t.Context()))
	fx.assertAtMostOnce(calls...)
}

// TestRequestRunsAtMostOnceAfterRecordExpiry pauses an agent until its recorded outcomes have expired and checks that a
// resent request ends with outcome unknown and doesn't run again.
func TestRequestRunsAtMostOnceAfterRecordExpiry(t *testing.T) {
	const lifetime, retention = clock.Second, 2 * clock.Second
	fx := startFixture(t, fixtureOptions{entries: 2, engines: 1, plainServers: 1, changeSettings: func(c *config.Settings) {
		c.Timing.TTL, c.Timing.BindingLifetime, c.Timing.OutcomeRetention = lifetime/2, lifetime, retention
	}})
	c := fx.newCaller(plainService, "zone-a")
	location := fx.awaitBinding(c)
	tc := newNonIdempotentCall(location).sendTo(t.Context(), c, location)
	assertComplete(t, tc)
	agent := fx.Agents[len(fx.Agents)-1]
	require.NoError(t, agent.Pause())
	fx.sleep(lifetime + retention + retention/2)
	require.NoError(t, agent.Resume())
	fx.awaitBackends()
	// Another request makes the agent remove the expired outcomes.
	current := fx.awaitBinding(c)
	other := newNonIdempotentCall(current).sendTo(t.Context(), c, current)
	assertComplete(t, other)
	resent := tc.resend(t.Context(), c, location)
	assert.Equal(t, standin.Unknown, resent.answer.Outcome, "%s", resent.answer.Reason)
	fx.assertAtMostOnce(tc, other, resent)
}

func (fx *fixture) agentOf(server *standin.Plain) *fleet.Process {
	fx.t.Helper()
	for name, p := range fx.Plains {
		if p == server {
			return fx.agent(name)
		}
	}
	require.Fail(fx.t, "no agent")
	return nil
}

// TestRequestRunsAtMostOnceAcrossConfigurationChange takes a zone out while a non-idempotent request runs in it, and
// checks that the request completes there and that the zone gets no further request.
func TestRequestRunsAtMostOnceAcrossConfigurationChange(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 3, engines: 1, plainServers: 3})
	fx.setPlainFaults(func(f *standin.PlainFault) { f.ServiceTime = 2 * clock.Second })
	c := fx.newCaller(plainService, "zone-a")
	tc := fx.sendWithFault(c, func(name string, _ standin.Location) {
		zone := fx.agent(name).Settings.Zone
		fx.awaitTicket(fx.publish(zoneObjects(zone, "out")))
	})
	fx.assertAtMostOnce(tc)
	assertComplete(t, tc)
	fx.setPlainFaults(func(f *standin.PlainFault) { f.ServiceTime = 0 })
	fx.subtest("zone gets no further request", func(t *testing.T) {
		for i := range 6 {
			location := fx.awaitBinding(c)
			next := newNonIdempotentCall(location).sendTo(t.Context(), c, location)
			assertComplete(t, next)
			fx.assertAtMostOnce(next)
			require.NotEqual(t, fx.awaitRun(tc.call.ID), fx.awaitRun(next.call.ID), fmt.Sprint("request ", i))
		}
	})
}
