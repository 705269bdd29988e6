package engine

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"carawaypick/internal/datagram"
	"carawaypick/internal/lifecycle"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
	"carawaypick/pkg/expert"
)

const (
	pollInterval           = 60 * clock.Millisecond  // between two polling rounds at least; a pass takes about as long
	switchPollInterval     = 30 * clock.Millisecond  // between two polling rounds during a switch at least
	standbyInterval        = 250 * clock.Millisecond // between two reads of its engine by an agent that may coordinate the group later
	idleInterval           = clock.Second            // between two reads of its engine by an agent that can't coordinate the group
	membersInterval        = 2 * clock.Second        // between two requests for the group's members
	missingMembersInterval = 250 * clock.Millisecond // between two requests while members are missing, as after a start of all processes, when entries learn of them late
	idleMembersInterval    = 10 * clock.Second       // between two requests by an agent that can't coordinate the group and needs only the shape of its maps
	coordinatorCandidates  = 3                       // number of lowest ranks whose agents may coordinate the group
	takeoverDelay          = 500 * clock.Millisecond // multiplied by an agent's rank: time without a poll by a lower rank after which the agent coordinates the group
	minAgentTimeout        = 250 * clock.Millisecond // time without a poll reply after which an agent is unresponsive and its engine is read remotely, at least
	minRemoteReadAge       = 200 * clock.Millisecond // between two remote reads of one engine, which slow down its other requests
	remoteReportAge        = 500 * clock.Millisecond // assumed age of a report that is read from another instance
)

// Settings is the configuration of an agent.
type Settings struct {
	IP      string
	Port    int
	Engine  string   // address of the local engine
	Service string   // service that it runs, empty if unknown
	Entries []string // IP addresses of the entries that are asked for the group's members

	LinkBytesPerMs float64 // throughput of the instance's link; 0 if unknown
}

// Agent reports the state of one engine to the group's coordinator and relays the coordinator's commands to the engine.
// One agent per group also is the coordinator.
type Agent struct {
	settings Settings
	client   Client
	clock    clock.Clock
	logger   log.Logger
	limited  *telemetry.RateLimitedLogger // for messages that can't be used, which may come as fast as the link carries them
	conn     net.PacketConn

	mu             sync.Mutex
	group          MemberList       // with one member of each rank
	candidates     map[int][]Member // by rank: the engines that entries list as the rank, if there are several
	report         Report
	placement      Placement
	polledByLower  clock.Time            // last poll by the agent of a lower rank
	controller     *mapController        // nil unless this agent coordinates the group
	sentCounts     map[int]countSnapshot // last counts sent, by rank of the requester
	collecting     *countSum             // counts that this agent collects for a coordinator, nil for none
	nextEntry      int                   // number of requests for the group's members so far, which go to the entries in turn
	maps           preparedMaps
	remoteWork     chan struct{}     // one for each command or collection of another agent that this agent carries out
	large          chan largeMessage // messages that are sent at the pace of the link
	largeBytes     atomic.Int64      // of the messages in large
	replies        chan commandReply
	statusReceived chan struct{} // signals a status that the coordinator waits for
	firstEpoch     int64         // incarnation of the group in the first report that this process read, expert.None before
	directedEpoch  int64         // newest incarnation of the group in which this process had a controller, expert.None for none
	engineFailed   bool          // the last read of the engine failed
	planError      string        // last error of the planner, empty for none
}

// New returns an agent that is not running yet.
func New(s Settings, client Client, c clock.Clock, logger log.Logger) *Agent {
	return &Agent{settings: s, client: client, clock: c, logger: logger, limited: &telemetry.RateLimitedLogger{Logger: logger, Clock: c}, polledByLower: c.Now(), sentCounts: make(map[int]countSnapshot), maps: make(preparedMaps), candidates: make(map[int][]Member), large: make(chan largeMessage, maxLargeMessages), remoteWork: make(chan struct{}, maxRemoteWork), replies: make(chan commandReply, 256), statusReceived: make(chan struct{}, 1), firstEpoch: expert.None, directedEpoch: expert.None}
}

