package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/standin"
	"carawaypick/internal/standin/fleet"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// propagationLimit is the maximum time until a ticket is in force at all processes, counted from when the configuration service
// makes it available.
const propagationLimit = 5 * clock.Second

func shareObjects(weight float64) ticket.Objects {
	return ticket.Objects{Teams: map[string]*ticket.Team{testTeam: {Share: weight, Priority: 9}}}
}

// assertPropagated checks that the ticket is in force at the processes within propagationLimit.
func (fx *fixture) assertPropagated(number ticket.Number, processes ...*fleet.Process) {
	fx.t.Helper()
	started := fx.clock.Now()
	fx.awaitTicket(number, processes...)
	assert.LessOrEqual(fx.t, fx.clock.Since(started), propagationLimit, "ticket %d", number)
}

// assertConverged waits until all processes report the same ticket number and hash.
func (fx *fixture) assertConverged() {
	fx.t.Helper()
	fx.eventually("same state at all processes", func() bool {
		hashes := map[string]bool{}
		for _, p := range fx.Processes() {
			s, ok := fx.status(p)
			hashes[fmt.Sprint(s.Number, s.Hash, ok)] = true
		}
		return len(hashes) == 1
	})
}

// assertTicketUnchanged checks, until the duration has passed, that the processes report no other ticket number than this.
func (fx *fixture) assertTicketUnchanged(number ticket.Number, duration clock.Span, processes ...*fleet.Process) {
	fx.t.Helper()
	started := fx.clock.Now()
	for fx.clock.Since(started) < duration {
		for _, p := range processes {
			if s, ok := fx.status(p); ok {
				require.Equal(fx.t, uint64(number), s.Number, p.Settings.Name)
			}
		}
		time.Sleep(pollInterval)
	}
}

// TestTicketsPropagateUnderServiceFaults publishes tickets under each fault of the configuration service and checks that
// all processes converge on them.
func TestTicketsPropagateUnderServiceFaults(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 3, engines: 3, plainServers: 2})
	c := fx.newCaller(modelService, "zone-a")
	unchangedFor := 10 * fleet.QuickTiming().GossipInterval
	fx.subtest("in force everywhere", func(*testing.T) { fx.assertPropagated(fx.publish(shareObjects(3))) })
	fx.subtest("service down", func(t *testing.T) {
		fx.Tickets.SetFault(func(f *standin.TicketFault) { f.Down = true })
		number := fx.publish(shareObjects(4))
		fx.assertTicketUnchanged(number-1, unchangedFor, fx.Processes()...)
		assertComplete(t, newModelCall(basePrompt+", sin servicio", 4).send(t.Context(), c))
		fx.Tickets.SetFault(func(f *standin.TicketFault) { f.Down = false })
		fx.assertPropagated(number)
	})
	fx.subtest("stale service", func(*testing.T) {
		fx.Tickets.SetFault(func(f *standin.TicketFault) { f.MaxNumber = uint64(fx.lastNumber) - 1 })
		fx.assertTicketUnchanged(fx.lastNumber, unchangedFor, fx.Processes()...)
		fx.Tickets.SetFault(func(f *standin.TicketFault) { f.MaxNumber = 0 })
	})
	fx.subtest("gap and arrival out of order", func(t *testing.T) {
		before := fx.lastNumber
		missing := before + 1
		fx.Tickets.SetFault(func(f *standin.TicketFault) { f.Hidden = []uint64{uint64(missing)} })
		fx.publish(shareObjects(5))
		last := fx.publish(shareObjects(6))
		fx.eventually("missing ticket is reported", func() bool {
			s, ok := fx.status(fx.Entries[0])
			return ok && s.Missing != nil && s.Missing.Number == uint64(missing)
		})
		fx.assertTicketUnchanged(before, unchangedFor, fx.Processes()...)
		fx.Tickets.SetFault(func(f *standin.TicketFault) { f.Hidden = nil })
		fx.assertPropagated(last)
	})
	fx.subtest("two contents under one number", func(t *testing.T) {
		// All readers wake at once, and every other reader receives the second content first. Several rounds are needed because
		// the readers may agree by chance.
		for i := range 3 {
			fx.Tickets.SetFault(func(f *standin.TicketFault) { f.Hidden = []uint64{uint64(fx.lastNumber) + 1} })
			number := fx.publish(shareObjects(float64(7 + i)))
			fx.publishAs(number, shareObjects(float64(17+i)))
			fx.Tickets.SetFault(func(f *standin.TicketFault) { f.Hidden = nil })
			fx.assertPropagated(number)
			fx.assertConverged()
		}
		next := fx.publish(ticket.Objects{Teams: map[string]*ticket.Team{"noche": {Share: 2}}})
		fx.assertPropagated(next)
		fx.assertConverged()
		fx.eventually("conflict is reported", func() bool {
			s, _ := fx.status(fx.Entries[0])
			return len(s.Conflicts) > 0
		})
	})
	fx.subtest("invalid ticket", func(t *testing.T) {
		fx.lastNumber++
		require.NoError(t, fx.Tickets.Publish(fmt.Appendf(nil, `{"number":%d,"author":"x","objects":{"teams":{"politica":{"share":-1}}}}`, fx.lastNumber)))
		invalid := uint64(fx.lastNumber)
		fx.assertPropagated(fx.publish(shareObjects(9)))
		for _, p := range fx.Processes() {
			s, _ := fx.status(p)
			require.NotEmpty(t, s.Skipped, p.Settings.Name)
			assert.Equal(t, invalid, s.Skipped[len(s.Skipped)-1].Number, p.Settings.Name)
		}
	})
	fx.subtest("ticket of nearly 1 MB", func(t *testing.T) {
		teams := map[string]*ticket.Team{}
		for i := range 15_000 {
			teams[fmt.Sprintf("redaccion-%05d", i)] = &ticket.Team{Share: 1}
		}
		fx.assertPropagated(fx.publish(ticket.Objects{Teams: teams}))
		fx.assertConverged()
	})
	fx.subtest("entry restarts while the service is down", func(t *testing.T) {
		fx.Tickets.SetFault(func(f *standin.TicketFault) { f.Down = true })
		restarted := fx.Entries[2]
		require.NoError(t, restarted.Kill())
		require.NoError(t, restarted.Start())
		require.NoError(t, restarted.AwaitReady(t.Context()))
		fx.awaitTicket(fx.lastNumber, restarted)
		fx.awaitBackends()
		direct := standin.NewCaller(modelService, "zone-c", testTeam, fx.EntryAddresses()[2])
		t.Cleanup(direct.Close)
		assertComplete(t, newModelCall(basePrompt+", entrada nueva", 4).send(t.Context(), direct))
		fx.Tickets.SetFault(func(f *standin.TicketFault) { f.Down = false })
	})
	fx.assertConverged()
	t.Logf("%d processes made %d calls to the configuration service", len(fx.Processes()), fx.Tickets.Calls().Calls)
	assert.Zero(t, fx.Tickets.Calls().Rejected, "calls rejected by the service's rate limit")
}

