package expert

import "carawaypick/pkg/clock"

func (d *Director) prepare(now clock.Time) {
	for _, s := range d.ranks {
		if s.Prepared != d.version {
			if now.Sub(d.since) > prepareLimit {
				d.end(now, false, "a rank did not prepare the map in time")
			}
			return
		}
	}
	d.copied = now
	d.enter(now, phaseHold)
	d.step = None
}

func (d *Director) hold(now clock.Time) {
	if d.step != None && d.done[d.holder] {
		d.enter(now, phaseArmHolder)
		return
	}
	if now.Sub(d.since) > holdLimit {
		// The hold may still come into force; it is released like any other that nobody needs.
		d.end(now, false, "the step could not be held")
		return
	}
	if d.step == None {
		d.step = d.newest() + d.ahead(now)
		d.fence++
	}
}

// ahead returns the steps from the newest known one to the one to hold: the ranks are to be armed before it is reached.
func (d *Director) ahead(now clock.Time) int64 {
	time := armTime
	if d.lost > 0 && now.Sub(d.lost) < lossyFor {
		time = armTimeLossy
	}
	pass := d.pass
	if pass == 0 {
		pass = usualPass
	}
	pass = max(pass, leastPass)
	return 1 + int64((time+pass-1)/pass)
}

// timed measures the length of a pass between two standings of the own rank.
func (d *Director) timed(old, s Standing) {
	if steps := s.Step - old.Step; old.Epoch == s.Epoch && steps > 0 {
		d.pass = s.Asked.Sub(old.Asked) / clock.Span(steps)
	}
}

func (d *Director) newest() int64 {
	newest := int64(0)
	for _, s := range d.ranks {
		newest = max(newest, s.Step)
	}
	return newest
}

func (d *Director) arm(now clock.Time, next int) {
	if d.complete(d.obeyed) {
		d.enter(now, next)
	} else if now.Sub(d.since) > armLimit {
		d.backOut(now, "a rank did not answer")
	}
}

// verify releases the step once all ranks that the phase concerns are read back as armed.
func (d *Director) verify(now clock.Time) {
	if !d.complete(d.read) {
		if now.Sub(d.since) > armLimit {
			d.backOut(now, "a rank could not be read back")
		}
		return
	}
	if !d.complete(d.armed) {
		d.backOut(now, "the ranks are not unanimous")
		return
	}
	d.commits = true
	d.enter(now, phaseGo)
}

func (d *Director) released(now clock.Time) {
	d.ranks[d.holder].Held = None
	d.ranks[d.holder].Asked = now
	if d.commits {
		d.end(now, true, "all ranks were armed")
	} else {
		d.end(now, false, "the step was released without a switch")
	}
	d.commits = false
}

// send returns the commands of the phase that are due.
func (d *Director) send(now clock.Time) (commands []Command) {
	op, ranks := d.orders()
	if op == "" {
		return nil
	}
	for _, rank := range ranks {
		if d.done[rank] || (d.sent[rank] >= 0 && now.Sub(d.sent[rank]) < resend) {
			continue
		}
		if op == OpPrepare && d.sent[rank] >= 0 && now.Sub(d.sent[rank]) < copyResend {
			continue
		}
		again := d.sent[rank] >= 0
		d.sent[rank] = now
		d.next++
		c := Command{ID: d.next, Rank: rank, Op: op, Version: d.version, Step: d.step, Epoch: d.epoch, Fence: d.fence, Again: again}
		if op == OpPrepare {
			c.Map = d.m
		}
		d.open[c.ID] = c
		commands = append(commands, c)
	}
	return commands
}

func (d *Director) orders() (op string, ranks []int) {
	switch d.phase {
	case phasePrepare:
		op = OpPrepare
	case phaseArm, phaseArmFirst, phaseArmHolder:
		op = OpArm
	case phaseBackOut, phaseBackOutFirst, phaseBackOutHolder:
		op = OpDisarm
	case phaseHold, phaseSeize, phaseBackOutHold:
		if d.step != None {
			op = OpHold
		}
	case phaseGo:
		op = OpGo
	}
	return op, d.targets()
}

// targets returns the ranks that the phase concerns.
func (d *Director) targets() (ranks []int) {
	switch d.phase {
	case phaseHold, phaseSeize, phaseGo, phaseArmHolder, phaseBackOutHold, phaseBackOutHolder:
		return []int{d.holder}
	case phaseArmFirst, phaseBackOutFirst:
		return []int{d.first}
	}
	for i := range d.ranks {
		switch d.phase {
		case phaseArm:
			if i == d.first {
				continue
			}
		case phaseBackOut:
			if i == d.first || i == d.holder {
				continue
			}
		case phaseVerify, phaseCheck:
			if i == d.first && d.left {
				continue
			}
		}
		ranks = append(ranks, i)
	}
	return ranks
}

// obeyed tells whether the rank has done its part of the phase.
func (d *Director) obeyed(rank int) bool {
	return d.done[rank]
}

// read tells whether the rank was read since it did its part of the phase.
func (d *Director) read(rank int) bool {
	return d.ranks[rank].Asked > d.marks[rank]
}

// armed tells whether the rank is armed for the switch that is under way.
func (d *Director) armed(rank int) bool {
	s := d.ranks[rank]
	return s.Armed == d.version && s.ArmedStep == d.step && s.Epoch == d.epoch
}

func (d *Director) complete(has func(rank int) bool) bool {
	for _, rank := range d.targets() {
		if !has(rank) {
			return false
		}
	}
	return true
}
