package standin

import (
	"encoding/json"
	"slices"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"

	"carawaypick/pkg/clock"
)

// MapOrder is the value of an order with the action map.
//
// prepare holds the rank before step; commit makes it use the map from step on; abort releases it.
type MapOrder struct {
	Kind string          `json:"kind"` // prepare, commit, abort
	Step uint64          `json:"step"`
	Map  json.RawMessage `json:"map"`
}

// Steps is a run of steps in which each rank used the same map throughout.
type Steps struct {
	Step  uint64   `json:"step"` // first of the run
	Count uint64   `json:"count"`
	Maps  []string `json:"maps"` // by rank: number.epoch of the order, 0.0 at the start
}

// GroupRecord is the group's own record of all steps.
type GroupRecord struct {
	Step  uint64  `json:"step"` // the next one
	Held  []bool  `json:"held"` // by rank
	Steps []Steps `json:"steps"`
}

// GroupFault holds the fault switches of a group.
type GroupFault struct {
	Interval clock.Span `json:"interval"` // ms a step
	Stall    bool       `json:"stall"`    // one rank stands still, and so do all
}

// Group stands in for a group of ranks that runs in lock-step; each rank is an engine of its own.
type Group struct {
	*Server
	Ranks []*Engine

	fault  switches[GroupFault]
	mutex  sync.Mutex
	step   uint64
	states []rankState
	record []Steps
}

type rankState struct {
	present string
	next    string // committed for the step at
	at      uint64
	held    bool
	hold    uint64 // step that a held rank doesn't pass
}

// NewGroup starts a group of ranks on free ports and its own address.
func NewGroup(address string, ranks int) (*Group, error) {
	g := &Group{Server: newServer(), states: make([]rankState, ranks)}
	g.fault.value = GroupFault{Interval: defaultInterval}
	g.fault.route(g.app)
	g.app.Get("/steps", func(c *fiber.Ctx) error { return c.JSON(g.Record()) })
	for i := range ranks {
		g.states[i].present = "0.0"
		e := newEngine()
		e.group, e.rank = g, i
		e.app.Get("/step", func(c *fiber.Ctx) error { return c.JSON(g.Record()) })
		if err := e.start(""); err != nil {
			return g, err
		}
		g.Ranks = append(g.Ranks, e)
	}
	g.tasks.Go(g.run)
	return g, g.start(address)
}

// Stop ends the group and its ranks.
func (g *Group) Stop() {
	g.Server.Stop()
	for _, e := range g.Ranks {
		e.Stop()
	}
}

// SetFault changes the fault switches.
func (g *Group) SetFault(change func(*GroupFault)) {
	g.fault.set(change)
}

// Record returns a copy of the group's own record.
func (g *Group) Record() GroupRecord {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	record := GroupRecord{Step: g.step, Steps: slices.Clone(g.record)}
	for _, s := range g.states {
		record.Held = append(record.Held, s.held)
	}
	return record
}

func (g *Group) run() {
	for g.sleep(g.fault.get().Interval) {
		if !g.fault.get().Stall {
			g.advance()
		}
	}
}

// advance makes one step with every rank, unless one is held before it.
func (g *Group) advance() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, s := range g.states {
		if s.held && g.step >= s.hold {
			return
		}
	}
	maps := make([]string, len(g.states))
	for i := range g.states {
		s := &g.states[i]
		if s.next != "" && g.step >= s.at {
			s.present, s.next = s.next, ""
		}
		maps[i] = s.present
	}
	last := len(g.record) - 1
	if last < 0 || !slices.Equal(g.record[last].Maps, maps) {
		g.record = append(g.record, Steps{Step: g.step, Maps: maps})
		last++
	}
	g.record[last].Count++
	g.step++
}

func (g *Group) order(rank int, o Order) (err error) {
	defer func() { err = errors.Wrap(err, "order map") }()
	var value MapOrder
	if err := json.Unmarshal(o.Value, &value); err != nil {
		return err
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := &g.states[rank]
	switch value.Kind {
	case "prepare":
		if value.Step <= g.step {
			return errors.Newf("step %d has passed, the next one is %d", value.Step, g.step)
		}
		s.held, s.hold = true, value.Step
	case "commit":
		s.held = false
		s.next = strconv.FormatUint(o.Number, 10) + "." + strconv.FormatUint(o.Epoch, 10)
		s.at = value.Step
	case "abort":
		s.held = false
	default:
		return errors.Newf("kind %q is not prepare, commit or abort", value.Kind)
	}
	return nil
}
