package engine

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"carawaypick/internal/lifecycle"
	"carawaypick/pkg/clock"
	"carawaypick/pkg/expert"
)

// mapController plans a group's expert maps and coordinates the switches to them. Only the agent that coordinates the
// group has one.
type mapController struct {
	coordinator    *expert.HoldCoordinator
	planner        *expert.Planner
	shape          Shape
	budget         linkBudget
	paddedExperts  int          // number of experts per set, including the placeholders for free slots
	statuses       []pollReply  // by rank: newest status, without experts and counts
	receivedAt     []clock.Time // by rank: time of the last poll reply of its agent
	remoteReadAt   []clock.Time // by rank: time of the last remote read of its engine
	placements     []Placement  // by rank: newest known placement
	counts         [][]int64    // by set and expert: tokens counted in the poll replies since the last report to the planner
	hasCounts      bool         // at least one value in counts is above 0
	round          uint64       // reports taken so far
	collectRound   uint64       // collections of counts so far
	collectedAt    clock.Time   // time of the last collection
	batchesMissing int          // batches whose sums of the last collection have not arrived
	remoteReadsAt  clock.Time   // time of the last remote read of any engine
	remoteReads    uint64       // remote reads so far
	lacksBase      []bool       // by rank: its agent lacks the base of the map that is being sent
	plannedAt      clock.Time   // time at which the last search for a plan ended, during which no polls were sent
	plannerVersion int64        // version and epoch of the planner's map in one number, or expert.None if the planner must adopt the map in use
	deferredGain   float64      // gain of the plan that was deferred in the last round, 0 for none
	deferrals      int          // consecutive rounds with a deferred plan
	coordinated    bool         // coordinated admission is on
	regimesEpoch   int64        // incarnation of the group whose demand the planner remembers
}

const (
	minSetGain       = 0.2              // least reduction of a set's skew by a new map, because a switch costs copies and commands
	minCopyGain      = 0.3              // divided by the number of ranks: least reduction of a set's skew by each copy of an expert, because copying slows down passes
	paybackTime      = 4 * clock.Second // within which a map must pay for its copies, because the popularity of experts changes
	gainGrowth       = 1.25             // factor of growth of the gain since the last round above which the plan is deferred to the next one
	maxDeferTime     = 3 * pollInterval // for which a plan may be deferred in consecutive rounds
	minCopiesPerRank = 2                // experts that one plan may add per rank over all sets at least, because all ranks wait for the one that copies longest
	setsPerCopy      = 2                // number of sets for each expert that one plan may add per rank beyond that
	maxRegimes       = 12               // demand regimes that the planner remembers, which are more than the topics of a group's requests
	minPlanGain      = 0.3              // least reduction of the mean skew by a plan, because a small switch delays the next, larger one
)

// newMapController returns a controller for a group whose ranks have not reported yet, on an instance with a link of the
// given throughput, 0 if unknown.
func newMapController(ranks, localRank int, shape Shape, linkBytesPerMs float64) *mapController {
	budget := newLinkBudget(linkBytesPerMs, ranks, shape)
	coordinator := expert.NewHoldCoordinator(ranks, localRank)
	coordinator.ResendAfter, coordinator.ResendPrepareAfter = budget.resendAfter(false), budget.resendAfter(true)
	return &mapController{
		budget:         budget,
		coordinator:    coordinator,
		shape:          shape,
		lacksBase:      make([]bool, ranks),
		statuses:       make([]pollReply, ranks),
		receivedAt:     make([]clock.Time, ranks),
		remoteReadAt:   make([]clock.Time, ranks),
		placements:     make([]Placement, ranks),
		counts:         shape.zeroCounts(),
		plannerVersion: expert.None,
	}
}

// zeroCounts returns a count of 0 for each set and expert.
func (s Shape) zeroCounts() (counts [][]int64) {
	for range s.Sets {
		counts = append(counts, make([]int64, s.Experts))
	}
	return counts
}

// receive stores the status and adds the counts of a poll reply. It ignores unknown ranks and overtaken replies.
func (c *mapController) receive(now clock.Time, status pollReply) {
	if status.Rank < 0 || status.Rank >= len(c.statuses) || status.RequestedAt < c.statuses[status.Rank].RequestedAt {
		return
	}
	c.addCounts(status.Counts)
	if len(status.Experts) == c.shape.Sets {
		c.placements[status.Rank] = Placement{Version: status.Version, Sets: status.Experts}
	}
	status.Counts, status.Experts = nil, nil
	c.statuses[status.Rank] = status
	c.receivedAt[status.Rank] = now
	c.coordinator.UpdateStatus(status.Rank, expert.RankStatus{
		RequestedAt: clock.Time(status.RequestedAt), Epoch: status.Epoch, Open: status.Open, Step: status.Step, Version: status.Version,
		Prepared: status.Prepared, Armed: status.Armed, ArmedStep: status.ArmedStep, Held: status.Held,
	})
}

