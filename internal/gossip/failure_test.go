package gossip_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/clustersim"
	"carawaypick/internal/platform"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

func TestPlatformFails(t *testing.T) {
	t.Run("a replica stays stale for minutes", func(t *testing.T) {
		w := startCluster(t, 20, 3, 2)
		for n := ticket.Number(2); n <= 4; n++ {
			w.Platform.Publish(n, shareTicket(n, "ana", float64(n)), 1)
			requireApplied(t, w, convergeTimeout, n)
			w.Run(clock.Minute)
		}
		requireConverged(t, w)
	})
	t.Run("an outage of minutes", func(t *testing.T) {
		w := startCluster(t, 20, 3, 1)
		w.Platform.Down = true
		w.Platform.Publish(2, shareTicket(2, "ana", 2))
		w.Run(10 * clock.Minute)
		assert.True(t, isApplied(w, 1))
		w.Platform.Down = false
		t.Logf("applied %d ms after the outage", requireApplied(t, w, convergeTimeout, 2))
		requireConverged(t, w)
	})
	t.Run("a process restarted during an outage syncs from peers", func(t *testing.T) {
		w := startCluster(t, 20, 3, 1)
		w.Platform.Down = true
		w.StartMember(7, w.Platform.List.Instances[7])
		assert.False(t, w.Members[7].Ready())
		t.Logf("applied after %d ms", requireApplied(t, w, convergeTimeout, 1))
		requireConverged(t, w)
	})
	t.Run("an unlisted process started during an outage syncs from seeds", func(t *testing.T) {
		w := startCluster(t, 20, 3, 1)
		w.Platform.Down = true
		w.StartMember(20, platform.Instance{Name: "new", Peer: "127.0.9.9:7001", Zone: "zone-0"})
		requireApplied(t, w, convergeTimeout, 1)
		requireConverged(t, w)
	})
	t.Run("a fleet started during an outage is not ready", func(t *testing.T) {
		w := clustersim.NewCluster(9, 3, 1)
		w.Platform.Publish(1, shareTicket(1, "ana", 1))
		w.Platform.Down = true
		w.Run(clock.Minute)
		for _, m := range w.Members {
			assert.False(t, m.Ready())
		}
	})
	t.Run("half of the members cannot reach the platform", func(t *testing.T) {
		w := startCluster(t, 20, 2, 1)
		for n := 0; n < 20; n += 2 {
			w.Platform.Unreachable[n] = true
		}
		w.Platform.Publish(2, shareTicket(2, "ana", 2))
		requireApplied(t, w, convergeTimeout, 2)
		requireConverged(t, w)
	})
}

func TestTicketsFail(t *testing.T) {
	t.Run("a gap holds back later tickets and is reported", func(t *testing.T) {
		w := startCluster(t, 12, 3, 1)
		w.Platform.Publish(3, shareTicket(3, "ana", 3))
		w.Run(clock.Minute)
		assert.True(t, isApplied(w, 1))
		for _, m := range w.Members {
			n, since, ok := m.Tickets().Missing(w.Now)
			assert.True(t, ok)
			assert.Equal(t, ticket.Number(2), n)
			assert.Greater(t, since, 50*clock.Second)
		}
		w.Platform.Publish(2, shareTicket(2, "ana", 2))
		requireApplied(t, w, convergeTimeout, 3)
		requireConverged(t, w)
	})
	t.Run("a snapshot skips a gap that the platform no longer has", func(t *testing.T) {
		w := startCluster(t, 12, 3, 1)
		w.Platform.Publish(4, shareTicket(4, "ana", 4))
		w.Run(10 * clock.Second)
		assert.True(t, isApplied(w, 1))
		w.Platform.Snapshot = []byte(`{"number":3,"objects":{"teams":{"desk":{"share":3}}}}`)
		requireApplied(t, w, convergeTimeout, 4)
		requireConverged(t, w)
	})
	t.Run("tickets published out of order are applied", func(t *testing.T) {
		w := startCluster(t, 12, 3, 1)
		for n := ticket.Number(6); n >= 2; n-- {
			w.Platform.Publish(n, shareTicket(n, "ana", float64(n)))
			w.Run(300)
		}
		requireApplied(t, w, convergeTimeout, 6)
		requireConverged(t, w)
	})
	t.Run("an invalid ticket is skipped by all members", func(t *testing.T) {
		w := startCluster(t, 12, 3, 1)
		w.Platform.Publish(2, shareTicket(2, "ana", -2))
		w.Platform.Publish(3, []byte(`{"number":3,"author":7}`))
		w.Platform.Publish(4, shareTicket(4, "ana", 4))
		requireApplied(t, w, convergeTimeout, 4)
		requireConverged(t, w)
		for _, m := range w.Members {
			skipped := m.State().Skipped
			require.Len(t, skipped, 2)
			assert.Equal(t, "teams.desk.share", skipped[0].Field)
			assert.Equal(t, "author", skipped[1].Field)
		}
	})
}

