package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/internal/memory"
	"carawaypick/pkg/clock"
)

// TestPeersWithoutMemory guards against heartbeats of invented entries that fill the memory, or that make known peers look silent.
func TestPeersWithoutMemory(t *testing.T) {
	now := clock.Time(1)
	e, _ := peersEntry(t, &now, 0)
	share := (&memory.Budget{Clock: clock.Manual(&now)}).Share("peers", memory.Limits{Bytes: 100 << 10})
	e.peers.Memory = share
	hear := func(n, size int, number uint64) {
		ip := fmt.Sprintf("10.1.%d.%d", n/250, n%250+1)
		e.peers.handleHeartbeat(heartbeat{Name: fmt.Sprint("p", n), IP: ip, Front: ip + ":1", Number: number, Ready: true, size: size})
	}
	hear(0, 1000, 1)
	for n := 1; n < 1000; n++ {
		hear(n, 1000, 1)
	}
	t.Run("no more are kept than the memory holds", func(t *testing.T) {
		assert.LessOrEqual(t, share.Usage().Used, int64(100<<10))
		assert.Len(t, e.peers.peers, 25)
	})
	t.Run("a known one whose heartbeat grows lives on", func(t *testing.T) {
		now = now.Add(peerTimeout)
		hear(0, 9000, 2)
		now = now.Add(1)
		e.peers.mu.Lock()
		e.peers.expire()
		alive := e.peers.peers["10.1.0.1"].alive
		e.peers.mu.Unlock()
		assert.True(t, alive)
	})
	t.Run("silent ones make room", func(t *testing.T) {
		now = now.Add(peerTimeout + 1)
		hear(2000, 9000, 1)
		assert.Contains(t, e.peers.peers, "10.1.8.1")
		assert.LessOrEqual(t, share.Usage().Used, int64(100<<10))
	})
}
