package gateway

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"carawaypick/internal/balance"
	"carawaypick/pkg/clock"
)

// Settings are the settings of an entry or an agent on the platform.
type Settings struct {
	Name             string
	Zone             string
	IP               string
	Front            string // listen address for callers
	Ready            string // listen address for readiness checks
	Control          string // listen address for the other entries
	Directory        string // listen address for callers that look up entries
	InternalPorts    []int  // first and last port of the system's internal traffic
	Seeds            []string
	Store            string     // address of the metadata store
	LinkMbps         float64    // throughput of the instance's link in Mbit/s; 0 if unknown
	Memory           int64      // memory of the instance in bytes
	HeldMemory       int64      // bytes that the process holds for others at most; 0 for a part of Memory
	Sockets          int        // connections of clients that the process has open at most; 0 for a part of Descriptors
	Cores            float64    // processor cores that the process may use; 0 if unknown
	Descriptors      int        // file descriptors that the process may open; 0 if unknown
	ShutdownGrace    clock.Span // ms from the stop signal until the process is killed
	TTL              clock.Span // upper bound in ms on the time that callers cache a directory response
	RetryRatio       float64    // retries per request
	RetryWindow      clock.Span // window in ms of the retry budget
	RetrySlack       float64    // retries per window in addition to the ratio
	BackendHeartbeat clock.Span // ms between two heartbeats by which a backend server keeps its registration; 0 if unknown
	ConfigTime       clock.Span // ms within which an acknowledged configuration is in force; 0 if unknown
	DrainTime        clock.Span // ms for which a backend server serves on after it has said that it leaves; 0 if unknown
	EvacuationTime   clock.Span // ms within which an evacuation takes effect, also while the store is unstable; 0 if unknown
	Engine           string     // for agents: address of the engine on the same instance
	EngineService    string     // for agents: service that the engine runs
	Fencing          bool       // engines reject commands with a lower fence than one that they have seen

	Capacity balance.CapacityBounds // bounds of learned capacities, or that they are fixed
}

// MetricsPort is the TCP port of the metrics server; it must match the deploy file.
const MetricsPort = "9464"

// Check returns an error for the first setting that is missing or invalid.
func (s Settings) Check() error {
	if s.Name == "" || s.IP == "" {
		return errors.Newf("node and ip are needed, got %q and %q", s.Name, s.IP)
	}
	if len(s.InternalPorts) != 2 || s.InternalPorts[0] <= 0 || s.InternalPorts[1] < s.InternalPorts[0] {
		return errors.Newf("two ports in order are needed for the system's own traffic, got %v", s.InternalPorts)
	}
	if s.Capacity.Least < 0 || !(s.Capacity.Factor >= 0) {
		return errors.Newf("bounds of learned capacities can't be negative, got %d and %v", s.Capacity.Least, s.Capacity.Factor)
	}
	if s.HeldMemory < 0 || (s.Memory > 0 && s.HeldMemory > s.Memory) {
		return errors.Newf("an instance with %d bytes can't hold %d for others", s.Memory, s.HeldMemory)
	}
	if s.Sockets < 0 || (s.Descriptors > 0 && s.Sockets > s.Descriptors) {
		return errors.Newf("an instance with %d descriptors can't have %d connections of clients", s.Descriptors, s.Sockets)
	}
	named := []struct{ field, address string }{
		{"front", s.Front},
		{"ready", s.Ready},
		{"control", s.Control},
		{"directory", s.Directory},
		{"store", s.Store},
		{"engine", s.Engine},
	}
	for _, n := range named {
		if n.address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(n.address); err != nil {
			return errors.Wrapf(err, "%s address %q", n.field, n.address)
		}
	}
	if s.Store == "" {
		return errors.New("the address of the metadata store is needed")
	}
	return nil
}

// seedAddresses returns the IP addresses of the seeds; it logs and skips invalid ones.
func (s Settings) seedAddresses(logger log.Logger) (hosts []string) {
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			level.Warn(logger).Log("msg", "invalid seed address, ignoring it", "seed", seed, "error", err)
			continue
		}
		hosts = append(hosts, host)
	}
	return hosts
}
