package gateway

import (
	"slices"

	"carawaypick/internal/store"
	"carawaypick/pkg/clock"
)

// ChangesSince returns the changes after a position, oldest first, or all records if the changes are no longer kept or
// the position is of an earlier era.
func (cs *ClusterState) ChangesSince(after store.Position) (d Delta) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	whole := cs.historyStart.After(after) // so is each position of an earlier era
	d = Delta{Position: cs.position, Whole: whole, Lapse: max(cs.graceUntil.Sub(cs.clock.Now()), 0), Retained: cs.retainedRecords()}
	for _, c := range cs.records {
		if d.Whole || c.Position.After(after) {
			d.Changes = append(d.Changes, c)
		}
	}
	for key, removedAt := range cs.removed {
		if !d.Whole && removedAt.After(after) {
			d.Changes = append(d.Changes, Change{Key: key, Position: removedAt, Removed: true})
		}
	}
	slices.SortFunc(d.Changes, func(x, y Change) int { return x.Position.Compare(y.Position) })
	return d
}

// Delta is the part of another process's cluster state that is newer than a given position.
type Delta struct {
	Position store.Position
	Whole    bool       // Changes contains all records and replaces the receiver's state
	Lapse    clock.Span // ms left until the sender's graceUntil, 0 if it has passed
	Changes  []Change
	Retained []RetainedRecord // what the sender retains
}

// ApplyDelta applies the newer state of another process; source names it in log lines.
func (cs *ClusterState) ApplyDelta(d Delta, source string) {
	cs.mu.Lock()
	cs.graceUntil = max(cs.graceUntil, cs.clock.Now().Add(d.Lapse))
	cs.mu.Unlock()
	if d.Whole {
		cs.Replace(d.Changes, d.Position, source)
	} else {
		cs.Apply(d.Changes, d.Position, source)
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.adoptRetained(d.Retained, source)
}
