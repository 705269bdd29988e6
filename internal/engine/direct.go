package engine

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"carawaypick/internal/kernel"
	"carawaypick/pkg/clock"
	"carawaypick/pkg/expert"
)

// desk is the work of the process that directs a group.
type desk struct {
	director *expert.Director
	planner  *expert.Planner
	shape    Shape
	experts  int // with those that stand for free slots
	answers  []answer
	heard    []clock.Time // by rank: when its process last answered
	distant  []clock.Time // by rank: when its engine was last asked from here
	lists    []Lists      // by rank: the experts that it holds
	fresh    [][]int64    // by set and expert: what was counted since the last round
	counted  bool         // fresh holds counts
	round    uint64
	turns    int     // rounds in which each rank is asked for its counts once
	version  int64   // of the map that the planner starts from
	gain     float64 // of the plan that was put off in the last round
	waited   int     // rounds for which it was put off
}

const (
	trigger    = 0.2              // skew that a new map must take from a set: a switch costs copies and orders
	leastCopy  = 0.3              // skew, times the number of ranks, that each copy must take from its set: passes are slower meanwhile
	payBack    = 4 * clock.Second // time within which a map must pay for its copies: what is liked changes
	growth     = 1.25             // of the gain from one round to the next, from which the next is waited for
	mostWaits  = 3
	copiesEach = 2              // experts that one plan may bring to a rank: all wait for the rank that copies longest
	leastGain  = 0.3            // mean skew that a plan must take: a small switch delays the next, larger one
	recent     = 2 * pollPeriod // age that the standing of a rank may have when a map is proposed
)

// newDesk returns a desk for the group.
func newDesk(ranks, holder int, shape Shape) *desk {
	return &desk{
		director: expert.NewDirector(ranks, holder),
		shape:    shape,
		turns:    shape.turns(ranks),
		answers:  make([]answer, ranks),
		heard:    make([]clock.Time, ranks),
		distant:  make([]clock.Time, ranks),
		lists:    make([]Lists, ranks),
		fresh:    shape.zero(),
		version:  expert.None,
	}
}

// zero returns counts of nothing.
func (s Shape) zero() (counts [][]int64) {
	for range s.Sets {
		counts = append(counts, make([]int64, s.Experts))
	}
	return counts
}

// hear takes in a rank's answer.
func (d *desk) hear(now clock.Time, v answer) {
	if v.Rank < 0 || v.Rank >= len(d.answers) || v.Asked < d.answers[v.Rank].Asked {
		return
	}
	d.add(v.Counts)
	if len(v.Experts) == d.shape.Sets {
		d.lists[v.Rank] = Lists{Version: v.Version, Sets: v.Experts}
	}
	v.Counts, v.Experts = nil, nil
	d.answers[v.Rank] = v
	d.heard[v.Rank] = now
	d.director.Read(v.Rank, expert.Standing{
		Asked: clock.Time(v.Asked), Epoch: v.Epoch, Open: v.Open, Step: v.Step, Version: v.Version,
		Prepared: v.Prepared, Armed: v.Armed, ArmedStep: v.ArmedAt, Held: v.Held, Busy: v.Busy,
	})
}

// add takes in what a rank counted.
func (d *desk) add(counts [][]int64) {
	if len(counts) != d.shape.Sets {
		return
	}
	for set, line := range counts {
		for e, count := range line[:min(len(line), d.shape.Experts)] {
			d.fresh[set][e] += count
			d.counted = d.counted || count > 0
		}
	}
}

// current returns the map that all ranks use, or nil.
func (d *desk) current() expert.Map {
	m := make(expert.Map, d.shape.Sets)
	for set := range m {
		m[set] = make([][]int, len(d.answers))
		for rank, v := range d.answers {
			known := d.lists[rank]
			if known.Sets == nil || known.Version != v.Version || v.Version != d.answers[0].Version || v.Epoch != d.answers[0].Epoch {
				return nil
			}
			m[set][rank] = known.Sets[set]
		}
	}
	return m
}

// settings of the planner: a line a round, and a map must pay within some seconds, since what is liked changes.
func (d *desk) settings() expert.Settings {
	s := expert.Defaults()
	s.Decays = []float64{0.3, 0.6} // a round holds thousands of choices: what counts is to follow a change at once
	s.Step = pollPeriod
	s.Horizon = int(payBack / pollPeriod)
	s.Trigger = trigger
	s.Least = leastCopy
	s.Spare = d.shape.Spare
	s.Each = copiesEach
	s.Free = d.shape.Experts
	return s
}

// begin starts the planner from the map in use, where it does not do so already.
func (d *desk) begin() bool {
	m := d.current()
	if m == nil {
		return false
	}
	version := d.answers[0].Version<<20 | d.answers[0].Epoch&0xfffff
	if version == d.version {
		return true
	}
	padded, experts := expert.Pad(m, d.shape.Experts, d.shape.Places)
	if d.planner == nil || experts > d.experts {
		d.planner, d.experts = expert.NewPlanner(d.settings()), experts
	}
	if err := d.planner.Adopt(padded); err != nil {
		d.planner, d.experts = expert.NewPlanner(d.settings()), experts
		if err := d.planner.Adopt(padded); err != nil {
			return false
		}
	}
	d.version = version
	return true
}

