package fleet

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"carawaypick/internal/config"
	"carawaypick/internal/standin"
	"carawaypick/pkg/clock"
)

// Values of Link.Kind.
const (
	CallerLink  = "caller"  // callers to an entry
	PeerLink    = "peer"    // a process to another process of the system
	BackendLink = "backend" // an agent to its backend server
	TicketLink  = "tickets" // a process to the configuration service
	ListLink    = "list"    // a process to the instance list
)

// Kinds of backend server.
const (
	EngineKind = "engine"
	PlainKind  = "plain"
)

// processKey authenticates the processes of one fleet to each other.
const processKey = "loopback-shared-key"

// maxSeeds is the maximum number of entries whose peer addresses a process is configured with.
const maxSeeds = 3

// Service is one service and the number of its backend servers.
type Service struct {
	Name  string
	Kind  string // EngineKind, PlainKind
	Count int
}

// Link is one kind of connection between two endpoints, which a test can route through a proxy.
type Link struct {
	From string // availability zone for PeerLink, process name for TicketLink and ListLink, otherwise empty
	Kind string
	To   string // process name (for BackendLink, the agent's), or the kind itself for TicketLink and ListLink
}

// Plan configures a fleet.
type Plan struct {
	Binary       string // path of carawaypick
	Folder       string // folder for settings, logs and tickets
	Region       string
	Zones        []string // availability zones; entries and the agents of each service are assigned round-robin
	Entries      int
	Services     []Service
	Settings     func(*config.Settings)                          // modifies the settings of each process, may be nil
	ProxyAddress func(link Link, address string) (string, error) // returns the address that From connects to, such as a proxy's; may be nil
}

// Fleet is a set of processes with the stand-ins that they depend on.
type Fleet struct {
	Tickets *standin.Tickets
	Lists   map[string]*standin.List // by availability zone of the reader
	Weights *standin.Weights
	Engines map[string]*standin.Engine // by the agent's name
	Plains  map[string]*standin.Plain  // by the agent's name
	Entries []*Process
	Agents  []*Process

	plan          Plan
	peerAddresses []string          // peer addresses of the entries, by index
	states        map[string]string // state in the instance list, by process name
	stops         []func()
}

// Open starts the stand-ins and writes the settings of all processes, but doesn't start the processes.
//
// A fleet that is returned with an error must be closed as well.
func Open(plan Plan) (f *Fleet, err error) {
	defer func() { err = errors.Wrap(err, "open fleet") }()
	if plan.ProxyAddress == nil {
		plan.ProxyAddress = func(_ Link, address string) (string, error) { return address, nil }
	}
	f = &Fleet{
		Lists:   map[string]*standin.List{},
		Engines: map[string]*standin.Engine{},
		Plains:  map[string]*standin.Plain{},
		plan:    plan,
		states:  map[string]string{},
	}
	if err := f.openPlatform(); err != nil {
		return f, err
	}
	if err := f.reservePeerAddresses(); err != nil {
		return f, err
	}
	for i := range plan.Entries {
		settings := f.settings(entryName(i), i)
		settings.Peer = f.peerAddresses[i]
		if err := f.add(Entry, &f.Entries, settings); err != nil {
			return f, err
		}
	}
	for _, service := range plan.Services {
		for i := range service.Count {
			if err := f.openAgent(service, i); err != nil {
				return f, err
			}
		}
	}
	return f, f.PublishInstances()
}

func entryName(index int) string {
	return fmt.Sprintf("entry-%d", index+1)
}

// reservePeerAddresses picks the entries' peer addresses first, because the settings of every process contain them as seeds.
func (f *Fleet) reservePeerAddresses() error {
	for range f.plan.Entries {
		peer, err := FreeAddress()
		if err != nil {
			return err
		}
		f.peerAddresses = append(f.peerAddresses, peer)
	}
	return nil
}

