package routing

import (
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"

	"carawaypick/pkg/clock"
)

// Limits of what a registration or another entry may say of a backend server. Entries of any writer lie in the store, and an
// entry or agent of another release may hand on what it took for valid.
const (
	// MaxNameBytes is the length of an id, a service, a zone or a group; the store's keys have at most as many bytes.
	MaxNameBytes = 200
	// MaxSlots is the number of concurrent requests of one backend server, far above that of any engine (12 today).
	MaxSlots = 1 << 16
	// MaxRanks is the number of ranks of one group (160 today).
	MaxRanks = 1 << 12
	// MaxColdTime is the longest time in ms for which a backend server is cold (seconds today).
	MaxColdTime = clock.Hour
	// MaxStart is the latest Unix time in ms of a start; larger integers have no exact floating-point number.
	MaxStart = 1<<53 - 1
)

// Check returns an error if a value of the registration is out of its limits, and writes its address in its shortest form.
func (s *Server) Check() (err error) {
	for _, n := range []struct{ what, name string }{{"id", s.ID}, {"service", s.Service}, {"zone", s.Zone}} {
		if err := CheckName(n.name); err != nil {
			return errors.Wrap(err, n.what)
		}
	}
	if s.Address, err = ParseAddress(s.Address); err != nil {
		return err
	}
	if s.Slots <= 0 || s.Slots > MaxSlots {
		return errors.Newf("%d slots are not between 1 and %d", s.Slots, MaxSlots)
	}
	if s.StartedAt < 0 || s.StartedAt > MaxStart {
		return errors.Newf("start %d is not between 0 and %d", s.StartedAt, int64(MaxStart))
	}
	if s.Group == "" {
		return nil
	}
	if err := CheckName(s.Group); err != nil {
		return errors.Wrap(err, "group")
	}
	if s.Rank < 0 || s.Rank >= MaxRanks {
		return errors.Newf("rank %d is not between 0 and %d", s.Rank, MaxRanks-1)
	}
	return nil
}

// CheckName returns an error unless the name of a backend server, service, zone or group can be sent as a header and be the
// label of a metric: it has visible ASCII characters but quotes and backslashes.
func CheckName(name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return errors.Newf("name of %d bytes, not of 1 to %d", len(name), MaxNameBytes)
	}
	if i := strings.IndexFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == '"' || r == '\\' }); i >= 0 {
		return errors.Newf("name %q has a character that names can't have", name)
	}
	return nil
}

// maxAddressBytes is the length of the longest IPv6 address with a port.
const maxAddressBytes = 64

// ParseAddress returns the shortest form of the address of one host with its port. It refuses host names: they would be looked
// up, and somebody else decides where they lead.
func ParseAddress(address string) (short string, err error) {
	if len(address) > maxAddressBytes {
		return "", errors.Newf("address of %d bytes", len(address))
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", errors.Newf("address %q is not an IP address with a port", address)
	}
	ip := parsed.Addr().Unmap()
	if parsed.Port() == 0 || ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}) {
		return "", errors.Newf("address %q is not that of one host", address)
	}
	return netip.AddrPortFrom(ip, parsed.Port()).String(), nil
}