// report returns what was counted since the last round, or false where nothing was.
func (d *desk) report() (r expert.Report, ok bool) {
	d.round++
	r = expert.Report{
		Step: d.round, Ranks: len(d.answers), Slots: d.shape.Places,
		Weight: max(d.shape.ExpertMB, 1) << 20, Rate: max(d.shape.LinkMbps, 1) << 20 / 8,
		Layers: d.fresh,
	}
	for set := range r.Layers { // places that are free count as experts that nobody chose
		r.Layers[set] = append(r.Layers[set], make([]int64, d.experts-len(r.Layers[set]))...)
	}
	ok = d.counted
	d.fresh, d.counted = d.shape.zero(), false
	return r, ok
}

// plan takes one round of counts and proposes a map where one pays.
func (d *desk) plan(now clock.Time, fence int64) (proposed bool, gain float64) {
	if !d.begin() {
		return false, 0
	}
	r, ok := d.report()
	if !ok {
		return false, 0
	}
	if d.director.Busy() || !d.director.Whole(now.Add(-recent)) {
		_ = d.planner.Observe(r) // the shape is the one that the planner began with
		return false, 0
	}
	p, err := d.planner.Next(r)
	if err != nil || p.Stay {
		return false, 0
	}
	if p.Gain < leastGain || d.growing(p.Gain) {
		d.version = expert.None
		return false, 0
	}
	d.version = expert.None // what becomes of the plan is read back from the ranks
	return d.director.Propose(now, expert.Strip(p.Map, d.shape.Experts), fence, fence), p.Gain
}

// stamp returns a fence, or a version of a map, that is above all earlier ones and that no other process uses.
func stamp(rank int) int64 {
	return clock.Wall()*expert.Owners + int64(rank)
}

// growing tells whether the gain still grows from round to round, since the counts of a change have only begun to come
// in: a plan made too early delays the better one that follows it.
func (d *desk) growing(gain float64) bool {
	grew := gain > growth*d.gain && d.waited < mostWaits
	d.gain, d.waited = gain, d.waited+1
	if !grew {
		d.gain, d.waited = 0, 0
	}
	return grew
}

// round polls the ranks where this process directs.
func (a *Agent) round(ctx context.Context, now clock.Time) {
	ask := a.ask(now)
	own, ok := a.look(ctx, ask(a.rank()))
	if !ok || !a.settings.Fencing {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	first := slices.IndexFunc(a.roster.Members, func(m Member) bool { return m.Rank == own.Rank })
	if first < 0 || own.Rank >= directors || len(a.roster.Members) != a.own.Size {
		a.desk = nil
		return
	}
	repairs := a.desk != nil && a.desk.director.Holding() // it alone may give orders that are not refused
	if own.Rank > 0 && now.Sub(a.directed) < directedBy*clock.Span(own.Rank) && !repairs {
		a.desk = nil
		return
	}
	if a.desk == nil || len(a.desk.answers) != a.own.Size || a.desk.shape != a.roster.Shape {
		a.desk = newDesk(a.own.Size, own.Rank, a.roster.Shape)
		level.Info(a.logger).Log("msg", "this process directs the group", "group", own.Group, "rank", own.Rank, "ranks", a.own.Size)
	}
	a.desk.hear(now, own)
	for _, m := range a.roster.Members {
		if m.Rank != own.Rank {
			p := ask(m.Rank)
			a.send(m.IP, message{Poll: &p})
			a.askDistant(ctx, now, m)
		}
	}
	if a.desk.director.Busy() {
		return
	}
	if proposed, gain := a.desk.plan(now, stamp(own.Rank)); proposed {
		level.Info(a.logger).Log("msg", "map proposed", "gain", gain, "step", own.Step, "version", own.Version, "planning", a.clock.Since(now))
	}
}

// rank returns the rank of the engine beside this process, as last read.
func (a *Agent) rank() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.own.Rank
}

// ask returns what each rank is asked for in this round: its counts in turn, and nothing but its standing while a switch
// is under way.
func (a *Agent) ask(now clock.Time) func(rank int) poll {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := poll{Group: a.own.Group, Rank: a.own.Rank, Asked: int64(now)}
	if a.desk == nil || a.desk.director.Busy() {
		return func(int) poll { return p }
	}
	round, turns := int(a.desk.round), a.desk.turns
	return func(rank int) poll {
		p.Lists, p.Counts = true, (rank+round)%turns == 0
		return p
	}
}

// askDistant asks the engine of a rank whose process is silent: a step may be held there.
func (a *Agent) askDistant(ctx context.Context, now clock.Time, m Member) {
	d := a.desk
	if m.Rank < 0 || m.Rank >= len(d.heard) || now.Sub(d.heard[m.Rank]) < silentAgent || now.Sub(d.distant[m.Rank]) < distantEach {
		return
	}
	d.distant[m.Rank] = now
	kernel.Start(ctx, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, settle.Duration())
		defer cancel()
		r, err := a.dialect.Report(ctx, m.Engine)
		if err != nil {
			level.Info(a.logger).Log("msg", "engine of a silent process does not answer", "rank", m.Rank, "engine", m.Engine, "error", err)
			return nil
		}
		r.Asked = now.Add(-distantAge)
		a.mu.Lock()
		defer a.mu.Unlock()
		if r.Rank == m.Rank {
			d.director.Read(m.Rank, r.Standing)
		}
		return nil
	})
}

