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
		MaxLifetime: 10 * clock.Second, Retention: 10 * clock.Minute, MaxRequests: 1 << 30, MaxResponseBytes: 1 << 40,
	})
}

// completeRequest decides, hands over and completes one request in the table.
func completeRequest(t *binding.Table, id string) {
	t.Decide(0, tableToken, id, 1, 9)
	t.HandOver(0, tableToken, id)
	t.Finish(id, binding.Response{Outcome: "done", Events: [][]byte{make([]byte, responseBytes)}})
}

func filledTable(size int) *binding.Table {
	t := newTable()
	for i := range size {
		completeRequest(t, fmt.Sprintf("%s.%d", tableToken.IDPrefix(), i))
	}
	return t
}

// bindingRows measures the agent's table of request identifiers.
func bindingRows() []measure.Row {
	rows := slopeRows("binding.memory", "bytes", "identifier held", bindingSizes, func(size int) float64 {
		return retainedBytes(func() any { return filledTable(size) })
	})
	key := tableToken.IDPrefix()
	return append(rows, slopeRows("binding.time", "ns", "identifier held", bindingSizes, func(size int) float64 {
		t := filledTable(size)
		return timePerRun(func(n int) { completeRequest(t, fmt.Sprintf("%s.x%d", key, n)) })
	})...)
}
