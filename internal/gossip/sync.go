package gossip

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
	// maxSyncBytes bounds the tickets and instances in a message, below the 4 MB limit of gRPC.
	maxSyncBytes = 3<<20 + 512<<10
	// maxPushBytes is the longest content in bytes that is pushed; of a longer ticket only the number is pushed.
	maxPushBytes = 16 << 10
	// maxSyncRounds bounds the consecutive requests to a peer that has more to send.
	maxSyncRounds = 16
	// syncTimeout bounds one call to a peer.
	syncTimeout = 2 * clock.Second
	// maxPushRetries bounds the retries of a push; pushRetryInterval is the mean wait before the first retry and doubles with each.
	maxPushRetries    = 4
	pushRetryInterval = 100 * clock.Millisecond
	// maxOutbox bounds the tickets, and separately the reports, that are queued for one neighbour.
	maxOutbox = 64
)

// outbox holds the updates that are queued for one neighbour.
type outbox struct {
	tickets     []*peerpb.Ticket
	evidence    []*peerpb.Evidence
	listChanged bool
	failures    int // consecutive failed pushes
}

// addEvidence queues reports for the neighbour; those beyond maxOutbox follow with the next exchange.
func (o *outbox) addEvidence(fresh []*peerpb.Evidence) {
	free := max(maxOutbox-len(o.evidence), 0)
	o.evidence = append(o.evidence, fresh[:min(len(fresh), free)]...)
}

// enqueue adds an update to the outbox of each neighbour except the sender, and schedules the pushes.
func (m *Member) enqueue(from string, add func(*outbox)) {
	now := m.options.Clock.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.updatePlan(now)
	for _, address := range m.plan.neighbours {
		if address == from {
			continue
		}
		o := m.outboxes[address]
		if o == nil {
			o = &outbox{}
			m.outboxes[address] = o
		}
		add(o)
		if m.tasks[taskKey{taskPush, address}] == nil {
			m.tasks[taskKey{taskPush, address}] = &task{next: now}
		}
	}
	m.wakeLoop()
}

// addTicket records a ticket, queues it for the neighbours if it is new, and reports whether it is new.
func (m *Member) addTicket(now clock.Time, content []byte, age clock.Span, from string) (fresh bool) {
	before := m.State()
	fresh, err := m.tickets.Add(now, content, age)
	if err != nil {
		m.rejectInput("ticket rejected", err)
	}
	if fresh {
		m.pushTicket(now, content, age, from)
		m.scheduleAudit()
	}
	if m.State() != before {
		m.stateChanged()
	}
	return fresh
}

// pushTicket queues a new ticket for the neighbours, or only its number if it exceeds maxPushBytes.
func (m *Member) pushTicket(now clock.Time, content []byte, age clock.Span, from string) {
	n, err := ticket.NumberOf(content)
	if err != nil {
		return // not reached: the ticket store rejects a ticket without a number
	}
	t := &peerpb.Ticket{Number: uint64(n), Content: content}
	if len(content) > maxPushBytes {
		t.Content = nil
	}
	first := now.Add(-age)
	m.enqueue(from, func(o *outbox) {
		if len(o.tickets) < maxOutbox {
			aged := proto.CloneOf(t)
			aged.Age = uint64(m.options.Clock.Since(first))
			o.tickets = append(o.tickets, aged)
		}
	})
}

func (m *Member) advanceTickets() {
	if m.tickets.Advance(m.options.Clock.Now()) {
		m.stateChanged()
	}
}

// stateChanged resets the conflict backoff and notifies the owner after a change of the active state.
func (m *Member) stateChanged() {
	m.mutex.Lock()
	m.conflictBackoff = m.options.GossipInterval
	m.mutex.Unlock()
	m.options.OnUpdate()
}

// listChanged queues a new instance list for the neighbours and notifies the owner.
func (m *Member) listChanged(from string) {
	m.mutex.Lock()
	m.fullListWanted = false
	m.mutex.Unlock()
	m.enqueue(from, func(o *outbox) { o.listChanged = true })
	m.options.OnUpdate()
}

// Sync serves a peer: it applies what the peer sends and returns what the peer lacks.
func (m *Member) Sync(_ context.Context, req *peerpb.SyncRequest) (reply *peerpb.SyncReply, err error) {
	defer func() { err = errors.Wrap(err, "serve sync") }()
	m.Counters.BytesReceived.Add(uint64(proto.Size(req)))
	m.recordContact(req.GetAddress(), req.GetDigest())
	m.applyMessage(req.GetAddress(), req.GetTickets(), req.GetInstances(), req.GetEvidence())
	now := m.options.Clock.Now()
	reply = &peerpb.SyncReply{Digest: m.Digest()}
	remaining := maxSyncBytes
	if reply.Tickets, err = m.ticketsFor(now, req.GetDigest(), ticket.Number(req.GetAfter()), &remaining); err != nil {
		return nil, err
	}
	if reply.Instances, err = m.instancesFor(req.GetDigest(), remaining); err != nil {
		return nil, err
	}
	reply.Evidence = m.evidenceFor(now, req.GetDigest())
	m.ReceiveDigest(req.GetDigest(), req.GetAddress())
	m.Counters.BytesSent.Add(uint64(proto.Size(reply)))
	return reply, nil
}

