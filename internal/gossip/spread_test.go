package gossip_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/clustersim"
	"carawaypick/internal/gossip"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

func TestTicketSpreads(t *testing.T) {
	for _, count := range []int{1, 9, 40, 160} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			w := startCluster(t, count, 3, 1)
			w.Platform.Publish(2, shareTicket(2, "ana", 2))
			t.Logf("applied after %d ms", requireApplied(t, w, convergeTimeout, 2))
			requireConverged(t, w)
		})
	}
	t.Run("from the first process to all of 160 at once", func(t *testing.T) {
		w := startCluster(t, 160, 3, 1)
		receivers := func() (count int) {
			for _, m := range w.Members {
				if m.Tickets().Has(2) {
					count++
				}
			}
			return count
		}
		w.Platform.Publish(2, shareTicket(2, "ana", 2))
		requireWithin(t, w, convergeTimeout, func() bool { return receivers() > 0 })
		t.Logf("received by all after %d ms", requireWithin(t, w, 10*clustersim.TickInterval, func() bool { return receivers() == 160 }))
	})
	t.Run("when two thirds of the calls between processes are lost", func(t *testing.T) {
		w := startCluster(t, 40, 3, 1)
		w.DropsCall = func(int, int) bool { return w.Random.Float64() < 0.67 }
		w.Platform.Publish(2, shareTicket(2, "ana", 2))
		t.Logf("applied after %d ms", requireApplied(t, w, convergeTimeout, 2))
	})
	t.Run("when all readers have died and are still listed as live", func(t *testing.T) {
		w := startCluster(t, 40, 3, 1)
		var alive []int
		for n, i := range w.Platform.List.Instances {
			w.Paused[n] = slices.Contains(gossip.Readers(w.Platform.List, i.Zone, gossip.ReadersPerZone), i.Name)
			if !w.Paused[n] {
				alive = append(alive, n)
			}
		}
		require.Len(t, alive, 40-3*gossip.ReadersPerZone)
		w.Platform.Publish(2, shareTicket(2, "ana", 2))
		t.Logf("applied after %d ms", requireApplied(t, w, convergeTimeout, 2, alive...))
	})
	t.Run("with content near 1 MB", func(t *testing.T) {
		w := startCluster(t, 12, 3, 1)
		content := longTicket(2, ticket.MaxTicketBytes-1000)
		w.Platform.Publish(2, content)
		t.Logf("%d bytes applied after %d ms", len(content), requireApplied(t, w, convergeTimeout, 2))
		requireConverged(t, w)
		for _, m := range w.Members {
			assert.Empty(t, m.State().Skipped)
			assert.Less(t, m.Counters.BytesReceived.Load(), uint64(3*len(content)))
		}
	})
}

// longTicket returns a valid ticket of about size bytes.
func longTicket(n ticket.Number, size int) []byte {
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

func TestListSpreads(t *testing.T) {
	w := startCluster(t, 60, 3, 1)
	l := clustersim.NewInstanceList(2, 59, 3)
	l.Instances[5].State = platform.StateLeaving
	w.Platform.List = l
	took := requireWithin(t, w, 2*clock.Second, func() bool {
		for _, m := range w.Members {
			if m.List().Version != 2 {
				return false
			}
		}
		return true
	})
	t.Logf("received by all after %d ms", took)
	requireConverged(t, w)
	t.Run("a lower version changes nothing", func(t *testing.T) {
		w.Platform.List = clustersim.NewInstanceList(1, 60, 3)
		w.Run(10 * clock.Second)
		for _, m := range w.Members {
			assert.Equal(t, uint64(2), m.List().Version)
		}
	})
}

func TestEvidenceSpreads(t *testing.T) {
	w := startCluster(t, 40, 3, 1)
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
	t.Run("until it expires, even if peers still send it", func(t *testing.T) {
		w.Run(gossip.DefaultEvidenceTTL)
		for _, m := range w.Members {
			assert.Empty(t, m.Evidence())
		}
	})
	t.Run("bounded", func(t *testing.T) {
		m := w.Members[0]
		for n := range 2 * gossip.MaxEvidence {
			m.AddEvidence(&peerpb.Evidence{Crash: fmt.Sprint(n)})
		}
		assert.Len(t, m.Evidence(), gossip.MaxEvidence)
	})
}

func TestMessagesStayBounded(t *testing.T) {
	const maxGRPCBytes = 4 << 20 // default limit of gRPC
	w := clustersim.NewEmptyCluster(clustersim.NewInstanceList(1, 5900, 6), 1)
	w.StartMember(0, w.Platform.List.Instances[0])
	w.StartMember(1, w.Platform.List.Instances[1])
	for n := ticket.Number(1); n <= 6; n++ {
		w.Platform.Publish(n, longTicket(n, ticket.MaxTicketBytes-1000))
	}
	requireApplied(t, w, convergeTimeout, 6)
	for n := range gossip.MaxEvidence {
		w.Members[0].AddEvidence(&peerpb.Evidence{Crash: fmt.Sprint(n), Contents: make([]uint64, 5000)})
	}
	w.Platform.Down = true
	w.StartMember(1, w.Platform.List.Instances[1])
	requireApplied(t, w, convergeTimeout, 6)
	requireConverged(t, w)
	t.Logf("longest message %d bytes", w.MaxMessageBytes)
	assert.Less(t, w.MaxMessageBytes, maxGRPCBytes)
}

func TestSyncToleratesInvalidInput(t *testing.T) {
	w := startCluster(t, 3, 1, 1)
	m := w.Members[0]
	for name, q := range map[string]*peerpb.SyncRequest{
		"nothing":                    {},
		"a malformed ticket":         {Tickets: []*peerpb.Ticket{{Number: 2, Content: []byte(`{"num`)}, {Number: 2, Content: shareTicket(2, "ana", 2)}}},
		"the largest age":            {Tickets: []*peerpb.Ticket{{Number: 2, Content: shareTicket(2, "ana", 2), Age: 1<<64 - 1}}},
		"a malformed snapshot":       {Tickets: []*peerpb.Ticket{{Number: 9, Content: []byte(`[]`), Snapshot: true}}},
		"an invalid instance list":   {Instances: []byte(`{"version":9,"instances":[{}]}`)},
		"a mismatched instance list": {Instances: []byte(`{"version":9,"since":0,"hash":3}`)},
		"empty evidence":             {Evidence: []*peerpb.Evidence{nil, {}}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := m.Sync(context.Background(), q)
			require.NoError(t, err)
			assert.Equal(t, uint64(1), m.List().Version)
			assert.Empty(t, m.Evidence())
		})
	}
	requireApplied(t, w, convergeTimeout, 2)
}