// addCounts adds the counts of a rank, unless their number of sets is wrong.
func (c *mapController) addCounts(counts [][]int64) {
	if len(counts) != c.shape.Sets {
		return
	}
	for set, row := range counts {
		for e, count := range row[:min(len(row), c.shape.Experts)] {
			c.counts[set][e] += count
			c.hasCounts = c.hasCounts || count > 0
		}
	}
}

// currentMap returns the map that all ranks use, or nil if they use different maps or a placement is not known.
func (c *mapController) currentMap() expert.Map {
	m := make(expert.Map, c.shape.Sets)
	for set := range m {
		m[set] = make([][]int, len(c.statuses))
		for rank, status := range c.statuses {
			placement := c.placements[rank]
			if placement.Sets == nil || placement.Version != status.Version || status.Version != c.statuses[0].Version || status.Epoch != c.statuses[0].Epoch {
				return nil
			}
			m[set][rank] = placement.Sets[set]
		}
	}
	return m
}

// plannerSettings returns the planner's settings for one report per polling round; a new map must pay for its copies
// within paybackTime.
func (c *mapController) plannerSettings() expert.Settings {
	s := expert.DefaultSettings()
	s.Decays = []float64{0.3, 0.6} // a round counts thousands of routed tokens, so that estimates can follow a change at once
	s.StepTime = c.budget.countInterval()
	s.HorizonSteps = int(paybackTime / s.StepTime)
	s.MinLayerGain = minSetGain
	s.MinMoveGain = minCopyGain
	s.MaxAddedPerLayer = c.shape.MaxAdded
	s.MaxAddedPerRank = max(minCopiesPerRank, c.shape.Sets/setsPerCopy)
	s.FirstPlaceholder = c.shape.Experts
	return s
}

// maxRegimes returns the number of demand regimes that the planner remembers: none unless admission is coordinated and the
// maps have spare places.
func (c *mapController) maxRegimes() int {
	if !c.coordinated || len(c.statuses)*c.shape.SlotsPerRank <= c.shape.Experts {
		return 0
	}
	return maxRegimes
}

// syncPlanner makes the planner adopt the map in use if it has another one. It returns false if that map is not known.
func (c *mapController) syncPlanner() (ready bool, err error) {
	m := c.currentMap()
	if m == nil {
		return false, nil
	}
	version := c.statuses[0].Version<<20 | c.statuses[0].Epoch&0xfffff
	if version == c.plannerVersion {
		return true, nil
	}
	padded, experts := expert.PadFreeSlots(m, c.shape.Experts, c.shape.SlotsPerRank)
	if c.planner == nil || experts > c.paddedExperts {
		c.planner, c.paddedExperts = expert.NewPlanner(c.plannerSettings()), experts
	}
	if err := c.planner.Adopt(padded); err != nil {
		c.planner, c.paddedExperts = expert.NewPlanner(c.plannerSettings()), experts
		if err := c.planner.Adopt(padded); err != nil {
			return false, err
		}
	}
	c.plannerVersion = version
	return true, nil
}

// takeReport returns the counts since the last report and resets them; ok is false if all are 0.
func (c *mapController) takeReport() (r expert.Report, ok bool) {
	c.round++
	r = expert.Report{
		Step: c.round, Ranks: len(c.statuses), Slots: c.shape.SlotsPerRank,
		ExpertBytes: max(c.shape.ExpertMB, 1) << 20, BytesPerSecond: max(c.shape.LinkMbps, 1) << 20 / 8,
		Layers: c.counts,
	}
	for set := range r.Layers { // the placeholders for free slots have counts of 0
		r.Layers[set] = append(r.Layers[set], make([]int64, c.paddedExperts-len(r.Layers[set]))...)
	}
	ok = c.hasCounts
	c.counts, c.hasCounts = c.shape.zeroCounts(), false
	return r, ok
}

