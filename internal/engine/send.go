package engine

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log/level"

	"carawaypick/internal/datagram"
)

func (a *Agent) send(ip string, m message) {
	content, err := datagram.Encode(m)
	if err != nil {
		level.Error(a.logger).Log("msg", "message cannot be encoded; not sent", "to", ip, "error", err)
		return
	}
	if len(content) < minLargeMessage {
		a.write(ip, content)
		return
	}
	if a.largeBytes.Add(int64(len(content))) > maxLargeBytes {
		a.largeBytes.Add(-int64(len(content)))
		a.limited.Log("large", "level", level.WarnValue(), "msg", "too many bytes wait for the link; not sent", "to", ip, "bytes", len(content))
		return
	}
	select {
	case a.large <- largeMessage{to: ip, content: content}:
	default:
		a.largeBytes.Add(-int64(len(content)))
		level.Warn(a.logger).Log("msg", "too many large messages wait; not sent", "to", ip, "bytes", len(content))
	}
}

// write sends the datagram at once.
func (a *Agent) write(ip string, content []byte) {
	if _, err := a.conn.WriteTo(content, &net.UDPAddr{IP: net.ParseIP(ip), Port: a.settings.Port}); err != nil {
		level.Debug(a.logger).Log("msg", "message not sent", "to", ip, "error", err)
	}
}

const (
	minLargeMessage  = 1 << 10 // bytes from which messages are sent at the pace of the link, which drops what it can't queue
	maxLargeMessages = 1024    // that wait to be sent
	maxLargeBytes    = 8 << 20 // of messages that wait to be sent: seconds of the link, after which they are of no use
)

// largeMessage is an encoded message that waits to be sent.
type largeMessage struct {
	to      string
	content []byte
}

// sendLarge sends large messages, each after the link had the time to carry the one before.
func (a *Agent) sendLarge(ctx context.Context) {
	budget := newLinkBudget(a.settings.LinkBytesPerMs, 0, Shape{})
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-a.large:
			a.largeBytes.Add(-int64(len(m.content)))
			a.write(m.to, m.content)
			select {
			case <-ctx.Done():
			case <-time.After(budget.duration(float64(len(m.content)), commandShare).Duration()):
			}
		}
	}
}
