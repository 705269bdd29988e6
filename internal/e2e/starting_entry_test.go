package e2e

import (
	"testing"

	"github.com/stretchr/testify/require"

	"carawaypick/pkg/clock"
)

// TestStartingEntryInterruptsNoCalls guards against calls that are sent to an entry as soon as the instance list shows it as
// live, although its process does not serve yet.
func TestStartingEntryInterruptsNoCalls(t *testing.T) {
	const startTime = 1500 * clock.Millisecond // of a slow process
	fx := startFixture(t, fixtureOptions{entries: 3, engines: 2, plainServers: 1, changeSettings: extendDrain})
	load := fx.startLoad(modelService, 4, modelCalls(20))
	fx.awaitCalls(load, 20)
	starting := fx.Entries[1]
	fx.shutDown(starting)
	require.NoError(t, starting.Start())
	require.NoError(t, starting.Pause())
	require.NoError(t, fx.SetInstanceState(starting, "live"))
	fx.sleep(startTime)
	require.NoError(t, starting.Resume())
	require.NoError(t, starting.AwaitReady(t.Context()))
	fx.awaitCalls(load, 20)
	assertSentOnce(t, load.drain())
}
