package expert

import (
	"carawaypick/pkg/clock"
)

// Operations of a command.
const (
	OpPrepare = "prepare" // copy the experts of a map to the rank
	OpArm     = "arm"     // switch to a prepared map at the beginning of a step
	OpDisarm  = "disarm"  // cancel an arm
	OpHold    = "hold"    // do not begin a step until it is released
	OpRelease = "go"      // release a held step
)

// Command is a command to one rank of a group whose ranks do not compare their maps.
type Command struct {
	ID      uint64 // unique per coordinator
	Rank    int
	Op      string
	Version int64 // of the map
	Step    int64
	Epoch   int64 // incarnation of the group
	Fence   int64
	Map     Map  // for OpPrepare; nil for any valid map that needs no copies at the rank, as the version is not going to be armed
	Again   bool // sent again, because an earlier send has not been answered
}

// Reply is a rank's answer to a command.
type Reply int

// Replies of a rank.
const (
	ReplyDone    Reply = iota // the command is carried out, or the rank is already in the state that the command requests
	ReplyRefused              // the command does not fit the rank's state, which is unchanged
	ReplyFenced               // the rank has seen a higher fence
	ReplyLost                 // no answer: the command may already be carried out, or be carried out later
)

// None stands for no version or no step.
const None int64 = -1

// RankStatus is the status of a rank at one moment.
type RankStatus struct {
	RequestedAt clock.Time // when the status was requested, on the coordinator's clock
	Epoch       int64
	Open        bool  // the group accepts requests
	Step        int64 // newest step that the rank has begun
	Version     int64 // of the map in use
	Prepared    int64 // version whose experts are all copied, or None
	Armed       int64 // armed version, or None
	ArmedStep   int64
	Held        int64 // held step, or None
}

// Phases of a switch. MayBeHolding relies on their order.
const (
	phaseIdle          = iota
	phasePrepare       // all ranks copy their experts
	phaseHold          // the holder holds a step
	phaseArmWitness    // the witness arms
	phaseArmLocal      // the local rank of the proposing coordinator arms
	phaseArm           // the other ranks but the holder arm
	phaseCommit        // the holder arms
	phaseRelease       // the holder releases the step
	phaseInspect       // the ranks are read to decide how to end a switch whose coordinator is lost or was refused
	phaseDisarm        // the other ranks disarm
	phaseDisarmLocal   // the local rank of the proposing coordinator disarms
	phaseDisarmWitness // the witness disarms
)

// MaxCoordinators bounds the ranks that may coordinate: a map version is a multiple of it plus the coordinator's local rank.
const MaxCoordinators = 1 << 10

// Timing of a switch.
const (
	resendInterval        = 35 * clock.Millisecond   // between two sends of an unanswered command at least
	prepareResendInterval = 400 * clock.Millisecond  // between two sends of an unanswered OpPrepare at least, which is large
	prepareTimeout        = 6 * clock.Second         // for all ranks to copy their experts
	absentTimeout         = 400 * clock.Millisecond  // after which a lost coordinator's unresponsive local rank is left out
	holdTimeout           = 2 * clock.Second         // for a hold to be acknowledged, or the holder of a step to be read
	foreignHoldDelay      = 300 * clock.Millisecond  // for which another coordinator's hold is seen before it is taken over
	failureCooldown       = 1500 * clock.Millisecond // after a failed switch
	fencedCooldown        = 3 * clock.Second         // after a command was fenced off by another coordinator
	armLeadTime           = 60 * clock.Millisecond   // to arm all ranks before the held step is reached
	armLeadTimeLossy      = 450 * clock.Millisecond  // in place of armLeadTime after commands have gone unanswered
	defaultPassTime       = 60 * clock.Millisecond   // duration of a pass before one is measured
	minPassTime           = 10 * clock.Millisecond   // lower limit of the measured duration of a pass
	lossyPeriod           = 10 * clock.Second        // for which armLeadTimeLossy applies after an unanswered command
)

// maxStepsAhead is the largest distance in passes from the newest known step to a held one. A coordinator waits for as many
// passes before its first switch, so that each step that an earlier one with the same local rank may have named has begun.
const maxStepsAhead = 12

// Bounds of how far numbers are raised above the known ones; numbers are milliseconds times MaxCoordinators.
const (
	minLead = int64(clock.Second) * MaxCoordinators
	maxLead = 10 * int64(clock.Minute) * MaxCoordinators
)

