package clustersim

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"carawaypick/internal/gossip"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// TickInterval is the step in ms by which the manual clock advances.
const TickInterval = 20 * clock.Millisecond

// Cluster simulates members under one manual clock; calls between members take no time.
type Cluster struct {
	Now             clock.Time
	Platform        *Platform
	Members         []*gossip.Member
	Paused          map[int]bool            // members that neither run tasks nor answer calls
	DropsCall       func(from, to int) bool // reports whether a call between two members is lost
	Random          *rand.Rand
	NumberDecreases int // times that a member's ticket number decreased
	MaxMessageBytes int // largest message between two members in bytes

	memberByAddress map[string]int        // index in Members by peer address
	lastNumber      map[int]ticket.Number // last recorded ticket number by index in Members
}

// NewCluster returns a cluster of count freshly started members; the first two are the seeds of every member.
func NewCluster(count, zones, replicas int) *Cluster {
	c := NewEmptyCluster(NewInstanceList(1, count, zones), replicas)
	for n := range count {
		c.StartMember(n, c.Platform.List.Instances[n])
	}
	return c
}

// NewEmptyCluster returns a cluster without members; the first two instances of the list are the seeds of members started
// later.
func NewEmptyCluster(l *platform.List, replicas int) *Cluster {
	c := &Cluster{
		Platform:        &Platform{List: l, Unreachable: make(map[int]bool)},
		Paused:          make(map[int]bool),
		DropsCall:       func(int, int) bool { return false },
		Random:          rand.New(rand.NewPCG(1, 2)),
		memberByAddress: make(map[string]int),
		lastNumber:      make(map[int]ticket.Number),
	}
	for range replicas {
		c.Platform.Replicas = append(c.Platform.Replicas, make(map[ticket.Number][]byte))
	}
	return c
}

// StartMember starts member n without state and replaces an existing member n.
func (c *Cluster) StartMember(n int, self platform.Instance) {
	all := c.Platform.List.Instances
	var m *gossip.Member
	m = gossip.New(gossip.Options{
		Self:           self,
		Seeds:          []string{all[0].Peer, all[min(1, len(all)-1)].Peer},
		GossipInterval: gossip.DefaultGossipInterval,
		SettleDelay:    ticket.DefaultSettleDelay,
		SealDelay:      ticket.DefaultSealDelay,
		StartupSpread:  gossip.DefaultStartupSpread,
		EvidenceTTL:    gossip.DefaultEvidenceTTL,
		Reader:         c.Platform.newReader(n, n%len(c.Platform.Replicas)),
		Clock:          clock.Manual(&c.Now),
		Random:         c.Random.Float64,
		OnUpdate:       func() { c.recordNumber(n, m) },
		SyncPeer: func(ctx context.Context, address string, request *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
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
func (c *Cluster) recordNumber(n int, m *gossip.Member) {
	number := m.State().Number
	if number < c.lastNumber[n] {
		c.NumberDecreases++
	}
	c.lastNumber[n] = number
}

var errCallLost = errors.New("call lost")

func (c *Cluster) syncPeer(ctx context.Context, from int, address string, request *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	to, ok := c.memberByAddress[address]
	if !ok || c.Paused[to] || c.DropsCall(from, to) {
		return nil, errCallLost
	}
	reply, err := c.Members[to].Sync(ctx, request)
	c.MaxMessageBytes = max(c.MaxMessageBytes, proto.Size(request), proto.Size(reply))
	return reply, err
}

// Run advances the clock by span and lets every member run its due tasks.
func (c *Cluster) Run(span clock.Span) {
	for end := c.Now.Add(span); c.Now < end; c.Now = c.Now.Add(TickInterval) {
		for n, m := range c.Members {
			if c.Paused[n] {
				continue
			}
			for _, k := range m.DueTasks(c.Now) {
				m.RunTask(context.Background(), k)
			}
		}
	}
}

// RunUntil advances the clock until condition holds or limit has passed, and returns the time taken and whether it held.
func (c *Cluster) RunUntil(limit clock.Span, condition func() bool) (took clock.Span, ok bool) {
	start := c.Now
	for !condition() {
		if c.Now.Sub(start) > limit {
			return c.Now.Sub(start), false
		}
		c.Run(TickInterval)
	}
	return c.Now.Sub(start), true
}

// MeasureCalls advances the clock by span and returns the mean and peak number of calls to the platform per second.
func (c *Cluster) MeasureCalls(span clock.Span) (mean float64, peak int) {
	start := c.Platform.Calls
	for end := c.Now.Add(span); c.Now < end; {
		before := c.Platform.Calls
		c.Run(clock.Second)
		peak = max(peak, c.Platform.Calls-before)
	}
	return float64(c.Platform.Calls-start) * float64(clock.Second) / float64(span), peak
}
