package member

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// soon is how long a ticket may take to be in force everywhere.
const soon = 5 * clock.Second

func TestTicketSpreads(t *testing.T) {
	for _, count := range []int{1, 9, 40, 160} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			w := warm(t, count, 3, 1)
			w.service.publish(2, share(2, "ana", 2))
			t.Logf("in force after %d ms", w.runUntil(t, soon, w.inForce(2)))
			w.assertAgreed(t)
		})
	}
	t.Run("when every call between processes is lost twice out of three times", func(t *testing.T) {
		w := warm(t, 40, 3, 1)
		w.cut = func(int, int) bool { return w.random.Float64() < 0.67 }
		w.service.publish(2, share(2, "ana", 2))
		t.Logf("in force after %d ms", w.runUntil(t, soon, w.inForce(2)))
	})
	t.Run("when all readers have died and the list does not say so", func(t *testing.T) {
		w := warm(t, 40, 3, 1)
		var alive []int
		for n, m := range w.members {
			w.paused[n] = m.plan.reader
			if !m.plan.reader {
				alive = append(alive, n)
			}
		}
		require.Len(t, alive, 40-3*readers)
		w.service.publish(2, share(2, "ana", 2))
		t.Logf("in force after %d ms", w.runUntil(t, soon, w.inForce(2, alive...)))
	})
	t.Run("as a value near 1 MB", func(t *testing.T) {
		w := warm(t, 12, 3, 1)
		content := long(2, ticket.MaxContent-1000)
		w.service.publish(2, content)
		t.Logf("%d bytes in force after %d ms", len(content), w.runUntil(t, soon, w.inForce(2)))
		w.assertAgreed(t)
		for _, m := range w.members {
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
			w.service.publish(n, share(n, "ana", float64(n)), 1)
			w.runUntil(t, soon, w.inForce(n))
			w.run(clock.Minute)
		}
		w.assertAgreed(t)
	})
	t.Run("down for minutes", func(t *testing.T) {
		w := warm(t, 20, 3, 1)
		w.service.down = true
		w.service.publish(2, share(2, "ana", 2))
		w.run(10 * clock.Minute)
		assert.True(t, w.inForce(1)())
		w.service.down = false
		t.Logf("in force %d ms after its return", w.runUntil(t, soon, w.inForce(2)))
		w.assertAgreed(t)
	})
	t.Run("a cold process in an outage asks its peers", func(t *testing.T) {
		w := warm(t, 20, 3, 1)
		w.service.down = true
		w.add(7, w.service.list.Instances[7])
		assert.False(t, w.members[7].Ready())
		t.Logf("in force after %d ms", w.runUntil(t, soon, w.inForce(1)))
		w.assertAgreed(t)
	})
	t.Run("a cold fleet in an outage is not ready", func(t *testing.T) {
		w := newWorld(9, 3, 1)
		w.service.publish(1, share(1, "ana", 1))
		w.service.down = true
		w.run(clock.Minute)
		for _, m := range w.members {
			assert.False(t, m.Ready())
		}
	})
	t.Run("one half can't reach it", func(t *testing.T) {
		w := warm(t, 20, 2, 1)
		for n := 0; n < 20; n += 2 {
			w.service.away[n] = true
		}
		w.service.publish(2, share(2, "ana", 2))
		w.runUntil(t, soon, w.inForce(2))
		w.assertAgreed(t)
	})
}

