package member

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

const (
	// maxMessage is the room for tickets and instances in a message, below the 4 MB of gRPC.
	maxMessage = 3<<20 + 512<<10
	// eagerBytes is the longest content that is pushed; of a longer one only its number is.
	eagerBytes = 16 << 10
	// maxRounds is the number of exchanges in a row with a peer that has more to give.
	maxRounds = 16
	// peerTimeout is how long an exchange may take.
	peerTimeout = 2 * clock.Second
	// maxTries is the number of times that a push is tried again, and retryPause the mean wait before the first.
	maxTries   = 4
	retryPause = 100 * clock.Millisecond
	// maxOutbox is the number of tickets, and of crashes, that wait to be pushed to one neighbour.
	maxOutbox = 64
)

// outbox is what is to be pushed to one neighbour.
type outbox struct {
	tickets  []*peerpb.Ticket
	evidence []*peerpb.Evidence
	digest   bool
	tries    int // that failed
}

// tell adds evidence for the neighbour; what finds no room follows with the next exchange.
func (o *outbox) tell(fresh []*peerpb.Evidence) {
	room := max(maxOutbox-len(o.evidence), 0)
	o.evidence = append(o.evidence, fresh[:min(len(fresh), room)]...)
}

// post puts something into the outbox of each neighbour but the one it came from.
func (m *Member) post(from string, put func(*outbox)) {
	now := m.options.Clock.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.replan(now)
	for _, address := range m.plan.neighbours {
		if address == from {
			continue
		}
		o := m.outboxes[address]
		if o == nil {
			o = &outbox{}
			m.outboxes[address] = o
		}
		put(o)
		if m.duties[key{push, address}] == nil {
			m.duties[key{push, address}] = &duty{next: now}
		}
	}
	m.rouse()
}

// addTicket takes in a ticket, spreads it where it is new, and tells whether it is.
func (m *Member) addTicket(now clock.Time, content []byte, age clock.Span, from string) (fresh bool) {
	before := m.State()
	fresh, err := m.book.Add(now, content, age)
	if err != nil {
		m.refuse("add ticket", err)
	}
	if fresh {
		m.spread(now, content, age, from)
		m.auditSoon()
	}
	if m.State() != before {
		m.changed()
	}
	return fresh
}

// spread pushes a new ticket, or only its number where it is long.
func (m *Member) spread(now clock.Time, content []byte, age clock.Span, from string) {
	n, err := ticket.NumberOf(content)
	if err != nil {
		return // no book takes in a ticket without a number
	}
	t := &peerpb.Ticket{Number: uint64(n), Content: content}
	if len(content) > eagerBytes {
		t.Content = nil
	}
	first := now.Add(-age)
	m.post(from, func(o *outbox) {
		if len(o.tickets) < maxOutbox {
			aged := proto.CloneOf(t)
			aged.Age = uint64(m.options.Clock.Since(first))
			o.tickets = append(o.tickets, aged)
		}
	})
}

func (m *Member) advance() {
	if m.book.Advance(m.options.Clock.Now()) {
		m.changed()
	}
}

// changed follows a new state in force.
func (m *Member) changed() {
	m.mutex.Lock()
	m.doubt = m.options.Gossip
	m.mutex.Unlock()
	m.options.Notify()
}

// listChanged follows a new list.
func (m *Member) listChanged(from string) {
	m.mutex.Lock()
	m.whole = false
	m.mutex.Unlock()
	m.post(from, func(o *outbox) { o.digest = true })
	m.options.Notify()
}

// Sync serves a peer: it takes in what the peer sends and returns what the peer lacks.
func (m *Member) Sync(_ context.Context, q *peerpb.SyncRequest) (r *peerpb.SyncReply, err error) {
	defer func() { err = errors.Wrap(err, "serve sync") }()
	m.Counters.Received.Add(uint64(proto.Size(q)))
	m.hear(q.GetAddress(), q.GetDigest())
	m.take(q.GetAddress(), q.GetTickets(), q.GetInstances(), q.GetEvidence())
	now := m.options.Clock.Now()
	r = &peerpb.SyncReply{Digest: m.Digest()}
	room := maxMessage
	if r.Tickets, err = m.ticketsFor(now, q.GetDigest(), ticket.Number(q.GetAfter()), &room); err != nil {
		return nil, err
	}
	if r.Instances, err = m.instancesFor(q.GetDigest(), room); err != nil {
		return nil, err
	}
	r.Evidence = m.evidenceFor(now, q.GetDigest())
	m.Heard(q.GetDigest(), q.GetAddress())
	m.Counters.Sent.Add(uint64(proto.Size(r)))
	return r, nil
}

