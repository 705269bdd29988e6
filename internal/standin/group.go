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
// prepare holds the rank before Step; commit releases it and makes it use the map from Step on; abort only releases it.
type MapOrder struct {
	Kind string          `json:"kind"` // prepare, commit, abort
	Step uint64          `json:"step"`
	Map  json.RawMessage `json:"map"`
}

// StepRange is a range of consecutive steps throughout which no rank changed its map.
type StepRange struct {
	First  uint64   `json:"step"` // first step of the range
	Count  uint64   `json:"count"`
	MapIDs []string `json:"maps"` // by rank: id of the map in use, which is "<number>.<epoch>" of the Order that committed it, or "0.0" for the initial map
}

// GroupRecord is the group's record of all steps.
type GroupRecord struct {
	Step  uint64      `json:"step"` // next step
	Held  []bool      `json:"held"` // by rank
	Steps []StepRange `json:"steps"`
}

// GroupFault configures the speed and injected faults of a group.
type GroupFault struct {
	Interval clock.Span `json:"interval"` // ms per step
	Stall    bool       `json:"stall"`    // no rank makes a step
}

// Group is a stand-in for a group of ranks that run in lock-step; each rank is a separate Engine.
type Group struct {
	*Server
	Ranks []*Engine

	fault  faultState[GroupFault]
	mutex  sync.Mutex
	step   uint64
	states []rankState
	record []StepRange
}

type rankState struct {
	currentMapID string // id of the map in use: "<number>.<epoch>" of the Order that committed it, or "0.0" for the initial map
	nextMapID    string // id of the committed map that is in use from switchStep on, empty for none
	switchStep   uint64
	held         bool
	holdStep     uint64 // step that a held rank doesn't begin
}

// NewGroup starts a group with its own server on address and its ranks on free loopback ports.
func NewGroup(address string, ranks int) (*Group, error) {
	g := &Group{Server: newServer(), states: make([]rankState, ranks)}
	g.fault.value = GroupFault{Interval: defaultStepInterval}
	g.fault.route(g.app)
	g.app.Get("/steps", func(c *fiber.Ctx) error { return c.JSON(g.Record()) })
	for i := range ranks {
		g.states[i].currentMapID = "0.0"
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

// Stop stops the group and its ranks.
func (g *Group) Stop() {
	g.Server.Stop()
	for _, e := range g.Ranks {
		e.Stop()
	}
}

// SetFault changes the injected faults.
func (g *Group) SetFault(change func(*GroupFault)) {
	g.fault.set(change)
}

// Record returns a copy of the group's record.
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

// advance makes one step of all ranks, unless a rank is held before it.
func (g *Group) advance() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, s := range g.states {
		if s.held && g.step >= s.holdStep {
			return
		}
	}
	mapIDs := make([]string, len(g.states))
	for i := range g.states {
		s := &g.states[i]
		if s.nextMapID != "" && g.step >= s.switchStep {
			s.currentMapID, s.nextMapID = s.nextMapID, ""
		}
		mapIDs[i] = s.currentMapID
	}
	last := len(g.record) - 1
	if last < 0 || !slices.Equal(g.record[last].MapIDs, mapIDs) {
		g.record = append(g.record, StepRange{First: g.step, MapIDs: mapIDs})
		last++
	}
	g.record[last].Count++
	g.step++
}

func (g *Group) applyMapOrder(rank int, o Order) (err error) {
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
		s.held, s.holdStep = true, value.Step
	case "commit":
		s.held = false
		s.nextMapID = strconv.FormatUint(o.Number, 10) + "." + strconv.FormatUint(o.Epoch, 10)
		s.switchStep = value.Step
	case "abort":
		s.held = false
	default:
		return errors.Newf("kind %q is not prepare, commit or abort", value.Kind)
	}
	return nil
}
