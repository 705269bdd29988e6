package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/config"
	"carawaypick/internal/operator"
	"carawaypick/internal/standin"
	"carawaypick/internal/standin/fleet"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

const (
	conditionTimeout = 30 * time.Second
	pollInterval     = 10 * time.Millisecond
	maxReportAge     = 300 * clock.Millisecond // age up to which a report counts as recent in awaitBackends
	removalLimit     = 3 * clock.Second        // time until an instance that leaves, or whose zone is out, gets no new requests
	testTeam         = "politica"
	modelService     = "check"
	plainService     = "desk"
)

// binaryPath is the path of the carawaypick binary that TestMain builds.
var binaryPath string

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	os.Exit(runMain(m))
}

func runMain(m *testing.M) int {
	folder, err := os.MkdirTemp("", "carawaypick-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaryPath = filepath.Join(folder, "carawaypick")
	output, err := exec.Command("go", "build", "-buildvcs=false", "-o", binaryPath, "carawaypick").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", output, err)
		return 1
	}
	return m.Run()
}

// fixtureOptions describes the fleet that a test needs.
type fixtureOptions struct {
	entries        int
	engines        int
	plainServers   int
	proxiedLinks   []string // kinds of link that go through a proxy
	capacity       uint32   // concurrent requests of an engine, 0 for the default
	coldCapacity   uint32   // concurrent requests of an engine after a cold start, used if capacity is set
	changeSettings func(*config.Settings)
}

// fixture is a fleet under test with the proxies in its links.
type fixture struct {
	*fleet.Fleet
	t          *testing.T
	mutex      sync.Mutex
	proxies    map[fleet.Link]*toxiproxy.Proxy
	lastNumber ticket.Number // number of the last published ticket
	clock      clock.Clock
}

func zones() []string { return []string{"zone-a", "zone-b", "zone-c"} }

// newFixture builds a fleet and publishes its first ticket, but starts no process.
func newFixture(t *testing.T, options fixtureOptions) *fixture {
	t.Helper()
	fx := &fixture{t: t, proxies: map[fleet.Link]*toxiproxy.Proxy{}, clock: clock.New()}
	services := []fleet.Service{{Name: modelService, Kind: fleet.EngineKind, Count: options.engines}, {Name: plainService, Kind: fleet.PlainKind, Count: options.plainServers}}
	f, err := fleet.Open(fleet.Plan{
		Binary:   binaryPath,
		Folder:   t.TempDir(),
		Region:   "test",
		Zones:    zones(),
		Entries:  options.entries,
		Services: services,
		Settings: func(settings *config.Settings) {
			settings.Timing = fleet.QuickTiming()
			if options.changeSettings != nil {
				options.changeSettings(settings)
			}
		},
		ProxyAddress: func(link fleet.Link, address string) (string, error) { return fx.proxyAddress(options, link, address) },
	})
	require.NoError(t, err)
	fx.Fleet = f
	t.Cleanup(fx.tearDown)
	fx.publish(baseObjects(options))
	return fx
}

// startFixture builds and starts a fleet and waits until every entry reports all backend servers as live.
func startFixture(t *testing.T, options fixtureOptions) *fixture {
	t.Helper()
	fx := newFixture(t, options)
	require.NoError(t, fx.Start(t.Context()))
	fx.awaitBackends()
	return fx
}

func (fx *fixture) tearDown() {
	fx.Close()
	for _, p := range fx.proxies {
		p.Stop()
	}
	if fx.t.Failed() {
		fx.printLogs()
	}
}

// printLogs logs the last lines of each process's log file.
func (fx *fixture) printLogs() {
	const maxLines = 12
	for _, p := range fx.Processes() {
		content, err := os.ReadFile(p.LogFile)
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(content)), "\n")
		fx.t.Logf("%s:\n%s", p.Settings.Name, strings.Join(lines[max(len(lines)-maxLines, 0):], "\n"))
	}
}

