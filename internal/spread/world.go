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

// Tick is the step of the manual clock.
const Tick = 20 * clock.Millisecond

// World is several members under one manual clock, whose calls to each other take no time.
type World struct {
	Now     clock.Time
	Service *Service
	Members []*member.Member
	Paused  map[int]bool            // members that do and answer nothing
	Cut     func(from, to int) bool // whether a call between two members is lost
	Random  *rand.Rand
	Reverts int // times that a member returned to a lower number
	Longest int // bytes of the longest message between two members

	address map[string]int
	highest map[int]ticket.Number
}

// NewWorld returns a cold fleet of which the first two are everybody's seeds.
func NewWorld(count, zones, replicas int) *World {
	w := Empty(Fleet(1, count, zones), replicas)
	for n := range count {
		w.Start(n, w.Service.List.Instances[n])
	}
	return w
}

// Empty returns a world without members for a list of which the first two are everybody's seeds.
func Empty(l *platform.List, replicas int) *World {
	w := &World{
		Service: &Service{List: l, Away: make(map[int]bool)},
		Paused:  make(map[int]bool),
		Cut:     func(int, int) bool { return false },
		Random:  rand.New(rand.NewPCG(1, 2)),
		address: make(map[string]int),
		highest: make(map[int]ticket.Number),
	}
	for range replicas {
		w.Service.Replicas = append(w.Service.Replicas, make(map[ticket.Number][]byte))
	}
	return w
}

// Start starts a cold member as the nth, in place of the one that was there.
func (w *World) Start(n int, self platform.Instance) {
	all := w.Service.List.Instances
	var m *member.Member
	m = member.New(member.Options{
		Self:   self,
		Seeds:  []string{all[0].Peer, all[min(1, len(all)-1)].Peer},
		Gossip: member.DefaultGossip,
		Settle: ticket.DefaultSettle,
		Seal:   ticket.DefaultSeal,
		Cold:   member.DefaultCold,
		Keep:   member.DefaultKeep,
		Reader: w.Service.reader(n, n%len(w.Service.Replicas)),
		Clock:  clock.Fixed(&w.Now),
		Random: w.Random.Float64,
		Notify: func() { w.note(n, m) },
		Call: func(ctx context.Context, address string, q *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
			return w.call(ctx, n, address, q)
		},
	})
	w.address[self.Peer] = n
	delete(w.highest, n)
	if n == len(w.Members) {
		w.Members = append(w.Members, m)
		return
	}
	w.Members[n] = m
}

// note counts a return to a lower number.
func (w *World) note(n int, m *member.Member) {
	number := m.State().Number
	if number < w.highest[n] {
		w.Reverts++
	}
	w.highest[n] = number
}

var errCut = errors.New("no answer")

func (w *World) call(ctx context.Context, from int, address string, q *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	to, ok := w.address[address]
	if !ok || w.Paused[to] || w.Cut(from, to) {
		return nil, errCut
	}
	r, err := w.Members[to].Sync(ctx, q)
	w.Longest = max(w.Longest, proto.Size(q), proto.Size(r))
	return r, err
}

// Run lets the time pass and every member do its duties.
func (w *World) Run(span clock.Span) {
	for end := w.Now.Add(span); w.Now < end; w.Now = w.Now.Add(Tick) {
		for n, m := range w.Members {
			if w.Paused[n] {
				continue
			}
			for _, k := range m.Due(w.Now) {
				m.Perform(context.Background(), k)
			}
		}
	}
}

// RunUntil lets the time pass until a condition holds, and tells how long that took and whether it was within a limit.
func (w *World) RunUntil(limit clock.Span, holds func() bool) (took clock.Span, ok bool) {
	start := w.Now
	for !holds() {
		if w.Now.Sub(start) > limit {
			return w.Now.Sub(start), false
		}
		w.Run(Tick)
	}
	return w.Now.Sub(start), true
}

// CallsIn lets a span pass and returns the calls to the platform a second, and the most in any second.
func (w *World) CallsIn(span clock.Span) (mean float64, most int) {
	start := w.Service.Calls
	for end := w.Now.Add(span); w.Now < end; {
		before := w.Service.Calls
		w.Run(clock.Second)
		most = max(most, w.Service.Calls-before)
	}
	return float64(w.Service.Calls-start) * float64(clock.Second) / float64(span), most
}