// seeds returns the peer addresses of the first entries, as processes in a zone reach them.
func (f *Fleet) seeds(zone string) (seeds []string, err error) {
	seeds = []string{}
	for i, peer := range f.peerAddresses[:min(maxSeeds, len(f.peerAddresses))] {
		seed, err := f.plan.ProxyAddress(Link{From: zone, Kind: PeerLink, To: entryName(i)}, peer)
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// zone returns the availability zone of the process with this index.
func (f *Fleet) zone(index int) string {
	return f.plan.Zones[index%len(f.plan.Zones)]
}

func (f *Fleet) openPlatform() (err error) {
	if f.Tickets, err = standin.NewTickets("", f.plan.Folder); err != nil {
		return err
	}
	f.stops = append(f.stops, f.Tickets.Stop)
	if f.Weights, err = standin.NewWeights("", 0); err != nil {
		return err
	}
	f.stops = append(f.stops, f.Weights.Stop)
	for _, zone := range f.plan.Zones {
		list, err := standin.NewList("", "")
		if err != nil {
			return err
		}
		f.Lists[zone] = list
		f.stops = append(f.stops, list.Stop)
	}
	return nil
}

func (f *Fleet) settings(name string, index int) config.Settings {
	s := config.Defaults()
	s.Name = name
	s.Zone = f.zone(index)
	s.Region = f.plan.Region
	s.SharedKey = processKey
	return s
}

func (f *Fleet) openAgent(service Service, index int) (err error) {
	settings := f.settings(fmt.Sprintf("%s-%d", service.Name, index+1), index)
	address := ""
	switch service.Kind {
	case EngineKind:
		engine, err := standin.NewEngine("")
		if err != nil {
			return err
		}
		f.Engines[settings.Name] = engine
		f.stops = append(f.stops, engine.Stop)
		address = engine.Address
	case PlainKind:
		plain, err := standin.NewPlain("")
		if err != nil {
			return err
		}
		f.Plains[settings.Name] = plain
		f.stops = append(f.stops, plain.Stop)
		address = plain.Address
	default:
		return errors.Newf("service %s has unknown kind %q", service.Name, service.Kind)
	}
	address, err = f.plan.ProxyAddress(Link{Kind: BackendLink, To: settings.Name}, address)
	if err != nil {
		return err
	}
	settings.Backend = config.Backend{URL: "http://" + address, Service: service.Name, Kind: service.Kind}
	return f.add(Agent, &f.Agents, settings)
}

func (f *Fleet) add(role string, processes *[]*Process, settings config.Settings) (err error) {
	if settings.Listen, err = FreeAddress(); err != nil {
		return err
	}
	if settings.Peer == "" {
		if settings.Peer, err = FreeAddress(); err != nil {
			return err
		}
	}
	if settings.Seeds, err = f.seeds(settings.Zone); err != nil {
		return err
	}
	tickets, err := f.plan.ProxyAddress(Link{From: settings.Name, Kind: TicketLink, To: TicketLink}, f.Tickets.Address)
	if err != nil {
		return err
	}
	list, err := f.plan.ProxyAddress(Link{From: settings.Name, Kind: ListLink, To: ListLink}, f.Lists[settings.Zone].Address)
	if err != nil {
		return err
	}
	settings.Platform = config.Platform{Tickets: "http://" + tickets, List: "http://" + list, Weights: f.Weights.URL()}
	if f.plan.Settings != nil {
		f.plan.Settings(&settings)
	}
	p, err := newProcess(f.plan.Binary, f.plan.Folder, role, settings)
	if err != nil {
		return err
	}
	*processes = append(*processes, p)
	f.states[settings.Name] = "live"
	return nil
}

// PublishInstances sets the instance list of each zone to the current instances.
func (f *Fleet) PublishInstances() error {
	for _, zone := range f.plan.Zones {
		instances := []standin.Instance{}
		for _, p := range f.Processes() {
			instance, err := f.instance(zone, p)
			if err != nil {
				return err
			}
			if instance.State != "" {
				instances = append(instances, instance)
			}
		}
		f.Lists[zone].Set(instances)
	}
	return nil
}

func (f *Fleet) instance(zone string, p *Process) (i standin.Instance, err error) {
	s := p.Settings
	i = standin.Instance{Name: s.Name, Role: p.Role, Zone: s.Zone, Region: s.Region, Service: s.Backend.Service, State: f.states[s.Name]}
	if i.Peer, err = f.plan.ProxyAddress(Link{From: zone, Kind: PeerLink, To: s.Name}, s.Peer); err != nil {
		return i, err
	}
	if p.Role == Entry {
		i.Caller, err = f.plan.ProxyAddress(Link{Kind: CallerLink, To: s.Name}, s.Listen)
	}
	return i, err
}

// SetInstanceState sets the state of a process in the instance lists: live, leaving, or empty to remove it.
func (f *Fleet) SetInstanceState(p *Process, state string) error {
	f.states[p.Settings.Name] = state
	return f.PublishInstances()
}

// Processes returns all entries and agents.
func (f *Fleet) Processes() []*Process {
	return append(append([]*Process{}, f.Entries...), f.Agents...)
}

// Start starts all processes and blocks until they are ready.
func (f *Fleet) Start(ctx context.Context) error {
	for _, p := range f.Processes() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	waits := pool.New().WithErrors()
	for _, p := range f.Processes() {
		waits.Go(func() error { return p.AwaitReady(ctx) })
	}
	return waits.Wait()
}

// Terminate sends SIGTERM to all running processes and blocks until they have exited, at most 20 s.
func (f *Fleet) Terminate(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout.Duration())
	defer cancel()
	waits := pool.New().WithErrors()
	for _, p := range f.Processes() {
		if p.Exited() {
			continue
		}
		if err := p.Terminate(); err != nil {
			return err
		}
		waits.Go(func() error { return p.Wait(ctx) })
	}
	return waits.Wait()
}

// Close kills the processes that still run and stops the stand-ins.
func (f *Fleet) Close() {
	for _, p := range f.Processes() {
		_ = p.Kill()
	}
	for _, stop := range f.stops {
		stop()
	}
}

// EntryAddresses returns the addresses of all listed entries, as callers reach them.
func (f *Fleet) EntryAddresses() []string {
	addresses := []string{}
	for _, i := range f.Lists[f.plan.Zones[0]].Latest().Instances {
		if i.Role == Entry {
			addresses = append(addresses, i.Caller)
		}
	}
	return addresses
}

// RunCount returns how often a request ran, summed over the records of all plain services.
func (f *Fleet) RunCount(id string) int {
	count := 0
	for _, p := range f.Plains {
		count += p.RunCount(id)
	}
	return count
}

// QuickTiming returns short intervals for fleets that run for seconds.
func QuickTiming() config.Timing {
	return config.Timing{
		TTL:              1 * clock.Second,
		BindingLifetime:  3 * clock.Second,
		OutcomeRetention: 30 * clock.Second,
		ReportInterval:   100 * clock.Millisecond,
		GossipInterval:   100 * clock.Millisecond,
		SettleDelay:      100 * clock.Millisecond,
		SealDelay:        30 * clock.Second,
		Quarantine:       5 * clock.Second,
		StallTimeout:     500 * clock.Millisecond,
		DrainPeriod:      1500 * clock.Millisecond,
	}
}
