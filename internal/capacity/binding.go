package capacity

import (
	"fmt"

	"carawaypick/internal/binding"
	"carawaypick/internal/measure"
	"carawaypick/pkg/clock"
)

const (
	tableIncarnation = 7
	answerBytes      = 256 // of one held answer
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

// settle runs one identifier through the table.
func settle(t *binding.Table, id string) {
	t.Open(0, tableToken, id, 1, 9)
	t.Hand(0, tableToken, id)
	t.Finish(id, binding.Answer{Outcome: "done", Events: [][]byte{make([]byte, answerBytes)}})
}

func filled(size int) *binding.Table {
	t := newTable()
	for i := range size {
		settle(t, fmt.Sprintf("%s.%d", tableToken.Key(), i))
	}
	return t
}

// bindingRows measures the agent's table of identifiers.
func bindingRows() []measure.Row {
	rows := slope("binding.memory", "bytes", "identifier held", bindingSizes, func(size int) float64 {
		return held(func() any { return filled(size) })
	})
	key := tableToken.Key()
	return append(rows, slope("binding.time", "ns", "identifier held", bindingSizes, func(size int) float64 {
		t := filled(size)
		return each(func(n int) { settle(t, fmt.Sprintf("%s.x%d", key, n)) })
	})...)
}