// Run listens for messages, polls the group and sends commands until ctx ends, or returns an error if it can't listen.
func (a *Agent) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run agent") }()
	a.conn, err = net.ListenPacket("udp4", net.JoinHostPort(a.settings.IP, strconv.Itoa(a.settings.Port)))
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = a.conn.Close() })
	receiverDone := lifecycle.Start(ctx, func(ctx context.Context) error {
		a.receive(ctx)
		return nil
	})
	senderDone := lifecycle.Start(ctx, func(ctx context.Context) error {
		a.sendLarge(ctx)
		return nil
	})
	membersRequestedAt := clock.Time(-1)
	polledAt := clock.Time(-1) // -1 for an immediate polling round
	for ctx.Err() == nil {
		now := a.clock.Now()
		if membersRequestedAt < 0 || now.Sub(membersRequestedAt) >= a.membersInterval() {
			a.requestMembers()
			membersRequestedAt = now
		}
		if polledAt < 0 || now.Sub(polledAt) >= a.currentInterval() {
			a.pollRound(ctx, now)
			polledAt = now
			if a.advance(ctx) {
				polledAt = -1
				continue
			}
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(<-receiverDone, <-senderDone)
		case err := <-receiverDone:
			return err
		case r := <-a.replies:
			a.handleReply(r)
		case <-a.statusReceived:
		case <-time.After(max(a.currentInterval()-a.clock.Since(polledAt), 1).Duration()):
		}
		if a.advance(ctx) {
			polledAt = -1
		}
	}
	return nil
}

// currentInterval returns the time in ms between two polling rounds.
func (a *Agent) currentInterval() clock.Span {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.controller != nil:
		return a.controller.budget.pollInterval(a.controller.coordinator.Busy())
	case a.report.Group == "" || !a.report.Open:
		return pollInterval
	case a.report.Rank < coordinatorCandidates:
		return standbyInterval
	}
	return idleInterval
}

// membersInterval returns the time in ms between two requests for the group's members.
func (a *Agent) membersInterval() clock.Span {
	a.mu.Lock()
	defer a.mu.Unlock()
	mayCoordinate := a.report.Rank < coordinatorCandidates
	switch {
	case a.report.Group == "":
		return membersInterval
	case len(a.group.Members) == 0, mayCoordinate && len(a.group.Members) < a.report.GroupSize:
		return missingMembersInterval
	case !mayCoordinate && a.group.Shape.Sets > 0:
		return idleMembersInterval
	}
	return membersInterval
}

// SetEntries sets the entries that are asked for the group's members.
func (a *Agent) SetEntries(entries []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settings.Entries = entries
}

// requestMembers requests the members of the engine's group from the entries: from all until one has answered, then from
// one in turn.
func (a *Agent) requestMembers() {
	a.mu.Lock()
	entries, request := a.settings.Entries, message{MembersOf: a.settings.Engine, Group: a.report.Group, Service: a.settings.Service}
	if len(a.group.Members) > 0 && len(entries) > 0 {
		a.nextEntry++
		i := a.nextEntry % len(entries)
		entries = entries[i : i+1]
	}
	a.mu.Unlock()
	for _, ip := range entries {
		a.send(ip, request)
	}
}

func (a *Agent) receive(ctx context.Context) {
	buffer := make([]byte, datagram.MaxSize)
	for ctx.Err() == nil {
		n, from, err := a.conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			level.Warn(a.logger).Log("msg", "receiving a message failed; waiting for the next one", "error", err)
			continue
		}
		var m message
		if err := datagram.Decode(buffer[:n], &m); err != nil {
			a.limited.Log("decode", "level", level.WarnValue(), "msg", "message cannot be decoded; ignored", "from", from, "error", err)
			continue
		}
		host, _, err := net.SplitHostPort(from.String())
		if err != nil {
			continue
		}
		a.handleMessage(ctx, host, m)
	}
}

func (a *Agent) handleMessage(ctx context.Context, from string, m message) {
	switch {
	case m.Members != nil:
		a.setGroup(*m.Members)
	case m.Poll != nil:
		a.answerPoll(ctx, from, *m.Poll)
	case m.Command != nil:
		a.relayCommand(ctx, from, *m.Command)
	case m.Collection != nil:
		a.collect(ctx, from, *m.Collection)
	case m.CountRequest != nil:
		a.answerCountRequest(ctx, from, *m.CountRequest)
	case m.CountReply != nil:
		a.receiveCounts(*m.CountReply)
	case m.CommandReply != nil:
		select {
		case a.replies <- *m.CommandReply:
		default: // the queue is full; the coordinator sends the command again
		}
	case m.PollReply != nil:
		a.mu.Lock()
		if a.controller != nil {
			a.confirmMember(m.PollReply.Rank, func(m Member) bool { return m.IP == from })
			a.controller.receive(a.clock.Now(), *m.PollReply)
			if a.controller.coordinator.AwaitsStatus() {
				select {
				case a.statusReceived <- struct{}{}:
				default:
				}
			}
		}
		a.mu.Unlock()
	}
}

// answerPoll reads the engine and sends its status to the polling coordinator, unless the poll is for another group.
func (a *Agent) answerPoll(ctx context.Context, from string, p poll) {
	status, ok := a.readEngine(ctx, p)
	if !ok || status.Group != p.Group {
		return
	}
	if p.Rank < status.Rank {
		a.mu.Lock()
		a.polledByLower = a.clock.Now()
		a.mu.Unlock()
	}
	a.send(from, message{PollReply: &status})
}

