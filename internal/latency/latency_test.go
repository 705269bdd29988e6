package latency

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/standin"
	"carawaypick/pkg/clock"
)

func TestLoad(t *testing.T) {
	t.Run("sends at the configured rate", func(t *testing.T) {
		r := loadGenerator{workers: 4, rate: 1000, span: 100 * clock.Millisecond}.run(func(int, int, func()) error { return nil })
		assert.Equal(t, int64(100), r.latencies.TotalCount())
		assert.InDelta(t, 1000, r.rate(), 1e-9)
	})
	t.Run("counts failures separately", func(t *testing.T) {
		r := loadGenerator{workers: 2, rate: 100, span: 100 * clock.Millisecond}.run(func(worker, _ int, _ func()) error {
			if worker == 0 {
				return errors.New("refused")
			}
			return nil
		})
		assert.Equal(t, 5, r.failures)
		assert.Equal(t, int64(5), r.latencies.TotalCount())
		assert.ErrorContains(t, r.lastErr, "refused")
	})
	t.Run("a request that is due while another runs is measured from its due time", func(t *testing.T) {
		passed := time.Duration(0)
		clock := func() time.Duration { return passed }
		r := newResult()
		r.recordRequest(10*time.Millisecond, clock, func(func()) error { passed = 50 * time.Millisecond; return nil })
		assert.InDelta(t, 40, r.percentile(50), 0.1)
	})
	t.Run("the measured time ends at the mark", func(t *testing.T) {
		passed := time.Duration(0)
		r := newResult()
		r.recordRequest(0, func() time.Duration { return passed }, func(mark func()) error {
			passed = 5 * time.Millisecond
			mark()
			passed = time.Second
			return nil
		})
		assert.InDelta(t, 5, r.percentile(50), 0.1)
	})
}

func TestSend(t *testing.T) {
	p, err := standin.NewPlain("")
	require.NoError(t, err)
	defer p.Stop()
	e, err := standin.NewEngine("")
	require.NoError(t, err)
	defer e.Stop()
	ignore := func() {}
	t.Run("accepts complete responses", func(t *testing.T) {
		assert.NoError(t, target{url: p.URL() + "/correction"}.plainSender("a")(0, 0, ignore))
		marks := 0
		assert.NoError(t, target{url: e.URL() + "/generate", finalEvent: "end"}.streamSender("a")(0, 1, func() { marks++ }))
		assert.Equal(t, 1, marks)
	})
	t.Run("rejects a truncated stream", func(t *testing.T) {
		e.SetFault(func(f *standin.EngineFault) { f.CutIndex, f.CutsLeft = 2, 1 })
		assert.ErrorContains(t, target{url: e.URL() + "/generate", finalEvent: "end"}.streamSender("b")(0, 0, ignore), "without its final event")
	})
	t.Run("rejects a response of another path", func(t *testing.T) {
		assert.ErrorContains(t, target{url: e.URL() + "/load"}.plainSender("c")(0, 0, ignore), "status")
	})
}

func TestCountingProxies(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	p := newCountingProxies()
	address, err := p.proxyTo(l.Addr().String())
	require.NoError(t, err)
	again, err := p.proxyTo(l.Addr().String())
	require.NoError(t, err)
	assert.Equal(t, address, again)
	from, err := net.Dial("tcp", address)
	require.NoError(t, err)
	to, err := l.Accept()
	require.NoError(t, err)
	_, err = from.Write([]byte("four"))
	require.NoError(t, err)
	content := make([]byte, 4)
	_, err = io.ReadFull(to, content)
	require.NoError(t, err)
	assert.Equal(t, "four", string(content))
	require.NoError(t, to.Close())
	rest, err := io.ReadAll(from)
	require.NoError(t, err)
	assert.Empty(t, strings.TrimSpace(string(rest)))
	require.NoError(t, p.close())
	assert.Equal(t, uint64(4), p.bytes.Load())
}
