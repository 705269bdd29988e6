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

// exchange synchronizes with the next peer and returns the wait before the next exchange.
func (m *Member) exchange(ctx context.Context) (wait clock.Span) {
	if address := m.nextPeer(); address != "" {
		m.syncWith(ctx, address)
	}
	return m.exchangeWait()
}

func (m *Member) exchangeWait() clock.Span {
	if m.Ready() {
		return m.jitter(m.options.GossipInterval)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	doublings := min(m.coldExchanges, maxColdDoublings)
	m.coldExchanges++
	return m.jitter(coldExchangeInterval << doublings)
}

// nextPeer returns the address of the peer for the next exchange: each neighbour in turn, or a random seed without
// neighbours. A process without a configuration alternates between seeds and random instances, because many of the listed
// instances may be dead.
func (m *Member) nextPeer() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.updatePlan(m.options.Clock.Now())
	if !m.Ready() && m.coldExchanges%2 == 1 {
		if address := m.randomInstance(); address != "" {
			return address
		}
	}
	if all := m.plan.neighbours; m.Ready() && len(all) > 0 {
		m.plan.exchangeCount++
		return all[m.plan.exchangeCount%len(all)]
	}
	return m.randomSeed()
}

// randomInstance returns the address of a random instance of the list, or "" if that is this process or the
// list is empty; mutex is held.
func (m *Member) randomInstance() string {
	l := m.plan.list
	if len(l.Instances) == 0 {
		return ""
	}
	if i := l.Instances[m.randomIndex(len(l.Instances))]; i.Peer != m.options.Self.Peer {
		return i.Peer
	}
	return ""
}

// randomSeed returns the address of a random seed, or of a random instance if no other process is a seed;
// mutex is held.
func (m *Member) randomSeed() string {
	others := slices.DeleteFunc(slices.Clone(m.options.Seeds), func(s string) bool { return s == m.options.Self.Peer })
	if len(others) == 0 {
		return m.randomInstance()
	}
	return others[m.randomIndex(len(others))]
}

func (m *Member) randomIndex(count int) int {
	return min(int(m.options.Random()*float64(count)), count-1)
}

// syncWith requests what this process lacks from a peer until it is up to date, and then sends what the peer lacks.
func (m *Member) syncWith(ctx context.Context, address string) {
	if m.peerConflicts(address) {
		m.exchangeConflicts(ctx, address)
	}
	for range maxSyncRounds {
		seen, version := m.tickets.LastContiguous(), m.List().Version
		reply, err := m.callPeer(ctx, address, m.newRequest())
		if err != nil {
			return
		}
		if m.tickets.LastContiguous() == seen && m.List().Version == version || !m.isBehind(reply.GetDigest()) {
			m.sendMissing(ctx, address, reply.GetDigest())
			return
		}
	}
}

// peerConflicts reports whether the last digest of a peer has the active number with another hash.
func (m *Member) peerConflicts(address string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	d := m.peerDigests[address]
	return d != nil && m.conflictsWith(d)
}

// exchangeConflicts fetches the tickets of a peer and sends it the conflicting contents, so that both sides report them.
func (m *Member) exchangeConflicts(ctx context.Context, address string) {
	m.fetchTickets(ctx, address)
	conflicting := m.tickets.Conflicting(m.options.Clock.Now(), maxSyncBytes)
	if len(conflicting) == 0 {
		return
	}
	req := m.newRequest()
	req.Tickets = toProto(conflicting)
	_, _ = m.callPeer(ctx, address, req) // callPeer counts and logs the failure; the next exchange retries
}

// fetchTickets fetches all tickets above the base from a peer, in parts, as any of them may conflict with a ticket of this
// process.
func (m *Member) fetchTickets(ctx context.Context, address string) {
	after := uint64(m.tickets.Base())
	for range maxSyncRounds {
		req := m.newRequest()
		req.After = after
		reply, err := m.callPeer(ctx, address, req)
		if err != nil || len(reply.GetTickets()) == 0 {
			return
		}
		last := reply.GetTickets()[len(reply.GetTickets())-1].GetNumber()
		if last <= after {
			return
		}
		after = last
	}
}

