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

// Kinds of connection, as Plan.Wire is told.
const (
	CallerLink  = "caller"  // callers to an entry
	PeerLink    = "peer"    // processes of the system to each other
	BackendLink = "backend" // an agent to its backend server
	TicketLink  = "tickets" // a process to the configuration service
	ListLink    = "list"    // a process to the instance list
)

// Kinds of backend server.
const (
	EngineKind = "engine"
	PlainKind  = "plain"
)

// sharedKey proves the processes of one fleet to each other.
const sharedKey = "loopback-shared-key"

// seedCount is the number of entries that a cold process asks first.
const seedCount = 3

// Service is one service and the number of its backend servers.
type Service struct {
	Name  string
	Kind  string // engine, plain
	Count int
}

// Link is one connection that a proxy may stand in.
type Link struct {
	From string // availability zone for PeerLink, process for platform links, otherwise empty
	Kind string
	To   string // process, or the stand-in beside it
}

// Plan says of what a fleet consists.
type Plan struct {
	Binary   string // path of carawaypick
	Folder   string // for settings, logs and tickets
	Region   string
	Zones    []string // processes are dealt out to them in turn
	Entries  int
	Services []Service
	Settings func(*config.Settings)                          // changes the settings of each process, may be nil
	Wire     func(link Link, address string) (string, error) // the address that From uses, may be nil
}

// Fleet is a running fleet with its surroundings.
type Fleet struct {
	Tickets *standin.Tickets
	Lists   map[string]*standin.List // by availability zone of the reader
	Weights *standin.Weights
	Engines map[string]*standin.Engine // by name of the agent
	Plains  map[string]*standin.Plain  // by name of the agent
	Entries []*Process
	Agents  []*Process

	plan  Plan
	peers []string          // peer addresses of the entries
	state map[string]string // states in the instance list by process
	stops []func()
}

// Open builds the surroundings and writes the settings of all processes, but starts none of them.
func Open(plan Plan) (f *Fleet, err error) {
	defer func() { err = errors.Wrap(err, "open fleet") }()
	if plan.Wire == nil {
		plan.Wire = func(_ Link, address string) (string, error) { return address, nil }
	}
	f = &Fleet{
		Lists:   map[string]*standin.List{},
		Engines: map[string]*standin.Engine{},
		Plains:  map[string]*standin.Plain{},
		plan:    plan,
		state:   map[string]string{},
	}
	if err := f.openPlatform(); err != nil {
		return f, err
	}
	if err := f.drawPeers(); err != nil {
		return f, err
	}
	for i := range plan.Entries {
		settings := f.settings(entryName(i), i)
		settings.Peer = f.peers[i]
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
	return f, f.Publish()
}

func entryName(turn int) string {
	return fmt.Sprintf("entry-%d", turn+1)
}

// drawPeers draws the entries' peer addresses, which are needed as seeds before any entry is there.
func (f *Fleet) drawPeers() error {
	for range f.plan.Entries {
		peer, err := FreeAddress()
		if err != nil {
			return err
		}
		f.peers = append(f.peers, peer)
	}
	return nil
}

// seeds returns the first entries' peer addresses as a zone reaches them.
func (f *Fleet) seeds(zone string) (seeds []string, err error) {
	seeds = []string{}
	for i, peer := range f.peers[:min(seedCount, len(f.peers))] {
		seed, err := f.plan.Wire(Link{From: zone, Kind: PeerLink, To: entryName(i)}, peer)
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// zone returns the availability zone of the process whose turn it is.
func (f *Fleet) zone(turn int) string {
	return f.plan.Zones[turn%len(f.plan.Zones)]
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

func (f *Fleet) settings(name string, turn int) config.Settings {
	s := config.Defaults()
	s.Name = name
	s.Zone = f.zone(turn)
	s.Region = f.plan.Region
	s.Key = sharedKey
	return s
}

func (f *Fleet) openAgent(service Service, turn int) (err error) {
	settings := f.settings(fmt.Sprintf("%s-%d", service.Name, turn+1), turn)
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
		return errors.Newf("kind %q of service %s", service.Kind, service.Name)
	}
	address, err = f.plan.Wire(Link{Kind: BackendLink, To: settings.Name}, address)
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
	tickets, err := f.plan.Wire(Link{From: settings.Name, Kind: TicketLink, To: TicketLink}, f.Tickets.Address)
	if err != nil {
		return err
	}
	list, err := f.plan.Wire(Link{From: settings.Name, Kind: ListLink, To: ListLink}, f.Lists[settings.Zone].Address)
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
	f.state[settings.Name] = "live"
	return nil
}

// Publish shows the present instances to the lists.
func (f *Fleet) Publish() error {
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
	i = standin.Instance{Name: s.Name, Role: p.Role, Zone: s.Zone, Region: s.Region, Service: s.Backend.Service, State: f.state[s.Name]}
	if i.Peer, err = f.plan.Wire(Link{From: zone, Kind: PeerLink, To: s.Name}, s.Peer); err != nil {
		return i, err
	}
	if p.Role == Entry {
		i.Caller, err = f.plan.Wire(Link{Kind: CallerLink, To: s.Name}, s.Listen)
	}
	return i, err
}

// Mark sets a process's state in the instance list: live, leaving, or empty for none.
func (f *Fleet) Mark(p *Process, state string) error {
	f.state[p.Settings.Name] = state
	return f.Publish()
}

// Processes returns all entries and agents.
func (f *Fleet) Processes() []*Process {
	return append(append([]*Process{}, f.Entries...), f.Agents...)
}

// Start starts all processes and waits until they serve.
func (f *Fleet) Start(ctx context.Context) error {
	for _, p := range f.Processes() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	waits := pool.New().WithErrors()
	for _, p := range f.Processes() {
		waits.Go(func() error { return p.Ready(ctx) })
	}
	return waits.Wait()
}

// Terminate asks all processes to shut down, waits for their ends, and kills those that don't end in time.
func (f *Fleet) Terminate(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopLimit.Duration())
	defer cancel()
	waits := pool.New().WithErrors()
	for _, p := range f.Processes() {
		if p.Ended() {
			continue
		}
		if err := p.Terminate(); err != nil {
			return err
		}
		waits.Go(func() error { return p.Wait(ctx) })
	}
	return waits.Wait()
}

// Close kills what still runs and stops the stand-ins.
func (f *Fleet) Close() {
	for _, p := range f.Processes() {
		_ = p.Kill()
	}
	for _, stop := range f.stops {
		stop()
	}
}

// EntryAddresses returns the addresses of all entries as callers use them.
func (f *Fleet) EntryAddresses() []string {
	addresses := []string{}
	for _, i := range f.Lists[f.plan.Zones[0]].Present().Instances {
		if i.Role == Entry {
			addresses = append(addresses, i.Caller)
		}
	}
	return addresses
}

// Runs returns how often the plain services together ran a request, by their own record.
func (f *Fleet) Runs(id string) int {
	count := 0
	for _, p := range f.Plains {
		count += p.Count(id)
	}
	return count
}

// QuickTiming returns intervals for fleets that live for seconds.
func QuickTiming() config.Timing {
	return config.Timing{
		TTL:     1 * clock.Second,
		Life:    3 * clock.Second,
		Keep:    30 * clock.Second,
		Poll:    100 * clock.Millisecond,
		Gossip:  100 * clock.Millisecond,
		Settle:  100 * clock.Millisecond,
		Seal:    30 * clock.Second,
		Condemn: 5 * clock.Second,
		Stall:   500 * clock.Millisecond,
		Drain:   1500 * clock.Millisecond,
	}
}
