package cli

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"runtime/pprof"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/config"
	"carawaypick/internal/lifecycle"
	"carawaypick/internal/operator"
	"carawaypick/internal/standin"
	"carawaypick/internal/standin/fleet"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

// conditionTimeout bounds the wait for a condition.
const conditionTimeout = 20 * time.Second

// ownStacks matches goroutine stacks of carawaypick, its gRPC connections, HTTP clients or trace exporter.
var ownStacks = regexp.MustCompile(`carawaypick/internal/(caller|backend|gossip|node|peer|platform|telemetry)\.|google\.golang\.org/grpc|fasthttp\.\(\*(HostClient|Client)\)|otel/sdk/trace`)

// ownGoroutines returns the stacks of running goroutines that match ownStacks.
func ownGoroutines(t *testing.T) (stacks []string) {
	t.Helper()
	var all bytes.Buffer
	require.NoError(t, pprof.Lookup("goroutine").WriteTo(&all, 2))
	for _, s := range bytes.Split(all.Bytes(), []byte("\n\n")) {
		if ownStacks.Match(s) {
			stacks = append(stacks, string(s))
		}
	}
	return stacks
}

// assertStops runs a role in this process, stops it and asserts that no goroutine of the role is left.
func assertStops(t *testing.T, role string, s config.Settings) {
	t.Helper()
	require.Empty(t, ownGoroutines(t))
	tel, err := telemetry.Open(s, role, os.Stdout, &bytes.Buffer{})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := lifecycle.Start(ctx, func(ctx context.Context) error { return roles()[role](ctx, s, tel) })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	require.Eventually(t, func() bool {
		response, err := client.Get("http://" + s.Listen + operator.PathReady)
		if err != nil {
			return false
		}
		return response.Body.Close() == nil && response.StatusCode == http.StatusOK
	}, conditionTimeout, 10*time.Millisecond)
	require.NotEmpty(t, ownGoroutines(t), "the role runs")
	cancel()
	require.NoError(t, <-done)
	require.NoError(t, tel.Close(context.Background()))
	assert.Eventually(t, func() bool { return len(ownGoroutines(t)) == 0 }, conditionTimeout, 10*time.Millisecond)
	assert.Empty(t, ownGoroutines(t))
}

func TestGoroutinesEnd(t *testing.T) {
	tickets, err := standin.NewTickets("", t.TempDir())
	require.NoError(t, err)
	defer tickets.Stop()
	require.NoError(t, tickets.Publish([]byte(baseTicket)))
	list, err := standin.NewList("", "")
	require.NoError(t, err)
	defer list.Stop()
	engine, err := standin.NewEngine("")
	require.NoError(t, err)
	defer engine.Stop()
	settings := func(name string) config.Settings {
		s := config.Defaults()
		s.Name, s.Zone = name, "lima-a"
		s.Listen, err = fleet.FreeAddress()
		require.NoError(t, err)
		s.Peer, err = fleet.FreeAddress()
		require.NoError(t, err)
		s.Seeds = []string{s.Peer} // a seed reads the platform without delay
		s.Platform = config.Platform{Tickets: tickets.URL(), List: list.URL()}
		s.Timing = fleet.QuickTiming()
		s.Timing.DrainPeriod = 100 * clock.Millisecond
		s.Trace = config.Trace{File: filepath.Join(t.TempDir(), name), Ratio: 1}
		list.Set([]standin.Instance{{Name: s.Name, Role: "entry", Zone: s.Zone, Peer: s.Peer, Caller: s.Listen, State: "live"}})
		return s
	}
	t.Run("entry", func(t *testing.T) { assertStops(t, "entry", settings("e1")) })
	t.Run("agent", func(t *testing.T) {
		s := settings("a1")
		s.Backend = config.Backend{URL: engine.URL(), Service: "check", Kind: "engine"}
		assertStops(t, "agent", s)
	})
}
