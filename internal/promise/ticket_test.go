package promise

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

// seconds is how soon an accepted ticket is in force everywhere, after the service shows it.
const seconds = 5 * clock.Second

func share(weight float64) ticket.Objects {
	return ticket.Objects{Teams: map[string]*ticket.Team{team: {Share: weight, Priority: 9}}}
}

// spread waits until the ticket is in force at all these processes and holds that it came within seconds.
func (b *bench) spread(number ticket.Number, processes ...*fleet.Process) {
	b.t.Helper()
	start := b.clock.Now()
	b.inForce(number, processes...)
	assert.LessOrEqual(b.t, b.clock.Since(start), seconds, "ticket %d", number)
}

// assertOneState holds that all processes believe the same.
func (b *bench) assertOneState() {
	b.t.Helper()
	b.eventually("one state everywhere", func() bool {
		hashes := map[string]bool{}
		for _, p := range b.Processes() {
			s, ok := b.status(p)
			hashes[fmt.Sprint(s.Number, s.Hash, ok)] = true
		}
		return len(hashes) == 1
	})
}

// assertHolds looks at a process again and again and holds that its ticket number doesn't change.
func (b *bench) assertHolds(number ticket.Number, span clock.Span, processes ...*fleet.Process) {
	b.t.Helper()
	start := b.clock.Now()
	for b.clock.Since(start) < span {
		for _, p := range processes {
			if s, ok := b.status(p); ok {
				require.Equal(b.t, uint64(number), s.Number, p.Settings.Name)
			}
		}
		time.Sleep(glance)
	}
}

// TestPromiseTickets spreads tickets through every fault of the configuration service.
func TestPromiseTickets(t *testing.T) {
	b := open(t, setup{entries: 3, engines: 3, plains: 2})
	c := b.caller(model, "zone-a")
	hold := 10 * fleet.QuickTiming().Gossip
	b.run("in force everywhere", func(*testing.T) { b.spread(b.publish(share(3))) })
	b.run("service down", func(t *testing.T) {
		b.Tickets.SetFault(func(f *standin.TicketFault) { f.Down = true })
		number := b.publish(share(4))
		b.assertHolds(number-1, hold, b.Processes()...)
		assertWhole(t, ask(question+", sin servicio", 4).do(t.Context(), c))
		b.Tickets.SetFault(func(f *standin.TicketFault) { f.Down = false })
		b.spread(number)
	})
	b.run("stale service", func(*testing.T) {
		b.Tickets.SetFault(func(f *standin.TicketFault) { f.Stale = uint64(b.number) - 1 })
		b.assertHolds(b.number, hold, b.Processes()...)
		b.Tickets.SetFault(func(f *standin.TicketFault) { f.Stale = 0 })
	})
	b.run("gap and arrival out of order", func(t *testing.T) {
		before := b.number
		missing := before + 1
		b.Tickets.SetFault(func(f *standin.TicketFault) { f.Hidden = []uint64{uint64(missing)} })
		b.publish(share(5))
		last := b.publish(share(6))
		b.eventually("the gap is seen", func() bool {
			s, ok := b.status(b.Entries[0])
			return ok && s.Missing != nil && s.Missing.Number == uint64(missing)
		})
		b.assertHolds(before, hold, b.Processes()...)
		b.Tickets.SetFault(func(f *standin.TicketFault) { f.Hidden = nil })
		b.spread(last)
	})
	b.run("two operators race with one number", func(t *testing.T) {
		// All readers wake at once, and every other one sees the second content first; a few races, as readers may agree.
		for i := range 3 {
			b.Tickets.SetFault(func(f *standin.TicketFault) { f.Hidden = []uint64{uint64(b.number) + 1} })
			number := b.publish(share(float64(7 + i)))
			b.publishAs(number, share(float64(17+i)))
			b.Tickets.SetFault(func(f *standin.TicketFault) { f.Hidden = nil })
			b.spread(number)
			b.assertOneState()
		}
		next := b.publish(ticket.Objects{Teams: map[string]*ticket.Team{"noche": {Share: 2}}})
		b.spread(next)
		b.assertOneState()
		b.eventually("the conflict is shown", func() bool {
			s, _ := b.status(b.Entries[0])
			return len(s.Conflicts) > 0
		})
	})
	b.run("invalid ticket", func(t *testing.T) {
		b.number++
		require.NoError(t, b.Tickets.Publish(fmt.Appendf(nil, `{"number":%d,"author":"x","objects":{"teams":{"politica":{"share":-1}}}}`, b.number)))
		bad := uint64(b.number)
		b.spread(b.publish(share(9)))
		for _, p := range b.Processes() {
			s, _ := b.status(p)
			require.NotEmpty(t, s.Skipped, p.Settings.Name)
			assert.Equal(t, bad, s.Skipped[len(s.Skipped)-1].Number, p.Settings.Name)
		}
	})
	b.run("value near a megabyte", func(t *testing.T) {
		teams := map[string]*ticket.Team{}
		for i := range 15_000 {
			teams[fmt.Sprintf("redaccion-%05d", i)] = &ticket.Team{Share: 1}
		}
		b.spread(b.publish(ticket.Objects{Teams: teams}))
		b.assertOneState()
	})
	b.run("cold entry during an outage", func(t *testing.T) {
		b.Tickets.SetFault(func(f *standin.TicketFault) { f.Down = true })
		cold := b.Entries[2]
		require.NoError(t, cold.Kill())
		require.NoError(t, cold.Start())
		require.NoError(t, cold.Ready(t.Context()))
		b.inForce(b.number, cold)
		b.located()
		alone := standin.NewCaller(model, "zone-c", team, b.EntryAddresses()[2])
		t.Cleanup(alone.Close)
		assertWhole(t, ask(question+", entrada nueva", 4).do(t.Context(), alone))
		b.Tickets.SetFault(func(f *standin.TicketFault) { f.Down = false })
	})
	b.assertOneState()
	t.Logf("%d processes made %d calls to the configuration service", len(b.Processes()), b.Tickets.Calls().Calls)
	assert.Zero(t, b.Tickets.Calls().Refused, "calls over the service's limit")
}

