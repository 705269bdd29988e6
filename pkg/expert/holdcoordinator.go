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
	Map     Map  // for OpPrepare
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
	Busy        bool  // the rank has requests, so passes run without a break
}

// Phases of a switch.
const (
	phaseIdle           = iota
	phasePrepare        // all ranks copy their experts
	phaseHold           // the holder holds a step
	phaseArmHolder      // the holder arms
	phaseArmFirst       // the local rank of the proposing coordinator arms
	phaseArm            // the other ranks arm
	phaseVerify         // the status of all ranks is read back
	phaseRelease        // the holder releases the step
	phaseRollbackHold   // the holder confirms that the step is still held for this coordinator
	phaseRollback       // all ranks but the holder and the first one disarm
	phaseRollbackFirst  // the local rank of the proposing coordinator disarms
	phaseRollbackHolder // the holder disarms
	phaseVerifyRollback // the status of all ranks is read back
	phaseTakeOver       // a hold that another coordinator left behind is taken over
	phaseInspect        // the status of all ranks is read to complete or roll back the switch of the hold that was taken over
)

// MaxCoordinators bounds the ranks that may coordinate: a map version is a multiple of it plus the coordinator's local rank.
const MaxCoordinators = 1 << 10

// Timing of a switch.
const (
	resendInterval        = 35 * clock.Millisecond   // between two sends of an unanswered command
	prepareResendInterval = 400 * clock.Millisecond  // between two sends of an unanswered OpPrepare, which is large
	prepareTimeout        = 6 * clock.Second         // for all ranks to copy their experts
	absentTimeout         = 400 * clock.Millisecond  // after which a lost coordinator's unresponsive local rank is left out
	armTimeout            = 700 * clock.Millisecond  // for all ranks to arm and be read back while a step is held
	holdTimeout           = 2 * clock.Second         // for a hold to be acknowledged
	foreignHoldDelay      = 300 * clock.Millisecond  // for which another coordinator's hold is seen before it is taken over
	failureCooldown       = 1500 * clock.Millisecond // after a failed switch
	fencedCooldown        = 3 * clock.Second         // after a command was fenced off by another coordinator
	armLeadTime           = 60 * clock.Millisecond   // to arm and read back all ranks before the held step is reached
	armLeadTimeLossy      = 450 * clock.Millisecond  // in place of armLeadTime after commands have gone unanswered
	defaultPassTime       = 60 * clock.Millisecond   // duration of a pass before one is measured
	minPassTime           = 10 * clock.Millisecond   // lower limit of the measured duration of a pass
	lossyPeriod           = 10 * clock.Second        // for which armLeadTimeLossy applies after an unanswered command
)

// Bounds of how far numbers are raised above the known ones; numbers are milliseconds times MaxCoordinators.
const (
	minLead = int64(clock.Second) * MaxCoordinators
	maxLead = 10 * int64(clock.Minute) * MaxCoordinators
)

// HoldCoordinator switches a group to another map by holding a step: it arms all ranks for the held step, reads their status
// back, and releases the step only if all are armed; otherwise it disarms them before the release.
//
// Commands may be lost or carried out late, so each attempt has a higher fence than all earlier ones, and a hold that
// another coordinator left behind is taken over and its switch completed or rolled back. The local rank is unreachable
// whenever its coordinator's instance is, so a rank of another instance holds the step. The holder is armed first, then
// the local rank, then the others; disarming goes in reverse order. So no rank is armed while the holder is not, and if
// any rank but these two is armed, the local rank is armed as well; another coordinator infers this if it cannot reach the
// local rank.
// The coordinator is a pure state machine for one goroutine.
type HoldCoordinator struct {
	localRank  int // rank on the coordinator's instance
	firstRank  int // rank that is armed right after the holder: the local rank of the coordinator that proposed the map
	holder     int // rank that holds the step
	ranks      []RankStatus
	phase      int
	phaseStart clock.Time // when the phase began

	version          int64
	step             int64 // step to hold or held, None before it is chosen
	epoch            int64
	fence            int64
	lead             int64 // how far numbers must be above the known ones, as a rank has seen higher ones
	lastID           uint64
	targetMap        Map
	acknowledged     []bool             // by rank: its command of this phase is carried out
	validAfter       []clock.Time       // by rank: a status requested after this moment reflects this phase
	pending          map[uint64]Command // unanswered commands, by ID
	sentAt           []clock.Time       // by rank: time of the newest command of this phase, -1 for none
	cooldownUntil    clock.Time         // no switch starts before
	foreignSince     clock.Time         // since when another coordinator's hold has been seen, 0 for none
	committing       bool               // the release of the held step completes a switch; otherwise it follows a rollback
	firstUnreachable bool               // the first rank is unreachable and left out; it is known to be armed, or can no longer be armed
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
	h := &HoldCoordinator{localRank: localRank, ranks: make([]RankStatus, ranks), pending: make(map[uint64]Command)}
	for i := range h.ranks {
		h.ranks[i] = RankStatus{Epoch: None, Prepared: None, Armed: None, Held: None, RequestedAt: -1}
	}
	return h
}

