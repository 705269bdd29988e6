package backend

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

func TestAgentColdStart(t *testing.T) {
	b := newBench(t)
	b.publish(`"services":{"desk":{"kind":"plain","model":"","idempotent":true,"stall":300,"bears":4,"cold":1}}`)
	for i := range 40 {
		require.NotNil(t, b.call(request(fmt.Sprint("warm", i))).GetFinal())
	}
	b.set(func() { b.load = Load{Incarnation: "second"} })
	b.peak.Store(0)
	open := b.gate()
	time.Sleep(2 * probeFresh.Duration()) // the last report is no longer fresh
	var ends []<-chan *peerpb.RunEvent
	for i := range bears {
		ends = append(ends, b.start(request(fmt.Sprint("cold", i))))
	}
	b.eventually(func() bool { return b.running.Load() == 1 })
	open()
	<-ends[0]
	assert.EqualValues(t, 1, b.peak.Load(), "a cold backend server got more than one request at once")
	for _, end := range ends[1:] {
		<-end
	}
}

// TestAgentLateReports restarts a backend server whose reports are late: its old report says nothing of the new process.
func TestAgentLateReports(t *testing.T) {
	t.Run("seen by the sign first", func(t *testing.T) { lateReports(t, false) })
	t.Run("seen by a report first", func(t *testing.T) { lateReports(t, true) })
}

func lateReports(t *testing.T, reported bool) {
	var epoch atomic.Uint64
	b := newBenchWith(t, epoch.Load)
	b.publish(`"services":{"desk":{"kind":"plain","model":"","idempotent":true,"stall":300,"bears":4,"cold":1}}`)
	for i := range 40 {
		require.NotNil(t, b.call(request(fmt.Sprint("warm", i))).GetFinal())
	}
	epoch.Add(1)
	b.set(func() { b.load = Load{Incarnation: "first", Epoch: 1, Age: clock.Hour} })
	if reported {
		_, err := b.agent.probe(t.Context())
		require.NoError(t, err)
	}
	open := sync.OnceFunc(b.gate())
	defer open()
	ends := []<-chan *peerpb.RunEvent{b.start(request("cold0")), b.start(request("cold1"))}
	b.eventually(func() bool { return b.agent.report("").GetQueued() == 2 })
	for range 3 {
		_, err := b.agent.probe(t.Context())
		require.NoError(t, err)
		b.agent.pump()
		require.Zero(t, b.running.Load(), "handed over on a report of the process before")
	}
	b.set(func() { b.load = Load{Incarnation: "second", Epoch: 1} })
	b.eventually(func() bool { return b.running.Load() == 1 })
	b.agent.pump()
	assert.EqualValues(t, 1, b.running.Load())
	open()
	for _, end := range ends {
		require.NotNil(t, (<-end).GetFinal())
	}
}

func TestSentinel(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var s sentinel
	dial := func(context.Context) (net.Conn, error) { return net.Dial("tcp", listener.Addr().String()) }
	epoch, err := s.ensure(t.Context(), dial)
	require.NoError(t, err)
	other, err := listener.Accept()
	require.NoError(t, err)
	assert.Equal(t, epoch, s.now(), "the connection stands")
	require.NoError(t, other.Close())
	require.Eventually(t, func() bool { return s.now() == epoch+1 }, patience, time.Millisecond)
	assert.Equal(t, epoch+1, s.now(), "one end counts once")
	next, err := s.ensure(t.Context(), dial)
	require.NoError(t, err)
	assert.Equal(t, epoch+1, next)
}
