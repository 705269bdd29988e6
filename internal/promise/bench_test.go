package promise

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
	patience = 30 * time.Second // a condition that never comes
	glance   = 10 * time.Millisecond
	fresh    = 300 * clock.Millisecond // age of a report that an entry acts on
	grace    = 3 * clock.Second        // after which what is out or leaving gets no new work
	team     = "politica"
	model    = "check"
	plain    = "desk"
)

// binary is the path of carawaypick, built once.
var binary string

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	os.Exit(runMain(m))
}

func runMain(m *testing.M) int {
	folder, err := os.MkdirTemp("", "carawaypick-promise-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binary = filepath.Join(folder, "carawaypick")
	output, err := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "carawaypick").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", output, err)
		return 1
	}
	return m.Run()
}

// setup says what a test needs.
type setup struct {
	entries int
	engines int
	plains  int
	proxied []string // kinds of link that a proxy stands in
	bears   uint32   // of the model service, 0 for the default
	cold    uint32
	change  func(*config.Settings)
}

// bench is a fleet under test.
type bench struct {
	*fleet.Fleet
	t       *testing.T
	mutex   sync.Mutex
	proxies map[fleet.Link]*toxiproxy.Proxy
	number  ticket.Number // of the last ticket published
	clock   clock.Clock
}

func zones() []string { return []string{"zone-a", "zone-b", "zone-c"} }

// assemble builds a fleet whose base ticket is published, and starts no process.
func assemble(t *testing.T, s setup) *bench {
	t.Helper()
	b := &bench{t: t, proxies: map[fleet.Link]*toxiproxy.Proxy{}, clock: clock.New()}
	services := []fleet.Service{{Name: model, Kind: fleet.EngineKind, Count: s.engines}, {Name: plain, Kind: fleet.PlainKind, Count: s.plains}}
	f, err := fleet.Open(fleet.Plan{
		Binary:   binary,
		Folder:   t.TempDir(),
		Region:   "test",
		Zones:    zones(),
		Entries:  s.entries,
		Services: services,
		Settings: func(c *config.Settings) {
			c.Timing = fleet.QuickTiming()
			if s.change != nil {
				s.change(c)
			}
		},
		Wire: func(link fleet.Link, address string) (string, error) { return b.wire(s, link, address) },
	})
	require.NoError(t, err)
	b.Fleet = f
	t.Cleanup(b.shut)
	b.publish(baseObjects(s))
	return b
}

// open assembles a fleet, starts it and waits until every service can be located from every entry.
func open(t *testing.T, s setup) *bench {
	t.Helper()
	b := assemble(t, s)
	require.NoError(t, b.Start(t.Context()))
	b.located()
	return b
}

func (b *bench) shut() {
	b.Close()
	for _, p := range b.proxies {
		p.Stop()
	}
	if b.t.Failed() {
		b.printLogs()
	}
}

// printLogs shows the end of each process's log.
func (b *bench) printLogs() {
	const shown = 12
	for _, p := range b.Processes() {
		content, err := os.ReadFile(p.Log)
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(content)), "\n")
		b.t.Logf("%s:\n%s", p.Settings.Name, strings.Join(lines[max(len(lines)-shown, 0):], "\n"))
	}
}

func baseObjects(s setup) ticket.Objects {
	bears, cold := s.bears, s.cold
	if bears == 0 {
		bears, cold = 16, 8
	}
	return ticket.Objects{
		Models: map[string]*ticket.Model{"facts": {Version: "1", Weight: 1 << 20}},
		Services: map[string]*ticket.Service{
			model: {Kind: ticket.ModelService, Model: "facts", Idempotent: true, Stall: 500, Bears: bears, Cold: cold},
			plain: {Kind: ticket.PlainService, Idempotent: true, Stall: 500, Bears: 64, Cold: 16},
		},
		Teams: map[string]*ticket.Team{
			team:     {Share: 2, Priority: 9},
			"noche":  {Share: 2, Priority: 9},
			"varios": {Share: 1, Priority: 9},
		},
	}
}

// publish gives the next number to a ticket with these objects.
func (b *bench) publish(objects ticket.Objects) ticket.Number {
	b.t.Helper()
	b.number++
	b.publishAs(b.number, objects)
	return b.number
}

func (b *bench) publishAs(number ticket.Number, objects ticket.Objects) {
	b.t.Helper()
	content, err := json.Marshal(ticket.Ticket{Number: number, Author: "lucia.paredes", Objects: objects})
	require.NoError(b.t, err)
	require.NoError(b.t, b.Tickets.Publish(content))
}

func zoneTicket(zone, state string) ticket.Objects {
	return ticket.Objects{Zones: map[string]*ticket.Zone{zone: {State: state}}}
}

// run is a subtest in which the bench reports to the subtest.
func (b *bench) run(name string, f func(t *testing.T)) {
	parent := b.t
	defer func() { b.t = parent }()
	parent.Run(name, func(t *testing.T) {
		b.t = t
		f(t)
	})
}

// eventually waits for a condition.
func (b *bench) eventually(what string, condition func() bool) {
	b.t.Helper()
	require.Eventually(b.t, condition, patience, glance, what)
}

// pass waits for a span of the stand-ins' time.
func (b *bench) pass(span clock.Span) {
	b.t.Helper()
	require.True(b.t, standin.Sleep(b.t.Context(), span))
}

// status asks a process what it believes.
func (b *bench) status(p *fleet.Process) (s operator.Status, ok bool) {
	ctx, cancel := context.WithTimeout(b.t.Context(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Settings.Listen+operator.PathStatus, nil)
	require.NoError(b.t, err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return s, false
	}
	defer func() { _ = response.Body.Close() }()
	var answer operator.Answer
	if json.NewDecoder(response.Body).Decode(&answer) != nil || answer.Status == nil {
		return s, false
	}
	return *answer.Status, true
}

// inForce waits until the processes believe in the ticket.
func (b *bench) inForce(number ticket.Number, processes ...*fleet.Process) {
	b.t.Helper()
	if len(processes) == 0 {
		processes = b.Processes()
	}
	for _, p := range processes {
		b.eventually(fmt.Sprintf("ticket %d in force at %s", number, p.Settings.Name), func() bool {
			s, ok := b.status(p)
			return ok && s.Number >= uint64(number)
		})
	}
}

// located waits until every entry reaches every backend server.
func (b *bench) located() {
	b.t.Helper()
	for _, p := range b.Entries {
		b.eventually("backend servers are live at "+p.Settings.Name, func() bool {
			s, ok := b.status(p)
			return ok && liveBackends(s) == len(b.Agents)
		})
	}
}

func liveBackends(s operator.Status) (count int) {
	for _, backend := range s.Backends {
		if backend.State == "live" && backend.Age < fresh {
			count++
		}
	}
	return count
}

// agent returns the agent with this name.
func (b *bench) agent(name string) *fleet.Process {
	b.t.Helper()
	for _, p := range b.Agents {
		if p.Settings.Name == name {
			return p
		}
	}
	require.Fail(b.t, "no agent "+name)
	return nil
}