// TestPausedProcessesCatchUpOnTickets checks that processes paused during ten configuration changes apply them after they
// resume.
func TestPausedProcessesCatchUpOnTickets(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 3, engines: 3, plainServers: 1})
	load := fx.startLoad(modelService, 4, modelCalls(4))
	fx.awaitCalls(load, 20)
	agentName := fx.engineInZone("zone-b")
	paused := []*fleet.Process{fx.agent(agentName), fx.Entries[1]}
	for _, p := range paused {
		require.NoError(t, p.Pause())
	}
	for i := range 9 {
		fx.publish(shareObjects(float64(i + 1)))
	}
	last := fx.publish(zoneObjects("zone-b", "out"))
	fx.awaitTicket(last, fx.Entries[0], fx.Entries[2])
	for _, p := range paused {
		require.NoError(t, p.Resume())
	}
	fx.assertPropagated(last)
	fx.sleep(removalLimit)
	fx.assertNoNewRequests(agentName, load)
	for _, tc := range load.drain() {
		assertValid(t, tc)
	}
}

// TestPartitionedProcessesConvergeOnTickets cuts all links between processes, and the links from the processes of one zone to the
// configuration service. It publishes tickets and checks that all processes converge after the links are restored.
func TestPartitionedProcessesConvergeOnTickets(t *testing.T) {
	fx := startFixture(t, fixtureOptions{entries: 3, engines: 3, plainServers: 1, proxiedLinks: []string{fleet.PeerLink, fleet.TicketLink}})
	before := fx.lastNumber
	inside, outside := fx.splitByZone("zone-c")
	links := []fleet.Link{}
	for _, p := range fx.Processes() {
		links = append(links, fleet.Link{Kind: fleet.PeerLink, To: p.Settings.Name})
	}
	for _, p := range inside {
		links = append(links, fleet.Link{From: p.Settings.Name, Kind: fleet.TicketLink, To: fleet.TicketLink})
	}
	for _, l := range links {
		fx.cutLink(l)
	}
	last := before
	for i := range 3 {
		last = fx.publish(shareObjects(float64(i + 5)))
	}
	fx.awaitTicket(last, outside...)
	fx.assertTicketUnchanged(before, clock.Second, inside...)
	for _, p := range fx.Entries {
		tc := newModelCall(basePrompt+", isla", 4)
		c := standin.NewCaller(modelService, p.Settings.Zone, testTeam, p.Settings.Listen)
		tc.answer = c.Send(t.Context(), tc.call, p.Settings.Listen, "", 1, clock.Second)
		c.Close()
		assert.False(t, assertValid(t, tc), "call was completed without a link to a backend server")
	}
	for _, l := range links {
		fx.restoreLink(l)
	}
	fx.awaitTicket(last)
	fx.assertConverged()
	fx.awaitBackends()
	assertComplete(t, newModelCall(basePrompt+", reunidos", 4).send(t.Context(), fx.newCaller(modelService, "zone-c")))
}

// splitByZone returns the processes inside and outside a zone.
func (fx *fixture) splitByZone(zone string) (inside, outside []*fleet.Process) {
	for _, p := range fx.Processes() {
		if p.Settings.Zone == zone {
			inside = append(inside, p)
			continue
		}
		outside = append(outside, p)
	}
	return inside, outside
}
