package gateway

import (
	"github.com/go-kit/log/level"

	"carawaypick/pkg/clock"
)

// cost returns the memory in bytes that the heartbeat takes as the last one of a peer.
func (hb heartbeat) cost() int64 {
	return int64(hb.size) * peerCostFactor
}

// takeMemory takes the memory of a heartbeat instead of that of the peer's last one, nil for a peer that is not known. It forgets peers
// that are silent, and reports whether there is room; mu is held.
func (p *PeerSet) takeMemory(peer *peerState, hb heartbeat, now clock.Time) bool {
	if p.Memory == nil {
		return true
	}
	more := hb.cost()
	if peer != nil {
		more -= peer.cost
	}
	if more <= 0 {
		p.Memory.Release(-more)
		return true
	}
	for {
		if p.Memory.Take(more) == nil {
			return true
		}
		ip, found := p.longestSilent(hb.IP, now)
		if !found {
			p.limited.Log("peers", "level", level.WarnValue(), "msg", "no memory for the heartbeat of a peer, dropping it", "peer", hb.Name, "ip", hb.IP, "bytes", hb.size)
			return false
		}
		p.loads.SetPeerInFlight(ip, nil)
		delete(p.targets, ip)
		p.forget(ip)
	}
}

// longestSilent returns the IP address of the peer that has been silent longest and is not alive; found is false if there is none but
// the one with the address except. mu is held.
func (p *PeerSet) longestSilent(except string, now clock.Time) (ip string, found bool) {
	oldest := now
	for other, peer := range p.peers {
		if other != except && now.Sub(peer.lastSeen) > peerTimeout && peer.lastSeen < oldest {
			ip, oldest, found = other, peer.lastSeen, true
		}
	}
	return ip, found
}

// forget removes a peer and gives back its memory; mu is held.
func (p *PeerSet) forget(ip string) {
	peer := p.peers[ip]
	if peer == nil {
		return
	}
	delete(p.peers, ip)
	if p.Memory != nil {
		p.Memory.Release(peer.cost)
	}
}
