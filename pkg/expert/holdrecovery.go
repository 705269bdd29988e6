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
func (h *HoldCoordinator) detectForeignHold(now clock.Time, number int64) {
	holder, step := -1, None
	for i, s := range h.ranks {
		if s.Held != None {
			holder, step = i, s.Held
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
	h.holder, h.step, h.epoch = holder, step, h.ranks[holder].Epoch
	h.version = None
	for _, s := range h.ranks {
		h.version = max(h.version, s.Armed)
	}
	h.fence = h.nextNumber(number)
	h.firstUnreachable = false
	h.enterPhase(now, phaseTakeOver)
}

// verifyRollback releases the step if the status of all target ranks shows that none is armed, and rolls back again otherwise.
func (h *HoldCoordinator) verifyRollback(now clock.Time) {
	if !h.allTargets(h.hasReadBack) {
		return
	}
	for _, rank := range h.targets() {
		if s := h.ranks[rank]; s.Armed != None && s.Epoch == h.epoch {
			h.version, h.firstRank = s.Armed, h.proposerOf(s.Armed)
			h.rollBack(now, h.outcome.Reason)
			return
		}
	}
	h.enterPhase(now, phaseRelease)
}

// inspect completes or rolls back the switch of a hold that was taken over, or waits until the known statuses decide which.
func (h *HoldCoordinator) inspect(now clock.Time) {
	missing := 0
	for rank := range h.ranks {
		if !h.hasReadBack(rank) {
			missing++
		}
	}
	h.version, h.firstRank = h.newestVersion()
	if missing == 0 {
		if h.allTargets(h.isArmed) {
			h.enterPhase(now, phaseArmHolder) // arm again: this fence keeps others from disarming
			return
		}
		h.outcome.Reason = "a hold was left behind"
		h.rollBack(now, h.outcome.Reason)
		return
	}
	if missing != 1 || h.hasReadBack(h.firstRank) || now.Sub(h.phaseStart) < absentTimeout || !h.passesRunning() {
		return
	}
	switch {
	case h.otherRankArmed():
		h.firstUnreachable = true
		h.enterPhase(now, phaseArm) // another rank is armed, so the first one is too
	case h.ranks[h.holder].Armed == None:
		h.outcome.Reason = "a hold was left behind"
		h.rollBack(now, h.outcome.Reason)
		h.firstUnreachable = true // the first rank is not armed and can't be once the holder has seen the fence
	}
}

// newestVersion returns the newest version that any rank has prepared or armed, and the rank that proposerOf returns for it.
func (h *HoldCoordinator) newestVersion() (version int64, firstRank int) {
	for _, s := range h.ranks {
		version = max(version, s.Prepared, s.Armed)
	}
	return version, h.proposerOf(version)
}

// proposerOf returns the local rank of the coordinator that proposed the version, or this coordinator's local rank if the
// version identifies no rank.
func (h *HoldCoordinator) proposerOf(version int64) int {
	if proposer := int(version % MaxCoordinators); version > 0 && proposer < len(h.ranks) {
		return proposer
	}
	return h.localRank
}

// otherRankArmed reports whether a rank other than the holder is known to be armed for the held step.
func (h *HoldCoordinator) otherRankArmed() bool {
	for rank := range h.ranks {
		if rank != h.holder && h.hasReadBack(rank) && h.isArmed(rank) {
			return true
		}
	}
	return false
}

// passesRunning reports whether passes run without a break; a late command of a lost coordinator then finds its step
// begun and is rejected.
func (h *HoldCoordinator) passesRunning() bool {
	for rank, s := range h.ranks {
		if h.hasReadBack(rank) && s.Busy {
			return true
		}
	}
	return false
}