// newRequest returns a request for what this process lacks.
func (m *Member) newRequest() *peerpb.SyncRequest {
	now := m.options.Clock.Now()
	req := &peerpb.SyncRequest{
		Name:     m.options.Self.Name,
		Address:  m.options.Self.Peer,
		Digest:   m.Digest(),
		After:    uint64(m.tickets.LastContiguous()),
		Evidence: m.evidence.forMessage(now, evidencePerExchange),
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.fullListWanted {
		req.Digest.List = 0
	}
	return req
}

// sendMissing sends a peer the tickets and instances that its digest shows as missing.
func (m *Member) sendMissing(ctx context.Context, address string, d *peerpb.Digest) {
	now := m.options.Clock.Now()
	req := &peerpb.SyncRequest{Name: m.options.Self.Name, Address: m.options.Self.Peer, Digest: m.Digest()}
	req.After = uint64(m.tickets.LastContiguous())
	remaining := maxSyncBytes
	var err error
	if d.GetNumber() < req.Digest.GetNumber() {
		if req.Tickets, err = m.ticketsFor(now, d, ticket.Number(d.GetNumber()), &remaining); err != nil {
			m.logError("error collecting tickets for peer", err)
			return
		}
	}
	if req.Instances, err = m.instancesFor(d, remaining); err != nil {
		m.logError("error encoding instance list for peer", err)
		return
	}
	if len(req.Tickets) > 0 || len(req.Instances) > 0 {
		_, _ = m.callPeer(ctx, address, req) // callPeer counts and logs the failure; the next exchange retries
	}
}

// push sends a neighbour the updates in its outbox.
func (m *Member) push(ctx context.Context, address string) {
	m.mutex.Lock()
	o := m.outboxes[address]
	delete(m.outboxes, address)
	d := m.peerDigests[address]
	m.mutex.Unlock()
	if o == nil {
		return
	}
	req := &peerpb.SyncRequest{
		Name: m.options.Self.Name, Address: m.options.Self.Peer, Digest: m.Digest(),
		Tickets: o.tickets, Evidence: o.evidence, After: uint64(m.tickets.LastContiguous()),
	}
	if o.listChanged && d.GetList() > 0 {
		content, err := m.instancesFor(d, maxPushBytes)
		if err != nil {
			m.logError("error encoding instance list for peer", err)
		}
		req.Instances = content
	}
	reply, err := m.callPeer(ctx, address, req)
	if err != nil {
		m.requeue(address, o)
		return
	}
	m.ReceiveDigest(reply.GetDigest(), address)
}

// requeue keeps the outbox of a failed push for a retry; after maxPushRetries only exchanges deliver its updates.
func (m *Member) requeue(address string, o *outbox) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if o.failures++; o.failures > maxPushRetries || !slices.Contains(m.plan.neighbours, address) {
		return
	}
	if later := m.outboxes[address]; later != nil {
		o.tickets = append(o.tickets, later.tickets...)
		o.evidence = append(o.evidence, later.evidence...)
		o.listChanged = o.listChanged || later.listChanged
	}
	o.tickets = o.tickets[:min(len(o.tickets), maxOutbox)]
	o.evidence = o.evidence[:min(len(o.evidence), maxOutbox)]
	m.outboxes[address] = o
}

// callPeer sends one request to a peer and applies the reply.
func (m *Member) callPeer(ctx context.Context, address string, req *peerpb.SyncRequest) (reply *peerpb.SyncReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout.Duration())
	defer cancel()
	m.Counters.PeerCalls.Add(1)
	m.Counters.BytesSent.Add(uint64(proto.Size(req)))
	reply, err = m.options.SyncPeer(ctx, address, req)
	if err != nil {
		m.Counters.PeerCallFailures.Add(1)
		m.logError("peer call failed", err)
		return nil, errors.Wrap(err, "call peer")
	}
	m.Counters.BytesReceived.Add(uint64(proto.Size(reply)))
	m.recordContact(address, reply.GetDigest())
	m.applyMessage(address, reply.GetTickets(), reply.GetInstances(), reply.GetEvidence())
	return reply, nil
}
