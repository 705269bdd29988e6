package expert

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/pkg/clock"
)

// simRank simulates a rank that carries out commands as its engine does, without comparing its map with other ranks.
type simRank struct {
	version, prepared, maxVersion int64
	armed, armedStep              int64
	held, fence                   int64
}

// simGroup simulates the passes of a group's engines and fails if a pass begins with two maps.
type simGroup struct {
	ranks []simRank
	epoch int64
	step  int64
	now   clock.Time
	busy  bool // passes run without a break

	fencing bool // ranks reject commands with a lower fence than one that they have seen
}

func newSimGroup(ranks int, fencing bool) *simGroup {
	g := &simGroup{ranks: make([]simRank, ranks), now: 1, busy: true, fencing: fencing}
	g.restart()
	return g
}

// restart begins a new incarnation of the group, as after the crash of a rank.
func (g *simGroup) restart() {
	g.epoch++
	for i := range g.ranks {
		g.ranks[i] = simRank{prepared: None, armed: None, held: None}
	}
}

func (g *simGroup) blocked() bool {
	for _, r := range g.ranks {
		if r.held == g.step+1 {
			return true
		}
	}
	return false
}

func (g *simGroup) runPass(t require.TestingT) {
	if g.blocked() || !g.busy {
		return
	}
	g.step++
	for i := range g.ranks {
		if r := &g.ranks[i]; r.armed != None && r.armedStep == g.step {
			r.version, r.armed = r.armed, None
		}
	}
	for _, r := range g.ranks {
		require.Equal(t, g.ranks[0].version, r.version, "pass %d began with two maps", g.step)
	}
}

func (g *simGroup) apply(t require.TestingT, c Command) Reply {
	r := &g.ranks[c.Rank]
	if c.Epoch != g.epoch {
		return ReplyRefused
	}
	if g.fencing && c.Fence < r.fence {
		return ReplyFenced
	}
	r.fence = c.Fence
	switch c.Op {
	case OpPrepare:
		if c.Version == r.prepared || c.Version == r.version {
			return ReplyDone
		}
		if c.Version <= r.maxVersion || r.armed != None {
			return ReplyRefused
		}
		r.maxVersion, r.prepared = c.Version, c.Version
	case OpArm:
		if r.armed == c.Version && r.armedStep == c.Step {
			return ReplyDone
		}
		if r.prepared != c.Version || c.Step <= g.step {
			return ReplyRefused
		}
		r.armed, r.armedStep = c.Version, c.Step
	case OpDisarm:
		if r.version == c.Version {
			return ReplyRefused
		}
		if r.armed == c.Version {
			r.armed = None
		}
	case OpHold:
		if r.held == c.Step {
			return ReplyDone
		}
		if r.held != None || c.Step <= g.step {
			return ReplyRefused
		}
		r.held = c.Step
	case OpRelease:
		if r.held == c.Step { // another step is no error, as with a real engine
			r.held = None
			g.runPass(t)
		}
	}
	return ReplyDone
}

func (g *simGroup) status(rank int) RankStatus {
	r := g.ranks[rank]
	return RankStatus{
		RequestedAt: g.now, Epoch: g.epoch, Open: true, Step: g.step, Version: r.version,
		Prepared: r.prepared, Armed: r.armed, ArmedStep: r.armedStep, Held: r.held,
	}
}

// pendingCommand is a command in flight; an abandoned one may still be carried out.
type pendingCommand struct {
	coordinator int
	command     Command
	abandoned   bool
}

// statusReport is a status in flight to a coordinator.
type statusReport struct {
	coordinator, rank int
	status            RankStatus
}

// holdSimulation is a group with two coordinators that can pause and commands that can be late.
type holdSimulation struct {
	group        *simGroup
	coordinators []*HoldCoordinator
	commands     []pendingCommand
	reports      []statusReport
	fence        int64
	behind       [maxSimCoordinators]int64 // by coordinator: how far its fences are behind, since its clock is
	firstEpoch   [maxSimCoordinators]int64 // by coordinator: incarnation of the group in which its process started
	directed     [maxSimCoordinators]int64 // by coordinator: newest incarnation in which its process coordinated
	paused       int                       // coordinator whose instance is paused together with its local rank, or -1
}

const maxSimCoordinators = 3

func newHoldSimulation(ranks int, fencing bool) *holdSimulation {
	s := &holdSimulation{group: newSimGroup(ranks, fencing), paused: -1}
	for i := range min(ranks, maxSimCoordinators) {
		s.coordinators = append(s.coordinators, NewHoldCoordinator(ranks, i))
		s.firstEpoch[i], s.directed[i] = s.group.epoch, None
	}
	return s
}

