package expert

import "carawaypick/pkg/clock"

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
	h.step = None
}

func (h *HoldCoordinator) awaitHold(now clock.Time) {
	if h.step != None && h.acknowledged[h.holder] {
		h.enterPhase(now, phaseArmHolder)
		return
	}
	if now.Sub(h.phaseStart) > holdTimeout {
		// The hold may still take effect; it is then released like any abandoned hold.
		h.finish(now, false, "the step could not be held")
		return
	}
	if h.step == None {
		h.step = h.newestStep() + h.stepsAhead(now)
		h.fence++
	}
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
	return 1 + int64((leadTime+passTime-1)/passTime)
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

func (h *HoldCoordinator) awaitArmed(now clock.Time, next int) {
	if h.allTargets(h.hasAcknowledged) {
		h.enterPhase(now, next)
	} else if now.Sub(h.phaseStart) > armTimeout {
		h.rollBack(now, "a rank did not answer")
	}
}

// verifyArmed releases the step once the status of all target ranks shows that they are armed.
func (h *HoldCoordinator) verifyArmed(now clock.Time) {
	if !h.allTargets(h.hasReadBack) {
		if now.Sub(h.phaseStart) > armTimeout {
			h.rollBack(now, "a rank could not be read back")
		}
		return
	}
	if !h.allTargets(h.isArmed) {
		h.rollBack(now, "the ranks are not unanimous")
		return
	}
	h.committing = true
	h.enterPhase(now, phaseRelease)
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
	op, ranks := h.currentOp()
	if op == "" {
		return nil
	}
	for _, rank := range ranks {
		if h.acknowledged[rank] || (h.sentAt[rank] >= 0 && now.Sub(h.sentAt[rank]) < resendInterval) {
			continue
		}
		if op == OpPrepare && h.sentAt[rank] >= 0 && now.Sub(h.sentAt[rank]) < prepareResendInterval {
			continue
		}
		resent := h.sentAt[rank] >= 0
		h.sentAt[rank] = now
		h.lastID++
		c := Command{ID: h.lastID, Rank: rank, Op: op, Version: h.version, Step: h.step, Epoch: h.epoch, Fence: h.fence, Again: resent}
		if op == OpPrepare {
			c.Map = h.targetMap
		}
		h.pending[c.ID] = c
		commands = append(commands, c)
	}
	return commands
}

func (h *HoldCoordinator) currentOp() (op string, ranks []int) {
	switch h.phase {
	case phasePrepare:
		op = OpPrepare
	case phaseArm, phaseArmFirst, phaseArmHolder:
		op = OpArm
	case phaseRollback, phaseRollbackFirst, phaseRollbackHolder:
		op = OpDisarm
	case phaseHold, phaseTakeOver, phaseRollbackHold:
		if h.step != None {
			op = OpHold
		}
	case phaseRelease:
		op = OpRelease
	}
	return op, h.targets()
}

// targets returns the ranks that take part in the current phase.
func (h *HoldCoordinator) targets() (ranks []int) {
	switch h.phase {
	case phaseHold, phaseTakeOver, phaseRelease, phaseArmHolder, phaseRollbackHold, phaseRollbackHolder:
		return []int{h.holder}
	case phaseArmFirst, phaseRollbackFirst:
		return []int{h.firstRank}
	}
	for i := range h.ranks {
		switch h.phase {
		case phaseArm:
			if i == h.firstRank {
				continue
			}
		case phaseRollback:
			if i == h.firstRank || i == h.holder {
				continue
			}
		case phaseVerify, phaseVerifyRollback:
			if i == h.firstRank && h.firstUnreachable {
				continue
			}
		}
		ranks = append(ranks, i)
	}
	return ranks
}

// hasAcknowledged reports whether the rank has carried out its command of the phase.
func (h *HoldCoordinator) hasAcknowledged(rank int) bool {
	return h.acknowledged[rank]
}

// hasReadBack reports whether the rank's status was requested after it carried out its command of the phase.
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
