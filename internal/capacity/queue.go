package capacity

import (
	"fmt"

	"carawaypick/internal/balance"
	"carawaypick/internal/measure"
	"carawaypick/pkg/clock"
)

const queueDepth = 256 // jobs in the queue while one is pushed and one popped

// queueRows measures the agent's fair queue.
func queueRows() []measure.Row {
	rows := slopeRows("queue.time", "ns", "team", teamSizes, func(teams int) float64 {
		q := newQueue(teams)
		push := func(n int) {
			_ = q.Push(0, balance.Job[int]{
				ID:       fmt.Sprint(n),
				Team:     fmt.Sprint("team", n%teams),
				Deadline: clock.Time(clock.Hour),
				Tokens:   64,
			})
		}
		for n := range queueDepth {
			push(-1 - n)
		}
		return timePerRun(func(n int) {
			q.Pop(0)
			push(n)
		})
	})
	return append(rows, slopeRows("queue.memory", "bytes", "team", teamSizes, func(teams int) float64 {
		return retainedBytes(func() any { return newQueue(teams) })
	})...)
}

func newQueue(teams int) *balance.FairQueue[int] {
	q := balance.NewFairQueue[int](2 * queueDepth)
	shares := make([]balance.TeamShare, 0, teams)
	for i := range teams {
		shares = append(shares, balance.TeamShare{Team: fmt.Sprint("team", i), Weight: 1})
	}
	q.SetShares(shares)
	return q
}
