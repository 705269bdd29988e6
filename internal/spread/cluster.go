package spread

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"carawaypick/internal/member"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// Tick is the step in ms by which the manual clock advances.
const Tick = 20 * clock.Millisecond

// World is a simulated cluster of members under one manual clock, whose calls to each other take no time.
type World struct {
	Now     clock.Time
	Service *Platform
	Members []*member.Member
	Paused  map[int]bool            // members that neither run tasks nor answer calls
	Cut     func(from, to int) bool // reports whether a call between two members is lost
	Random  *rand.Rand
	Reverts int // times that a member's ticket number decreased
	Longest int // largest message between two members in bytes

	memberByAddress map[string]int        // by peer address
	lastNumber      map[int]ticket.Number // by member
}

// NewWorld returns a cluster of freshly started members, of which the first two are the seeds of all.
func NewWorld(count, zones, replicas int) *World {
	c := Empty(Fleet(1, count, zones), replicas)
	for n := range count {
		c.Start(n, c.Service.List.Instances[n])
	}
	return c
}

// Empty returns a cluster without members for an instance list of which the first two are the seeds of all.
func Empty(l *platform.List, replicas int) *World {
	c := &World{
		Service:         &Platform{List: l, Away: make(map[int]bool)},
		Paused:          make(map[int]bool),
		Cut:             func(int, int) bool { return false },
		Random:          rand.New(rand.NewPCG(1, 2)),
		memberByAddress: make(map[string]int),
		lastNumber:      make(map[int]ticket.Number),
	}
	for range replicas {
		c.Service.Replicas = append(c.Service.Replicas, make(map[ticket.Number][]byte))
	}
	return c
}

// Start starts a member without state as the nth and replaces the previous one, if any.
func (c *World) Start(n int, self platform.Instance) {
	all := c.Service.List.Instances
	var m *member.Member
	m = member.New(member.Options{
		Self:   self,
		Seeds:  []string{all[0].Peer, all[min(1, len(all)-1)].Peer},
		Gossip: member.DefaultGossip,
		Settle: ticket.DefaultSettle,
		Seal:   ticket.DefaultSeal,
		Cold:   member.DefaultCold,
		Keep:   member.DefaultKeep,
		Reader: c.Service.newReader(n, n%len(c.Service.Replicas)),
		Clock:  clock.Fixed(&c.Now),
		Random: c.Random.Float64,
		Notify: func() { c.recordNumber(n, m) },
		Call: func(ctx context.Context, address string, request *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
			return c.syncPeer(ctx, n, address, request)
		},
	})
	c.memberByAddress[self.Peer] = n
	delete(c.lastNumber, n)
	if n == len(c.Members) {
		c.Members = append(c.Members, m)
		return
	}
	c.Members[n] = m
}

// recordNumber records the ticket number of a member and counts decreases.
func (c *World) recordNumber(n int, m *member.Member) {
	number := m.State().Number
	if number < c.lastNumber[n] {
		c.Reverts++
	}
	c.lastNumber[n] = number
}

var errCallLost = errors.New("call lost")

func (c *World) syncPeer(ctx context.Context, from int, address string, request *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	to, ok := c.memberByAddress[address]
	if !ok || c.Paused[to] || c.Cut(from, to) {
		return nil, errCallLost
	}
	reply, err := c.Members[to].Sync(ctx, request)
	c.Longest = max(c.Longest, proto.Size(request), proto.Size(reply))
	return reply, err
}

// Run advances the clock by span and lets every member run its due tasks.
func (c *World) Run(span clock.Span) {
	for end := c.Now.Add(span); c.Now < end; c.Now = c.Now.Add(Tick) {
		for n, m := range c.Members {
			if c.Paused[n] {
				continue
			}
			for _, k := range m.Due(c.Now) {
				m.Perform(context.Background(), k)
			}
		}
	}
}

// RunUntil advances the clock until condition holds or limit has passed, and returns the time taken and whether it held.
func (c *World) RunUntil(limit clock.Span, condition func() bool) (took clock.Span, ok bool) {
	start := c.Now
	for !condition() {
		if c.Now.Sub(start) > limit {
			return c.Now.Sub(start), false
		}
		c.Run(Tick)
	}
	return c.Now.Sub(start), true
}

// CallsIn advances the clock by span and returns the mean and peak number of calls to the platform per second.
func (c *World) CallsIn(span clock.Span) (mean float64, peak int) {
	start := c.Service.Calls
	for end := c.Now.Add(span); c.Now < end; {
		before := c.Service.Calls
		c.Run(clock.Second)
		peak = max(peak, c.Service.Calls-before)
	}
	return float64(c.Service.Calls-start) * float64(clock.Second) / float64(span), peak
}
