package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"carawaypick/internal/balance"
	"carawaypick/internal/datagram"
	"carawaypick/internal/engine"
	"carawaypick/internal/lifecycle"
	"carawaypick/internal/memory"
	"carawaypick/internal/store"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

const (
	restartSilence          = 500 * clock.Millisecond  // time without a heartbeat after which one that looks older is of the next incarnation, started with its clock behind
	heartbeatInterval       = 100 * clock.Millisecond  // least interval between two heartbeats; Notify sends one earlier
	intervalPerPeer         = 12 * clock.Millisecond   // least interval per target, which bounds the send rate in a large peer set
	maxTargets              = 24                       // peers that one heartbeat is sent to; the next one goes to others
	reservedForUnresponsive = 3                        // targets of each heartbeat that are unresponsive peers, since these may have recovered; more if the live peers leave targets unused
	maxRelayed              = 2 * maxTargets           // maximum number of peer ages in one heartbeat: about twice the heartbeats received between two sends
	maxRelayAge             = 600 * clock.Millisecond  // longest age at which a heartbeat is relayed: about two heartbeat intervals at maxTargets targets
	peerTimeout             = 1500 * clock.Millisecond // time without a heartbeat after which a peer isn't listed to callers and its requests don't count
	peerExpiry              = time.Minute              // time without a heartbeat after which a peer is removed from the peer set
	memberExpiry            = 10 * clock.Minute        // time without a sign of an entry after which no part of a server's rate is kept for it
	settleTime              = clock.Second             // for an entry that starts to learn of all others
	aloneTime               = 10 * clock.Second        // after which an entry that heard no other since its start counts as the only one
	maxKnownPeers           = 4096                     // IP addresses that relayed heartbeats add, ten times the entries of the largest fleet
	maxStoreReaders         = 3                        // entries that read the store, so that two of them may fail with hardly any effect
)

// peerState is the last known state of a peer.
type peerState struct {
	lastMessage heartbeat
	lastSeen    clock.Time // last direct or relayed heartbeat
	lastDirect  clock.Time // last heartbeat received from the peer itself
	alive       bool
	cost        int64 // bytes of memory
}

// PeerSet exchanges heartbeats with the other entries and tracks which of them are alive.
type PeerSet struct {
	clock      clock.Clock
	logger     log.Logger
	limited    *telemetry.RateLimitedLogger // for messages that can't be used, which may come as fast as the link carries them
	loads      *LoadTracker
	name       string
	ip         string
	port       int
	self       func() heartbeat                    // returns this entry's heartbeat
	memberList func(memberQuery) engine.MemberList // returns the group of an engine
	sendNow    chan struct{}                       // requests a heartbeat before the interval ends

	Updates    chan struct{}   // signals that a peer has reached a later position
	Heard      chan struct{}   // signals that a peer has started, become ready or taken another configuration
	OnEvidence func(heartbeat) // receives each heartbeat for its evidence of crashes; nil for none

	OnRates   func(heartbeat) // receives each heartbeat with rates of backend servers; nil for none
	OnLeaving func(heartbeat) // receives each heartbeat with backend servers that leave or take requests again; nil for none

	OnCapacity func(heartbeat) // receives each heartbeat with samples of backend servers; nil for none

	OnConfirmation func(changed store.Position, c confirmation) // receives how old the state of each sender is; nil for none

	Memory *memory.Share // for the state of peers; nil for no limit

	OnDemand func(heartbeat) // receives each heartbeat with the demand at its sender; nil for none

	mu       sync.Mutex
	sequence uint64
	peers    map[string]*peerState // by IP address
	targets  map[string]clock.Time // IP addresses to send to, with the time of the last heartbeat or discovery
	pending  []string              // live targets that were not yet sent a heartbeat in the current round
	seeds    []string              // IP addresses of the seeds but for this entry
	members  map[string]clock.Time // IP addresses of the other entries that were ever heard or relayed, with the time
	heard    bool                  // a peer was heard since the start
	start    clock.Time

	entries atomic.Pointer[balance.EntrySet]

	lastGreeting clock.Time // last heartbeat sent early because a peer starts
}

// NewPeerSet returns a peer set whose only targets are the seeds of s.
func NewPeerSet(s Settings, c clock.Clock, logger log.Logger, loads *LoadTracker, self func() heartbeat, memberList func(memberQuery) engine.MemberList) *PeerSet {
	p := &PeerSet{
		clock: c, logger: logger, limited: &telemetry.RateLimitedLogger{Logger: logger, Clock: c}, loads: loads, ip: s.IP, port: s.InternalPorts[0], self: self, memberList: memberList,
		sendNow: make(chan struct{}, 1), Updates: make(chan struct{}, 1), Heard: make(chan struct{}, 1),
		peers: make(map[string]*peerState), targets: make(map[string]clock.Time),
		members: make(map[string]clock.Time), start: c.Now(), name: s.Name,
	}
	p.AddSeeds(s)
	p.updateEntries()
	return p
}

// AddSeeds adds the seeds of s to the targets.
func (p *PeerSet) AddSeeds(s Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = nil
	for _, host := range s.seedAddresses(p.logger) {
		if host != s.IP {
			p.targets[host] = p.clock.Now()
			p.seeds = append(p.seeds, host)
		}
	}
}

