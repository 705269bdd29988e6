package caller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

const poll = clock.Second

// listed returns live agents of the service check, named a0, a1 and so on, in zone z1.
func listed(count int) (agents []platform.Instance) {
	for i := range count {
		agents = append(agents, platform.Instance{
			Name: fmt.Sprint("a", i), Peer: fmt.Sprint("127.0.0.1:", 7000+i), Zone: "z1", Service: "check", State: platform.Live,
		})
	}
	return agents
}

func live(name string, at uint64) *peerpb.Report {
	return &peerpb.Report{Name: name, Incarnation: 1, Clock: at, State: stateLive, Window: 4, Grant: 2}
}

func newTestBoard(now *clock.Time, count int) *Board {
	b := NewBoard(clock.Fixed(now), poll)
	b.Update(listed(count))
	for i := range count {
		b.Heard(live(fmt.Sprint("a", i), 10))
	}
	return b
}

// requireDown checks which of the service's agents may get no new work.
func requireDown(t *testing.T, b *Board, state *ticket.State, want ...bool) {
	t.Helper()
	_, candidates := b.Candidates("check", state)
	require.Len(t, candidates, len(want))
	for i, c := range candidates {
		assert.Equal(t, want[i], c.Down, c.Name)
	}
}

func TestBoard(t *testing.T) {
	t.Run("offers agents that have reported", func(t *testing.T) {
		now := clock.Time(0)
		b := newTestBoard(&now, 2)
		b.Update(listed(3))
		requireDown(t, b, &ticket.State{}, false, false, true)
	})
	t.Run("passes over what operators have taken out", func(t *testing.T) {
		now := clock.Time(0)
		b := newTestBoard(&now, 2)
		zone := &ticket.State{Objects: ticket.Objects{Zones: map[string]*ticket.Zone{"z1": {State: "out"}}}}
		requireDown(t, b, zone, true, true)
		one := &ticket.State{Objects: ticket.Objects{Backends: map[string]*ticket.Backend{"a1": {State: "out"}}}}
		requireDown(t, b, one, false, true)
	})
	t.Run("passes over leaving, silent and lost agents", func(t *testing.T) {
		now := clock.Time(0)
		b := newTestBoard(&now, 3)
		leaving := listed(3)
		leaving[0].State = platform.Leaving
		b.Update(leaving)
		b.Lost("a1")
		requireDown(t, b, &ticket.State{}, true, true, false)
		now = now.Add(lostKeep)
		requireDown(t, b, &ticket.State{}, true, false, false)
		now = now.Add(staleAfter * poll)
		requireDown(t, b, &ticket.State{}, true, true, true)
	})
	t.Run("knows when agents may be there that have not reported", func(t *testing.T) {
		now := clock.Time(0)
		b := NewBoard(clock.Fixed(&now), poll)
		assert.True(t, b.Unheard("check"))
		assert.False(t, b.Settled())
		b.Update(listed(2))
		b.Heard(live("a0", 10))
		assert.True(t, b.Unheard("check"))
		assert.False(t, b.Unheard("other"))
		b.Heard(live("a1", 10))
		assert.False(t, b.Unheard("check"))
		assert.True(t, b.Settled())
		b.Update(listed(3))
		assert.True(t, b.Unheard("check"))
		now = now.Add(unheardSpan)
		assert.False(t, b.Unheard("check"), "an agent that never answers is not waited for")
	})
	t.Run("waits for reports after a pause of its own", func(t *testing.T) {
		now := clock.Time(1)
		b := newTestBoard(&now, 1)
		b.Due()
		assert.False(t, b.Unheard("check"))
		now = now.Add(staleAfter * poll)
		assert.True(t, b.Unheard("check"), "nothing was looked at since the pause")
		b.Due()
		assert.True(t, b.Unheard("check"), "the answers are on their way")
		for range 20 {
			now = now.Add(boardPeriod)
			b.Due()
		}
		assert.False(t, b.Unheard("check"))
	})
	t.Run("keeps the newer of two reports of one incarnation", func(t *testing.T) {
		now := clock.Time(0)
		b := newTestBoard(&now, 1)
		older := live("a0", 9)
		older.State = "down"
		b.Heard(older)
		requireDown(t, b, &ticket.State{}, false)
		older.Incarnation = 2
		b.Heard(older)
		requireDown(t, b, &ticket.State{}, true)
	})
	t.Run("counts its own work and forgets gone agents only without any", func(t *testing.T) {
		now := clock.Time(0)
		b := newTestBoard(&now, 1)
		b.Begin("a0", 7)
		b.Update(nil)
		requireDown(t, b, &ticket.State{}, true)
		b.End("a0", 7)
		b.Update(nil)
		requireDown(t, b, &ticket.State{})
	})
	t.Run("asks each silent agent once a period, which grows with their number", func(t *testing.T) {
		now := clock.Time(1)
		few := newTestBoard(&now, reportFree)
		many := newTestBoard(&now, reportFree+20)
		now = now.Add(poll)
		assert.Len(t, few.Due(), reportFree)
		assert.Empty(t, few.Due())
		assert.Empty(t, many.Due(), "20 agents more make the period 4 s longer")
		now = now.Add(4 * clock.Second)
		assert.Len(t, many.Due(), reportFree+20)
	})
	t.Run("tries an agent again that took nothing some time ago, unless it leaves", func(t *testing.T) {
		now := clock.Time(0)
		b := newTestBoard(&now, 2)
		for i, state := range []string{"down", stateLeaving} {
			r := live(fmt.Sprint("a", i), 11)
			r.State = state
			b.Heard(r)
		}
		requireDown(t, b, &ticket.State{}, true, true)
		now = now.Add(denialKeep)
		requireDown(t, b, &ticket.State{}, false, true)
	})
	t.Run("passes an agent over for longer each time until it is heard", func(t *testing.T) {
		now := clock.Time(0)
		b := newTestBoard(&now, 1)
		b.Lost("a0")
		now = now.Add(lostKeep)
		requireDown(t, b, &ticket.State{}, false)
		b.Lost("a0")
		now = now.Add(lostKeep)
		requireDown(t, b, &ticket.State{}, true)
		b.Heard(live("a0", 12))
		requireDown(t, b, &ticket.State{}, false)
	})
}