func (m *Member) recordContact(address string, d *peerpb.Digest) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastSeen = m.options.Clock.Now()
	if slices.Contains(m.plan.neighbours, address) && d != nil {
		m.peerDigests[address] = d
	}
}

// applyMessage applies each part of a message on its own, so that an invalid part doesn't affect the others.
func (m *Member) applyMessage(from string, tickets []*peerpb.Ticket, instances []byte, all []*peerpb.Evidence) {
	now := m.options.Clock.Now()
	for _, t := range tickets {
		m.applyTicket(now, from, t)
	}
	if len(instances) > 0 {
		m.applyInstances(from, instances)
	}
	if fresh := m.evidence.add(now, all); len(fresh) > 0 {
		m.enqueue(from, func(o *outbox) { o.addEvidence(fresh) })
		m.options.OnUpdate()
	}
}

func (m *Member) applyTicket(now clock.Time, from string, t *peerpb.Ticket) {
	if t.GetSnapshot() {
		changed, err := m.tickets.AddSnapshot(now, t.GetContent())
		if err != nil {
			m.rejectInput("snapshot rejected", err)
		}
		if changed {
			m.stateChanged()
		}
		return
	}
	if len(t.GetContent()) == 0 {
		m.pullAnnounced(now, from, ticket.Number(t.GetNumber()))
		return
	}
	m.addTicket(now, t.GetContent(), clock.Span(min(t.GetAge(), maxTicketAge)), from)
}

// maxTicketAge bounds the age of a ticket in ms, so that the time of its first observation stays plausible.
const maxTicketAge = uint64(365 * 24 * clock.Hour)

// pullAnnounced schedules a pull of a long ticket of which only the number was pushed.
func (m *Member) pullAnnounced(now clock.Time, from string, n ticket.Number) {
	if from == "" || m.tickets.Has(n) {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.tasks[taskKey{taskPull, from}] == nil && m.pullCount() < maxPulls {
		m.tasks[taskKey{taskPull, from}] = &task{next: now}
		m.wakeLoop()
	}
}

func (m *Member) applyInstances(from string, content []byte) {
	changed, err := m.instances.apply(content)
	if errors.Is(err, errListMismatch) {
		m.mutex.Lock()
		m.fullListWanted = true
		m.mutex.Unlock()
	}
	if err != nil {
		m.rejectInput("instance list from peer rejected", err)
	}
	if changed {
		m.listChanged(from)
	}
}

// ticketsFor returns the tickets that a peer lacks, and subtracts their bytes from the remaining size.
func (m *Member) ticketsFor(now clock.Time, d *peerpb.Digest, after ticket.Number, remaining *int) (tickets []*peerpb.Ticket, err error) {
	if base := m.tickets.Base(); after < base && ticket.Number(d.GetNumber()) >= base {
		after = base // the peer already has all that a snapshot contains
	}
	items, err := m.tickets.After(now, after, *remaining)
	for _, i := range items {
		*remaining -= len(i.Content)
	}
	return toProto(items), err
}

// toProto converts tickets and snapshots to messages.
func toProto(items []ticket.Item) (tickets []*peerpb.Ticket) {
	for _, i := range items {
		tickets = append(tickets, &peerpb.Ticket{
			Number: uint64(i.Number), Content: i.Content, Age: uint64(max(i.Age, 0)), Snapshot: i.Snapshot,
		})
	}
	return tickets
}

// instancesFor returns the list changes that a peer lacks, or nothing if they exceed the remaining bytes.
func (m *Member) instancesFor(d *peerpb.Digest, remaining int) (content []byte, err error) {
	if d.GetList() >= m.List().Version {
		return nil, nil
	}
	content, err = m.instances.encodeSince(d.GetList())
	if len(content) > remaining {
		return nil, err
	}
	return content, err
}

func (m *Member) evidenceFor(now clock.Time, d *peerpb.Digest) []*peerpb.Evidence {
	if d.GetNumber() == 0 {
		return m.evidence.forMessage(now, MaxEvidence)
	}
	return m.evidence.forMessage(now, evidencePerExchange)
}
