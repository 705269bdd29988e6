package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/datagram"
)

// TestHeartbeatIsSmall checks the size of a heartbeat in a large peer set, since each entry receives one of every other.
func TestHeartbeatIsSmall(t *testing.T) {
	const largest = 1000 // bytes
	hb := heartbeat{
		Name: "front-lima-miraflores-12", Zone: "lima-miraflores", IP: "10.1.0.140", Front: "10.1.0.140:8227", Control: "10.1.0.140:8229",
		Born: 1 << 41, Number: 1 << 20, Ready: true, Revision: 1 << 30, Version: 1 << 20, Flights: map[string]int{}, Costs: map[string]float64{"verifica-llm": 1.234},
	}
	for i := range maxRelayed {
		h, ok := newHeardPeer(peerAge{IP: fmt.Sprintf("10.1.0.%d", i), Age: 599})
		require.True(t, ok)
		assert.Equal(t, peerAge{IP: fmt.Sprintf("10.1.0.%d", i), Age: 599}, h.peerAge())
		hb.Heard = append(hb.Heard, h)
	}
	for i := range 10 {
		hb.Flights[fmt.Sprintf("i-%010x", i)] = 1
	}
	for i := range 3 { // servers of plain services, of which there are few
		hb.Capacity = append(hb.Capacity, capacityReport{Server: 1<<32 - 1 - uint(i), Concurrency: 24, Time: 1500, Answered: 64, Failed: 64, Rejected: 900})
	}
	content, err := datagram.Encode(hb)
	require.NoError(t, err)
	assert.Less(t, len(content), largest)
	_, ok := newHeardPeer(peerAge{IP: "::1"})
	assert.False(t, ok)
}
