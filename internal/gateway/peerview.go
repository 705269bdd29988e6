package gateway

import (
	"slices"

	"carawaypick/internal/balance"
)

// Costs returns the live peers' estimates in ms of what a request adds to a pass of the service's engines.
func (p *PeerSet) Costs(service string) (costs []float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		if cost := peer.lastMessage.Costs[service]; peer.alive && cost > 0 {
			costs = append(costs, cost)
		}
	}
	return costs
}

// ReadyAddresses returns the addresses at which the live, ready peers serve callers, sorted.
func (p *PeerSet) ReadyAddresses() (addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, peer := range p.peers {
		if peer.alive && peer.lastMessage.Ready && now.Sub(peer.lastSeen) <= peerTimeout {
			addresses = append(addresses, peer.lastMessage.Front)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// Entries returns the entries among which limits are divided, as this entry knows them; it takes no lock.
func (p *PeerSet) Entries() *balance.EntrySet {
	return p.entries.Load()
}

// updateEntries updates what Entries returns; mu is held.
func (p *PeerSet) updateEntries() {
	now := p.clock.Now()
	next := &balance.EntrySet{Self: p.name, Known: 1}
	for ip, seen := range p.members {
		if now.Sub(seen) > memberExpiry {
			delete(p.members, ip)
		}
	}
	next.Known += len(p.members)
	if p.settled() {
		next.Alive = append(next.Alive, p.name)
		for _, peer := range p.peers {
			if peer.alive {
				next.Alive = append(next.Alive, peer.lastMessage.Name)
			}
		}
		slices.Sort(next.Alive)
	}
	if old := p.entries.Load(); old == nil || old.Known != next.Known || !slices.Equal(old.Alive, next.Alive) {
		p.entries.Store(next)
	}
}

// settled reports whether this entry may know the others: it heard some and had the time to learn of all, or there are none.
// Entries that start at the same moment would otherwise each take the part of all. mu is held.
func (p *PeerSet) settled() bool {
	age := p.clock.Since(p.start)
	return (p.heard && age >= settleTime) || age >= aloneTime || len(p.seeds) == 0
}