// plan passes the counts of one round to the planner, whose search takes long in large groups and is made by next, and
// proposes the next map if the gain is large enough. After an error of the planner the next round starts with a new one.
func (c *mapController) plan(now clock.Time, number int64, next func(expert.Report) (expert.Plan, error)) (proposed bool, gain float64, err error) {
	defer func() {
		if err != nil {
			c.planner, c.plannerVersion = nil, expert.None
			err = errors.Wrap(err, "plan a map")
		}
	}()
	if c.batchesMissing > 0 && now.Sub(c.collectedAt) < c.budget.countInterval() {
		return false, 0, nil // the other counts of the collection are on their way
	}
	ready, err := c.syncPlanner()
	if !ready || err != nil {
		return false, 0, err
	}
	c.planner.SetMaxRegimes(c.maxRegimes())
	if epoch := c.statuses[0].Epoch; epoch != c.regimesEpoch {
		c.planner.ForgetRegimes()
		c.regimesEpoch = epoch
	}
	r, ok := c.takeReport()
	if !ok {
		return false, 0, nil
	}
	if c.coordinator.Busy() || !c.coordinator.Ready(now.Add(-c.budget.statusAge())) {
		return false, 0, c.planner.Observe(r)
	}
	p, err := next(r)
	if err != nil || p.Unchanged {
		return false, 0, err
	}
	c.plannerVersion = expert.None // the planner adopts the map in use again
	if p.Gain < minPlanGain || c.shouldDefer(p.Gain) {
		return false, 0, nil
	}
	clear(c.lacksBase)
	return c.coordinator.Propose(now, expert.StripFreeSlots(p.Map, c.shape.Experts), number), p.Gain, nil
}

// newNumber returns a fence or map version that no other agent uses, above all earlier ones unless the clock is behind.
func newNumber(rank int) int64 {
	return clock.Wall()*expert.MaxCoordinators + int64(rank)
}

// maxDeferrals returns the number of consecutive rounds in which a plan may be deferred.
func (c *mapController) maxDeferrals() int {
	return int(maxDeferTime / c.budget.countInterval())
}

// shouldDefer reports whether a plan waits for the next round because its gain has grown by more than gainGrowth, for up
// to maxDeferrals rounds. Growth shows that the counts do not reflect a change of load fully yet, and a plan made too
// early delays the better one that follows it.
func (c *mapController) shouldDefer(gain float64) bool {
	growing := gain > gainGrowth*c.deferredGain && c.deferrals < c.maxDeferrals()
	c.deferredGain, c.deferrals = gain, c.deferrals+1
	if !growing {
		c.deferredGain, c.deferrals = 0, 0
	}
	return growing
}

// pollRound reads the local engine and decides whether this agent coordinates the group. The coordinator polls the other
// ranks and, unless a switch is in progress, plans the next map.
func (a *Agent) pollRound(ctx context.Context, now clock.Time) {
	pollFor := a.newPolls(now)
	own, ok := a.readEngine(ctx, pollFor(a.localRank()))
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	listed := a.setOwnMember(own.Rank)
	mayHold := a.controller != nil && a.controller.coordinator.MayBeHolding() // the group may wait for this coordinator's release, and another one takes the hold over only after a delay
	if !listed || own.Rank >= coordinatorCandidates || (len(a.group.Members) != a.report.GroupSize && !mayHold) {
		a.controller = nil
		return
	}
	if own.Rank > 0 && now.Sub(a.polledByLower) < takeoverDelay*clock.Span(own.Rank) && !mayHold {
		a.controller = nil
		return
	}
	if a.controller == nil || len(a.controller.statuses) != a.report.GroupSize || a.controller.shape != a.group.Shape {
		a.controller = newMapController(a.report.GroupSize, own.Rank, a.group.Shape, a.settings.LinkBytesPerMs)
		a.controller.coordinator.BegunEpoch = a.begunEpoch(own.Epoch)
		level.Info(a.logger).Log("msg", "this process directs the group", "group", own.Group, "rank", own.Rank, "ranks", a.report.GroupSize)
	}
	a.directedEpoch = own.Epoch
	a.controller.coordinated = a.group.Coordinated
	a.controller.receive(now, own)
	a.pollMembers(now, own.Rank, pollFor)
	a.readRemoteEngine(ctx, now)
	if a.controller.coordinator.Busy() {
		return
	}
	c := a.controller
	proposed, gain, err := c.plan(now, newNumber(own.Rank), func(r expert.Report) (p expert.Plan, err error) {
		a.mu.Unlock()
		defer a.mu.Lock()
		p, err = c.planner.Next(r)
		c.plannedAt = a.clock.Now()
		return p, err
	})
	a.logPlanError(err)
	if proposed {
		level.Info(a.logger).Log("msg", "map proposed", "gain", gain, "step", own.Step, "version", own.Version, "planning", a.clock.Since(now))
	}
	if proposed {
		return
	}
	leaders, collections := c.nextCollections(now, own.Group, own.Rank, a.settings.IP, a.group.Members)
	for i := range collections {
		a.send(leaders[i], message{Collection: &collections[i]})
	}
}

