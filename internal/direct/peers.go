package direct

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"carawaypick/internal/datagram"
	"carawaypick/internal/engine"
	"carawaypick/internal/kernel"
	"carawaypick/pkg/clock"
)

const (
	beatPeriod    = 100 * clock.Millisecond  // between two messages to each peer
	beatShare     = 12 * clock.Millisecond   // for each peer that is told, so that a larger circle costs an entry no more
	beatTargets   = 24                       // most peers that one message goes to; the next one goes to others
	silentTargets = 3                        // of them, silent ones that may be back
	mostSigns     = 2 * beatTargets          // signs of life passed on in one message: a few more than come in between two
	relayWithin   = 600 * clock.Millisecond  // age up to which a peer's sign of life is passed on: about two periods
	silentAfter   = 1500 * clock.Millisecond // a peer that is silent so long is not named to callers and holds nothing
	forgetAfter   = time.Minute              // a peer that is silent so long gets no more messages
	maxDatagram   = 60 << 10                 // bytes
	maxFlights    = 2000                     // backend servers named in one message, which keeps it within a datagram
	sparePart     = 1.0                      // part of a sum over all entries that is kept for an entry nobody has heard of yet
	readers       = 3                        // entries that read the store, so that the loss of any two goes unnoticed
	leastParties  = 3                        // entries among which a sum is divided at least
)

// beat is what an entry tells the others about itself, by UDP.
type beat struct {
	Name     string
	Zone     string
	IP       string
	Front    string
	Control  string
	Born     int64 // Unix time in ms of its start
	Number   uint64
	Ready    bool
	Lost     bool               // the store does not answer it
	Revision int64              // of the store, up to which one must have read to know what it knows
	Flights  map[string]int     // its requests in flight by backend server
	Costs    map[string]float64 // ms that a request adds to a pass, by service
	Known    []sign             // the peers that it has heard itself lately

	Ask string // an agent asks for the group of its engine
}

// sign is a sign of life of a peer.
type sign struct {
	IP  string
	Age clock.Span // in ms since it was heard
}

// fellow is another entry.
type fellow struct {
	last  beat
	heard clock.Time // last own or relayed sign of life
	told  clock.Time // last message of its own
	alive bool
}

// Peers keeps the entries informed of one another.
type Peers struct {
	clock  clock.Clock
	logger log.Logger
	board  *Board
	ip     string
	port   int
	self   func() beat                       // what this entry says of itself
	roster func(engine string) engine.Roster // the group of an engine
	urgent chan struct{}                     // the others are to be told now

	News chan struct{} // a peer knows more than before

	mu      sync.Mutex
	number  uint64
	fellows map[string]*fellow    // by IP
	targets map[string]clock.Time // IPs to send to, with the moment of the last sign of them
	round   []string              // targets that are still to be told in this round
	most    int                   // most entries alive at one time
}

// NewPeers returns a circle that knows the seeds only.
func NewPeers(s Settings, c clock.Clock, logger log.Logger, board *Board, self func() beat, roster func(string) engine.Roster) *Peers {
	p := &Peers{
		clock: c, logger: logger, board: board, ip: s.IP, port: s.Ports[0], self: self, roster: roster,
		urgent: make(chan struct{}, 1), News: make(chan struct{}, 1),
		fellows: make(map[string]*fellow), targets: make(map[string]clock.Time), most: 1,
	}
	p.Seed(s)
	return p
}

// Seed adds the seeds of the settings to the entries that are told.
func (p *Peers) Seed(s Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, host := range s.seedHosts(p.logger) {
		if host != s.IP {
			p.targets[host] = p.clock.Now()
		}
	}
}

// Run sends and receives until ctx ends.
func (p *Peers) Run(ctx context.Context, ip string) (err error) {
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(ip, strconv.Itoa(p.port)))
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	received := kernel.Start(ctx, func(ctx context.Context) error {
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
		case <-p.urgent:
		case <-time.After(p.period().Duration()):
		}
	}
}

