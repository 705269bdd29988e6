package gateway

import "slices"

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

// Share returns the fraction of a limit over all entries that this entry may use without coordination; it never grows
// when peers time out.
func (p *PeerSet) Share() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 / (float64(max(p.maxAlive, minEntries)) + reservedShares)
}