// TestPromiseTicketsAcrossPause wakes processes that slept through ten changes.
func TestPromiseTicketsAcrossPause(t *testing.T) {
	b := open(t, setup{entries: 3, engines: 3, plains: 1})
	load := b.load(model, 4, questions(4))
	b.more(load, 20)
	out := b.engineIn("zone-b")
	asleep := []*fleet.Process{b.agent(out), b.Entries[1]}
	for _, p := range asleep {
		require.NoError(t, p.Pause())
	}
	for i := range 9 {
		b.publish(share(float64(i + 1)))
	}
	last := b.publish(zoneTicket("zone-b", "out"))
	b.inForce(last, b.Entries[0], b.Entries[2])
	for _, p := range asleep {
		require.NoError(t, p.Resume())
	}
	b.spread(last)
	b.pass(grace)
	b.assertNoNewWork(out, load)
	for _, s := range load.end() {
		assertTrue(t, s)
	}
}

// TestPromiseTicketsAcrossPartition cuts every process off from every other, and one zone off from the configuration
// service, changes the configuration, and heals.
func TestPromiseTicketsAcrossPartition(t *testing.T) {
	b := open(t, setup{entries: 3, engines: 3, plains: 1, proxied: []string{fleet.PeerLink, fleet.TicketLink}})
	before := b.number
	inside, outside := b.sides("zone-c")
	links := []fleet.Link{}
	for _, p := range b.Processes() {
		links = append(links, fleet.Link{Kind: fleet.PeerLink, To: p.Settings.Name})
	}
	for _, p := range inside {
		links = append(links, fleet.Link{From: p.Settings.Name, Kind: fleet.TicketLink, To: fleet.TicketLink})
	}
	for _, l := range links {
		b.cut(l)
	}
	last := before
	for i := range 3 {
		last = b.publish(share(float64(i + 5)))
	}
	b.inForce(last, outside...)
	b.assertHolds(before, clock.Second, inside...)
	for _, p := range b.Entries {
		s := ask(question+", isla", 4)
		c := standin.NewCaller(model, p.Settings.Zone, team, p.Settings.Listen)
		s.answer = c.Send(t.Context(), s.call, p.Settings.Listen, "", 1, clock.Second)
		c.Close()
		assert.False(t, assertTrue(t, s), "no backend server can be reached")
	}
	for _, l := range links {
		b.mend(l)
	}
	b.inForce(last)
	b.assertOneState()
	b.located()
	assertWhole(t, ask(question+", reunidos", 4).do(t.Context(), b.caller(model, "zone-c")))
}

// sides returns the processes of a zone and the others.
func (b *bench) sides(zone string) (inside, outside []*fleet.Process) {
	for _, p := range b.Processes() {
		if p.Settings.Zone == zone {
			inside = append(inside, p)
			continue
		}
		outside = append(outside, p)
	}
	return inside, outside
}