// Tell tells the others soon, since this entry knows more.
func (p *Peers) Tell() {
	signal(p.urgent)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Reads tells whether this entry is one of the few that read the store for all: the first of the living entries in an
// order that all share, in which those that the store does not answer come last. The argument tells whether it answers
// this one.
func (p *Peers) Reads(lost bool) bool {
	own := xxhash.Sum64String(p.ip)
	p.mu.Lock()
	defer p.mu.Unlock()
	before := 0
	for ip, f := range p.fellows {
		first := xxhash.Sum64String(ip) < own
		if f.last.Lost != lost {
			first = lost
		}
		if f.alive && first {
			before++
		}
	}
	return before < readers
}

// period returns the time between two messages to each peer.
func (p *Peers) period() clock.Span {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(beatPeriod, beatShare*clock.Span(min(len(p.targets), beatTargets)))
}

// Costs returns what the living peers have seen a request cost of a pass of the service's engines.
func (p *Peers) Costs(service string) (costs []float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.fellows {
		if cost := f.last.Costs[service]; f.alive && cost > 0 {
			costs = append(costs, cost)
		}
	}
	return costs
}

// compose returns the next message and the peers that it goes to.
func (p *Peers) compose() (message beat, targets []string) {
	message = p.self()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	p.number++
	message.Number = p.number
	now := p.clock.Now()
	for ip, f := range p.fellows {
		if age := now.Sub(f.told); f.alive && age <= relayWithin && len(message.Known) < mostSigns {
			message.Known = append(message.Known, sign{IP: ip, Age: age})
		}
	}
	return message, p.turn()
}

// turn returns the next peers to tell: living ones in turn, and in the places that are left a few silent ones, which may
// be back; mu is held.
func (p *Peers) turn() (targets []string) {
	var living, silent []string
	for ip := range p.targets {
		if p.silent(ip) {
			silent = append(silent, ip)
		} else {
			living = append(living, ip)
		}
	}
	p.round = slices.DeleteFunc(p.round, p.silent)
	if len(p.round) == 0 {
		p.round = living
		rand.Shuffle(len(p.round), func(i, j int) { p.round[i], p.round[j] = p.round[j], p.round[i] })
	}
	rand.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
	silent = silent[:min(len(silent), max(silentTargets, beatTargets-len(living)))]
	count := min(len(p.round), beatTargets-min(len(silent), silentTargets))
	targets = append(silent, p.round[:count]...)
	p.round = p.round[count:]
	return targets
}

// silent tells whether the peer was heard once and is not any more; mu is held.
func (p *Peers) silent(ip string) bool {
	f := p.fellows[ip]
	return f != nil && !f.alive
}

func (p *Peers) send(conn net.PacketConn) {
	message, targets := p.compose()
	content, err := datagram.Encode(message)
	if err != nil {
		level.Error(p.logger).Log("msg", "message to peers not sent", "error", err)
		return
	}
	for _, ip := range targets {
		address := &net.UDPAddr{IP: net.ParseIP(ip), Port: p.port}
		if _, err := conn.WriteTo(content, address); err != nil {
			level.Debug(p.logger).Log("msg", "message to a peer not sent", "peer", ip, "error", err)
		}
	}
}

func (p *Peers) receive(ctx context.Context, conn net.PacketConn) {
	buffer := make([]byte, datagram.Most)
	for ctx.Err() == nil {
		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			level.Warn(p.logger).Log("msg", "message of a peer not received", "error", err)
			continue
		}
		var b beat
		err = datagram.Decode(buffer[:n], &b)
		if err == nil && b.Ask != "" {
			p.answer(conn, from, b.Ask)
			continue
		}
		if err != nil || b.IP == "" {
			level.Warn(p.logger).Log("msg", "message of a peer can't be read", "from", from, "bytes", n, "error", err)
			continue
		}
		p.hear(b)
	}
}

// answer tells an agent the group of its engine.
func (p *Peers) answer(conn net.PacketConn, to net.Addr, address string) {
	r := p.roster(address)
	content, err := datagram.Encode(struct{ Roster engine.Roster }{r})
	if err != nil {
		level.Error(p.logger).Log("msg", "group not told to an agent", "error", err)
		return
	}
	if _, err := conn.WriteTo(content, to); err != nil {
		level.Debug(p.logger).Log("msg", "group not told to an agent", "agent", to, "error", err)
	}
}

// hear takes in a message; one that an earlier one of the same process has overtaken is dropped.
func (p *Peers) hear(b beat) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.fellows[b.IP]
	if f == nil {
		f = &fellow{}
		p.fellows[b.IP] = f
	}
	if b.Born < f.last.Born || (b.Born == f.last.Born && b.Number <= f.last.Number) {
		return
	}
	if !f.alive || b.Ready != f.last.Ready || b.Born != f.last.Born {
		level.Info(p.logger).Log("msg", "peer heard", "peer", b.Name, "ip", b.IP, "ready", b.Ready, "born", b.Born, "revision", b.Revision)
	}
	if b.Revision > f.last.Revision {
		signal(p.News)
	}
	f.last, f.heard, f.told, f.alive = b, now, now, true
	p.targets[b.IP] = now
	for _, k := range b.Known {
		p.relayed(now, k)
	}
	p.board.Hear(b.IP, b.Flights)
	p.most = max(p.most, p.alive()+1)
}

// relayed takes in a sign of life that another peer passes on.
func (p *Peers) relayed(now clock.Time, k sign) {
	if k.IP == p.ip {
		return
	}
	if _, known := p.targets[k.IP]; !known {
		p.targets[k.IP] = now
	}
	if f := p.fellows[k.IP]; f != nil && f.alive {
		f.heard = max(f.heard, now.Add(-k.Age))
		p.targets[k.IP] = max(p.targets[k.IP], f.heard)
	}
}

func (p *Peers) alive() int {
	count := 0
	for _, f := range p.fellows {
		if f.alive {
			count++
		}
	}
	return count
}

// expire notes which peers have gone silent; mu is held.
func (p *Peers) expire() {
	now := p.clock.Now()
	for ip, f := range p.fellows {
		if f.alive && now.Sub(f.heard) > silentAfter {
			f.alive = false
			p.board.Hear(ip, nil)
			level.Info(p.logger).Log("msg", "peer silent", "peer", f.last.Name, "ip", ip, "age", now.Sub(f.heard))
		}
	}
	for ip, seen := range p.targets {
		if len(p.targets) > 1 && now.Sub(seen).Duration() > forgetAfter {
			delete(p.targets, ip)
			delete(p.fellows, ip)
		}
	}
}

// Fronts returns the addresses for callers of the peers that are ready.
func (p *Peers) Fronts() (addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, f := range p.fellows {
		if f.alive && f.last.Ready && now.Sub(f.heard) <= silentAfter {
			addresses = append(addresses, f.last.Front)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// Ahead returns the control address of the peer whose revision is the highest, if it is above the given one.
func (p *Peers) Ahead(revision int64) (control string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.fellows {
		if f.alive && f.last.Revision > revision {
			revision, control, ok = f.last.Revision, f.last.Control, true
		}
	}
	return control, ok
}

// Part returns the part of a sum over all entries that this one may use without asking.
func (p *Peers) Part() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 / (float64(max(p.most, leastParties)) + sparePart)
}