// Run sends and receives heartbeats on the UDP socket until ctx ends; it returns an error if it can't open the socket.
func (p *PeerSet) Run(ctx context.Context, ip string) (err error) {
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(ip, strconv.Itoa(p.port)))
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	received := lifecycle.Start(ctx, func(ctx context.Context) error {
		p.receive(ctx, conn)
		return nil
	})
	for {
		p.send(conn)
		select {
		case <-ctx.Done():
			return <-received
		case err := <-received:
			return err
		case <-p.sendNow:
		case <-time.After(p.interval().Duration()):
		}
	}
}

// Notify sends a heartbeat without waiting for the interval to end, because this entry has newer state.
func (p *PeerSet) Notify() {
	wake(p.sendNow)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// interval returns the time in ms between two heartbeats.
func (p *PeerSet) interval() clock.Span {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(heartbeatInterval, intervalPerPeer*clock.Span(min(len(p.targets), maxTargets)))
}

// nextMessage returns the next heartbeat and the IP addresses to send it to.
func (p *PeerSet) nextMessage() (message heartbeat, targets []string) {
	message = p.self()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	p.updateEntries()
	p.sequence++
	message.Number = p.sequence
	now := p.clock.Now()
	for ip, peer := range p.peers {
		if age := now.Sub(peer.lastDirect); peer.alive && age <= maxRelayAge && len(message.Heard) < maxRelayed {
			if h, ok := newHeardPeer(peerAge{IP: ip, Age: age}); ok {
				message.Heard = append(message.Heard, h)
			}
		}
	}
	return message, p.nextTargets()
}

// nextTargets returns the next peers to send to, at most maxTargets: live ones in random rounds, and some unresponsive
// ones, which may have recovered; mu is held.
func (p *PeerSet) nextTargets() (targets []string) {
	var alive, unresponsive []string
	for ip := range p.targets {
		if p.unresponsive(ip) {
			unresponsive = append(unresponsive, ip)
		} else {
			alive = append(alive, ip)
		}
	}
	p.pending = slices.DeleteFunc(p.pending, p.unresponsive)
	if len(p.pending) == 0 {
		p.pending = alive
		rand.Shuffle(len(p.pending), func(i, j int) { p.pending[i], p.pending[j] = p.pending[j], p.pending[i] })
	}
	rand.Shuffle(len(unresponsive), func(i, j int) { unresponsive[i], unresponsive[j] = unresponsive[j], unresponsive[i] })
	unresponsive = unresponsive[:min(len(unresponsive), max(reservedForUnresponsive, maxTargets-len(alive)))]
	count := min(len(p.pending), maxTargets-min(len(unresponsive), reservedForUnresponsive))
	targets = append(unresponsive, p.pending[:count]...)
	p.pending = p.pending[count:]
	return targets
}

// unresponsive reports whether the peer has sent heartbeats before but timed out; mu is held.
func (p *PeerSet) unresponsive(ip string) bool {
	peer := p.peers[ip]
	return peer != nil && !peer.alive
}

func (p *PeerSet) send(conn net.PacketConn) {
	message, targets := p.nextMessage()
	content, err := datagram.Encode(message)
	if err != nil {
		level.Error(p.logger).Log("msg", "heartbeat not encoded, sending none", "error", err)
		return
	}
	for _, ip := range targets {
		address := &net.UDPAddr{IP: net.ParseIP(ip), Port: p.port}
		if _, err := conn.WriteTo(content, address); err != nil {
			level.Debug(p.logger).Log("msg", "heartbeat to a peer not sent", "peer", ip, "error", err)
		}
	}
}

func (p *PeerSet) receive(ctx context.Context, conn net.PacketConn) {
	buffer := make([]byte, datagram.MaxSize)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			level.Warn(p.logger).Log("msg", "peer message not received", "error", err)
			continue
		}
		var hb heartbeat
		content, err := datagram.Expand(buffer[:n])
		if err == nil {
			err = datagram.Decode(content, &hb)
		}
		if err == nil && hb.Ask != "" {
			p.sendMemberList(conn, from, memberQuery{address: hb.Ask, group: hb.AskGroup, service: hb.AskService})
			continue
		}
		if err == nil {
			err = hb.limit()
		}
		hb.size = len(content)
		if err != nil {
			p.limited.Log("dropped", "level", level.WarnValue(), "msg", "peer message cannot be decoded, dropping it", "from", from, "bytes", n, "error", err)
			continue
		}
		p.handleHeartbeat(hb)
	}
}

// sendMemberList sends an agent the group of its engine.
func (p *PeerSet) sendMemberList(conn net.PacketConn, to net.Addr, query memberQuery) {
	r := p.memberList(query)
	content, err := datagram.Encode(struct{ Roster engine.MemberList }{r})
	if err != nil {
		level.Error(p.logger).Log("msg", "member list not encoded, sending none to the agent", "error", err)
		return
	}
	if _, err := conn.WriteTo(content, to); err != nil {
		level.Debug(p.logger).Log("msg", "member list not sent to an agent", "agent", to, "error", err)
	}
}

