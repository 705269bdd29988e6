package fleet

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

// Ports are drawn below the range from which the system draws the ports of outgoing connections.
const (
	lowestPort  = 10_000
	highestPort = 32_000
	portTries   = 200
)

var taken = struct {
	sync.Mutex
	ports map[uint16]bool
}{ports: map[uint16]bool{}}

// FreeAddress returns a loopback address whose port is free and was not returned before.
func FreeAddress() (address string, err error) {
	taken.Lock()
	defer taken.Unlock()
	for range portTries {
		port := uint16(lowestPort + rand.IntN(highestPort-lowestPort))
		if taken.ports[port] {
			continue
		}
		candidate := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port).String()
		listener, err := net.Listen("tcp", candidate)
		if err != nil {
			continue
		}
		taken.ports[port] = true
		return candidate, errors.Wrap(listener.Close(), "close port")
	}
	return "", errors.New("no free port")
}
