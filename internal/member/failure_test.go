package member_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/member"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/internal/spread"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

func TestTicketSpreads(t *testing.T) {
	for _, count := range []int{1, 9, 40, 160} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			w := warm(t, count, 3, 1)
			w.Service.Publish(2, share(2, "ana", 2))
			t.Logf("in force after %d ms", requireForce(t, w, soon, 2))
			requireAgreed(t, w)
		})
	}
	t.Run("from the first process to all of 160 at once", func(t *testing.T) {
		w := warm(t, 160, 3, 1)
		know := func() (count int) {
			for _, m := range w.Members {
				if m.Book().Holds(2) {
					count++
				}
			}
			return count
		}
		w.Service.Publish(2, share(2, "ana", 2))
		requireWithin(t, w, soon, func() bool { return know() > 0 })
		t.Logf("known after %d ms", requireWithin(t, w, 10*spread.Tick, func() bool { return know() == 160 }))
	})
	t.Run("when every call between processes is lost twice out of three times", func(t *testing.T) {
		w := warm(t, 40, 3, 1)
		w.Cut = func(int, int) bool { return w.Random.Float64() < 0.67 }
		w.Service.Publish(2, share(2, "ana", 2))
		t.Logf("in force after %d ms", requireForce(t, w, soon, 2))
	})
	t.Run("when all readers have died and the list does not say so", func(t *testing.T) {
		w := warm(t, 40, 3, 1)
		var alive []int
		for n, i := range w.Service.List.Instances {
			w.Paused[n] = slices.Contains(member.Readers(w.Service.List, i.Zone, member.ReadersOfZone), i.Name)
			if !w.Paused[n] {
				alive = append(alive, n)
			}
		}
		require.Len(t, alive, 40-3*member.ReadersOfZone)
		w.Service.Publish(2, share(2, "ana", 2))
		t.Logf("in force after %d ms", requireForce(t, w, soon, 2, alive...))
	})
	t.Run("as a value near 1 MB", func(t *testing.T) {
		w := warm(t, 12, 3, 1)
		content := long(2, ticket.MaxContent-1000)
		w.Service.Publish(2, content)
		t.Logf("%d bytes in force after %d ms", len(content), requireForce(t, w, soon, 2))
		requireAgreed(t, w)
		for _, m := range w.Members {
			assert.Empty(t, m.State().Skipped)
			assert.Less(t, m.Counters.Received.Load(), uint64(3*len(content)))
		}
	})
}

// long returns a valid ticket of about so many bytes.
func long(n ticket.Number, size int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"number":%d,"author":"ana","objects":{"backends":{`, n)
	for i := 0; b.Len() < size-100; i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `"backend-%d":{"state":"in","role":"","fence":true}`, i)
	}
	b.WriteString(`}}}`)
	return []byte(b.String())
}

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

func TestListSpreads(t *testing.T) {
	w := warm(t, 60, 3, 1)
	l := spread.Fleet(2, 59, 3)
	l.Instances[5].State = platform.Leaving
	w.Service.List = l
	took := requireWithin(t, w, 2*clock.Second, func() bool {
		for _, m := range w.Members {
			if m.List().Version != 2 {
				return false
			}
		}
		return true
	})
	t.Logf("known after %d ms", took)
	requireAgreed(t, w)
	t.Run("a lower version changes nothing", func(t *testing.T) {
		w.Service.List = spread.Fleet(1, 60, 3)
		w.Run(10 * clock.Second)
		for _, m := range w.Members {
			assert.Equal(t, uint64(2), m.List().Version)
		}
	})
}

func TestEvidenceSpreads(t *testing.T) {
	w := warm(t, 40, 3, 1)
	w.Members[13].AddEvidence(&peerpb.Evidence{Crash: "a13/1/1", Contents: []uint64{7, 9}, Alone: true})
	requireWithin(t, w, clock.Second, func() bool {
		for _, m := range w.Members {
			if len(m.Evidence()) != 1 {
				return false
			}
		}
		return true
	})
	t.Run("with its age", func(t *testing.T) {
		w.Run(clock.Minute)
		for _, m := range w.Members {
			e := m.Evidence()[0]
			assert.Equal(t, []uint64{7, 9}, e.GetContents())
			assert.InDelta(t, float64(clock.Minute), float64(e.GetAge()), float64(clock.Second))
		}
	})
	t.Run("until it expires, whoever still sends it", func(t *testing.T) {
		w.Run(member.DefaultKeep)
		for _, m := range w.Members {
			assert.Empty(t, m.Evidence())
		}
	})
	t.Run("bounded", func(t *testing.T) {
		m := w.Members[0]
		for n := range 2 * member.MaxEvidence {
			m.AddEvidence(&peerpb.Evidence{Crash: fmt.Sprint(n)})
		}
		assert.Len(t, m.Evidence(), member.MaxEvidence)
	})
}

func TestMessagesStayBounded(t *testing.T) {
	const most = 4 << 20 // bytes that gRPC takes
	w := spread.Empty(spread.Fleet(1, 5900, 6), 1)
	w.Start(0, w.Service.List.Instances[0])
	w.Start(1, w.Service.List.Instances[1])
	for n := ticket.Number(1); n <= 6; n++ {
		w.Service.Publish(n, long(n, ticket.MaxContent-1000))
	}
	requireForce(t, w, soon, 6)
	for n := range member.MaxEvidence {
		w.Members[0].AddEvidence(&peerpb.Evidence{Crash: fmt.Sprint(n), Contents: make([]uint64, 5000)})
	}
	w.Service.Down = true
	w.Start(1, w.Service.List.Instances[1])
	requireForce(t, w, soon, 6)
	requireAgreed(t, w)
	t.Logf("longest message %d bytes", w.Longest)
	assert.Less(t, w.Longest, most)
}

func TestSyncBears(t *testing.T) {
	w := warm(t, 3, 1, 1)
	m := w.Members[0]
	for name, q := range map[string]*peerpb.SyncRequest{
		"nothing":             {},
		"a ticket in ruins":   {Tickets: []*peerpb.Ticket{{Number: 2, Content: []byte(`{"num`)}, {Number: 2, Content: share(2, "ana", 2)}}},
		"an endless age":      {Tickets: []*peerpb.Ticket{{Number: 2, Content: share(2, "ana", 2), Age: 1<<64 - 1}}},
		"a snapshot in ruins": {Tickets: []*peerpb.Ticket{{Number: 9, Content: []byte(`[]`), Snapshot: true}}},
		"a list in ruins":     {Instances: []byte(`{"version":9,"instances":[{}]}`)},
		"another list":        {Instances: []byte(`{"version":9,"since":0,"hash":3}`)},
		"empty evidence":      {Evidence: []*peerpb.Evidence{nil, {}}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := m.Sync(context.Background(), q)
			require.NoError(t, err)
			assert.Equal(t, uint64(1), m.List().Version)
			assert.Empty(t, m.Evidence())
		})
	}
	requireForce(t, w, soon, 2)
}
