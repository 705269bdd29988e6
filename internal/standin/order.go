package standin

import (
	"encoding/json"
	"slices"

	"github.com/gofiber/fiber/v2"
)

// Order is one command to an engine.
type Order struct {
	Number uint64          `json:"number"` // first part of the fencing number
	Epoch  uint64          `json:"epoch"`  // second part of the fencing number
	Action string          `json:"action"` // model, adapter, role, map
	Value  json.RawMessage `json:"value"`
}

// RecordedOrder is the engine's record of one order.
type RecordedOrder struct {
	Order
	Incarnation string `json:"process"` // incarnation that received the order
	Rejected    bool   `json:"refused"` // whether the engine rejected the order because of its fencing number
}

type orderList struct {
	Orders []RecordedOrder `json:"orders"`
}

// orderLog is an engine's log of received orders and its highest fencing number.
type orderLog struct {
	entries   []RecordedOrder
	maxNumber uint64 // first part of the highest fencing number
	maxEpoch  uint64 // second part of the highest fencing number
}

// stale reports whether the order has a lower fencing number than an earlier one.
func (l *orderLog) stale(o Order) bool {
	return o.Number < l.maxNumber || o.Number == l.maxNumber && o.Epoch < l.maxEpoch
}

func (e *Engine) order(c *fiber.Ctx) error {
	var o Order
	if err := json.Unmarshal(c.Body(), &o); err != nil {
		return badRequest(err)
	}
	if !e.recordOrder(o) {
		return fiber.ErrConflict
	}
	if o.Action != "map" || e.group == nil {
		return nil
	}
	return badRequest(e.group.applyMapOrder(e.rank, o))
}

// recordOrder appends an order to the log and reports whether it is accepted.
func (e *Engine) recordOrder(o Order) bool {
	fence := e.fault.get().Fence
	e.mutex.Lock()
	defer e.mutex.Unlock()
	stale := e.orders.stale(o)
	rejected := fence && stale
	o.Value = slices.Clone(o.Value)
	e.orders.entries = append(e.orders.entries, RecordedOrder{Order: o, Incarnation: e.incarnation, Rejected: rejected})
	if !stale {
		e.orders.maxNumber, e.orders.maxEpoch = o.Number, o.Epoch
	}
	return !rejected
}

// Orders returns a copy of the order log, oldest first.
func (e *Engine) Orders() []RecordedOrder {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]RecordedOrder{}, e.orders.entries...)
}