// HoldCoordinator switches a group to another map by holding a step at one rank, the holder: it arms all other ranks for
// the held step, then the holder, and releases the step.
//
// Commands may be lost or carried out late, and ranks need not reject old ones, so no command relies on its order:
//
//   - A rank that has prepared another version can never be armed for the switch, and an armed rank refuses to prepare. The
//     holder is armed after all others, so the switch can't fail any more once it is armed. Ranks are disarmed only if one
//     that is not armed has prepared another version, so that the switch can't succeed any more.
//   - A version is armed for one step only. Once the step has begun, a late arm or hold is refused and a late release has
//     no effect. No switch starts before all steps of earlier ones have begun.
//   - The local rank is unreachable whenever its coordinator's instance is, so other ranks hold the step and are armed
//     first: the witness, then the local rank, then the others. Disarming goes in reverse order. While the witness is not
//     armed no rank is, and if a rank but these two is armed, so is the local rank.
//
// So any coordinator can end the switch of another one. docs/EXPERT.md has the argument for each command.
// The coordinator is a pure state machine for one goroutine.
type HoldCoordinator struct {
	ResendAfter        clock.Span // time in ms that a command and its reply may take, after which it is sent again
	ResendPrepareAfter clock.Span // the same for OpPrepare

	// BegunEpoch is an incarnation of the group that began while this process ran and in which it has sent no command yet, None
	// for none. Ranks refuse commands of earlier incarnations, so no step of an earlier switch must be waited for.
	BegunEpoch int64

	localRank  int // rank on the coordinator's instance
	firstRank  int // local rank of the coordinator that proposed the map
	witness    int // rank that is armed first
	holder     int // rank that holds the step and is armed last
	ranks      []RankStatus
	phase      int
	phaseStart clock.Time // when the phase began

	version          int64
	step             int64 // step to hold or held, None before it is chosen
	epoch            int64
	fence            int64
	blockingVersion  int64 // version that replaces the switch's version at a rank that must not be armed
	lead             int64 // how far numbers must be above the known ones, as a rank has seen higher ones
	lastEpoch        int64 // incarnation that lastStep belongs to
	lastStep         int64 // newest step that a hold of this coordinator may name
	lastID           uint64
	targetMap        Map
	acknowledged     []bool             // by rank: its command of this phase is carried out
	validAfter       []clock.Time       // by rank: a status requested after this moment reflects this phase
	pending          map[uint64]Command // unanswered commands, by ID
	sentAt           []clock.Time       // by rank: time of the newest command of this phase, -1 for none
	cooldownUntil    clock.Time         // no switch starts before
	foreignSince     clock.Time         // since when another coordinator's hold has been seen, 0 for none
	takenOver        bool               // the switch was proposed by another coordinator
	committing       bool               // the release of the held step completes a switch; otherwise the switch failed
	localUnreachable bool               // firstRank is unreachable and left out; it is armed
	mayDisarm        bool               // the ranks that are armed after those of the phase are cleared
	passTime         clock.Span         // duration of a pass in ms, 0 before one is measured
	unansweredAt     clock.Time         // time of the newest ReplyLost, 0 for none
	outcome          Outcome
	startedAt        clock.Time // start of the current switch
	preparedAt       clock.Time // when all ranks had prepared the map, 0 before that
}

// Outcome is the result of a switch.
type Outcome struct {
	Ended     bool
	Committed bool
	Version   int64
	Reason    string
	CopyTime  clock.Span // time in ms until all ranks had prepared the map
	ArmTime   clock.Span // time in ms from when all ranks had prepared the map until the end of the switch
}

// NewHoldCoordinator returns a coordinator for a group with the given number of ranks, whose status is unknown yet.
func NewHoldCoordinator(ranks, localRank int) *HoldCoordinator {
	h := &HoldCoordinator{localRank: localRank, ranks: make([]RankStatus, ranks), pending: make(map[uint64]Command), lastEpoch: None, BegunEpoch: None}
	for i := range h.ranks {
		h.ranks[i] = RankStatus{Epoch: None, Prepared: None, Armed: None, Held: None, RequestedAt: -1}
	}
	return h
}

// LocalRank returns the rank beside which the coordinator runs.
func (h *HoldCoordinator) LocalRank() int {
	return h.localRank
}

// RankOf returns the rank of an unanswered command.
func (h *HoldCoordinator) RankOf(id uint64) (rank int, known bool) {
	c, known := h.pending[id]
	return c.Rank, known
}

// Busy reports whether a switch or its recovery is in progress.
func (h *HoldCoordinator) Busy() bool {
	return h.phase != phaseIdle
}

// AwaitsStatus reports whether the coordinator waits for statuses that are requested after the current phase began.
func (h *HoldCoordinator) AwaitsStatus() bool {
	return h.phase >= phaseInspect || (h.phase == phaseHold && h.step == None)
}

