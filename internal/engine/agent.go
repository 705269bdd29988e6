package engine

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"carawaypick/internal/datagram"
	"carawaypick/internal/kernel"
	"carawaypick/pkg/clock"
)

const (
	pollPeriod   = 60 * clock.Millisecond  // between two rounds of counts: a pass takes about as long
	countedEach  = 500                     // bytes of counts that may come in for each ms, about half of a link of 8 Mbit/s
	urgentPeriod = 30 * clock.Millisecond  // between two looks while a switch is under way
	askPeriod    = 2 * clock.Second        // between two questions for the group's members
	directors    = 3                       // ranks whose processes may direct
	directedBy   = 500 * clock.Millisecond // silence of a lower rank's process after which a higher one directs
	silentAgent  = 250 * clock.Millisecond // silence of a process after which its engine is asked from here
	distantEach  = 200 * clock.Millisecond // between two such questions, which other requests of the engine pay for
	distantAge   = 500 * clock.Millisecond // age that a report may have that is read from another instance
	callers      = 24                      // orders under way at one time
)

// Settings are what an agent is told at its start.
type Settings struct {
	IP      string
	Port    int
	Engine  string   // address of the engine
	Entries []string // IP addresses of entries to ask for the group's members
	Fencing bool     // engines refuse orders of an older generation
}

// Agent is the process beside one engine.
type Agent struct {
	settings Settings
	dialect  Dialect
	clock    clock.Clock
	logger   log.Logger
	conn     net.PacketConn

	mu       sync.Mutex
	roster   Roster
	own      Report
	lists    Lists
	directed clock.Time // last poll by a lower rank's process
	desk     *desk
	told     map[int]told // by rank of the asker
	replies  chan reply
	heard    chan struct{} // an answer came that the director waits for
	broken   bool          // the engine did not answer last time
}

// New returns an agent.
func New(s Settings, d Dialect, c clock.Clock, logger log.Logger) *Agent {
	return &Agent{settings: s, dialect: d, clock: c, logger: logger, directed: c.Now(), told: make(map[int]told), replies: make(chan reply, 256), heard: make(chan struct{}, 1)}
}

// Run works until ctx ends.
func (a *Agent) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run agent") }()
	a.conn, err = net.ListenPacket("udp4", net.JoinHostPort(a.settings.IP, strconv.Itoa(a.settings.Port)))
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = a.conn.Close() })
	received := kernel.Start(ctx, func(ctx context.Context) error {
		a.receive(ctx)
		return nil
	})
	asked := clock.Time(-1)
	polled := clock.Time(-1) // -1 asks for a poll now
	for ctx.Err() == nil {
		now := a.clock.Now()
		if asked < 0 || now.Sub(asked) >= askPeriod {
			a.askEntries()
			asked = now
		}
		if polled < 0 || now.Sub(polled) >= a.pause() {
			a.round(ctx, now)
			polled = now
			if a.act(ctx) {
				polled = -1
				continue
			}
		}
		select {
		case <-ctx.Done():
			return <-received
		case err := <-received:
			return err
		case r := <-a.replies:
			a.handle(r)
		case <-a.heard:
		case <-time.After(max(a.pause()-a.clock.Since(polled), 1).Duration()):
		}
		if a.act(ctx) {
			polled = -1
		}
	}
	return nil
}

// pause returns the time between two polls.
func (a *Agent) pause() clock.Span {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.desk != nil && a.desk.director.Busy() {
		return urgentPeriod
	}
	return pollPeriod
}

// turns returns the number of rounds in which each of so many ranks is asked for its counts once.
func (s Shape) turns(ranks int) int {
	const round = countedEach * int(pollPeriod)
	return max(1, (ranks*s.Sets*s.Experts+round-1)/round)
}

// Seed replaces the entries that are asked for the group's members.
func (a *Agent) Seed(entries []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settings.Entries = entries
}

// askEntries asks the entries for the members of the engine's group.
func (a *Agent) askEntries() {
	a.mu.Lock()
	entries := a.settings.Entries
	a.mu.Unlock()
	for _, ip := range entries {
		a.send(ip, message{Ask: a.settings.Engine})
	}
}

func (a *Agent) send(ip string, m message) {
	content, err := datagram.Encode(m)
	if err != nil {
		level.Error(a.logger).Log("msg", "message not sent", "to", ip, "error", err)
		return
	}
	if _, err := a.conn.WriteTo(content, &net.UDPAddr{IP: net.ParseIP(ip), Port: a.settings.Port}); err != nil {
		level.Debug(a.logger).Log("msg", "message not sent", "to", ip, "error", err)
	}
}

func (a *Agent) receive(ctx context.Context) {
	buffer := make([]byte, datagram.Most)
	for ctx.Err() == nil {
		n, from, err := a.conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			level.Warn(a.logger).Log("msg", "message not received", "error", err)
			continue
		}
		var m message
		if err := datagram.Decode(buffer[:n], &m); err != nil {
			level.Warn(a.logger).Log("msg", "message can't be read", "from", from, "error", err)
			continue
		}
		host, _, err := net.SplitHostPort(from.String())
		if err != nil {
			continue
		}
		a.take(ctx, host, m)
	}
}