func TestTicketsFail(t *testing.T) {
	t.Run("a gap holds back what follows and is told", func(t *testing.T) {
		w := warm(t, 12, 3, 1)
		w.service.publish(3, share(3, "ana", 3))
		w.run(clock.Minute)
		assert.True(t, w.inForce(1)())
		for _, m := range w.members {
			n, since, ok := m.Book().Missing(w.now)
			assert.True(t, ok)
			assert.Equal(t, ticket.Number(2), n)
			assert.Greater(t, since, 50*clock.Second)
		}
		w.service.publish(2, share(2, "ana", 2))
		w.runUntil(t, soon, w.inForce(3))
		w.assertAgreed(t)
	})
	t.Run("a gap that the platform has forgotten is passed by a snapshot", func(t *testing.T) {
		w := warm(t, 12, 3, 1)
		w.service.publish(4, share(4, "ana", 4))
		w.run(10 * clock.Second)
		assert.True(t, w.inForce(1)())
		w.service.snapshot = []byte(`{"number":3,"objects":{"teams":{"desk":{"share":3}}}}`)
		w.runUntil(t, soon, w.inForce(4))
		w.assertAgreed(t)
	})
	t.Run("out of order", func(t *testing.T) {
		w := warm(t, 12, 3, 1)
		for n := ticket.Number(6); n >= 2; n-- {
			w.service.publish(n, share(n, "ana", float64(n)))
			w.run(300)
		}
		w.runUntil(t, soon, w.inForce(6))
		w.assertAgreed(t)
	})
	t.Run("an invalid one is skipped everywhere", func(t *testing.T) {
		w := warm(t, 12, 3, 1)
		w.service.publish(2, share(2, "ana", -2))
		w.service.publish(3, []byte(`{"number":3,"author":7}`))
		w.service.publish(4, share(4, "ana", 4))
		w.runUntil(t, soon, w.inForce(4))
		w.assertAgreed(t)
		for _, m := range w.members {
			skipped := m.State().Skipped
			require.Len(t, skipped, 2)
			assert.Equal(t, "teams.desk.share", skipped[0].Field)
			assert.Equal(t, "author", skipped[1].Field)
		}
	})
}

// assertConflict checks that every member reports two contents under a number.
func (w *world) assertConflict(t *testing.T, n ticket.Number) {
	t.Helper()
	for i, m := range w.members {
		conflicts := m.Book().Conflicts(w.now)
		require.Len(t, conflicts, 1, "member %d", i)
		assert.Equal(t, n, conflicts[0].Number)
		assert.Len(t, conflicts[0].Lost, 1)
	}
}

func TestRivals(t *testing.T) {
	// Each race is run both ways round, as one of the contents has the lower hash.
	for _, authors := range [][2]string{{"ana", "eva"}, {"eva", "ana"}} {
		first, second := share(2, authors[0], 2), share(2, authors[1], 3)
		t.Run("at two replicas at once, "+authors[0], func(t *testing.T) {
			w := warm(t, 20, 3, 2)
			w.service.publish(2, first, 1)
			w.service.publish(2, second, 0)
			w.runUntil(t, soon, w.inForce(2))
			w.run(soon)
			w.assertAgreed(t)
			w.assertConflict(t, 2)
		})
		t.Run("overwritten before it has settled, "+authors[0], func(t *testing.T) {
			w := warm(t, 20, 3, 1)
			w.service.publish(2, first)
			w.run(300)
			w.service.publish(2, second)
			w.runUntil(t, soon, w.inForce(2))
			w.run(soon)
			w.assertAgreed(t)
			w.assertConflict(t, 2)
		})
		t.Run("on two sides of a partition, "+authors[0], func(t *testing.T) {
			w := warm(t, 20, 2, 2)
			w.cut = func(from, to int) bool { return from%2 != to%2 }
			w.service.publish(2, first, 1)
			w.run(5 * clock.Minute)
			w.service.publish(2, second, 0)
			w.run(15 * clock.Minute)
			assert.NotEqual(t, w.members[0].State().Hash, w.members[1].State().Hash)
			w.cut = func(int, int) bool { return false }
			w.run(soon)
			w.assertAgreed(t)
			w.assertConflict(t, 2)
		})
		t.Run("after it was sealed, "+authors[0], func(t *testing.T) {
			w := warm(t, 20, 3, 1)
			w.service.publish(2, first)
			w.runUntil(t, soon, w.inForce(2))
			before := w.members[0].State().Hash
			w.run(11 * clock.Minute)
			w.service.publish(2, second)
			w.add(9, w.service.list.Instances[9])
			w.run(clock.Minute)
			w.assertAgreed(t)
			assert.Equal(t, before, w.members[0].State().Hash)
		})
	}
}

