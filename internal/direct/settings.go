package direct

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"carawaypick/pkg/clock"
)

// Settings are what a process that serves without agents is told at its start.
type Settings struct {
	Name        string
	Zone        string
	IP          string
	Front       string // address for callers
	Ready       string // address for readiness checks
	Control     string // address for the other entries
	Directory   string // address for callers that ask where to connect
	Ports       []int  // first and last port free for the system's own traffic
	Seeds       []string
	Store       string     // address of the metadata store
	Memory      int64      // bytes
	Grace       clock.Span // ms from the signal to stop to the kill
	TTL         clock.Span // longest time in ms that callers keep an answer of the directory
	RetryRatio  float64    // retries allowed for each request
	RetryWindow clock.Span // window in ms of the retry budget
	RetrySlack  float64    // retries allowed in a window besides
	Engine      string     // address of the engine on the same instance, for agents
	EngineOf    string     // service of that engine
	Fencing     bool       // engines refuse orders of an older generation
}

// metricsPort is the TCP port of the metrics on each instance, as the deploy file names it.
const metricsPort = "9464"

// Check returns what is wrong with the settings, or nil.
func (s Settings) Check() error {
	if s.Name == "" || s.IP == "" {
		return errors.Newf("node and ip are needed, got %q and %q", s.Name, s.IP)
	}
	if len(s.Ports) != 2 || s.Ports[0] <= 0 || s.Ports[1] < s.Ports[0] {
		return errors.Newf("two ports in order are needed for the system's own traffic, got %v", s.Ports)
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

// seedHosts returns the IP addresses of the seeds.
func (s Settings) seedHosts(logger log.Logger) (hosts []string) {
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			level.Warn(logger).Log("msg", "seed ignored", "seed", seed, "error", err)
			continue
		}
		hosts = append(hosts, host)
	}
	return hosts
}
