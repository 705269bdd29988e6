package gateway

import (
	"github.com/go-kit/log/level"

	"carawaypick/internal/store"
	"carawaypick/pkg/clock"
)

const (
	defaultConfigTime = 2 * clock.Second // within which an acknowledged configuration is in force, if the settings don't tell it
	readerPercent     = 40               // of the config time: interval at which the entries that read the store confirm the state, in turn
	firstWaitPercent  = 10               // of the config time: until the first of them does so after a change
	checkPercent      = 55               // of the config time: age of the state at which the first entries check it against the store
	checkStepPercent  = 10               // of the config time: later that the next entries do so, as those before may have no path to the store
	maxCheckSteps     = 3                // steps after which all entries check the state themselves
	maxOrigins        = 256              // processes whose last confirmation is known, so that none is adopted twice
)

// configTime returns the time within which an acknowledged configuration must be in force.
func (s Settings) configTime() clock.Span {
	if s.ConfigTime > 0 {
		return s.ConfigTime
	}
	return defaultConfigTime
}

// readerInterval returns the interval at which the entries that read the store confirm the state, all taken together.
func (s Settings) readerInterval() clock.Span {
	return s.configTime() * readerPercent / 100
}

// firstWait returns the time until the first of these entries confirms the state after a change, which all see at once.
func (s Settings) firstWait() clock.Span {
	return s.configTime() * firstWaitPercent / 100
}

// checkAge returns the age of the state at which an entry checks it against the store. Each step has twice as many entries
// as all steps before it, so few read at once, and no entry waits for long for others that have no path to the store.
func (s Settings) checkAge(rank int) clock.Span {
	step := 0
	for size := maxStoreReaders; rank >= size && step < maxCheckSteps; size *= 2 {
		step++
	}
	return s.configTime() * clock.Span(checkPercent+step*checkStepPercent) / 100
}

// confirmation tells how old a state is at most: it has all that the store held Age ms ago.
//
// Each adoption of a confirmation makes it look newer by the time that the message took. So it has the identity of the
// process that got it from the store and a number, and no process adopts one twice.
type confirmation struct {
	Origin uint64     // drawn by the process that got it from the store; 0 for none
	Number uint64     // rises with each confirmation of the origin
	Age    clock.Span // ms since the store's answer
}

// Confirmation returns how old this process's state is at most, and the position that another process must have reached
// to have this state.
func (cs *ClusterState) Confirmation() (changed store.Position, c confirmation) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	c = cs.confirmed
	c.Age = cs.clock.Since(cs.confirmedAt)
	return cs.changedPosition, c
}

// Age returns the ms since the state was known to have all that the store held.
func (cs *ClusterState) Age() clock.Span {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.clock.Since(cs.confirmedAt)
}

// Confirm records that the store held nothing after the position at a time, by an answer to this process.
func (cs *ClusterState) Confirm(position store.Position, at clock.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !position.SameEra(cs.position) || position.After(cs.position) || at <= cs.confirmedAt {
		return
	}
	cs.ownNumber++
	cs.confirmed, cs.confirmedAt = confirmation{Origin: cs.origin, Number: cs.ownNumber}, at
}

// AdoptConfirmation records what another process knows, if this one has all of its changes. changed is the position that
// a process must have reached for that.
func (cs *ClusterState) AdoptConfirmation(changed store.Position, c confirmation) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c.Origin == 0 || c.Origin == cs.origin || c.Number <= cs.adopted[c.Origin] || !changed.SameEra(cs.position) || changed.After(cs.position) {
		return
	}
	if len(cs.adopted) >= maxOrigins {
		clear(cs.adopted)
	}
	cs.adopted[c.Origin] = c.Number
	if at := cs.clock.Now().Add(-c.Age); at > cs.confirmedAt {
		cs.endOutage()
		cs.confirmed, cs.confirmedAt = c, at
	}
}

// EndOutage starts the longer grace for missing registrations if the state was not confirmed for so long that these may
// have expired; call it before the changes of an answer of the store are applied.
func (cs *ClusterState) EndOutage() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.endOutage()
}

func (cs *ClusterState) endOutage() {
	if age := cs.clock.Since(cs.confirmedAt); age > outageThreshold {
		cs.graceUntil = max(cs.graceUntil, cs.clock.Now().Add(outageGrace))
		level.Info(logAt(cs.logger, cs.position)).Log("msg", "store was not heard of for long, registrations may have expired", "silent", age)
	}
}
