package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/directory"
	"carawaypick/pkg/clock"
)

// peersEntry returns a ready entry that has heard count peers, and a function that asks it for addresses.
func peersEntry(t *testing.T, now *clock.Time, count int) (e *Entry, ask func(asker, zone string) []string) {
	t.Helper()
	e, _ = newTestEntry(t)
	e.settings.Store(&Settings{Name: "e", Zone: "z", Front: "own:1", Cores: 0.5, TTL: 2000})
	e.peers.clock = clock.Manual(now)
	hearPeers(e, count)
	return e, func(asker, zone string) []string {
		r := httptest.NewRequest(http.MethodGet, "/resolve?zone="+zone, nil)
		r.RemoteAddr = asker + ":4000"
		w := httptest.NewRecorder()
		e.directoryHandler().ServeHTTP(w, r)
		require.Equal(t, http.StatusOK, w.Code)
		return strings.Fields(w.Body.String())
	}
}

func hearPeers(e *Entry, count int) {
	for i := range count {
		e.peers.handleHeartbeat(heartbeat{Name: fmt.Sprint("p", i), IP: fmt.Sprint("10.0.0.", i+2), Front: fmt.Sprintf("p%03d:1", i), Number: 1, Ready: true, Zone: "z", Cores: 0.5})
	}
	e.peers.nextMessage()
}

// namedTo returns which addresses are named to any of some askers.
func namedTo(ask func(asker, zone string) []string) map[string]bool {
	all := make(map[string]bool)
	for i := range 250 {
		for _, address := range ask(fmt.Sprint("10.1.0.", i), "z") {
			all[address] = true
		}
	}
	return all
}

// TestDirectory guards against entries that callers never hear of, or hear of though they can't serve.
func TestDirectory(t *testing.T) {
	now := clock.Time(1)
	t.Run("as before up to 64 entries", func(t *testing.T) {
		_, ask := peersEntry(t, &now, directory.MaxAddresses-1)
		got := ask("10.1.0.1", "z")
		assert.Len(t, got, directory.MaxAddresses)
		assert.Equal(t, "own:1", got[directory.MaxAddresses-1], "last, as before")
	})
	t.Run("all are named to some", func(t *testing.T) {
		_, ask := peersEntry(t, &now, 71)
		assert.Len(t, namedTo(ask), 72)
		assert.Equal(t, ask("10.1.0.1", "z"), ask("10.1.0.1", "z"))
		assert.NotEqual(t, ask("10.1.0.1", "z"), ask("10.1.0.2", "z"))
	})
	t.Run("an entry that joins is named at once", func(t *testing.T) {
		e, ask := peersEntry(t, &now, 71)
		e.peers.handleHeartbeat(heartbeat{Name: "q", IP: "10.0.1.1", Front: "q:1", Number: 1, Ready: true})
		assert.True(t, namedTo(ask)["q:1"])
	})
	t.Run("full ones are not named", func(t *testing.T) {
		e, ask := peersEntry(t, &now, 71)
		e.peers.handleHeartbeat(heartbeat{Name: "p7", IP: "10.0.0.9", Front: "p007:1", Number: 2, Ready: true, Full: true})
		e.full.Store(true)
		named := namedTo(ask)
		assert.Len(t, named, 70)
		assert.False(t, named["p007:1"] || named["own:1"])
	})
	t.Run("silent ones are not named, and nobody else heard", func(t *testing.T) {
		_, ask := peersEntry(t, &now, 71)
		now = now.Add(peerTimeout + 1)
		assert.Equal(t, []string{"own:1"}, ask("10.1.0.1", "z"))
	})
}

// TestFullEntry guards against an entry that is named until it runs out of descriptors or memory.
func TestFullEntry(t *testing.T) {
	now := clock.Time(1)
	few, _ := peersEntry(t, &now, 1)
	few.memory = newShares(Settings{Memory: 1 << 20}, clock.Manual(&now))
	require.NoError(t, few.memory.answers.Take(120<<10))
	few.updateFull()
	assert.False(t, few.full.Load(), "the directory does not ask for it")
	e, _ := peersEntry(t, &now, 71)
	e.memory = newShares(Settings{Memory: 1 << 20}, clock.Manual(&now))
	e.updateFull()
	assert.False(t, e.full.Load())
	require.NoError(t, e.memory.answers.Take(100<<10))
	e.updateFull()
	assert.True(t, e.full.Load(), "100 of 123 KiB for answers")
	e.memory.answers.Release(100 << 10)
	e.settings.Store(&Settings{Descriptors: 1})
	e.updateFull()
	assert.True(t, e.full.Load(), "of descriptors")
}