// handleHeartbeat updates the sender's state; it drops messages of an earlier incarnation and reordered ones. Incarnations
// are ordered by wall clock, which may have been set back: one that sends while the other is silent is the present one.
func (p *PeerSet) handleHeartbeat(hb heartbeat) {
	if p.OnEvidence != nil && hb.Evidence != 0 {
		p.OnEvidence(hb)
	}
	if !p.updatePeer(hb) {
		return
	}
	if p.OnRates != nil && len(hb.Rates) > 0 {
		p.OnRates(hb)
	}
	if p.OnLeaving != nil && len(hb.Leaving)+len(hb.Taking) > 0 {
		p.OnLeaving(hb)
	}
	if p.OnDemand != nil && len(hb.Demand) > 0 {
		p.OnDemand(hb)
	}
	if p.OnCapacity != nil && len(hb.Capacity) > 0 {
		p.OnCapacity(hb)
	}
	if p.OnConfirmation != nil {
		p.OnConfirmation(hb.position(), hb.Confirmed)
	}
}

// updatePeer updates the sender's state unless the message is of an earlier incarnation or reordered, which it reports.
func (p *PeerSet) updatePeer(hb heartbeat) (updated bool) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[hb.IP]
	if !p.takeMemory(peer, hb, now) {
		if peer != nil { // it lives, but its state stays that of its last message
			peer.lastSeen, peer.lastDirect, p.targets[hb.IP] = now, now, now
		}
		return false
	}
	if peer == nil {
		peer = &peerState{}
		p.peers[hb.IP] = peer
	}
	peer.cost = hb.cost()
	last := peer.lastMessage
	if hb.Born < last.Born || (hb.Born == last.Born && hb.Number <= last.Number) {
		if now.Sub(peer.lastDirect) < restartSilence {
			if hb.Born != last.Born {
				level.Info(p.logger).Log("msg", "heartbeat is of an earlier incarnation, dropping it", "peer", hb.Name, "ip", hb.IP, "born", hb.Born, "known", last.Born)
			}
			return false
		}
		level.Warn(p.logger).Log("msg", "peer restarted with its clock behind", "peer", hb.Name, "ip", hb.IP, "born", hb.Born, "before", last.Born,
			"number", hb.Number, "silent", now.Sub(peer.lastDirect))
	}
	if !peer.alive || hb.Ready != peer.lastMessage.Ready || hb.Born != peer.lastMessage.Born {
		level.Info(logAt(p.logger, hb.position())).Log("msg", "peer heard", "peer", hb.Name, "ip", hb.IP, "ready", hb.Ready, "born", hb.Born)
	}
	if hb.position().After(peer.lastMessage.position()) {
		wake(p.Updates)
	}
	if !peer.alive || hb.Ready != peer.lastMessage.Ready || hb.Born != peer.lastMessage.Born || hb.Version != peer.lastMessage.Version {
		wake(p.Heard)
	}
	if hb.Born != peer.lastMessage.Born && !hb.Ready {
		p.greet(hb.IP, now)
	}
	joined := !peer.alive
	peer.lastMessage, peer.lastSeen, peer.lastDirect, peer.alive = hb, now, now, true
	p.targets[hb.IP], p.members[hb.IP], p.heard = now, now, true
	for _, relay := range hb.Known {
		p.handleRelayed(now, relay)
	}
	for _, relay := range hb.Heard {
		p.handleRelayed(now, relay.peerAge())
	}
	if joined {
		p.updateEntries()
	}
	p.loads.SetPeerInFlight(hb.IP, hb.Flights)
	return true
}

// handleRelayed adds an unknown relayed peer to the targets and, if the peer is alive, updates the time at which it was
// last seen; mu is held.
func (p *PeerSet) handleRelayed(now clock.Time, relay peerAge) {
	if relay.IP == p.ip {
		return
	}
	if _, known := p.targets[relay.IP]; !known {
		if len(p.targets) >= maxKnownPeers {
			return
		}
		p.targets[relay.IP] = now
	}
	p.members[relay.IP] = now
	if peer := p.peers[relay.IP]; peer != nil && peer.alive {
		peer.lastSeen = max(peer.lastSeen, now.Add(-relay.Age))
		p.targets[relay.IP] = max(p.targets[relay.IP], peer.lastSeen)
	}
}

// expire marks peers that timed out as not alive and removes those without a heartbeat for peerExpiry, but never the
// last target; mu is held.
func (p *PeerSet) expire() {
	now := p.clock.Now()
	for ip, peer := range p.peers {
		if peer.alive && now.Sub(peer.lastSeen) > peerTimeout {
			peer.alive = false
			p.loads.SetPeerInFlight(ip, nil)
			level.Info(p.logger).Log("msg", "peer silent", "peer", peer.lastMessage.Name, "ip", ip, "age", now.Sub(peer.lastSeen))
		}
	}
	for ip, lastSeen := range p.targets {
		if len(p.targets) > 1 && now.Sub(lastSeen).Duration() > peerExpiry {
			delete(p.targets, ip)
			p.forget(ip)
		}
	}
}
