package member_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/platform"
	"carawaypick/internal/spread"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

func TestServiceFails(t *testing.T) {
	t.Run("a replica stays stale for minutes", func(t *testing.T) {
		w := warm(t, 20, 3, 2)
		for n := ticket.Number(2); n <= 4; n++ {
			w.Service.Publish(n, share(n, "ana", float64(n)), 1)
			requireForce(t, w, soon, n)
			w.Run(clock.Minute)
		}
		requireAgreed(t, w)
	})
	t.Run("down for minutes", func(t *testing.T) {
		w := warm(t, 20, 3, 1)
		w.Service.Down = true
		w.Service.Publish(2, share(2, "ana", 2))
		w.Run(10 * clock.Minute)
		assert.True(t, inForce(w, 1))
		w.Service.Down = false
		t.Logf("in force %d ms after its return", requireForce(t, w, soon, 2))
		requireAgreed(t, w)
	})
	t.Run("a cold process in an outage asks its peers", func(t *testing.T) {
		w := warm(t, 20, 3, 1)
		w.Service.Down = true
		w.Start(7, w.Service.List.Instances[7])
		assert.False(t, w.Members[7].Ready())
		t.Logf("in force after %d ms", requireForce(t, w, soon, 1))
		requireAgreed(t, w)
	})
	t.Run("a cold process in an outage that no list names yet asks its seeds", func(t *testing.T) {
		w := warm(t, 20, 3, 1)
		w.Service.Down = true
		w.Start(20, platform.Instance{Name: "new", Peer: "127.0.9.9:7001", Zone: "zone-0"})
		requireForce(t, w, soon, 1)
		requireAgreed(t, w)
	})
	t.Run("a cold fleet in an outage is not ready", func(t *testing.T) {
		w := spread.NewWorld(9, 3, 1)
		w.Service.Publish(1, share(1, "ana", 1))
		w.Service.Down = true
		w.Run(clock.Minute)
		for _, m := range w.Members {
			assert.False(t, m.Ready())
		}
	})
	t.Run("one half can't reach it", func(t *testing.T) {
		w := warm(t, 20, 2, 1)
		for n := 0; n < 20; n += 2 {
			w.Service.Away[n] = true
		}
		w.Service.Publish(2, share(2, "ana", 2))
		requireForce(t, w, soon, 2)
		requireAgreed(t, w)
	})
}

func TestTicketsFail(t *testing.T) {
	t.Run("a gap holds back what follows and is told", func(t *testing.T) {
		w := warm(t, 12, 3, 1)
		w.Service.Publish(3, share(3, "ana", 3))
		w.Run(clock.Minute)
		assert.True(t, inForce(w, 1))
		for _, m := range w.Members {
			n, since, ok := m.Book().Missing(w.Now)
			assert.True(t, ok)
			assert.Equal(t, ticket.Number(2), n)
			assert.Greater(t, since, 50*clock.Second)
		}
		w.Service.Publish(2, share(2, "ana", 2))
		requireForce(t, w, soon, 3)
		requireAgreed(t, w)
	})
	t.Run("a gap that the platform has forgotten is passed by a snapshot", func(t *testing.T) {
		w := warm(t, 12, 3, 1)
		w.Service.Publish(4, share(4, "ana", 4))
		w.Run(10 * clock.Second)
		assert.True(t, inForce(w, 1))
		w.Service.Snapshot = []byte(`{"number":3,"objects":{"teams":{"desk":{"share":3}}}}`)
		requireForce(t, w, soon, 4)
		requireAgreed(t, w)
	})
	t.Run("out of order", func(t *testing.T) {
		w := warm(t, 12, 3, 1)
		for n := ticket.Number(6); n >= 2; n-- {
			w.Service.Publish(n, share(n, "ana", float64(n)))
			w.Run(300)
		}
		requireForce(t, w, soon, 6)
		requireAgreed(t, w)
	})
	t.Run("an invalid one is skipped everywhere", func(t *testing.T) {
		w := warm(t, 12, 3, 1)
		w.Service.Publish(2, share(2, "ana", -2))
		w.Service.Publish(3, []byte(`{"number":3,"author":7}`))
		w.Service.Publish(4, share(4, "ana", 4))
		requireForce(t, w, soon, 4)
		requireAgreed(t, w)
		for _, m := range w.Members {
			skipped := m.State().Skipped
			require.Len(t, skipped, 2)
			assert.Equal(t, "teams.desk.share", skipped[0].Field)
			assert.Equal(t, "author", skipped[1].Field)
		}
	})
}