func (s *holdSimulation) tick(coordinator int) {
	if coordinator == s.paused {
		return
	}
	s.fence += MaxCoordinators
	s.directed[coordinator] = s.group.epoch
	for _, c := range s.coordinators[coordinator].Tick(s.group.now, s.newFence(coordinator)) {
		s.commands = append(s.commands, pendingCommand{coordinator: coordinator, command: c})
	}
	s.coordinators[coordinator].TakeOutcome()
}

// newFence returns the next fence by the coordinator's clock.
func (s *holdSimulation) newFence(coordinator int) int64 {
	return s.fence + int64(coordinator) - s.behind[coordinator]
}

func (s *holdSimulation) propose(coordinator int) {
	if coordinator == s.paused {
		return
	}
	s.fence += MaxCoordinators
	s.coordinators[coordinator].Propose(s.group.now, Map{}, s.newFence(coordinator))
}

func (s *holdSimulation) readStatuses(coordinator int) {
	for rank := range s.group.ranks {
		if coordinator == s.paused || rank == s.paused {
			continue
		}
		s.reports = append(s.reports, statusReport{coordinator, rank, s.group.status(rank)})
	}
}

// deliverReport delivers report i, possibly long after it was made, or queues it again while its coordinator is paused.
func (s *holdSimulation) deliverReport(i int) {
	report := s.reports[i]
	if report.coordinator == s.paused {
		s.reports = append(append(s.reports[:i:i], s.reports[i+1:]...), report)
		return
	}
	s.reports = append(s.reports[:i], s.reports[i+1:]...)
	s.coordinators[report.coordinator].UpdateStatus(report.rank, report.status)
}

// deliverCommand carries out command i and, unless it is abandoned, returns the reply.
func (s *holdSimulation) deliverCommand(t require.TestingT, i int) {
	p := s.commands[i]
	if p.coordinator == s.paused || p.command.Rank == s.paused {
		s.commands = append(append(s.commands[:i:i], s.commands[i+1:]...), p) // delivered after the pause
		return
	}
	s.commands = append(s.commands[:i], s.commands[i+1:]...)
	reply := s.group.apply(t, p.command)
	if !p.abandoned {
		s.coordinators[p.coordinator].Handle(s.group.now, p.command.ID, reply)
	}
}

// abandonCommand makes the coordinator treat command i as lost, while it stays in flight.
func (s *holdSimulation) abandonCommand(i int) {
	p := &s.commands[i]
	if !p.abandoned && p.coordinator != s.paused {
		p.abandoned = true
		s.coordinators[p.coordinator].Handle(s.group.now, p.command.ID, ReplyLost)
	}
}

// runWithoutFaults runs the given coordinators without faults.
func (s *holdSimulation) runWithoutFaults(t require.TestingT, running []int) {
	for range 400 {
		s.group.now += 50
		for _, coordinator := range running {
			s.readStatuses(coordinator)
		}
		for range len(s.reports) {
			s.deliverReport(0)
		}
		for _, coordinator := range running {
			s.tick(coordinator)
		}
		for range len(s.commands) {
			s.deliverCommand(t, 0)
		}
		s.group.runPass(t)
	}
}

// restartCoordinator ends a coordinator with all that it knows. Its commands stay in flight.
func (s *holdSimulation) restartCoordinator(coordinator int) {
	for i := range s.commands {
		if s.commands[i].coordinator == coordinator {
			s.commands[i].abandoned = true
		}
	}
	s.reports = slices.DeleteFunc(s.reports, func(r statusReport) bool { return r.coordinator == coordinator })
	s.coordinators[coordinator] = NewHoldCoordinator(len(s.group.ranks), coordinator)
	s.firstEpoch[coordinator], s.directed[coordinator] = s.group.epoch, None
}

// renewCoordinator replaces a coordinator within its process, which knows whether it has coordinated this incarnation of the
// group and whether that began while it ran.
func (s *holdSimulation) renewCoordinator(coordinator int) {
	epoch := s.group.epoch
	first, directed := s.firstEpoch[coordinator], s.directed[coordinator]
	s.restartCoordinator(coordinator)
	s.firstEpoch[coordinator], s.directed[coordinator] = first, directed
	if epoch != first && epoch != directed {
		s.coordinators[coordinator].BegunEpoch = epoch
	}
}

// loseCommand drops command i without a reply.
func (s *holdSimulation) loseCommand(i int) {
	s.abandonCommand(i)
	s.commands = append(s.commands[:i], s.commands[i+1:]...)
}

