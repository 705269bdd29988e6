package peer

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"

	"carawaypick/internal/intake"
)

// MessageStats tells connections which of the bytes that they received belong to messages that were received whole, and when the calls
// with these messages end. It implements stats.Handler.
type MessageStats struct {
	Find atomic.Pointer[intake.Listener] // knows the connections
}

// heldKey is the key of the bytes that a call holds, in its context.
type heldKey struct{}

// TagConn implements stats.Handler.
func (m *MessageStats) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	listener := m.Find.Load()
	if listener == nil {
		return ctx
	}
	conn := listener.Find(info.RemoteAddr.String())
	if conn == nil {
		return ctx // it was evicted
	}
	return intake.WithConn(ctx, conn)
}

// HandleConn implements stats.Handler.
func (m *MessageStats) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (m *MessageStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, heldKey{}, &atomic.Int64{})
}

// HandleRPC implements stats.Handler.
func (m *MessageStats) HandleRPC(ctx context.Context, s stats.RPCStats) {
	conn := intake.FromContext(ctx)
	held, ok := ctx.Value(heldKey{}).(*atomic.Int64)
	if conn == nil || !ok {
		return
	}
	switch v := s.(type) {
	case *stats.InHeader:
		conn.MessageHandled(v.WireLength, 0)
	case *stats.InPayload:
		held.Add(conn.MessageHandled(v.WireLength, v.WireLength))
	case *stats.OutPayload:
		conn.MessageHandled(0, 0)
	case *stats.End:
		conn.MessageHandled(0, 0)
		conn.Holder().Release(held.Swap(0))
	}
}
