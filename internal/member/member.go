package member

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

// Defaults of the spans in Options, in milliseconds.
const (
	DefaultGossip = clock.Second
	DefaultCold   = 8 * clock.Second
	DefaultKeep   = 10 * clock.Minute
)

// Options are the settings and seams of a Member.
type Options struct {
	Self  platform.Instance // name, peer address and zone of this process
	Seeds []string          // peer addresses that a cold process asks first

	Gossip clock.Span // mean ms between exchanges with neighbours
	Settle clock.Span // ms that a ticket waits for a rival
	Seal   clock.Span // ms within which a rival may win
	Cold   clock.Span // ms over which processes that start together spread their first own read
	Keep   clock.Span // ms that evidence lives

	Reader *platform.Reader
	Call   func(ctx context.Context, address string, q *peerpb.SyncRequest) (*peerpb.SyncReply, error)
	Clock  clock.Clock
	Random func() float64 // from 0 to 1
	Notify func()         // called after tickets, list or evidence changed
	Log    log.Logger
}

// Counters count what a Member did since its start.
type Counters struct {
	Exchanges atomic.Uint64 // calls to peers
	Failures  atomic.Uint64 // calls to peers that failed
	Reads     atomic.Uint64 // calls to the platform
	Sent      atomic.Uint64 // bytes sent to peers, both as caller and as called
	Received  atomic.Uint64 // bytes received from peers
	Refused   atomic.Uint64 // tickets, lists and instances that could not be read
}

// Member is what one process knows, and spreads, of tickets, instances and crashes.
type Member struct {
	Counters Counters

	options  Options
	book     *ticket.Book
	roster   *roster
	evidence *evidence
	wake     chan struct{}

	mutex    sync.Mutex
	plan     plan
	duties   map[key]*duty
	outboxes map[string]*outbox
	known    map[string]*peerpb.Digest // what each neighbour last said
	heard    clock.Time                // when a peer last answered or called
	looked   clock.Time                // when duties were last looked for
	dispute  clock.Time                // before which no other state of the same number is looked into
	doubt    clock.Span                // how long the next dispute waits
	noted    map[string]clock.Time     // when each fault was last logged
	whole    bool                      // the next exchange asks for a whole list
	attempts int                       // exchanges made without a configuration
	sized    bool                      // the fleet's size was known at an own read
	misses   int                       // reads made without a list
}

// New returns a Member that knows nothing yet.
func New(o Options) *Member {
	if o.Log == nil {
		o.Log = log.NewNopLogger()
	}
	if o.Notify == nil {
		o.Notify = func() {}
	}
	m := &Member{
		options:  o,
		book:     ticket.NewBook(o.Settle, o.Seal),
		roster:   newRoster(),
		evidence: &evidence{keep: o.Keep, crashes: make(map[string]crash)},
		wake:     make(chan struct{}, 1),
		duties:   make(map[key]*duty),
		outboxes: make(map[string]*outbox),
		known:    make(map[string]*peerpb.Digest),
		noted:    make(map[string]clock.Time),
	}
	m.begin(o.Clock.Now())
	return m
}

// State returns the configuration in force, which is never nil.
func (m *Member) State() *ticket.State {
	return m.book.State()
}

// Ready tells whether the process has ever had a configuration.
func (m *Member) Ready() bool {
	return m.book.Ready()
}

// Book returns the tickets that the process holds.
func (m *Member) Book() *ticket.Book {
	return m.book
}

// List returns the newest list of instances known, which is never nil.
func (m *Member) List() *platform.List {
	return m.roster.list.Load()
}

// Digest names what the process knows.
func (m *Member) Digest() *peerpb.Digest {
	s := m.book.State()
	return &peerpb.Digest{Number: uint64(s.Number), Hash: s.Hash, List: m.List().Version}
}

// AddEvidence takes in the evidence of crashes, and spreads what is new.
func (m *Member) AddEvidence(all ...*peerpb.Evidence) {
	fresh := m.evidence.add(m.options.Clock.Now(), all)
	if len(fresh) == 0 {
		return
	}
	m.post("", func(o *outbox) { o.tell(fresh) })
	m.options.Notify()
}

// Evidence returns the crashes heard of that have not expired, newest first, with their ages in milliseconds.
func (m *Member) Evidence() []*peerpb.Evidence {
	return m.evidence.list(m.options.Clock.Now(), MaxEvidence)
}

// Heard takes in a digest that came with another call, and looks into it where this process lacks something.
func (m *Member) Heard(d *peerpb.Digest, address string) {
	if d == nil || address == "" || !m.lacks(d) {
		return
	}
	now := m.options.Clock.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.disputes(d) {
		if now < m.dispute {
			return
		}
		m.dispute = now.Add(m.doubt)
		m.doubt = min(2*m.doubt, maxDoubt)
	}
	if _, waiting := m.duties[key{pull, address}]; waiting || m.pulls() >= maxPulls {
		return
	}
	m.known[address] = d
	m.duties[key{pull, address}] = &duty{next: now}
	m.rouse()
}

// lacks tells whether a digest names something that this process doesn't have.
func (m *Member) lacks(d *peerpb.Digest) bool {
	if d.GetList() > m.List().Version || m.disputes(d) {
		return true
	}
	return d.GetNumber() > uint64(m.State().Number) && d.GetNumber() > uint64(m.book.Seen())
}

// disputes tells whether a digest names another state with the number in force here.
func (m *Member) disputes(d *peerpb.Digest) bool {
	s := m.State()
	return d.GetNumber() == uint64(s.Number) && d.GetHash() != s.Hash
}
