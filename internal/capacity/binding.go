package capacity

import (
	"fmt"

	"carawaypick/internal/binding"
	"carawaypick/internal/measure"
	"carawaypick/pkg/clock"
)

const (
	tableIncarnation = 7
	responseBytes    = 256 // of one stored response
)

var tableToken = binding.Token{
	Agent: "a1", Address: "127.0.0.1:1", Incarnation: tableIncarnation,
	Expiry: clock.Time(10 * clock.Second), Service: "desk",
}

func newTable() *binding.Table {
	return binding.NewTable(tableIncarnation, binding.Limits{
		Life: 10 * clock.Second, Keep: 10 * clock.Minute, Held: 1 << 30, Bytes: 1 << 40,
	})
}

// completeRequest decides, hands over and completes one request in the table.
func completeRequest(t *binding.Table, id string) {
	t.Open(0, tableToken, id, 1, 9)
	t.Hand(0, tableToken, id)
	t.Finish(id, binding.Answer{Outcome: "done", Events: [][]byte{make([]byte, responseBytes)}})
}

func filledTable(size int) *binding.Table {
	t := newTable()
	for i := range size {
		completeRequest(t, fmt.Sprintf("%s.%d", tableToken.Key(), i))
	}
	return t
}

// bindingRows measures the agent's table of request identifiers.
func bindingRows() []measure.Row {
	rows := slopeRows("binding.memory", "bytes", "identifier held", bindingSizes, func(size int) float64 {
		return retainedBytes(func() any { return filledTable(size) })
	})
	key := tableToken.Key()
	return append(rows, slopeRows("binding.time", "ns", "identifier held", bindingSizes, func(size int) float64 {
		t := filledTable(size)
		return timePerRun(func(n int) { completeRequest(t, fmt.Sprintf("%s.x%d", key, n)) })
	})...)
}