// MayBeHolding reports whether the group may be waiting for this coordinator's release.
func (h *HoldCoordinator) MayBeHolding() bool {
	return h.phase >= phaseHold
}

// TakeOutcome returns the outcome of the last switch and clears it.
func (h *HoldCoordinator) TakeOutcome() Outcome {
	o := h.outcome
	h.outcome = Outcome{}
	return o
}

// Status returns the newest known status of the rank.
func (h *HoldCoordinator) Status(rank int) RankStatus {
	return h.ranks[rank]
}

// Ready reports whether all statuses were requested at or after the given time and show open ranks of one incarnation.
func (h *HoldCoordinator) Ready(after clock.Time) bool {
	for _, s := range h.ranks {
		if s.RequestedAt < after || s.Epoch != h.ranks[0].Epoch || !s.Open {
			return false
		}
	}
	return true
}

// Propose starts the switch to m with number, which comes from a clock, as version and fence, or a higher one if the clock
// is behind that of an earlier coordinator. It returns false during another switch or a cooldown, if the group is not
// settled, or until the steps of earlier switches have begun.
func (h *HoldCoordinator) Propose(now clock.Time, m Map, number int64) bool {
	if h.phase != phaseIdle || now < h.cooldownUntil || !h.settled() || !h.earlierStepsBegun() {
		return false
	}
	h.fence = h.nextNumber(number)
	h.version, h.targetMap, h.epoch = h.fence, m, h.ranks[0].Epoch
	h.setProposer(h.localRank)
	h.takenOver, h.committing = false, false
	h.startedAt, h.preparedAt = now, 0
	h.enterPhase(now, phasePrepare)
	return true
}

// setProposer sets the ranks with a part of their own in a switch that the coordinator beside the given rank proposed.
func (h *HoldCoordinator) setProposer(rank int) {
	ranks := len(h.ranks)
	h.firstRank = rank
	h.holder = (rank + 1) % ranks
	h.witness = rank
	if ranks > 2 {
		h.witness = (rank + (ranks+1)/2) % ranks
	}
	h.localUnreachable = false
}

// earlierStepsBegun reports whether all steps that a hold with this coordinator's local rank may name have begun.
func (h *HoldCoordinator) earlierStepsBegun() bool {
	limit := h.newestStep() + maxStepsAhead
	if h.lastEpoch != h.ranks[0].Epoch || h.lastStep > limit { // first statuses, or the group has restarted
		first := h.lastEpoch == None
		h.lastEpoch, h.lastStep = h.ranks[0].Epoch, limit
		if first && h.lastEpoch == h.BegunEpoch {
			h.lastStep = h.newestStep()
		}
	}
	return h.newestStep() >= h.lastStep
}

// nextNumber returns a version or fence that is at least number and above all that this coordinator knows of.
func (h *HoldCoordinator) nextNumber(number int64) int64 {
	newest := h.fence
	for _, s := range h.ranks {
		newest = max(newest, s.Version, s.Prepared, s.Armed)
	}
	return max(number, (newest/MaxCoordinators+1)*MaxCoordinators+int64(h.localRank)+h.lead)
}

// raiseLead makes the next numbers higher, since a rank has seen higher ones that its status does not show.
func (h *HoldCoordinator) raiseLead() {
	h.lead = min(max(2*h.lead, minLead), maxLead)
}

// settled reports whether all ranks are open, use one map in one incarnation, and none is armed or holds a step.
func (h *HoldCoordinator) settled() bool {
	first := h.ranks[0]
	for _, s := range h.ranks {
		if s.Epoch == None || !s.Open || s.Epoch != first.Epoch || s.Version != first.Version || s.Armed != None || s.Held != None {
			return false
		}
	}
	return true
}

func (h *HoldCoordinator) enterPhase(now clock.Time, phase int) {
	h.phase, h.phaseStart = phase, now
	h.acknowledged = make([]bool, len(h.ranks))
	h.sentAt = make([]clock.Time, len(h.ranks))
	h.validAfter = make([]clock.Time, len(h.ranks))
	for i := range h.sentAt {
		h.sentAt[i] = -1
		h.validAfter[i] = now
	}
	clear(h.pending)
}

// UpdateStatus stores a rank's status unless a newer one is known.
func (h *HoldCoordinator) UpdateStatus(rank int, s RankStatus) {
	if rank < 0 || rank >= len(h.ranks) || s.RequestedAt < h.ranks[rank].RequestedAt {
		return
	}
	if rank == h.localRank {
		h.measurePass(h.ranks[rank], s)
	}
	h.ranks[rank] = s
}

