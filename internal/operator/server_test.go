package operator

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"carawaypick/internal/config"
	"carawaypick/internal/lifecycle"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/telemetry"
)

func newViews(status Status, ring *DecisionRing) Views {
	return Views{
		Status:  func() Status { return status },
		Explain: ring.Find,
		Ready:   func() error { return nil },
		State:   func() ([]byte, error) { return []byte(`{"number":4,"objects":{}}`), nil },
		Metrics: telemetry.NewMetrics(),
	}
}

// serveViews serves v until the test ends and returns the address; the test fails if the server does not shut down cleanly.
func serveViews(t *testing.T, v Views) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	app := NewApp(config.Defaults().Limits, v)
	done := lifecycle.Start(context.Background(), func(context.Context) error { return app.Listener(l) })
	t.Cleanup(func() {
		require.NoError(t, app.Shutdown())
		require.NoError(t, <-done)
	})
	return l.Addr().String()
}

func TestRoutes(t *testing.T) {
	ring := NewDecisionRing(8)
	ring.Add(Decision{Key: "k.1", Attempt: 1, Kind: "choose", Backend: "a1"})
	v := newViews(Status{
		Name: "e1", Role: "entry", Number: 4, Hash: "00000000000000ff", Missing: &MissingTicket{Number: 5, MissingFor: 10},
		Groups: []GroupStatus{{Name: "g1", Skew: 1.25}},
	}, ring)
	address := serveViews(t, v)
	t.Run("serves each route", func(t *testing.T) {
		for path, want := range map[string]string{
			PathHealth:                "ok",
			PathReady:                 "ready",
			PathMetrics:               "carawaypick_ticket_number 4",
			PathStatus:                `"number":4`,
			PathExplain + "?key=k.1":  `"backend":"a1"`,
			PathExplain + "?key=none": `{}`,
			PathState:                 `{"number":4,"objects":{}}`,
		} {
			content, err := httpGet("http://" + address + path)
			require.NoError(t, err, path)
			assert.Contains(t, string(content), want, path)
		}
	})
	t.Run("the metrics match the status", func(t *testing.T) {
		content, err := httpGet("http://" + address + PathMetrics)
		require.NoError(t, err)
		assert.Contains(t, string(content), "carawaypick_ticket_missing 5\n")
		assert.Contains(t, string(content), `carawaypick_step_skew{group="g1"} 1.25`)
	})
	t.Run("rejects an explain request without a key", func(t *testing.T) {
		_, err := httpGet("http://" + address + PathExplain)
		assert.ErrorContains(t, err, "status 400 key: got nothing")
	})
	t.Run("rejects a body and headers beyond the limits", func(t *testing.T) {
		head := "POST " + PathHealth + " HTTP/1.1\r\nHost: x\r\n"
		body := fmt.Sprintf("Content-Length: %d\r\n\r\n", config.Defaults().Limits.MaxBodyBytes+1)
		assert.Equal(t, "HTTP/1.1 413 Request Entity Too Large", statusLine(t, address, head+body))
		long := head + "Long: "
		long += strings.Repeat("x", maxHeaderBytes-len(long))
		assert.Equal(t, "HTTP/1.1 431 Request Header Fields Too Large", statusLine(t, address, long))
	})
	t.Run("returns why it is not ready", func(t *testing.T) {
		v.Ready = func() error { return errors.New("no ticket yet") }
		_, err := httpGet("http://" + serveViews(t, v) + PathReady)
		var unreachable *UnreachableError
		require.True(t, errors.As(err, &unreachable))
		assert.Equal(t, "status 503 no ticket yet", unreachable.Reason)
	})
}

// statusLine sends the request and returns the status line of the response. The request must be short
// enough that the server reads all of it: closing a connection with unread bytes resets it, which may lose the response.
func statusLine(t *testing.T, address, request string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	_, err = conn.Write([]byte(request))
	require.NoError(t, err)
	line, err := bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)
	return strings.TrimSpace(line)
}

func TestRing(t *testing.T) {
	r := NewDecisionRing(3)
	for i := range 5 {
		r.Add(Decision{Key: fmt.Sprint("k", i%2), Attempt: uint32(i)})
	}
	attempts := func(key string) (all []uint32) {
		for _, d := range r.Find(key) {
			all = append(all, d.Attempt)
		}
		return all
	}
	assert.Equal(t, []uint32{2, 4}, attempts("k0"))
	assert.Equal(t, []uint32{3}, attempts("k1"))
	assert.Empty(t, attempts("k2"))
}

// peerServer serves Status over gRPC from views.
type peerServer struct {
	peerpb.UnimplementedPeerServer
	views Views
}

func (p peerServer) Status(_ context.Context, r *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	content, err := p.views.Content(r.GetKey())
	return &peerpb.StatusReply{Content: content}, err
}

// servePeer serves v over gRPC until the test ends and returns the address.
func servePeer(t *testing.T, v Views) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := grpc.NewServer()
	peerpb.RegisterPeerServer(s, peerServer{views: v})
	done := lifecycle.Start(context.Background(), func(context.Context) error { return s.Serve(l) })
	t.Cleanup(func() {
		s.Stop()
		require.NoError(t, <-done)
	})
	return l.Addr().String()
}

func insecureDial() []grpc.DialOption {
	return []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}
}