func baseObjects(options fixtureOptions) ticket.Objects {
	capacity, coldCapacity := options.capacity, options.coldCapacity
	if capacity == 0 {
		capacity, coldCapacity = 16, 8
	}
	return ticket.Objects{
		Models: map[string]*ticket.Model{"facts": {Version: "1", WeightBytes: 1 << 20}},
		Services: map[string]*ticket.Service{
			modelService: {Kind: ticket.ModelService, Model: "facts", Idempotent: true, StallTimeout: 500, MaxConcurrency: capacity, MaxColdConcurrency: coldCapacity},
			plainService: {Kind: ticket.PlainService, Idempotent: true, StallTimeout: 500, MaxConcurrency: 64, MaxColdConcurrency: 16},
		},
		Teams: map[string]*ticket.Team{
			testTeam: {Share: 2, Priority: 9},
			"noche":  {Share: 2, Priority: 9},
			"varios": {Share: 1, Priority: 9},
		},
	}
}

// publish publishes a ticket with these objects under the next number and returns that number.
func (fx *fixture) publish(objects ticket.Objects) ticket.Number {
	fx.t.Helper()
	fx.lastNumber++
	fx.publishAs(fx.lastNumber, objects)
	return fx.lastNumber
}

func (fx *fixture) publishAs(number ticket.Number, objects ticket.Objects) {
	fx.t.Helper()
	content, err := json.Marshal(ticket.Ticket{Number: number, Author: "lucia.paredes", Objects: objects})
	require.NoError(fx.t, err)
	require.NoError(fx.t, fx.Tickets.Publish(content))
}

func zoneObjects(zone, state string) ticket.Objects {
	return ticket.Objects{Zones: map[string]*ticket.Zone{zone: {State: state}}}
}

// subtest runs a subtest and directs the fixture's assertions to it.
func (fx *fixture) subtest(name string, f func(t *testing.T)) {
	parent := fx.t
	defer func() { fx.t = parent }()
	parent.Run(name, func(t *testing.T) {
		fx.t = t
		f(t)
	})
}

// eventually polls a condition and fails the test after conditionTimeout.
func (fx *fixture) eventually(description string, condition func() bool) {
	fx.t.Helper()
	require.Eventually(fx.t, condition, conditionTimeout, pollInterval, description)
}

// sleep waits for the duration and fails the test if the test's context ends first.
func (fx *fixture) sleep(duration clock.Span) {
	fx.t.Helper()
	require.True(fx.t, standin.Sleep(fx.t.Context(), duration))
}

// status requests the status of a process; ok is false if it does not answer within 1 s.
func (fx *fixture) status(p *fleet.Process) (s operator.Status, ok bool) {
	ctx, cancel := context.WithTimeout(fx.t.Context(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Settings.Listen+operator.PathStatus, nil)
	require.NoError(fx.t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return s, false
	}
	defer func() { _ = response.Body.Close() }()
	var answer operator.Response
	if json.NewDecoder(response.Body).Decode(&answer) != nil || answer.Status == nil {
		return s, false
	}
	return *answer.Status, true
}

// awaitTicket waits until the ticket or a later one is in force at the given processes, or at all processes if none is given.
func (fx *fixture) awaitTicket(number ticket.Number, processes ...*fleet.Process) {
	fx.t.Helper()
	if len(processes) == 0 {
		processes = fx.Processes()
	}
	for _, p := range processes {
		fx.eventually(fmt.Sprintf("ticket %d in force at %s", number, p.Settings.Name), func() bool {
			s, ok := fx.status(p)
			return ok && s.Number >= uint64(number)
		})
	}
}

// awaitBackends waits until every entry lists every backend server as live, by a report younger than maxReportAge.
func (fx *fixture) awaitBackends() {
	fx.t.Helper()
	for _, p := range fx.Entries {
		fx.eventually("backend servers are live at "+p.Settings.Name, func() bool {
			s, ok := fx.status(p)
			return ok && liveBackends(s) == len(fx.Agents)
		})
	}
}

func liveBackends(s operator.Status) (count int) {
	for _, backend := range s.Backends {
		if backend.State == "live" && backend.Age < maxReportAge {
			count++
		}
	}
	return count
}

// agent returns the agent with this name.
func (fx *fixture) agent(name string) *fleet.Process {
	fx.t.Helper()
	for _, p := range fx.Agents {
		if p.Settings.Name == name {
			return p
		}
	}
	require.Fail(fx.t, "no agent "+name)
	return nil
}
