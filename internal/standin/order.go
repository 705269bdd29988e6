package standin

import (
	"encoding/json"
	"slices"

	"github.com/gofiber/fiber/v2"
)

// Order is one order to an engine.
type Order struct {
	Number uint64          `json:"number"` // first part of the fencing number
	Epoch  uint64          `json:"epoch"`  // second part
	Action string          `json:"action"` // model, adapter, role, map
	Value  json.RawMessage `json:"value"`
}

// TakenOrder is one entry in the engine's record of orders.
type TakenOrder struct {
	Order
	Process string `json:"process"` // incarnation
	Refused bool   `json:"refused"` // by the fencing number
}

type orderList struct {
	Orders []TakenOrder `json:"orders"`
}

// orderBook is an engine's record of orders.
type orderBook struct {
	taken  []TakenOrder
	number uint64 // highest fencing number
	epoch  uint64
}

// lower tells whether the order carries a lower fencing number than one before it.
func (b *orderBook) lower(o Order) bool {
	return o.Number < b.number || o.Number == b.number && o.Epoch < b.epoch
}

func (e *Engine) order(c *fiber.Ctx) error {
	var o Order
	if err := json.Unmarshal(c.Body(), &o); err != nil {
		return badRequest(err)
	}
	if !e.take(o) {
		return fiber.ErrConflict
	}
	if o.Action != "map" || e.group == nil {
		return nil
	}
	return badRequest(e.group.order(e.rank, o))
}

// take records an order and returns whether it is accepted.
func (e *Engine) take(o Order) bool {
	fence := e.fault.get().Fence
	e.mutex.Lock()
	defer e.mutex.Unlock()
	lower := e.orders.lower(o)
	refused := fence && lower
	o.Value = slices.Clone(o.Value)
	e.orders.taken = append(e.orders.taken, TakenOrder{Order: o, Process: e.process, Refused: refused})
	if !lower {
		e.orders.number, e.orders.epoch = o.Number, o.Epoch
	}
	return !refused
}

// Orders returns the record of all orders in the order of their arrival.
func (e *Engine) Orders() []TakenOrder {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]TakenOrder{}, e.orders.taken...)
}