// readEngine reads from the local engine what the poll requests. It returns false if the engine does not answer or is
// not a rank of a group, or if the group's shape is not known yet.
func (a *Agent) readEngine(ctx context.Context, p poll) (status pollReply, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout.Duration())
	defer cancel()
	r, err := a.client.Report(ctx, a.settings.Engine)
	if err != nil {
		a.readFailed(err)
		return status, false
	}
	status = pollReply{
		RequestedAt: p.RequestedAt, Group: r.Group, Rank: r.Rank, StartedAt: r.StartedAt, Epoch: r.Epoch, Open: r.Open, Step: r.Step,
		Version: r.Version, Prepared: r.Prepared, Armed: r.Armed, ArmedStep: r.ArmedStep, Held: r.Held, Slowdown: r.Slowdown,
	}
	a.mu.Lock()
	shape := a.group.Shape
	a.mu.Unlock()
	if r.Group == "" || shape.Sets == 0 {
		a.readSucceeded(r)
		return status, false
	}
	if p.WantPlacement {
		if status.Experts, err = a.readPlacement(ctx, r); err != nil {
			a.readFailed(err)
			return status, false
		}
	}
	if p.WantCounts {
		counts, err := a.client.Counts(ctx, a.settings.Engine, shape)
		if err != nil {
			a.readFailed(err)
			return status, false
		}
		if counts.Epoch == r.Epoch {
			status.Counts = a.newCounts(p.Rank, r.StartedAt, counts)
		}
	}
	a.readSucceeded(r)
	return status, true
}

// readPlacement returns the experts on the rank by set, or nil if the engine has switched to another map since the
// report r was read.
func (a *Agent) readPlacement(ctx context.Context, r Report) (sets [][]int, err error) {
	a.mu.Lock()
	placement, report := a.placement, a.report
	a.mu.Unlock()
	if placement.Sets == nil || placement.Version != r.Version || report.StartedAt != r.StartedAt || report.Epoch != r.Epoch {
		if placement, err = a.client.Placement(ctx, a.settings.Engine); err != nil {
			return nil, err
		}
		a.mu.Lock()
		a.placement = placement
		a.mu.Unlock()
	}
	if placement.Version != r.Version {
		return nil, nil
	}
	return placement.Sets, nil
}

// countSnapshot is the state of the counters at the last reply to a requester.
type countSnapshot struct {
	startedAt int64     // start of the engine that counted
	counts    [][]int64 // by set and expert
}

// newCounts returns the counts since the last reply to the requester. It returns nil if the counters can't be compared
// with that reply, such as after a restart of the engine, or if the requester can't coordinate the group. The counts in a
// lost reply are not sent again.
func (a *Agent) newCounts(requester int, startedAt int64, c Counts) (counts [][]int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if requester < 0 || requester >= coordinatorCandidates {
		return nil
	}
	previous := a.sentCounts[requester]
	a.sentCounts[requester] = countSnapshot{startedAt: startedAt, counts: c.Sets}
	if previous.startedAt != startedAt || len(previous.counts) != len(c.Sets) {
		return nil
	}
	for set, row := range c.Sets {
		if len(previous.counts[set]) != len(row) {
			return nil // the number of experts has changed in the configuration
		}
		delta := make([]int64, len(row))
		for e, count := range row {
			delta[e] = max(count-previous.counts[set][e], 0)
		}
		counts = append(counts, delta)
	}
	return counts
}

// readFailed logs the first of a run of failed reads.
func (a *Agent) readFailed(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.engineFailed {
		level.Warn(a.logger).Log("msg", "engine does not answer; its rank sends no status until it does", "engine", a.settings.Engine, "error", err)
	}
	a.engineFailed = true
}

// readSucceeded stores the report. It logs the report after a failed read and if the engine or its group has restarted,
// opened or closed.
func (a *Agent) readSucceeded(r Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.engineFailed || r.StartedAt != a.report.StartedAt || r.Epoch != a.report.Epoch || r.Open != a.report.Open {
		level.Info(a.logger).Log("msg", "engine state", "group", r.Group, "rank", r.Rank, "epoch", r.Epoch, "open", r.Open, "born", r.StartedAt, "step", r.Step)
	}
	a.engineFailed = false
	a.report = r
	if a.firstEpoch == expert.None && r.Group != "" {
		a.firstEpoch = r.Epoch
	}
}

// begunEpoch returns the incarnation of the group if it began while this process ran and this process has not coordinated it
// in that incarnation, expert.None otherwise; mu is held.
func (a *Agent) begunEpoch(epoch int64) int64 {
	if !a.group.Coordinated || a.firstEpoch == expert.None || epoch == a.firstEpoch || epoch == a.directedEpoch {
		return expert.None
	}
	return epoch
}