func (a *Agent) take(ctx context.Context, from string, m message) {
	switch {
	case m.Roster != nil:
		a.join(*m.Roster)
	case m.Poll != nil:
		a.answerPoll(ctx, from, *m.Poll)
	case m.Order != nil:
		a.relay(ctx, *m.Order)
	case m.Reply != nil:
		select {
		case a.replies <- *m.Reply:
		default: // the director sends the order again
		}
	case m.Answer != nil:
		a.mu.Lock()
		if a.desk != nil {
			a.desk.hear(a.clock.Now(), *m.Answer)
			if a.desk.director.Urgent() {
				select {
				case a.heard <- struct{}{}:
				default:
				}
			}
		}
		a.mu.Unlock()
	}
}

func (a *Agent) join(r Roster) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(r.Members) == 0 {
		return
	}
	if len(r.Members) != len(a.roster.Members) {
		level.Info(a.logger).Log("msg", "group known", "members", len(r.Members), "sets", r.Shape.Sets, "experts", r.Shape.Experts)
	}
	a.roster = r
}

// answerPoll reads the engine and tells the asker.
func (a *Agent) answerPoll(ctx context.Context, from string, p poll) {
	v, ok := a.look(ctx, p)
	if !ok || v.Group != p.Group {
		return
	}
	if p.Rank < v.Rank {
		a.mu.Lock()
		a.directed = a.clock.Now()
		a.mu.Unlock()
	}
	a.send(from, message{Answer: &v})
}

// look reads what the poll asks for from the engine beside this process.
func (a *Agent) look(ctx context.Context, p poll) (v answer, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, settle.Duration())
	defer cancel()
	r, err := a.dialect.Report(ctx, a.settings.Engine)
	if err != nil {
		a.lost(err)
		return v, false
	}
	v = answer{
		Asked: p.Asked, Group: r.Group, Rank: r.Rank, Born: r.Born, Epoch: r.Epoch, Open: r.Open, Step: r.Step,
		Version: r.Version, Prepared: r.Prepared, Armed: r.Armed, ArmedAt: r.ArmedStep, Held: r.Held, Busy: r.Busy, Pace: r.Pace,
	}
	a.mu.Lock()
	shape := a.roster.Shape
	a.mu.Unlock()
	if r.Group == "" || shape.Sets == 0 {
		a.found(r)
		return v, false
	}
	if p.Lists {
		if v.Experts, err = a.held(ctx, r); err != nil {
			a.lost(err)
			return v, false
		}
	}
	if p.Counts {
		counts, err := a.dialect.Counts(ctx, a.settings.Engine, shape)
		if err != nil {
			a.lost(err)
			return v, false
		}
		if counts.Epoch == r.Epoch {
			v.Counts = a.since(p.Rank, r.Born, counts)
		}
	}
	a.found(r)
	return v, true
}

// held returns the experts that the rank holds, or nil where the engine moved on between two calls.
func (a *Agent) held(ctx context.Context, r Report) (sets [][]int, err error) {
	a.mu.Lock()
	lists, known := a.lists, a.own
	a.mu.Unlock()
	if lists.Sets == nil || lists.Version != r.Version || known.Born != r.Born || known.Epoch != r.Epoch {
		if lists, err = a.dialect.Lists(ctx, a.settings.Engine); err != nil {
			return nil, err
		}
		a.mu.Lock()
		a.lists = lists
		a.mu.Unlock()
	}
	if lists.Version != r.Version {
		return nil, nil
	}
	return lists.Sets, nil
}

// told is what an asker was told last.
type told struct {
	born   int64
	counts [][]int64
}

// since returns what was counted since the asker was last told, nil for the first time; what a lost answer held is lost.
func (a *Agent) since(asker int, born int64, c Counts) (counts [][]int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if asker < 0 || asker >= directors {
		return nil
	}
	before := a.told[asker]
	a.told[asker] = told{born: born, counts: c.Sets}
	if before.born != born || len(before.counts) != len(c.Sets) {
		return nil
	}
	for set, line := range c.Sets {
		if len(before.counts[set]) != len(line) {
			return nil // the configuration has another number of experts now
		}
		grown := make([]int64, len(line))
		for e, count := range line {
			grown[e] = max(count-before.counts[set][e], 0)
		}
		counts = append(counts, grown)
	}
	return counts
}

func (a *Agent) lost(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.broken {
		level.Warn(a.logger).Log("msg", "engine lost", "engine", a.settings.Engine, "error", err)
	}
	a.broken = true
}

func (a *Agent) found(r Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.broken || r.Born != a.own.Born || r.Epoch != a.own.Epoch || r.Open != a.own.Open {
		level.Info(a.logger).Log("msg", "engine", "group", r.Group, "rank", r.Rank, "epoch", r.Epoch, "open", r.Open, "born", r.Born, "step", r.Step)
	}
	a.broken = false
	a.own = r
}
