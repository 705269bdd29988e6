package capacity

import "carawaypick/internal/measure"

// Sizes at which growth is measured: numbers of agents, teams, stored request ids and events per message.
var (
	agentSizes   = []int{10, 40, 160, 320}
	teamSizes    = []int{10, 100, 400, 1200}
	bindingSizes = []int{100, 1000, 10_000, 100_000}
	batchSizes   = []int{1, 4, 16, 64}
)

// Rows measures the growth of each component and returns a row for each figure.
func Rows() (rows []measure.Row, err error) {
	rows = append(rows, bindingRows()...)
	rows = append(rows, queueRows()...)
	rows = append(rows, agentRows()...)
	rows = append(rows, stateRows()...)
	rows = append(rows, listRows()...)
	rows = append(rows, eventRows()...)
	polls, err := pollRows()
	if err != nil {
		return nil, err
	}
	return append(rows, polls...), nil
}
