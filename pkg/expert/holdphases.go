package expert

import (
	"slices"

	"carawaypick/pkg/clock"
)

func (h *HoldCoordinator) awaitPrepared(now clock.Time) {
	for _, s := range h.ranks {
		if s.Prepared != h.version {
			if now.Sub(h.phaseStart) > prepareTimeout {
				h.finish(now, false, "a rank did not prepare the map in time")
			}
			return
		}
	}
	h.preparedAt, h.lead = now, 0
	h.enterPhase(now, phaseHold)
	h.step, h.validAfter[h.holder] = None, -1 // the known status will do for the first try
}

func (h *HoldCoordinator) awaitHold(now clock.Time) {
	if h.step != None && (h.acknowledged[h.holder] || h.isHeld()) {
		h.enterPhase(now, phaseArmWitness)
		return
	}
	if now.Sub(h.phaseStart) > holdTimeout {
		// The hold may still take effect; it is then released like any abandoned hold.
		h.finish(now, false, "the step could not be held")
		return
	}
	if h.step != None || !h.hasReadBack(h.holder) {
		return
	}
	if h.ranks[h.holder].Held != None {
		h.finish(now, false, "another step is held")
		return
	}
	h.step = h.newestStep() + h.stepsAhead(now)
	h.lastStep = h.step
}

// isHeld reports whether the holder is known to hold the step.
func (h *HoldCoordinator) isHeld() bool {
	s := h.ranks[h.holder]
	return s.Epoch == h.epoch && s.Held == h.step && h.step != None
}

// stepsAhead returns the distance from the newest known step to the one to hold, which leaves time to arm all ranks.
func (h *HoldCoordinator) stepsAhead(now clock.Time) int64 {
	leadTime := armLeadTime
	if h.unansweredAt > 0 && now.Sub(h.unansweredAt) < lossyPeriod {
		leadTime = armLeadTimeLossy
	}
	passTime := h.passTime
	if passTime == 0 {
		passTime = defaultPassTime
	}
	passTime = max(passTime, minPassTime)
	return min(1+int64((leadTime+passTime-1)/passTime), maxStepsAhead)
}

// measurePass derives the duration of a pass from two successive statuses of the local rank.
func (h *HoldCoordinator) measurePass(old, s RankStatus) {
	if steps := s.Step - old.Step; old.Epoch == s.Epoch && steps > 0 {
		h.passTime = s.RequestedAt.Sub(old.RequestedAt) / clock.Span(steps)
	}
}

func (h *HoldCoordinator) newestStep() int64 {
	newest := int64(0)
	for _, s := range h.ranks {
		newest = max(newest, s.Step)
	}
	return newest
}

// awaitArmed enters the next phase once all target ranks are armed. It does not give up on an unresponsive rank, since
// that rank would have to be read before the step could be released without it.
func (h *HoldCoordinator) awaitArmed(now clock.Time, next int) {
	if h.allTargets(func(rank int) bool { return h.acknowledged[rank] || h.isArmed(rank) }) {
		h.enterPhase(now, next)
	}
}

// awaitCleared enters the next phase once no target rank is armed for the switch or can be armed for it. A rank that was
// not armed before and is armed now is not disarmed, since others may be armed after it: all ranks are read again.
func (h *HoldCoordinator) awaitCleared(now clock.Time, next int) {
	switch {
	case !h.mayDisarm && slices.ContainsFunc(h.targets(), h.isArmed):
		h.enterPhase(now, phaseInspect)
	case h.allTargets(h.isCleared):
		h.mayDisarm = true
		h.enterPhase(now, next)
	}
}

func (h *HoldCoordinator) handleReleased(now clock.Time) {
	h.ranks[h.holder].Held = None
	h.ranks[h.holder].RequestedAt = now
	if h.committing {
		h.finish(now, true, "all ranks were armed")
	} else {
		h.finish(now, false, "the step was released without a switch")
	}
	h.committing = false
}

// send returns the commands of the current phase that are due.
func (h *HoldCoordinator) send(now clock.Time) (commands []Command) {
	for _, rank := range h.targets() {
		op, version := h.currentOp(rank)
		if op == "" || (h.sentAt[rank] >= 0 && now.Sub(h.sentAt[rank]) < h.resendAfter()) {
			continue
		}
		resent := h.sentAt[rank] >= 0
		h.sentAt[rank] = now
		h.lastID++
		c := Command{ID: h.lastID, Rank: rank, Op: op, Version: version, Step: h.step, Epoch: h.epoch, Fence: h.fence, Again: resent}
		if h.phase == phasePrepare {
			c.Map = h.targetMap
		}
		h.pending[c.ID] = c
		commands = append(commands, c)
	}
	return commands
}

// resendAfter returns the time in ms between two sends of an unanswered command of the current phase.
func (h *HoldCoordinator) resendAfter() clock.Span {
	if h.phase == phasePrepare {
		return max(prepareResendInterval, h.ResendPrepareAfter)
	}
	return max(resendInterval, h.ResendAfter)
}

// currentOp returns the command that the rank needs in the current phase, or an empty op for none.
func (h *HoldCoordinator) currentOp(rank int) (op string, version int64) {
	if h.phase >= phaseDisarm {
		return h.clearingOp(rank)
	}
	if h.acknowledged[rank] {
		return "", None
	}
	switch h.phase {
	case phasePrepare:
		return OpPrepare, h.version
	case phaseArmWitness, phaseArmLocal, phaseArm, phaseCommit:
		return OpArm, h.version
	case phaseHold:
		if h.step != None {
			return OpHold, None
		}
	case phaseRelease:
		return OpRelease, None
	}
	return "", None
}

// targets returns the ranks that take part in the current phase.
func (h *HoldCoordinator) targets() (ranks []int) {
	switch h.phase {
	case phaseIdle, phaseInspect:
		return nil
	case phaseHold, phaseCommit, phaseRelease:
		return []int{h.holder}
	case phaseArmWitness, phaseDisarmWitness:
		return []int{h.witness}
	case phaseArmLocal, phaseDisarmLocal:
		if h.localUnreachable {
			return nil
		}
		return []int{h.firstRank}
	case phaseArm, phaseDisarm:
		for rank := range h.ranks {
			if rank != h.firstRank && rank != h.witness && rank != h.holder {
				ranks = append(ranks, rank)
			}
		}
		return ranks
	}
	for rank := range h.ranks { // phasePrepare
		ranks = append(ranks, rank)
	}
	return ranks
}

// hasReadBack reports whether the rank's status reflects the current phase.
func (h *HoldCoordinator) hasReadBack(rank int) bool {
	return h.ranks[rank].RequestedAt > h.validAfter[rank]
}

// isArmed reports whether the rank is armed for the current switch.
func (h *HoldCoordinator) isArmed(rank int) bool {
	s := h.ranks[rank]
	return s.Armed == h.version && s.ArmedStep == h.step && s.Epoch == h.epoch
}

func (h *HoldCoordinator) allTargets(has func(rank int) bool) bool {
	for _, rank := range h.targets() {
		if !has(rank) {
			return false
		}
	}
	return true
}