func (a *Agent) handle(r reply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.desk != nil {
		a.desk.director.Handle(a.clock.Now(), r.ID, r.Reply)
	}
}

// act sends what the director orders and tells whether the ranks must be polled at once.
func (a *Agent) act(ctx context.Context) (poll bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.desk == nil {
		return false
	}
	now := a.clock.Now()
	waited := a.desk.director.Urgent()
	a.order(ctx, now, a.desk.director.Tick(now, stamp(a.own.Rank)))
	if o := a.desk.director.Take(); o.Ended {
		level.Info(a.logger).Log("msg", "map switch ended", "committed", o.Committed, "version", o.Version, "reason", o.Reason,
			"copied", o.Copied, "armed", o.Armed)
	}
	return a.desk.director.Urgent() && !waited
}

const (
	relayTime   = 150 * clock.Millisecond // after which an order that another process was to pass on counts as unanswered
	ownMapBytes = 32 << 10                // of maps that the director sends to all ranks itself: 13 ms of a link of 20 Mbit/s
)

// order sends orders, through the process beside the rank where it lives, since an order from another instance costs the
// engine more; the replies come on the agent's channel.
func (a *Agent) order(ctx context.Context, now clock.Time, commands []expert.Command) {
	var relays []relay
	for _, c := range commands {
		i := slices.IndexFunc(a.roster.Members, func(m Member) bool { return m.Rank == c.Rank })
		if i < 0 {
			continue
		}
		m := a.roster.Members[i]
		relayed := c.Op == expert.OpPrepare || c.Op == expert.OpArm || c.Op == expert.OpDisarm // a step waits for the others
		if relayed && !c.Again && m.IP != a.settings.IP && now.Sub(a.desk.heard[c.Rank]) < silentAgent {
			relays = append(relays, relay{Command: c, Director: a.settings.IP, Onward: []onward{{ID: c.ID, Rank: c.Rank, IP: m.IP}}})
			time.AfterFunc(relayTime.Duration(), func() { a.replied(ctx, reply{ID: c.ID, Reply: expert.ReplyLost}) })
			continue
		}
		kernel.Start(ctx, func(ctx context.Context) error {
			a.replied(ctx, a.give(ctx, m.Engine, c))
			return nil
		})
	}
	for _, r := range bundle(relays, a.roster.Shape) {
		a.pass(r)
	}
}

// bundle puts relays of one large map together, so that the director sends it to few processes that pass it on.
func bundle(relays []relay, s Shape) (bundles []relay) {
	ranks := len(relays)
	if ranks == 0 || relays[0].Command.Op != expert.OpPrepare || ranks*ranks*s.Sets*s.Places <= ownMapBytes {
		return relays
	}
	each := int(math.Ceil(math.Sqrt(float64(ranks))))
	for few := range slices.Chunk(relays, each) {
		b := few[0]
		for _, r := range few[1:] {
			b.Onward = append(b.Onward, r.Onward...)
		}
		bundles = append(bundles, b)
	}
	return bundles
}

// pass sends the relay to the first process that it names.
func (a *Agent) pass(r relay) {
	first := r.Onward[0]
	r.Command.ID, r.Command.Rank, r.Onward = first.ID, first.Rank, r.Onward[1:]
	a.send(first.IP, message{Order: &r})
}

func (a *Agent) replied(ctx context.Context, r reply) {
	select {
	case a.replies <- r:
	case <-ctx.Done():
	}
}

// relay passes an order on and gives it to the engine beside this process.
func (a *Agent) relay(ctx context.Context, r relay) {
	for _, o := range r.Onward {
		a.pass(relay{Command: r.Command, Director: r.Director, Onward: []onward{o}})
	}
	kernel.Start(ctx, func(ctx context.Context) error {
		done := a.give(ctx, a.settings.Engine, r.Command)
		a.send(r.Director, message{Reply: &done})
		return nil
	})
}

// give gives the engine an order.
func (a *Agent) give(ctx context.Context, address string, c expert.Command) reply {
	ctx, cancel := context.WithTimeout(ctx, settle.Duration())
	defer cancel()
	r, err := a.dialect.Order(ctx, address, c)
	if err != nil {
		level.Info(a.logger).Log("msg", "order not answered", "op", c.Op, "rank", c.Rank, "version", c.Version, "step", c.Step, "fence", c.Fence, "error", err)
	} else if r != expert.ReplyDone {
		level.Info(a.logger).Log("msg", "order refused", "op", c.Op, "rank", c.Rank, "version", c.Version, "step", c.Step, "fence", c.Fence, "fenced", r == expert.ReplyFenced)
	}
	return reply{ID: c.ID, Reply: r}
}
