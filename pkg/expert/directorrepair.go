package expert

import "carawaypick/pkg/clock"

// reborn tells whether a rank is in another life of the group, where nothing is prepared, armed or held.
func (d *Director) reborn() bool {
	for _, s := range d.ranks {
		if s.Epoch != None && s.Epoch > d.epoch {
			return true
		}
	}
	return false
}

// watch looks for a hold that another director has left behind.
func (d *Director) watch(now clock.Time, fence int64) {
	holder, step := -1, None
	for i, s := range d.ranks {
		if s.Held != None {
			holder, step = i, s.Held
		}
	}
	if holder < 0 {
		d.foreign = 0
		return
	}
	if d.foreign == 0 {
		d.foreign = now
	}
	if now.Sub(d.foreign) < foreignAfter || now < d.rest {
		return
	}
	d.foreign = 0
	d.holder, d.step, d.epoch = holder, step, d.ranks[holder].Epoch
	d.version = None
	for _, s := range d.ranks {
		d.version = max(d.version, s.Armed)
	}
	d.fence = max(d.fence+1, fence)
	d.left = false
	d.enter(now, phaseSeize)
}

// check releases the step once nothing is armed any more.
func (d *Director) check(now clock.Time) {
	if !d.complete(d.read) {
		return
	}
	for _, rank := range d.targets() {
		if s := d.ranks[rank]; s.Armed != None && s.Epoch == d.epoch {
			d.version, d.first = s.Armed, d.ownerOf(s.Armed)
			d.backOut(now, d.result.Reason)
			return
		}
	}
	d.enter(now, phaseGo)
}

// survey decides what becomes of a hold that was seized.
func (d *Director) survey(now clock.Time) {
	missing := 0
	for rank := range d.ranks {
		if !d.read(rank) {
			missing++
		}
	}
	d.version, d.first = d.newestMap()
	if missing == 0 {
		if d.complete(d.armed) {
			d.enter(now, phaseArmHolder) // again, with this director's fence: no other one may disarm them any more
			return
		}
		d.result.Reason = "a hold was left behind"
		d.backOut(now, d.result.Reason)
		return
	}
	if missing != 1 || d.read(d.first) || now.Sub(d.since) < absentAfter || !d.busy() {
		return
	}
	switch {
	case d.othersArmed():
		d.left = true
		d.enter(now, phaseArm) // the first rank is armed, since another one is
	case d.ranks[d.holder].Armed == None:
		d.result.Reason = "a hold was left behind"
		d.backOut(now, d.result.Reason)
		d.left = true // it is not armed, and never will be once the holder has seen the fence
	}
}

// newestMap returns the newest version that a rank has prepared and the rank beside its director.
func (d *Director) newestMap() (version int64, first int) {
	for _, s := range d.ranks {
		version = max(version, s.Prepared, s.Armed)
	}
	return version, d.ownerOf(version)
}

// ownerOf returns the rank beside the director that proposed the version.
func (d *Director) ownerOf(version int64) int {
	if owner := int(version % Owners); version > 0 && owner < len(d.ranks) {
		return owner
	}
	return d.own
}

// othersArmed tells whether a rank that was read, other than the holder, is armed for the held step.
func (d *Director) othersArmed() bool {
	for rank := range d.ranks {
		if rank != d.holder && d.read(rank) && d.armed(rank) {
			return true
		}
	}
	return false
}

// busy tells whether passes follow one another: then an order of the director that is gone finds the step begun when it
// comes late.
func (d *Director) busy() bool {
	for rank, s := range d.ranks {
		if d.read(rank) && s.Busy {
			return true
		}
	}
	return false
}