// repeatCommand makes a copy of command i that no reply answers.
func (s *holdSimulation) repeatCommand(i int) {
	c := s.commands[i]
	c.abandoned = true
	s.commands = append(s.commands, c)
}

// forEachFencing runs the test with ranks that reject old fences and with ranks that don't.
func forEachFencing(t *testing.T, test func(t *testing.T, fencing bool)) {
	t.Run("with fences", func(t *testing.T) { test(t, true) })
	t.Run("without fences", func(t *testing.T) { test(t, false) })
}

// restartAll ends the engines of all ranks, with the commands in flight to them. The group that they form counts epochs and
// steps from the start.
func (s *holdSimulation) restartAll() {
	for i := range s.commands {
		s.abandonCommand(i)
	}
	s.commands = nil
	s.group.epoch, s.group.step = 0, 0
}

func TestHoldCoordinatorSwitches(t *testing.T) {
	forEachFencing(t, func(t *testing.T, fencing bool) {
		for ranks := 1; ranks <= 5; ranks++ {
			s := newHoldSimulation(ranks, fencing)
			s.runWithoutFaults(t, []int{0})
			s.propose(0)
			s.runWithoutFaults(t, []int{0})
			require.Positive(t, s.group.ranks[0].version, "a group of %d ranks uses the new map", ranks)
			require.False(t, s.group.blocked())
		}
	})
}

// TestHoldCoordinatorTakesOver pauses a coordinator at every point of a switch; another one must release the group.
func TestHoldCoordinatorTakesOver(t *testing.T) {
	const witness = 2
	forEachFencing(t, func(t *testing.T, fencing bool) {
		for stop := range 60 {
			s := newHoldSimulation(4, fencing)
			s.runWithoutFaults(t, []int{0})
			s.propose(0)
			for range stop {
				s.group.now += 10
				s.readStatuses(0)
				for len(s.reports) > 0 {
					s.deliverReport(0)
				}
				s.tick(0)
				if len(s.commands) > 0 {
					s.deliverCommand(t, 0)
				}
				if stop%3 == 0 {
					s.group.runPass(t)
				}
			}
			s.paused = 0
			s.runWithoutFaults(t, []int{1})
			before := s.group.step
			s.runWithoutFaults(t, []int{1})
			if s.group.step == before {
				require.NotEqual(t, None, s.group.ranks[witness].armed, "paused after %d ticks: a group whose witness is not armed must not wait", stop)
				for _, rank := range []int{1, 3} {
					require.Equal(t, None, s.group.ranks[rank].armed, "paused after %d ticks: a switch with a third rank armed must be completed", stop)
				}
			}
			s.paused = -1
			s.runWithoutFaults(t, []int{1})
			before = s.group.step
			s.runWithoutFaults(t, []int{1})
			require.Greater(t, s.group.step, before, "paused after %d ticks", stop)
			require.False(t, s.group.blocked(), "paused after %d ticks", stop)
		}
	})
}

// TestLateArmAfterTakeover carries out a paused coordinator's arm of the witness after another coordinator has released the
// step, while no pass runs.
func TestLateArmAfterTakeover(t *testing.T) {
	forEachFencing(t, func(t *testing.T, fencing bool) {
		s := newHoldSimulation(4, fencing)
		s.runWithoutFaults(t, []int{0, 1})
		s.propose(0)
		for s.coordinators[0].phase != phaseArmWitness || len(s.commands) == 0 {
			s.group.now += 10
			s.readStatuses(0)
			for len(s.reports) > 0 {
				s.deliverReport(0)
			}
			s.tick(0)
			if s.coordinators[0].phase != phaseArmWitness {
				for len(s.commands) > 0 {
					s.deliverCommand(t, 0)
				}
			}
		}
		late := s.commands
		s.commands, s.group.busy = nil, false
		for range 100 {
			s.group.now += 50
			s.readStatuses(1)
			for len(s.reports) > 0 {
				s.deliverReport(0)
			}
			s.tick(1)
			for len(s.commands) > 0 {
				s.deliverCommand(t, 0)
			}
		}
		require.Equal(t, None, s.group.ranks[s.coordinators[0].holder].held, "the step is released")
		s.commands = late
		for len(s.commands) > 0 {
			s.deliverCommand(t, 0)
		}
		s.group.busy = true
		s.runWithoutFaults(t, []int{0, 1})
	})
}

