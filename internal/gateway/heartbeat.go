package gateway

import (
	"encoding/binary"
	"net"

	"carawaypick/internal/overload"
	"carawaypick/internal/store"
	"carawaypick/pkg/clock"
)

// heartbeat is the UDP message in which an entry reports its state to the others; an agent's message sets only the fields
// that begin with Ask.
type heartbeat struct {
	Name     string
	Zone     string
	IP       string
	Front    string
	Control  string
	Born     int64 // Unix time in ms at which the process started
	Number   uint64
	Ready    bool
	Lost     bool               // the sender's last store call failed
	Era      int64              // of Revision; 0 if unknown
	Revision int64              // store revision that a receiver must have reached to have the sender's state
	Version  int64              // of the configuration in force; 0 if none is known, and from an entry of an earlier release
	Flights  map[string]int     // the sender's requests in flight by backend server
	Costs    map[string]float64 // ms that a request adds to a pass, by service
	Rates    []rateReport       // rates that backend servers named to the sender
	Leaving  []leavingReport    // backend servers that told the sender that they leave
	Taking   []recoveredReport  // backend servers that take the sender\'s requests again
	Known    []peerAge          // peers from which the sender received a heartbeat within maxRelayAge, from an entry of an earlier release
	Heard    []heardPeer        // the same from others

	Capacity []capacityReport // the sender's latest samples of backend servers of plain services

	Crashes   []crashReport // news of crashes
	Completed []completion  // completed runs of the contents that were in flight at them
	Evidence  uint64        // digest of all that the sender knows of crashes

	CompletedParts []completion // completed runs of the parts that were in flight at them

	Confirmed confirmation // how old the sender's state is at most; none from an entry of an earlier release

	Demand map[string]overload.Demand // by service, with coordinated admission; a service that it lacks is idle at the sender
	Cores  float64                    // processor cores that the sender may use; 0 if unknown
	Full   bool                       // the sender is short of descriptors or memory

	size int // bytes of the message that it came in, not compressed

	Ask        string // address of the engine whose group an agent asks for
	AskGroup   string // group of the engine by its own report, empty if the agent doesn't know it
	AskService string // service of the engine by the agent's settings, empty likewise
}

// position returns the position that a receiver must have reached to have the sender's state.
func (hb heartbeat) position() store.Position {
	return store.At(hb.Era, hb.Revision)
}

// heardPeer is a peerAge in a shorter form, as heartbeats hold many. The order of its fields is part of the protocol.
type heardPeer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag

	IP  uint32 // IPv4 address
	Age clock.Span
}

// newHeardPeer returns the short form of a peerAge; ok is false if the address is not an IPv4 address.
func newHeardPeer(p peerAge) (h heardPeer, ok bool) {
	ip := net.ParseIP(p.IP).To4()
	if ip == nil {
		return h, false
	}
	return heardPeer{IP: binary.BigEndian.Uint32(ip), Age: p.Age}, true
}

// peerAge returns the long form.
func (h heardPeer) peerAge() peerAge {
	ip := make(net.IP, net.IPv4len)
	binary.BigEndian.PutUint32(ip, h.IP)
	return peerAge{IP: ip.String(), Age: h.Age}
}

// peerAge is the time since a peer's last heartbeat, as relayed by another peer.
type peerAge struct {
	IP  string
	Age clock.Span // ms since its last heartbeat
}
