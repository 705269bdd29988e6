package fleet

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

// Ports are picked below the kernel's ephemeral range, so that no outgoing connection takes a port before the process that it is
// meant for listens on it.
const (
	minPort      = 10_000
	endPort      = 32_000 // exclusive
	maxPortTries = 200
)

// returnedPorts are the ports that FreeAddress has returned.
var returnedPorts = struct {
	sync.Mutex
	ports map[uint16]bool
}{ports: map[uint16]bool{}}

// FreeAddress returns a loopback address with a free port that it has not returned before.
func FreeAddress() (address string, err error) {
	returnedPorts.Lock()
	defer returnedPorts.Unlock()
	for range maxPortTries {
		port := uint16(minPort + rand.IntN(endPort-minPort))
		if returnedPorts.ports[port] {
			continue
		}
		candidate := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port).String()
		listener, err := net.Listen("tcp", candidate)
		if err != nil {
			continue
		}
		returnedPorts.ports[port] = true
		return candidate, errors.Wrap(listener.Close(), "close port")
	}
	return "", errors.New("no free loopback port found")
}
