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

// exchange compares with the next neighbour, or asks any peer while there is no configuration.
func (m *Member) exchange(ctx context.Context) (wait clock.Span) {
	if address := m.partner(); address != "" {
		m.converse(ctx, address)
	}
	return m.exchangeWait()
}

func (m *Member) exchangeWait() clock.Span {
	if m.Ready() {
		return m.jitter(m.options.Gossip)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	doublings := min(m.attempts, coldDoublings)
	m.attempts++
	return m.jitter(firstCold << doublings)
}

// partner chooses whom to exchange with next: a neighbour in turn, or without a configuration a seed and any
// instance by turns, as a list may name few that are alive.
func (m *Member) partner() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.replan(m.options.Clock.Now())
	if !m.Ready() && m.attempts%2 == 1 {
		if address := m.anyone(); address != "" {
			return address
		}
	}
	if all := m.plan.neighbours; m.Ready() && len(all) > 0 {
		m.plan.turn++
		return all[m.plan.turn%len(all)]
	}
	return m.anySeed()
}

// anyone returns the address of some other instance of the list, if there is one.
func (m *Member) anyone() string {
	l := m.plan.list
	if len(l.Instances) == 0 {
		return ""
	}
	if i := l.Instances[m.pick(len(l.Instances))]; i.Peer != m.options.Self.Peer {
		return i.Peer
	}
	return ""
}

// anySeed returns the address of a seed, or of any instance where there is none but this process.
func (m *Member) anySeed() string {
	others := slices.DeleteFunc(slices.Clone(m.options.Seeds), func(s string) bool { return s == m.options.Self.Peer })
	if len(others) == 0 {
		return m.anyone()
	}
	return others[m.pick(len(others))]
}

func (m *Member) pick(count int) int {
	return min(int(m.options.Random()*float64(count)), count-1)
}

// converse exchanges with a peer until neither lacks what the other has.
func (m *Member) converse(ctx context.Context, address string) {
	if m.disputed(address) {
		m.compare(ctx, address)
	}
	for range maxRounds {
		seen, version := m.book.Seen(), m.List().Version
		r, err := m.call(ctx, address, m.request())
		if err != nil {
			return
		}
		if m.book.Seen() == seen && m.List().Version == version || !m.lacks(r.GetDigest()) {
			m.give(ctx, address, r.GetDigest())
			return
		}
	}
}

// disputed tells whether a peer last named another state with the number in force here.
func (m *Member) disputed(address string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	d := m.known[address]
	return d != nil && m.disputes(d)
}

// compare finds the tickets that a peer judges otherwise, and shows it the rivals, so that both sides report them.
func (m *Member) compare(ctx context.Context, address string) {
	m.fetch(ctx, address)
	rivals := m.book.Conflicting(m.options.Clock.Now(), maxMessage)
	if len(rivals) == 0 {
		return
	}
	q := m.request()
	q.Tickets = passed(rivals)
	_, _ = m.call(ctx, address, q) // counted there; the next exchange tries again
}

// fetch asks for all tickets that a peer holds, part by part, as any of them may have a rival here.
func (m *Member) fetch(ctx context.Context, address string) {
	after := uint64(m.book.Base())
	for range maxRounds {
		q := m.request()
		q.After = after
		r, err := m.call(ctx, address, q)
		if err != nil || len(r.GetTickets()) == 0 {
			return
		}
		last := r.GetTickets()[len(r.GetTickets())-1].GetNumber()
		if last <= after {
			return
		}
		after = last
	}
}

// request asks a peer for what this process lacks.
func (m *Member) request() *peerpb.SyncRequest {
	now := m.options.Clock.Now()
	q := &peerpb.SyncRequest{
		Name:     m.options.Self.Name,
		Address:  m.options.Self.Peer,
		Digest:   m.Digest(),
		After:    uint64(m.book.Seen()),
		Evidence: m.evidence.part(now, passedEvidence),
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.whole {
		q.Digest.List = 0
	}
	return q
}

// give sends a peer what its digest lacks.
func (m *Member) give(ctx context.Context, address string, d *peerpb.Digest) {
	now := m.options.Clock.Now()
	q := &peerpb.SyncRequest{Name: m.options.Self.Name, Address: m.options.Self.Peer, Digest: m.Digest()}
	q.After = uint64(m.book.Seen())
	room := maxMessage
	var err error
	if d.GetNumber() < q.Digest.GetNumber() {
		if q.Tickets, err = m.ticketsFor(now, d, ticket.Number(d.GetNumber()), &room); err != nil {
			m.note("collect tickets", err)
			return
		}
	}
	if q.Instances, err = m.instancesFor(d, room); err != nil {
		m.note("collect instances", err)
		return
	}
	if len(q.Tickets) > 0 || len(q.Instances) > 0 {
		_, _ = m.call(ctx, address, q) // counted there; the next exchange tries again
	}
}

// push tells a neighbour what is in its outbox.
func (m *Member) push(ctx context.Context, address string) {
	m.mutex.Lock()
	o := m.outboxes[address]
	delete(m.outboxes, address)
	d := m.known[address]
	m.mutex.Unlock()
	if o == nil {
		return
	}
	q := &peerpb.SyncRequest{
		Name: m.options.Self.Name, Address: m.options.Self.Peer, Digest: m.Digest(),
		Tickets: o.tickets, Evidence: o.evidence, After: uint64(m.book.Seen()),
	}
	if o.digest && d.GetList() > 0 {
		content, err := m.instancesFor(d, eagerBytes)
		if err != nil {
			m.note("collect instances", err)
		}
		q.Instances = content
	}
	r, err := m.call(ctx, address, q)
	if err != nil {
		m.putBack(address, o)
		return
	}
	m.Heard(r.GetDigest(), address)
}

// putBack keeps what a neighbour was not told for another try; after the last one, exchanges have to do.
func (m *Member) putBack(address string, o *outbox) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if o.tries++; o.tries > maxTries || !slices.Contains(m.plan.neighbours, address) {
		return
	}
	if later := m.outboxes[address]; later != nil {
		o.tickets = append(o.tickets, later.tickets...)
		o.evidence = append(o.evidence, later.evidence...)
		o.digest = o.digest || later.digest
	}
	o.tickets = o.tickets[:min(len(o.tickets), maxOutbox)]
	o.evidence = o.evidence[:min(len(o.evidence), maxOutbox)]
	m.outboxes[address] = o
}

// call makes one call to a peer and takes in its reply.
func (m *Member) call(ctx context.Context, address string, q *peerpb.SyncRequest) (r *peerpb.SyncReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout.Duration())
	defer cancel()
	m.Counters.Exchanges.Add(1)
	m.Counters.Sent.Add(uint64(proto.Size(q)))
	r, err = m.options.Call(ctx, address, q)
	if err != nil {
		m.Counters.Failures.Add(1)
		m.note("call peer", err)
		return nil, errors.Wrap(err, "call peer")
	}
	m.Counters.Received.Add(uint64(proto.Size(r)))
	m.hear(address, r.GetDigest())
	m.take(address, r.GetTickets(), r.GetInstances(), r.GetEvidence())
	return r, nil
}