func (m *Member) hear(address string, d *peerpb.Digest) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.heard = m.options.Clock.Now()
	if slices.Contains(m.plan.neighbours, address) && d != nil {
		m.known[address] = d
	}
}

// take takes in what a peer sent, each part by itself, so that a bad one loses no other.
func (m *Member) take(from string, tickets []*peerpb.Ticket, instances []byte, all []*peerpb.Evidence) {
	now := m.options.Clock.Now()
	for _, t := range tickets {
		m.takeTicket(now, from, t)
	}
	if len(instances) > 0 {
		m.takeInstances(from, instances)
	}
	if fresh := m.evidence.add(now, all); len(fresh) > 0 {
		m.post(from, func(o *outbox) { o.tell(fresh) })
		m.options.Notify()
	}
}

func (m *Member) takeTicket(now clock.Time, from string, t *peerpb.Ticket) {
	if t.GetSnapshot() {
		changed, err := m.book.AddSnapshot(now, t.GetContent())
		if err != nil {
			m.refuse("add snapshot", err)
		}
		if changed {
			m.changed()
		}
		return
	}
	if len(t.GetContent()) == 0 {
		m.announced(now, from, ticket.Number(t.GetNumber()))
		return
	}
	m.addTicket(now, t.GetContent(), clock.Span(min(t.GetAge(), maxAge)), from)
}

// maxAge bounds the age of a ticket in ms, so that its first sight stays a sensible moment.
const maxAge = uint64(365 * 24 * clock.Hour)

// announced fetches a long ticket of which only the number was pushed.
func (m *Member) announced(now clock.Time, from string, n ticket.Number) {
	if from == "" || m.book.Has(n) {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.duties[key{pull, from}] == nil && m.pulls() < maxPulls {
		m.duties[key{pull, from}] = &duty{next: now}
		m.rouse()
	}
}

func (m *Member) takeInstances(from string, content []byte) {
	changed, err := m.roster.apply(content)
	if errors.Is(err, errDiffers) {
		m.mutex.Lock()
		m.whole = true
		m.mutex.Unlock()
	}
	if err != nil {
		m.refuse("take instances", err)
	}
	if changed {
		m.listChanged(from)
	}
}

// ticketsFor returns the tickets that a peer lacks, and subtracts their bytes from the room.
func (m *Member) ticketsFor(now clock.Time, d *peerpb.Digest, after ticket.Number, room *int) (tickets []*peerpb.Ticket, err error) {
	if base := m.book.Base(); after < base && ticket.Number(d.GetNumber()) >= base {
		after = base // it has no use for a snapshot
	}
	items, err := m.book.After(now, after, *room)
	for _, i := range items {
		*room -= len(i.Content)
	}
	return passed(items), err
}

// passed returns tickets in the form that peers exchange.
func passed(items []ticket.Item) (tickets []*peerpb.Ticket) {
	for _, i := range items {
		tickets = append(tickets, &peerpb.Ticket{
			Number: uint64(i.Number), Content: i.Content, Age: uint64(max(i.Age, 0)), Snapshot: i.Snapshot,
		})
	}
	return tickets
}

// instancesFor returns the list's changes that a peer lacks where they fit into the room.
func (m *Member) instancesFor(d *peerpb.Digest, room int) (content []byte, err error) {
	if d.GetList() >= m.List().Version {
		return nil, nil
	}
	content, err = m.roster.since(d.GetList())
	if len(content) > room {
		return nil, err
	}
	return content, err
}

func (m *Member) evidenceFor(now clock.Time, d *peerpb.Digest) []*peerpb.Evidence {
	if d.GetNumber() == 0 {
		return m.evidence.part(now, MaxEvidence)
	}
	return m.evidence.part(now, passedEvidence)
}
