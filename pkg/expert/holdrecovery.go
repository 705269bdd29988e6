package expert

import "carawaypick/pkg/clock"

// groupRestarted reports whether a rank is in a newer incarnation of the group, where nothing is prepared, armed or
// held.
func (h *HoldCoordinator) groupRestarted() bool {
	for _, s := range h.ranks {
		if s.Epoch != None && s.Epoch > h.epoch {
			return true
		}
	}
	return false
}

// detectForeignHold takes over a hold of another coordinator once it has been seen for foreignHoldDelay.
func (h *HoldCoordinator) detectForeignHold(now clock.Time) {
	holder := -1 // the rank with the newest status that shows a hold
	for rank, s := range h.ranks {
		if s.Held != None && (holder < 0 || s.RequestedAt > h.ranks[holder].RequestedAt) {
			holder = rank
		}
	}
	if holder < 0 {
		h.foreignSince = 0
		return
	}
	if h.foreignSince == 0 {
		h.foreignSince = now
	}
	if now.Sub(h.foreignSince) < foreignHoldDelay || now < h.cooldownUntil {
		return
	}
	h.foreignSince = 0
	h.setProposer((holder + len(h.ranks) - 1) % len(h.ranks))
	h.version, h.step, h.epoch = None, h.ranks[holder].Held, h.ranks[holder].Epoch
	h.takenOver, h.committing = true, false
	h.setReason("a hold was left behind")
	h.enterPhase(now, phaseInspect)
}

// inspect decides how the switch of the held step ends, or waits until the known statuses decide it.
func (h *HoldCoordinator) inspect(now clock.Time, number int64) {
	holder, witness := h.ranks[h.holder], h.ranks[h.witness]
	if !h.hasReadBack(h.holder) {
		if now.Sub(h.phaseStart) > holdTimeout {
			h.finish(now, false, "the holder of a step could not be read")
		}
		return
	}
	if holder.Epoch != h.epoch || holder.Held != h.step {
		h.finish(now, false, "the step is not held")
		return
	}
	if !h.hasReadBack(h.witness) {
		return
	}
	if h.takenOver {
		switch {
		case witness.Armed == None:
			h.version = witness.Prepared // the only version that the proposer can arm there
		case witness.ArmedStep == h.step:
			h.version = witness.Armed
		default:
			h.version = None // the witness takes part in a later switch
		}
		h.fence = h.nextNumber(number)
	}
	h.blockingVersion = h.nextNumber(number)
	h.localUnreachable, h.mayDisarm, h.committing = false, false, false
	switch {
	case h.isArmed(h.holder):
		h.committing = true
		h.enterPhase(now, phaseRelease)
	case !h.isArmed(h.witness):
		h.enterPhase(now, phaseDisarmWitness) // no rank is armed, and none can be once the witness can't
	case h.anyRank(h.cannotArm):
		h.clear(now)
	case h.canComplete(now):
		h.enterPhase(now, phaseArmLocal)
	}
}

// clear begins to disarm the ranks of a switch that can't succeed.
func (h *HoldCoordinator) clear(now clock.Time) {
	if h.hasReadBack(h.firstRank) && !h.isArmed(h.firstRank) {
		h.enterPhase(now, phaseDisarmLocal) // so no other rank is armed, but for the witness
		return
	}
	h.mayDisarm = true
	h.enterPhase(now, phaseDisarm)
}

// canComplete reports whether the ranks can all be armed for the switch. It leaves out an unresponsive local rank of a lost
// coordinator if another rank shows that it is armed.
func (h *HoldCoordinator) canComplete(now clock.Time) bool {
	for rank := range h.ranks {
		if !h.hasReadBack(rank) && rank != h.firstRank {
			return false
		}
	}
	if h.hasReadBack(h.firstRank) {
		return true
	}
	h.localUnreachable = now.Sub(h.phaseStart) >= absentTimeout && h.anyRank(h.isArmedAfterLocal)
	return h.localUnreachable
}

// cannotArm reports whether the rank is known to be unable to take part in the switch.
func (h *HoldCoordinator) cannotArm(rank int) bool {
	return h.hasReadBack(rank) && !h.isArmed(rank) && h.ranks[rank].Prepared != h.version
}

// isArmedAfterLocal reports whether the rank is armed for the switch and is armed only after the proposer's local rank.
func (h *HoldCoordinator) isArmedAfterLocal(rank int) bool {
	return rank != h.witness && rank != h.firstRank && rank != h.holder && h.isArmed(rank)
}

func (h *HoldCoordinator) anyRank(is func(rank int) bool) bool {
	for rank := range h.ranks {
		if is(rank) {
			return true
		}
	}
	return false
}

// clearingOp returns the command after which the rank can't switch to the version.
func (h *HoldCoordinator) clearingOp(rank int) (op string, version int64) {
	s := h.ranks[rank]
	switch {
	case h.isArmed(rank):
		return OpDisarm, h.version
	case s.Prepared == h.version && h.version != None:
		return OpPrepare, h.blockingVersion
	}
	return "", None
}

// isCleared reports whether the rank is not armed for the switch and can't be: a version is prepared at most once.
func (h *HoldCoordinator) isCleared(rank int) bool {
	op, _ := h.clearingOp(rank)
	return op == "" && h.hasReadBack(rank)
}
