package gossip

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"

	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// Default durations of Options, in milliseconds.
const (
	DefaultGossipInterval = clock.Second
	DefaultStartupSpread  = 8 * clock.Second
	DefaultEvidenceTTL    = 10 * clock.Minute
)

// Options configures a Member and supplies its dependencies.
type Options struct {
	Self  platform.Instance // name, peer address and zone of this process
	Seeds []string          // peer addresses that a process without a configuration asks first

	GossipInterval clock.Span // mean ms between exchanges with neighbours
	SettleDelay    clock.Span // ms that a ticket is held back for conflicting contents of its number
	SealDelay      clock.Span // ms after the first observation of a number; a content first seen later can't win
	StartupSpread  clock.Span // ms over which processes that start together spread their first platform read
	EvidenceTTL    clock.Span // ms that crash and run reports are kept

	Reader   *platform.Reader
	SyncPeer func(ctx context.Context, address string, req *peerpb.SyncRequest) (*peerpb.SyncReply, error)
	Clock    clock.Clock
	Random   func() float64 // returns a number from 0 to 1
	OnUpdate func()         // called after a change of the tickets, the instance list or the reports
	Log      log.Logger
}

// Counters counts the calls, bytes and rejected inputs of a Member since its start.
type Counters struct {
	PeerCalls        atomic.Uint64 // calls to peers
	PeerCallFailures atomic.Uint64 // calls to peers that failed
	PlatformCalls    atomic.Uint64 // calls to the platform
	BytesSent        atomic.Uint64 // bytes sent to peers, in requests and replies
	BytesReceived    atomic.Uint64 // bytes received from peers, in requests and replies
	InvalidInputs    atomic.Uint64 // tickets, snapshots and instance data rejected as invalid
}

// Member replicates tickets, instances, and crash and run reports for one process.
type Member struct {
	Counters Counters

	options   Options
	tickets   *ticket.Store
	instances *instanceList
	evidence  *evidenceStore
	wake      chan struct{}

	mutex             sync.Mutex
	plan              plan
	tasks             map[taskKey]*task
	outboxes          map[string]*outbox
	peerDigests       map[string]*peerpb.Digest // last digest by peer address
	lastSeen          clock.Time                // when a peer last replied or called
	lastScan          clock.Time                // when due tasks were last collected
	nextConflictCheck clock.Time                // earliest next pull because of a conflicting state
	conflictBackoff   clock.Span                // ms to wait after the next pull because of a conflicting state; doubles with each such pull
	lastLogged        map[string]clock.Time     // when each message was last logged
	fullListWanted    bool                      // the next exchange requests a full instance list
	coldExchanges     int                       // exchanges made without a configuration
	fleetSizeKnown    bool                      // the fleet size for platform reads is set
	emptyListReads    int                       // reads that returned no instance
}

// New returns a Member without tickets, instances or reports.
func New(o Options) *Member {
	if o.Log == nil {
		o.Log = log.NewNopLogger()
	}
	if o.OnUpdate == nil {
		o.OnUpdate = func() {}
	}
	m := &Member{
		options:     o,
		tickets:     ticket.NewStore(o.SettleDelay, o.SealDelay),
		instances:   newInstanceList(),
		evidence:    &evidenceStore{ttl: o.EvidenceTTL, reports: make(map[string]report)},
		wake:        make(chan struct{}, 1),
		tasks:       make(map[taskKey]*task),
		outboxes:    make(map[string]*outbox),
		peerDigests: make(map[string]*peerpb.Digest),
		lastLogged:  make(map[string]clock.Time),
	}
	m.scheduleInitialTasks(o.Clock.Now())
	return m
}

// State returns the active configuration, which is never nil.
func (m *Member) State() *ticket.State {
	return m.tickets.State()
}

// Ready reports whether the process has had any configuration.
func (m *Member) Ready() bool {
	return m.tickets.Ready()
}

// Tickets returns the ticket store.
func (m *Member) Tickets() *ticket.Store {
	return m.tickets
}

// List returns the newest known instance list, which is never nil.
func (m *Member) List() *platform.List {
	return m.instances.current.Load()
}

// Digest returns the number and hash of the active configuration and the version of the instance list.
func (m *Member) Digest() *peerpb.Digest {
	s := m.tickets.State()
	return &peerpb.Digest{Number: uint64(s.Number), Hash: s.Hash, List: m.List().Version}
}

// AddEvidence records crash and run reports, and pushes the new ones to the neighbours.
func (m *Member) AddEvidence(all ...*peerpb.Evidence) {
	fresh := m.evidence.add(m.options.Clock.Now(), all)
	if len(fresh) == 0 {
		return
	}
	m.enqueue("", func(o *outbox) { o.addEvidence(fresh) })
	m.options.OnUpdate()
}

// Evidence returns the unexpired crash and run reports, newest first, with their ages in milliseconds.
func (m *Member) Evidence() []*peerpb.Evidence {
	return m.evidence.list(m.options.Clock.Now(), MaxEvidence)
}

// ReceiveDigest processes a digest that came with another call, and schedules a pull if this process is behind.
func (m *Member) ReceiveDigest(d *peerpb.Digest, address string) {
	if d == nil || address == "" || !m.isBehind(d) {
		return
	}
	now := m.options.Clock.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.conflictsWith(d) {
		if now < m.nextConflictCheck {
			return
		}
		m.nextConflictCheck = now.Add(m.conflictBackoff)
		m.conflictBackoff = min(2*m.conflictBackoff, maxConflictBackoff)
	}
	if _, waiting := m.tasks[taskKey{taskPull, address}]; waiting || m.pullCount() >= maxPulls {
		return
	}
	m.peerDigests[address] = d
	m.tasks[taskKey{taskPull, address}] = &task{next: now}
	m.wakeLoop()
}

// isBehind reports whether a digest has a newer list, a newer ticket number or a conflicting state.
func (m *Member) isBehind(d *peerpb.Digest) bool {
	if d.GetList() > m.List().Version || m.conflictsWith(d) {
		return true
	}
	return d.GetNumber() > uint64(m.State().Number) && d.GetNumber() > uint64(m.tickets.LastContiguous())
}

// conflictsWith reports whether a digest has the active number with another hash, as after conflicting tickets.
func (m *Member) conflictsWith(d *peerpb.Digest) bool {
	s := m.State()
	return d.GetNumber() == uint64(s.Number) && d.GetHash() != s.Hash
}
