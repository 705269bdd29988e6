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
	f := newFixture(t)
	f.publishTicket(`"services":{"desk":{"kind":"plain","model":"","idempotent":true,"stall":300,"bears":4,"cold":1}}`)
	for i := range 40 {
		require.NotNil(t, f.call(request(fmt.Sprint("warm", i))).GetFinal())
	}
	f.set(func() { f.load = LoadReport{Incarnation: "second"} })
	f.peak.Store(0)
	release := f.holdRuns()
	time.Sleep(2 * maxIdleReportAge.Duration()) // until the last report is older than maxIdleReportAge
	var ends []<-chan *peerpb.RunEvent
	for i := range warmLimit {
		ends = append(ends, f.start(request(fmt.Sprint("cold", i))))
	}
	f.eventually(func() bool { return f.running.Load() == 1 })
	release()
	<-ends[0]
	assert.EqualValues(t, 1, f.peak.Load(), "a cold backend server got concurrent requests")
	for _, end := range ends[1:] {
		<-end
	}
}

// TestAgentLateReports restarts a backend server whose reports are delayed: a report of the previous process must not
// allow dispatch to the new one.
func TestAgentLateReports(t *testing.T) {
	t.Run("detected by the epoch first", func(t *testing.T) { lateReports(t, false) })
	t.Run("detected by a report first", func(t *testing.T) { lateReports(t, true) })
}

func lateReports(t *testing.T, reportFirst bool) {
	var epoch atomic.Uint64
	f := newFixtureWithEpoch(t, epoch.Load)
	f.publishTicket(`"services":{"desk":{"kind":"plain","model":"","idempotent":true,"stall":300,"bears":4,"cold":1}}`)
	for i := range 40 {
		require.NotNil(t, f.call(request(fmt.Sprint("warm", i))).GetFinal())
	}
	epoch.Add(1)
	f.set(func() { f.load = LoadReport{Incarnation: "first", Epoch: 1, Age: clock.Hour} })
	if reportFirst {
		_, err := f.agent.probe(t.Context())
		require.NoError(t, err)
	}
	release := sync.OnceFunc(f.holdRuns())
	defer release()
	ends := []<-chan *peerpb.RunEvent{f.start(request("cold0")), f.start(request("cold1"))}
	f.eventually(func() bool { return f.agent.report("").GetQueued() == 2 })
	for range 3 {
		_, err := f.agent.probe(t.Context())
		require.NoError(t, err)
		f.agent.dispatchQueued()
		require.Zero(t, f.running.Load(), "dispatched on a report of the previous process")
	}
	f.set(func() { f.load = LoadReport{Incarnation: "second", Epoch: 1} })
	f.eventually(func() bool { return f.running.Load() == 1 })
	f.agent.dispatchQueued()
	assert.EqualValues(t, 1, f.running.Load())
	release()
	for _, end := range ends {
		require.NotNil(t, (<-end).GetFinal())
	}
}

func TestConnMonitor(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var m connMonitor
	dial := func(context.Context) (net.Conn, error) { return net.Dial("tcp", listener.Addr().String()) }
	epoch, err := m.ensureOpen(t.Context(), dial)
	require.NoError(t, err)
	other, err := listener.Accept()
	require.NoError(t, err)
	assert.Equal(t, epoch, m.current(), "the connection is open")
	require.NoError(t, other.Close())
	require.Eventually(t, func() bool { return m.current() == epoch+1 }, waitTimeout, time.Millisecond)
	assert.Equal(t, epoch+1, m.current(), "one close counts once")
	next, err := m.ensureOpen(t.Context(), dial)
	require.NoError(t, err)
	assert.Equal(t, epoch+1, next)
}