// step lets 10 ms pass, in which the coordinator reads all ranks and its commands are carried out.
func (s *holdSimulation) step(t require.TestingT, coordinator int) {
	s.group.now += 10
	s.readStatuses(coordinator)
	for len(s.reports) > 0 {
		s.deliverReport(0)
	}
	s.tick(coordinator)
	for len(s.commands) > 0 {
		s.deliverCommand(t, 0)
	}
}

// TestLateReleaseOfEarlierSwitch carries out the release of an earlier switch while a later one arms its ranks. No pass ran in
// between, so the later switch would hold the same step again, also if its coordinator was restarted in between.
func TestLateReleaseOfEarlierSwitch(t *testing.T) {
	for name, restart := range map[string]bool{"same coordinator": false, "restarted coordinator": true} {
		t.Run(name, func(t *testing.T) {
			s := newHoldSimulation(4, false)
			s.runWithoutFaults(t, []int{0})
			s.group.busy = false
			s.propose(0)
			h := s.coordinators[0]
			for s.group.ranks[h.holder].held == None {
				s.step(t, 0)
			}
			release := Command{Rank: h.holder, Op: OpRelease, Epoch: h.epoch, Fence: h.fence}
			known := s.group.step
			s.group.apply(t, Command{Rank: h.witness, Op: OpPrepare, Version: h.version + 1, Epoch: h.epoch}) // the switch fails
			for range 400 {
				s.step(t, 0)
			}
			require.Equal(t, None, s.group.ranks[h.holder].held)
			if restart {
				s.restartCoordinator(0)
			}
			for range 400 {
				s.propose(0)
				s.step(t, 0)
				if s.coordinators[0].phase == phaseArm {
					break
				}
			}
			for release.Step = known; release.Step <= known+maxStepsAhead; release.Step++ { // any step that the earlier switch may have held
				s.group.apply(t, release)
			}
			s.group.busy = true
			for range 20 {
				s.group.runPass(t)
			}
			s.runWithoutFaults(t, []int{0})
		})
	}
}

// hourOfFences is how far fences are behind if they come from a clock that is an hour behind.
const hourOfFences = int64(clock.Hour) * MaxCoordinators

// TestCoordinatorWithClockBehindIsFencedOff guards against a group that stays held, or keeps its map, because the fences and
// versions of its next coordinator come from a clock that is behind that of the last.
func TestCoordinatorWithClockBehindIsFencedOff(t *testing.T) {
	t.Run("it switches to another map", func(t *testing.T) {
		s := newHoldSimulation(4, true)
		s.fence, s.behind[1] = 2*hourOfFences, hourOfFences
		s.runWithoutFaults(t, []int{0})
		s.propose(0)
		s.runWithoutFaults(t, []int{0})
		before := s.group.ranks[0].version
		require.Positive(t, before)
		s.runWithoutFaults(t, []int{1})
		s.propose(1)
		s.runWithoutFaults(t, []int{1})
		require.Greater(t, s.group.ranks[0].version, before)
	})
	t.Run("it releases a step that the last one held", func(t *testing.T) {
		s := newHoldSimulation(4, true)
		s.fence, s.behind[1] = 2*hourOfFences, hourOfFences
		s.runWithoutFaults(t, []int{0})
		s.propose(0)
		for s.coordinators[0].phase != phaseArm {
			s.group.now += 10
			s.readStatuses(0)
			for len(s.reports) > 0 {
				s.deliverReport(0)
			}
			s.tick(0)
			for len(s.commands) > 0 {
				s.deliverCommand(t, 0)
			}
		}
		s.runWithoutFaults(t, []int{1})
		before := s.group.step
		s.runWithoutFaults(t, []int{1})
		require.Greater(t, s.group.step, before)
	})
	t.Run("it learns of a version that no rank shows", func(t *testing.T) {
		s := newHoldSimulation(4, true)
		s.fence = hourOfFences
		s.runWithoutFaults(t, []int{1})
		for i := range s.group.ranks {
			s.group.ranks[i].maxVersion = 2 * hourOfFences // prepared by another coordinator, but not copied to the end
		}
		for range 20 { // each attempt is followed by a cooldown
			s.propose(1)
			s.runWithoutFaults(t, []int{1})
		}
		require.Greater(t, s.group.ranks[0].version, 2*hourOfFences)
	})
}