func TestRivals(t *testing.T) {
	// Each race is run both ways round, as one of the contents has the lower hash.
	for _, authors := range [][2]string{{"ana", "eva"}, {"eva", "ana"}} {
		first, second := share(2, authors[0], 2), share(2, authors[1], 3)
		t.Run("at two replicas at once, "+authors[0], func(t *testing.T) {
			w := warm(t, 20, 3, 2)
			w.Service.Publish(2, first, 1)
			w.Service.Publish(2, second, 0)
			requireForce(t, w, soon, 2)
			w.Run(soon)
			requireAgreed(t, w)
			requireConflict(t, w, 2)
		})
		t.Run("overwritten before it has settled, "+authors[0], func(t *testing.T) {
			w := warm(t, 20, 3, 1)
			w.Service.Publish(2, first)
			w.Run(300)
			w.Service.Publish(2, second)
			requireForce(t, w, soon, 2)
			w.Run(soon)
			requireAgreed(t, w)
			requireConflict(t, w, 2)
		})
		for _, count := range []int{2, 3, 4, 6, 20} {
			t.Run(fmt.Sprintf("on two sides of a partition of %d, %s", count, authors[0]), func(t *testing.T) {
				w := warm(t, count, 2, 2)
				w.Cut = func(from, to int) bool { return from%2 != to%2 }
				w.Service.Publish(2, first, 1)
				w.Run(5 * clock.Minute)
				w.Service.Publish(2, second, 0)
				w.Run(15 * clock.Minute)
				assert.NotEqual(t, w.Members[0].State().Hash, w.Members[1].State().Hash)
				w.Cut = func(int, int) bool { return false }
				w.Run(soon)
				requireAgreed(t, w)
				requireConflict(t, w, 2)
			})
		}
		t.Run("after it was sealed, "+authors[0], func(t *testing.T) {
			w := warm(t, 20, 3, 1)
			w.Service.Publish(2, first)
			requireForce(t, w, soon, 2)
			before := w.Members[0].State().Hash
			w.Run(11 * clock.Minute)
			w.Service.Publish(2, second)
			w.Start(9, w.Service.List.Instances[9])
			w.Run(clock.Minute)
			requireAgreed(t, w)
			assert.Equal(t, before, w.Members[0].State().Hash)
		})
	}
}

func TestProcessFails(t *testing.T) {
	t.Run("tickets are read although the instance list stays empty", func(t *testing.T) {
		w := spread.NewWorld(6, 3, 1)
		w.Service.List = &platform.List{}
		w.Service.Publish(1, share(1, "ana", 1))
		w.Run(90 * clock.Second)
		assert.True(t, inForce(w, 1, 0, 1, 2, 3, 4, 5))
	})
	t.Run("a partition heals", func(t *testing.T) {
		w := warm(t, 20, 2, 1)
		w.Cut = func(from, to int) bool { return from%2 != to%2 }
		for n := 0; n < 20; n += 2 {
			w.Service.Away[n] = true
		}
		for n := ticket.Number(2); n <= 5; n++ {
			w.Service.Publish(n, share(n, "ana", float64(n)))
			w.Run(30 * clock.Second)
		}
		assert.True(t, inForce(w, 1, 0, 2, 4))
		assert.True(t, inForce(w, 5, 1, 3, 5))
		w.Cut = func(int, int) bool { return false }
		t.Logf("in force %d ms after it healed", requireForce(t, w, soon, 5))
		requireAgreed(t, w)
	})
	t.Run("a process is paused across ten changes", func(t *testing.T) {
		w := warm(t, 20, 3, 1)
		w.Paused[11] = true
		w.Service.Away[11] = true
		for n := ticket.Number(2); n <= 11; n++ {
			w.Service.Publish(n, share(n, "ana", float64(n)))
			w.Run(20 * clock.Second)
		}
		assert.Equal(t, ticket.Number(1), w.Members[11].State().Number)
		w.Paused[11] = false
		t.Logf("in force %d ms after it woke", requireForce(t, w, 500*clock.Millisecond, 11))
		requireAgreed(t, w)
	})
	t.Run("a process that is behind hears a digest on another call", func(t *testing.T) {
		w := warm(t, 9, 3, 1)
		w.Service.Away[4] = true
		w.Cut = func(from, to int) bool { return to == 4 || (from == 4 && to != 2) }
		w.Service.Publish(2, share(2, "ana", 2))
		requireForce(t, w, soon, 2, 0, 1, 2, 3, 5, 6, 7, 8)
		m := w.Members[4]
		m.Heard(w.Members[2].Digest(), w.Service.List.Instances[2].Peer)
		w.Run(spread.Tick)
		assert.Equal(t, ticket.Number(2), m.State().Number)
	})
}