// Busy reports whether a switch or its recovery is in progress.
func (h *HoldCoordinator) Busy() bool {
	return h.phase != phaseIdle
}

// AwaitsStatus reports whether the coordinator waits for statuses that are requested after the current phase began.
func (h *HoldCoordinator) AwaitsStatus() bool {
	switch h.phase {
	case phaseVerify, phaseVerifyRollback, phaseInspect:
		return true
	}
	return false
}

// MayBeHolding reports whether the switch is past its hold phase, so that the group may be waiting for this coordinator's release.
func (h *HoldCoordinator) MayBeHolding() bool {
	return h.phase > phaseHold
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
// is behind that of an earlier coordinator. It returns false during another switch or a cooldown, or if the group is not
// settled.
func (h *HoldCoordinator) Propose(now clock.Time, m Map, number int64) bool {
	if h.phase != phaseIdle || now < h.cooldownUntil || !h.settled() {
		return false
	}
	h.fence = h.nextNumber(number)
	h.version, h.targetMap, h.epoch = h.fence, m, h.ranks[0].Epoch
	h.firstRank = h.localRank
	h.holder = (h.localRank + (len(h.ranks)+1)/2) % len(h.ranks)
	h.firstUnreachable = false
	h.startedAt, h.preparedAt = now, 0
	h.enterPhase(now, phasePrepare)
	return true
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
		h.validAfter[c.Rank] = now
	case ReplyFenced:
		h.handleFenced(now)
	case ReplyRefused:
		h.handleRefused(now, c)
	case ReplyLost:
		h.unansweredAt = now
		h.sentAt[c.Rank] = min(h.sentAt[c.Rank], now.Add(-resendInterval/2)) // resend after half the interval
	}
}

// handleFenced ends the switch, since another coordinator has a higher fence.
func (h *HoldCoordinator) handleFenced(now clock.Time) {
	h.finish(now, false, "another director gives orders")
	h.cooldownUntil = now.Add(fencedCooldown)
	h.foreignSince = 0
	h.raiseLead()
}

func (h *HoldCoordinator) handleRefused(now clock.Time, c Command) {
	switch h.phase {
	case phasePrepare:
		h.finish(now, false, "a rank refused the map")
		h.cooldownUntil = now.Add(failureCooldown)
		h.raiseLead()
	case phaseHold:
		h.step = None // the step has already begun: hold a later one
		h.sentAt[h.holder] = -1
	case phaseArm, phaseArmFirst, phaseArmHolder:
		h.rollBack(now, "a rank refused to arm")
	case phaseRelease, phaseTakeOver, phaseRollbackHold:
		h.step = None // the holder no longer holds the step
		h.finish(now, false, "the step is not held")
	case phaseRollback, phaseRollbackFirst, phaseRollbackHolder:
		h.acknowledged[c.Rank] = true // that version is not armed, and the rank has seen the fence
		h.validAfter[c.Rank] = now
	}
}

func (h *HoldCoordinator) rollBack(now clock.Time, reason string) {
	h.outcome = Outcome{Version: h.version, Reason: reason}
	if h.version == None {
		for _, s := range h.ranks {
			h.version = max(h.version, s.Prepared, 0) // any version will do: the command only has to deliver its fence
		}
	}
	h.fence++
	h.committing, h.firstUnreachable = false, false
	h.enterPhase(now, phaseRollbackHold)
}

func (h *HoldCoordinator) finish(now clock.Time, committed bool, reason string) {
	if h.outcome.Reason == "" {
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
		h.detectForeignHold(now, number)
	case phasePrepare:
		h.awaitPrepared(now)
	case phaseHold:
		h.awaitHold(now)
	case phaseArmHolder:
		h.awaitArmed(now, phaseArmFirst)
	case phaseArmFirst:
		h.awaitArmed(now, phaseArm)
	case phaseArm:
		h.awaitArmed(now, phaseVerify)
	case phaseVerify:
		h.verifyArmed(now)
	case phaseRelease:
		if h.acknowledged[h.holder] {
			h.handleReleased(now)
		}
	case phaseRollbackHold:
		if h.allTargets(h.hasAcknowledged) {
			h.enterPhase(now, phaseRollback)
		}
	case phaseRollback:
		if h.allTargets(h.hasAcknowledged) && h.firstUnreachable {
			h.enterPhase(now, phaseRollbackHolder)
		} else if h.allTargets(h.hasAcknowledged) {
			h.enterPhase(now, phaseRollbackFirst)
		}
	case phaseRollbackFirst:
		if h.allTargets(h.hasAcknowledged) {
			h.enterPhase(now, phaseRollbackHolder)
		}
	case phaseRollbackHolder:
		if h.allTargets(h.hasAcknowledged) {
			h.enterPhase(now, phaseVerifyRollback)
		}
	case phaseVerifyRollback:
		h.verifyRollback(now)
	case phaseTakeOver:
		if h.acknowledged[h.holder] {
			h.enterPhase(now, phaseInspect)
		}
	case phaseInspect:
		h.inspect(now)
	}
	return h.send(now)
}