// Handle processes the reply to a command.
func (h *HoldCoordinator) Handle(now clock.Time, id uint64, reply Reply) {
	c, known := h.pending[id]
	if !known {
		return
	}
	delete(h.pending, id)
	switch reply {
	case ReplyDone:
		h.acknowledged[c.Rank] = true
		h.applyDone(now, c)
	case ReplyFenced:
		h.handleFenced(now)
	case ReplyRefused:
		h.handleRefused(now)
	case ReplyLost:
		h.unansweredAt = now
		h.sentAt[c.Rank] = min(h.sentAt[c.Rank], now.Add(-resendInterval/2)) // resend after half the interval
	}
}

// applyDone updates the rank's status by a command that was carried out to undo a switch.
func (h *HoldCoordinator) applyDone(now clock.Time, c Command) {
	s := &h.ranks[c.Rank]
	switch {
	case h.phase < phaseDisarm:
		return
	case c.Op == OpDisarm:
		s.Armed = None
	case c.Op == OpPrepare:
		s.Prepared = c.Version
	}
	s.RequestedAt = now.Add(1) // statuses requested up to now may be older than the command
}

// handleFenced ends the switch, since another coordinator has a higher fence.
func (h *HoldCoordinator) handleFenced(now clock.Time) {
	h.finish(now, false, "another director gives orders")
	h.cooldownUntil = now.Add(fencedCooldown)
	h.foreignSince = 0
	h.raiseLead()
}

func (h *HoldCoordinator) handleRefused(now clock.Time) {
	switch h.phase {
	case phasePrepare:
		h.finish(now, false, "a rank refused the map")
		h.cooldownUntil = now.Add(failureCooldown)
		h.raiseLead()
	case phaseHold:
		h.step = None // the step has already begun, or another one is held: read the holder again
		h.sentAt[h.holder], h.validAfter[h.holder] = -1, now
	case phaseArmWitness, phaseArmLocal, phaseArm, phaseCommit:
		h.setReason("a rank refused to arm")
		h.enterPhase(now, phaseInspect)
	case phaseRelease:
		h.step = None // the holder no longer holds the step
		h.finish(now, false, "the step is not held")
	case phaseDisarm, phaseDisarmLocal, phaseDisarmWitness:
		h.enterPhase(now, phaseInspect) // the rank's status is no longer the known one
	}
}

// setReason stores why the switch fails, unless an earlier reason is known.
func (h *HoldCoordinator) setReason(reason string) {
	if h.outcome.Reason == "" {
		h.outcome = Outcome{Version: h.version, Reason: reason}
	}
}

func (h *HoldCoordinator) finish(now clock.Time, committed bool, reason string) {
	if committed || h.outcome.Reason == "" {
		h.outcome = Outcome{Version: h.version, Committed: committed, Reason: reason}
	}
	h.outcome.Ended = true
	if h.startedAt > 0 && h.preparedAt > 0 {
		h.outcome.CopyTime, h.outcome.ArmTime = h.preparedAt.Sub(h.startedAt), now.Sub(h.preparedAt)
	}
	h.startedAt = 0
	if !committed {
		h.cooldownUntil = max(h.cooldownUntil, now.Add(failureCooldown))
	}
	h.enterPhase(now, phaseIdle)
}

// Tick advances the switch and returns the commands that are due; number comes from a clock, as for Propose.
func (h *HoldCoordinator) Tick(now clock.Time, number int64) []Command {
	if h.phase != phaseIdle && h.groupRestarted() {
		h.finish(now, false, "the group began a new life")
	}
	switch h.phase {
	case phaseIdle:
		if h.settled() {
			h.earlierStepsBegun() // notes the first known step
		}
		h.detectForeignHold(now)
	case phasePrepare:
		h.awaitPrepared(now)
	case phaseHold:
		h.awaitHold(now)
	case phaseArmWitness:
		h.awaitArmed(now, phaseArmLocal)
	case phaseArmLocal:
		h.awaitArmed(now, phaseArm)
	case phaseArm:
		h.awaitArmed(now, phaseCommit)
	case phaseCommit:
		h.committing = true
		h.awaitArmed(now, phaseRelease)
	case phaseRelease:
		if h.acknowledged[h.holder] {
			h.handleReleased(now)
		}
	case phaseInspect:
		h.inspect(now, number)
	case phaseDisarm:
		h.awaitCleared(now, phaseDisarmLocal)
	case phaseDisarmLocal:
		h.awaitCleared(now, phaseDisarmWitness)
	case phaseDisarmWitness:
		h.awaitCleared(now, phaseRelease)
	}
	return h.send(now)
}