func TestConflictingTickets(t *testing.T) {
	// Each case runs with both orders of the contents, as one of them has the lower hash and wins.
	for _, authors := range [][2]string{{"ana", "eva"}, {"eva", "ana"}} {
		first, second := shareTicket(2, authors[0], 2), shareTicket(2, authors[1], 3)
		t.Run("on two replicas at once, "+authors[0], func(t *testing.T) {
			w := startCluster(t, 20, 3, 2)
			w.Platform.Publish(2, first, 1)
			w.Platform.Publish(2, second, 0)
			requireApplied(t, w, convergeTimeout, 2)
			w.Run(convergeTimeout)
			requireConverged(t, w)
			requireConflict(t, w, 2)
		})
		t.Run("overwritten before the settle delay, "+authors[0], func(t *testing.T) {
			w := startCluster(t, 20, 3, 1)
			w.Platform.Publish(2, first)
			w.Run(300)
			w.Platform.Publish(2, second)
			requireApplied(t, w, convergeTimeout, 2)
			w.Run(convergeTimeout)
			requireConverged(t, w)
			requireConflict(t, w, 2)
		})
		for _, count := range []int{2, 3, 4, 6, 20} {
			t.Run(fmt.Sprintf("on two sides of a partition of %d, %s", count, authors[0]), func(t *testing.T) {
				w := startCluster(t, count, 2, 2)
				w.DropsCall = func(from, to int) bool { return from%2 != to%2 }
				w.Platform.Publish(2, first, 1)
				w.Run(5 * clock.Minute)
				w.Platform.Publish(2, second, 0)
				w.Run(15 * clock.Minute)
				assert.NotEqual(t, w.Members[0].State().Hash, w.Members[1].State().Hash)
				w.DropsCall = func(int, int) bool { return false }
				w.Run(convergeTimeout)
				requireConverged(t, w)
				requireConflict(t, w, 2)
			})
		}
		t.Run("after the seal delay, "+authors[0], func(t *testing.T) {
			w := startCluster(t, 20, 3, 1)
			w.Platform.Publish(2, first)
			requireApplied(t, w, convergeTimeout, 2)
			before := w.Members[0].State().Hash
			w.Run(11 * clock.Minute)
			w.Platform.Publish(2, second)
			w.StartMember(9, w.Platform.List.Instances[9])
			w.Run(clock.Minute)
			requireConverged(t, w)
			assert.Equal(t, before, w.Members[0].State().Hash)
		})
	}
}

func TestProcessFails(t *testing.T) {
	t.Run("tickets are read although the instance list stays empty", func(t *testing.T) {
		w := clustersim.NewCluster(6, 3, 1)
		w.Platform.List = &platform.List{}
		w.Platform.Publish(1, shareTicket(1, "ana", 1))
		w.Run(90 * clock.Second)
		assert.True(t, isApplied(w, 1, 0, 1, 2, 3, 4, 5))
	})
	t.Run("a partition heals", func(t *testing.T) {
		w := startCluster(t, 20, 2, 1)
		w.DropsCall = func(from, to int) bool { return from%2 != to%2 }
		for n := 0; n < 20; n += 2 {
			w.Platform.Unreachable[n] = true
		}
		for n := ticket.Number(2); n <= 5; n++ {
			w.Platform.Publish(n, shareTicket(n, "ana", float64(n)))
			w.Run(30 * clock.Second)
		}
		assert.True(t, isApplied(w, 1, 0, 2, 4))
		assert.True(t, isApplied(w, 5, 1, 3, 5))
		w.DropsCall = func(int, int) bool { return false }
		t.Logf("applied %d ms after the partition healed", requireApplied(t, w, convergeTimeout, 5))
		requireConverged(t, w)
	})
	t.Run("a process is paused across ten changes", func(t *testing.T) {
		w := startCluster(t, 20, 3, 1)
		w.Paused[11] = true
		w.Platform.Unreachable[11] = true
		for n := ticket.Number(2); n <= 11; n++ {
			w.Platform.Publish(n, shareTicket(n, "ana", float64(n)))
			w.Run(20 * clock.Second)
		}
		assert.Equal(t, ticket.Number(1), w.Members[11].State().Number)
		w.Paused[11] = false
		t.Logf("applied %d ms after the pause", requireApplied(t, w, 500*clock.Millisecond, 11))
		requireConverged(t, w)
	})
	t.Run("a process that is behind receives a digest on another call", func(t *testing.T) {
		w := startCluster(t, 9, 3, 1)
		w.Platform.Unreachable[4] = true
		w.DropsCall = func(from, to int) bool { return to == 4 || (from == 4 && to != 2) }
		w.Platform.Publish(2, shareTicket(2, "ana", 2))
		requireApplied(t, w, convergeTimeout, 2, 0, 1, 2, 3, 5, 6, 7, 8)
		m := w.Members[4]
		m.ReceiveDigest(w.Members[2].Digest(), w.Platform.List.Instances[2].Peer)
		w.Run(clustersim.TickInterval)
		assert.Equal(t, ticket.Number(2), m.State().Number)
	})
}