func TestProcessFails(t *testing.T) {
	t.Run("a partition heals", func(t *testing.T) {
		w := warm(t, 20, 2, 1)
		w.cut = func(from, to int) bool { return from%2 != to%2 }
		for n := 0; n < 20; n += 2 {
			w.service.away[n] = true
		}
		for n := ticket.Number(2); n <= 5; n++ {
			w.service.publish(n, share(n, "ana", float64(n)))
			w.run(30 * clock.Second)
		}
		assert.True(t, w.inForce(1, 0, 2, 4)())
		assert.True(t, w.inForce(5, 1, 3, 5)())
		w.cut = func(int, int) bool { return false }
		t.Logf("in force %d ms after it healed", w.runUntil(t, soon, w.inForce(5)))
		w.assertAgreed(t)
	})
	t.Run("a process is paused across ten changes", func(t *testing.T) {
		w := warm(t, 20, 3, 1)
		w.paused[11] = true
		for n := ticket.Number(2); n <= 11; n++ {
			w.service.publish(n, share(n, "ana", float64(n)))
			w.run(20 * clock.Second)
		}
		assert.Equal(t, ticket.Number(1), w.members[11].State().Number)
		w.paused[11] = false
		t.Logf("in force %d ms after it woke", w.runUntil(t, 500*clock.Millisecond, w.inForce(11)))
		w.assertAgreed(t)
	})
	t.Run("a process that is behind hears a digest on another call", func(t *testing.T) {
		w := warm(t, 9, 3, 1)
		w.service.away[4] = true
		w.cut = func(from, to int) bool { return to == 4 || (from == 4 && to != 2) }
		w.service.publish(2, share(2, "ana", 2))
		w.runUntil(t, soon, w.inForce(2, 0, 1, 2, 3, 5, 6, 7, 8))
		m := w.members[4]
		m.Heard(w.members[2].Digest(), w.service.list.Instances[2].Peer)
		w.run(tick)
		assert.Equal(t, ticket.Number(2), m.State().Number)
	})
}

func TestListSpreads(t *testing.T) {
	w := warm(t, 60, 3, 1)
	l := fleet(2, 59, 3)
	l.Instances[5].State = platform.Leaving
	w.service.list = l
	took := w.runUntil(t, 2*clock.Second, func() bool {
		for _, m := range w.members {
			if m.List().Version != 2 {
				return false
			}
		}
		return true
	})
	t.Logf("known after %d ms", took)
	w.assertAgreed(t)
	t.Run("a lower version changes nothing", func(t *testing.T) {
		w.service.list = fleet(1, 60, 3)
		w.run(10 * clock.Second)
		for _, m := range w.members {
			assert.Equal(t, uint64(2), m.List().Version)
		}
	})
}

func TestEvidenceSpreads(t *testing.T) {
	w := warm(t, 40, 3, 1)
	w.members[13].AddEvidence(&peerpb.Evidence{Crash: "a13/1/1", Contents: []uint64{7, 9}, Alone: true})
	w.runUntil(t, clock.Second, func() bool {
		for _, m := range w.members {
			if len(m.Evidence()) != 1 {
				return false
			}
		}
		return true
	})
	t.Run("with its age", func(t *testing.T) {
		w.run(clock.Minute)
		for _, m := range w.members {
			e := m.Evidence()[0]
			assert.Equal(t, []uint64{7, 9}, e.GetContents())
			assert.InDelta(t, float64(clock.Minute), float64(e.GetAge()), float64(clock.Second))
		}
	})
	t.Run("until it expires, whoever still sends it", func(t *testing.T) {
		w.run(DefaultKeep)
		for _, m := range w.members {
			assert.Empty(t, m.Evidence())
		}
	})
	t.Run("bounded", func(t *testing.T) {
		m := w.members[0]
		for n := range 2 * maxEvidence {
			m.AddEvidence(&peerpb.Evidence{Crash: fmt.Sprint(n)})
		}
		assert.Len(t, m.Evidence(), maxEvidence)
	})
}

func TestSyncBears(t *testing.T) {
	w := warm(t, 3, 1, 1)
	m := w.members[0]
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
	w.runUntil(t, soon, w.inForce(2))
}