// logPlanError logs the first of a run of equal errors of the planner.
func (a *Agent) logPlanError(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text != "" && text != a.planError {
		level.Error(a.logger).Log("msg", "no map could be planned; trying again with the next counts", "error", err)
	}
	a.planError = text
}

// localRank returns the rank of the local engine as last read.
func (a *Agent) localRank() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.report.Rank
}

// newPolls returns a function that returns the poll of each rank for this round. Ranks send their experts only if the
// coordinator does not know them, and their counts only if those of all ranks fit the link; the coordinator's own rank
// always sends its counts. During a switch they send only their statuses.
func (a *Agent) newPolls(now clock.Time) func(rank int) poll {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := poll{Group: a.report.Group, Rank: a.report.Rank, RequestedAt: int64(now)}
	if a.controller == nil || a.controller.coordinator.Busy() {
		return func(int) poll { return p }
	}
	c, own := a.controller, a.report.Rank
	countsFit := c.budget.countsFit()
	unknown := make([]bool, len(c.statuses))
	for rank := range unknown {
		unknown[rank] = c.placements[rank].Sets == nil || c.placements[rank].Version != c.statuses[rank].Version || c.statuses[rank].StartedAt == 0
	}
	return func(rank int) poll {
		p.WantPlacement = rank < 0 || rank >= len(unknown) || unknown[rank]
		p.WantCounts = countsFit || rank == own
		return p
	}
}

// responds reports whether the agent of the rank has answered a poll lately. The time in which the coordinator searched for a
// plan and sent no polls does not count.
func (c *mapController) responds(now clock.Time, rank int) bool {
	if rank < 0 || rank >= len(c.receivedAt) {
		return false
	}
	return min(now.Sub(c.receivedAt[rank]), now.Sub(c.plannedAt)) < c.budget.agentTimeout()
}

// readRemoteEngine reads the status of a rank from its engine if its agent is unresponsive, as the engine may hold a step.
// Of several such ranks it reads the one whose last read is the oldest, as fast as the link allows.
func (a *Agent) readRemoteEngine(ctx context.Context, now clock.Time) {
	c := a.controller
	if now.Sub(c.remoteReadsAt) < c.budget.remoteReadInterval() {
		return
	}
	var next *Member
	for i, m := range a.group.Members {
		if m.Rank < 0 || m.Rank >= len(c.receivedAt) || c.responds(now, m.Rank) || now.Sub(c.remoteReadAt[m.Rank]) < minRemoteReadAge {
			continue
		}
		if next == nil || c.remoteReadAt[m.Rank] < c.remoteReadAt[next.Rank] {
			next = &a.group.Members[i]
		}
	}
	if next == nil {
		return
	}
	candidates := a.candidatesOf(now, *next)
	m := candidates[c.remoteReads%uint64(len(candidates))]
	c.remoteReads++
	c.remoteReadAt[m.Rank], c.remoteReadsAt = now, now
	lifecycle.Start(ctx, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, engineTimeout.Duration())
		defer cancel()
		r, err := a.client.Report(ctx, m.Engine)
		if err != nil {
			level.Info(a.logger).Log("msg", "engine of a silent process does not answer", "rank", m.Rank, "engine", m.Engine, "error", err)
			return nil
		}
		r.RequestedAt = now.Add(-remoteReportAge)
		a.mu.Lock()
		defer a.mu.Unlock()
		if r.Rank == m.Rank && r.Group == a.report.Group {
			a.confirmMember(m.Rank, func(o Member) bool { return o == m })
			c.coordinator.UpdateStatus(m.Rank, r.RankStatus)
		}
		return nil
	})
}

// advance drives the coordinator, sends its commands and reports whether the ranks must be polled at once.
func (a *Agent) advance(ctx context.Context) (pollNow bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.controller == nil {
		return false
	}
	now := a.clock.Now()
	wasWaiting := a.controller.coordinator.AwaitsStatus()
	a.sendCommands(ctx, now, a.controller.coordinator.Tick(now, newNumber(a.report.Rank)))
	if o := a.controller.coordinator.TakeOutcome(); o.Ended {
		level.Info(a.logger).Log("msg", "map switch ended", "committed", o.Committed, "version", o.Version, "reason", o.Reason,
			"copied", o.CopyTime, "armed", o.ArmTime)
	}
	return a.controller.coordinator.AwaitsStatus() && !wasWaiting
}
