package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"carawaypick/internal/config"
	"carawaypick/internal/lifecycle"
	"carawaypick/internal/peer/peerpb"
)

// testServer serves a unary and a streaming call, so that both interceptors run.
type testServer struct {
	peerpb.UnimplementedPeerServer
	peerpb.UnimplementedAgentServer
}

func (testServer) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	return &peerpb.StatusReply{Content: []byte("{}")}, nil
}

func (testServer) Run(_ *peerpb.RunRequest, s grpc.ServerStreamingServer[peerpb.RunEvent]) error {
	return s.Send(&peerpb.RunEvent{Id: "r1"})
}

// call starts a server with the serving settings and returns the results of a unary and a streaming call with the
// calling settings.
func call(t *testing.T, serving, calling config.Settings) (unary, stream error) {
	t.Helper()
	dial, err := DialOptions(calling)
	require.NoError(t, err)
	return callWith(t, serving, dial)
}

func callWith(t *testing.T, serving config.Settings, dial []grpc.DialOption) (unary, stream error) {
	t.Helper()
	options, err := ServerOptions(serving)
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := grpc.NewServer(options...)
	peerpb.RegisterPeerServer(s, testServer{})
	peerpb.RegisterAgentServer(s, testServer{})
	done := lifecycle.Start(context.Background(), func(context.Context) error { return s.Serve(l) })
	defer func() {
		s.Stop()
		require.NoError(t, <-done)
	}()
	connection, err := grpc.NewClient(l.Addr().String(), dial...)
	require.NoError(t, err)
	defer func() { require.NoError(t, connection.Close()) }()
	_, unary = peerpb.NewPeerClient(connection).Status(context.Background(), &peerpb.StatusRequest{})
	events, err := peerpb.NewAgentClient(connection).Run(context.Background(), &peerpb.RunRequest{})
	if err != nil {
		return unary, err
	}
	_, stream = events.Recv()
	return unary, stream
}

// assertAccepted asserts that both calls succeed.
func assertAccepted(t *testing.T, serving, calling config.Settings) {
	t.Helper()
	unary, stream := call(t, serving, calling)
	assert.NoError(t, unary)
	assert.NoError(t, stream)
}

// assertRejected asserts that both calls fail with the code.
func assertRejected(t *testing.T, serving, calling config.Settings, want codes.Code) {
	t.Helper()
	unary, stream := call(t, serving, calling)
	assert.Equal(t, want, status.Code(unary))
	assert.Equal(t, want, status.Code(stream))
}

// authority is a test certificate authority that writes certificates for 127.0.0.1 to its directory.
type authority struct {
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir()}
	a.key, a.certificate = a.sign(t, "ca", true)
	return a
}

func (a *authority) sign(t *testing.T, name string, ca bool) (*ecdsa.PrivateKey, *x509.Certificate) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: ca, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, signer := a.certificate, a.key
	if ca {
		parent, signer = template, key
	}
	content, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	require.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	a.write(t, name+".pem", "CERTIFICATE", content)
	a.write(t, name+".key", "PRIVATE KEY", private)
	certificate, err := x509.ParseCertificate(content)
	require.NoError(t, err)
	return key, certificate
}

func (a *authority) write(t *testing.T, name, kind string, content []byte) {
	t.Helper()
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content})
	require.NoError(t, os.WriteFile(filepath.Join(a.dir, name), block, 0o600))
}

func (a *authority) settings(t *testing.T, name string) config.Settings {
	t.Helper()
	a.sign(t, name, false)
	return config.Settings{Certs: config.Certs{
		Cert: filepath.Join(a.dir, name+".pem"), Key: filepath.Join(a.dir, name+".key"), CA: filepath.Join(a.dir, "ca.pem"),
	}}
}

func TestSharedKey(t *testing.T) {
	key := config.Settings{SharedKey: "sixteen letters!"}
	t.Run("the same key is accepted", func(t *testing.T) { assertAccepted(t, key, key) })
	t.Run("another key is rejected", func(t *testing.T) {
		assertRejected(t, key, config.Settings{SharedKey: "sixteen letters?"}, codes.Unauthenticated)
	})
	t.Run("a missing key is rejected", func(t *testing.T) { assertRejected(t, key, config.Settings{}, codes.Unauthenticated) })
	t.Run("without a key all calls are accepted", func(t *testing.T) {
		assertAccepted(t, config.Settings{}, config.Settings{})
		assert.False(t, RequiresAuth(config.Settings{}))
		assert.True(t, RequiresAuth(key))
	})
}

func TestMutualTLS(t *testing.T) {
	a := newAuthority(t)
	e1, a1 := a.settings(t, "e1"), a.settings(t, "a1")
	t.Run("a certificate of the authority is accepted", func(t *testing.T) { assertAccepted(t, a1, e1) })
	t.Run("a certificate of another authority is rejected", func(t *testing.T) {
		assertRejected(t, a1, newAuthority(t).settings(t, "e1"), codes.Unavailable)
	})
	t.Run("no TLS is rejected", func(t *testing.T) { assertRejected(t, a1, config.Settings{}, codes.Unavailable) })
	t.Run("TLS without a certificate of the authority is rejected", func(t *testing.T) {
		stranger, err := certificates(newAuthority(t).settings(t, "e1").Certs)
		require.NoError(t, err)
		trusting, err := certificates(e1.Certs)
		require.NoError(t, err)
		for _, presented := range [][]tls.Certificate{nil, stranger.Certificates} {
			trusting.Certificates = presented
			unary, stream := callWith(t, a1, []grpc.DialOption{grpc.WithTransportCredentials(credentials.NewTLS(trusting))})
			assert.Equal(t, codes.Unavailable, status.Code(unary))
			assert.Equal(t, codes.Unavailable, status.Code(stream))
		}
	})
	t.Run("certificate and key are both required", func(t *testing.T) {
		both := a1
		both.SharedKey = "sixteen letters!"
		assertAccepted(t, both, both)
		assertRejected(t, both, a1, codes.Unauthenticated)
	})
	t.Run("a missing file is an error", func(t *testing.T) {
		broken := e1
		broken.Certs.CA += ".none"
		_, err := DialOptions(broken)
		assert.ErrorIs(t, err, os.ErrNotExist)
		_, err = ServerOptions(broken)
		assert.ErrorIs(t, err, os.ErrNotExist)
	})
}
