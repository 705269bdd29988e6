package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"carawaypick/internal/config"
)

// keyHeader is the metadata key that carries the shared key in each call.
const keyHeader = "key"

// RequiresAuth reports whether the gRPC server authenticates its callers.
func RequiresAuth(s config.Settings) bool {
	return s.SharedKey != "" || s.Certs.Cert != ""
}

// ServerOptions returns the options by which the gRPC server authenticates callers: mutual TLS if certificates are set,
// the shared key if a key is set, both or none; it fails if a certificate file cannot be read.
func ServerOptions(s config.Settings) (options []grpc.ServerOption, err error) {
	if s.Certs.Cert != "" {
		c, err := certificates(s.Certs)
		if err != nil {
			return nil, err
		}
		options = append(options, grpc.Creds(credentials.NewTLS(c)))
	}
	if s.SharedKey != "" {
		k := sha256.Sum256([]byte(s.SharedKey))
		// The tap rejects a call before its message is received, the interceptors guard its handler.
		options = append(options, grpc.InTapHandle(tapKeyCheck(k)), grpc.ChainUnaryInterceptor(unaryKeyCheck(k)), grpc.ChainStreamInterceptor(streamKeyCheck(k)))
	}
	return options, nil
}

// DialOptions returns the client credentials for the gRPC servers: certificate, shared key, both or none; it fails if a
// certificate file cannot be read.
func DialOptions(s config.Settings) (options []grpc.DialOption, err error) {
	transport := insecure.NewCredentials()
	if s.Certs.Cert != "" {
		c, err := certificates(s.Certs)
		if err != nil {
			return nil, err
		}
		transport = credentials.NewTLS(c)
	}
	options = append(options, grpc.WithTransportCredentials(transport))
	if s.SharedKey != "" {
		options = append(options, grpc.WithPerRPCCredentials(sharedKey{keyHeader: s.SharedKey}))
	}
	return options, nil
}

// certificates returns a TLS configuration that requires both sides to present a certificate signed by the authority.
func certificates(c config.Certs) (t *tls.Config, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "read certificates")
		}
	}()
	pair, err := tls.LoadX509KeyPair(c.Cert, c.Key)
	if err != nil {
		return nil, err
	}
	authority, err := os.ReadFile(c.CA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.Newf("%s: no PEM certificate", c.CA)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// sharedKey implements credentials.PerRPCCredentials with the shared key.
type sharedKey map[string]string

// GetRequestMetadata returns the same map for all calls, since gRPC only reads it.
func (k sharedKey) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return k, nil
}

// RequireTransportSecurity returns false: the key is also used without TLS.
func (k sharedKey) RequireTransportSecurity() bool {
	return false
}

func unaryKeyCheck(want [sha256.Size]byte) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, request any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
		if err := checkKey(ctx, want); err != nil {
			return nil, err
		}
		return next(ctx, request)
	}
}

func streamKeyCheck(want [sha256.Size]byte) grpc.StreamServerInterceptor {
	return func(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
		if err := checkKey(stream.Context(), want); err != nil {
			return err
		}
		return next(server, stream)
	}
}

func tapKeyCheck(want [sha256.Size]byte) tap.ServerInHandle {
	return func(ctx context.Context, info *tap.Info) (context.Context, error) {
		return ctx, checkKeys(info.Header.Get(keyHeader), want)
	}
}

// checkKey returns an Unauthenticated error unless the call carries the shared key.
//
// It compares hashes in constant time, so that timing reveals neither the key nor its length.
func checkKey(ctx context.Context, want [sha256.Size]byte) error {
	return checkKeys(metadata.ValueFromIncomingContext(ctx, keyHeader), want)
}

func checkKeys(values []string, want [sha256.Size]byte) error {
	if len(values) == 1 {
		got := sha256.Sum256([]byte(values[0]))
		if subtle.ConstantTimeCompare(got[:], want[:]) == 1 {
			return nil
		}
	}
	return status.Error(codes.Unauthenticated, "shared key missing or wrong")
}