// TestConcurrentHoldCoordinators guards against one coordinator completing a switch that it takes over while another one
// rolls it back: the former reads all ranks as armed before the latter disarms one of them (rapid seed 195278237).
func TestConcurrentHoldCoordinators(t *testing.T) {
	forEachFencing(t, func(t *testing.T, fencing bool) {
		for ranks := 2; ranks <= 4; ranks++ {
			for steps := range 8 {
				s := newHoldSimulation(ranks, fencing)
				s.runWithoutFaults(t, []int{0})
				s.propose(0)
				runCommands := func(coordinator int) {
					s.tick(coordinator)
					for range len(s.commands) {
						s.deliverCommand(t, 0)
					}
				}
				readStatuses := func(coordinator int) {
					s.readStatuses(coordinator)
					for range len(s.reports) {
						s.deliverReport(0)
					}
				}
				for s.coordinators[0].phase < phaseArm {
					s.group.now += 40
					readStatuses(0)
					runCommands(0)
				}
				runCommands(0)
				s.group.now += 40
				readStatuses(1)
				runCommands(1) // detects the hold
				s.group.now = s.group.now.Add(foreignHoldDelay + 1)
				for s.coordinators[1].phase != phaseInspect {
					s.group.now += 40
					readStatuses(1)
					runCommands(1)
				}
				s.group.now = s.group.now.Add(absentTimeout + 1)
				readStatuses(1)
				for range steps {
					runCommands(0)
				}
				for range 4 {
					runCommands(1)
				}
				s.runWithoutFaults(t, []int{0, 1})
			}
		}
	})
}

// TestDirectorKeepsOneMap checks that no pass begins with two maps and that no step stays held, under lost, late, repeated and
// reordered commands, old reports, and paused and restarted coordinators and ranks.
// TestBegunEpochStartsAtOnce guards against a group that uses its slow initial map for twelve long passes after a power loss.
func TestBegunEpochStartsAtOnce(t *testing.T) {
	propose := func(begun int64) bool {
		s := newHoldSimulation(3, true)
		s.coordinators[0].BegunEpoch = begun
		s.readStatuses(0)
		for range len(s.reports) {
			s.deliverReport(0)
		}
		s.tick(0)
		return s.coordinators[0].Propose(s.group.now, Map{}, MaxCoordinators)
	}
	t.Run("incarnation that began while the process ran", func(t *testing.T) { require.True(t, propose(1)) })
	t.Run("another incarnation", func(t *testing.T) { require.False(t, propose(2)) })
	t.Run("unknown", func(t *testing.T) { require.False(t, propose(None)) })
}

func TestDirectorKeepsOneMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newHoldSimulation(rapid.IntRange(2, 5).Draw(t, "ranks"), rapid.Bool().Draw(t, "fencing"))
		all := make([]int, len(s.coordinators))
		for i := range all {
			all[i] = i
		}
		s.fence = 2 * hourOfFences
		s.behind[rapid.IntRange(0, len(all)-1).Draw(t, "clock behind")] = rapid.SampledFrom([]int64{0, 3 * MaxCoordinators, hourOfFences}).Draw(t, "behind")
		s.runWithoutFaults(t, all)
		for range rapid.IntRange(10, 250).Draw(t, "events") {
			coordinator := rapid.IntRange(0, len(all)-1).Draw(t, "coordinator")
			pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
			switch event := rapid.IntRange(0, 46).Draw(t, "event"); {
			case event < 6:
				s.group.now += clock.Time(rapid.IntRange(1, 400).Draw(t, "ms"))
			case event < 14:
				s.tick(coordinator)
			case event < 18:
				s.readStatuses(coordinator)
			case event < 25 && len(s.reports) > 0:
				s.deliverReport(pick(len(s.reports)))
			case event < 27:
				s.propose(coordinator)
			case event < 34 && len(s.commands) > 0:
				s.deliverCommand(t, pick(len(s.commands)))
			case event < 36 && len(s.commands) > 0:
				s.abandonCommand(pick(len(s.commands)))
			case event < 38:
				s.group.runPass(t)
			case event < 39:
				s.group.busy = !s.group.busy
			case event < 40:
				s.paused = rapid.IntRange(-1, len(all)-1).Draw(t, "paused")
			case event < 41 && len(s.commands) > 0:
				s.loseCommand(pick(len(s.commands)))
			case event < 43 && len(s.commands) > 0:
				s.repeatCommand(pick(len(s.commands)))
			case event < 44:
				s.restartCoordinator(coordinator)
			case event < 46:
				s.renewCoordinator(coordinator)
			case rapid.IntRange(0, 3).Draw(t, "crash") == 0:
				if rapid.Bool().Draw(t, "all ranks") {
					s.restartAll()
				}
				s.group.restart()
			}
		}
		s.group.busy, s.paused = true, -1
		s.runWithoutFaults(t, all)
		before := s.group.step
		s.runWithoutFaults(t, all)
		require.Greater(t, s.group.step, before, "a step is still held")
	})
}
