package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLocalLackSaysNothingOfBackendServers guards against an entry without descriptors that holds its backend servers to be down once it
// has some again.
func TestLocalLackSaysNothingOfBackendServers(t *testing.T) {
	for _, lack := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS} {
		t.Run(lack.Error(), func(t *testing.T) {
			b := newFakeBackend(t, respondOK)
			e, address := newTestEntry(t, b)
			open := e.conns.open
			e.conns.open = func(context.Context, string) (net.Conn, error) {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", lack)}
			}
			for range 10 {
				response, err := doRequest(t, t.Context(), http.MethodPost, address+"/safe/x", "")
				require.NoError(t, err)
				assert.Equal(t, http.StatusServiceUnavailable, response.status)
			}
			e.conns.open = open
			response, err := doRequest(t, t.Context(), http.MethodPost, address+"/safe/x", "")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, response.status)
		})
	}
}
