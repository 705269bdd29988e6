package balance

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/testkit"
	"carawaypick/pkg/clock"
)

// TestQueueFair checks the fairness bound of start-time fair queueing: while two teams are backlogged, their normalized
// service differs by at most one largest job of each.
func TestQueueFair(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		teams := rapid.IntRange(2, 6).Draw(t, "teams")
		const maxTokens = 200
		q := NewFairQueue[int](1000)
		shares := make([]TeamShare, teams)
		left := make([]int, teams)
		for i := range shares {
			weight := float64(rapid.IntRange(1, 9).Draw(t, "weight"))
			shares[i] = TeamShare{Team: fmt.Sprint(i), Weight: weight}
		}
		q.SetShares(shares)
		for i := range shares {
			left[i] = rapid.IntRange(1, 40).Draw(t, "jobs")
			for k := range left[i] {
				tokens := rapid.Uint32Range(1, maxTokens).Draw(t, "tokens")
				pushAll(t, q, Job[int]{ID: fmt.Sprint(i, ".", k), Team: shares[i].Team, Tokens: tokens, Value: i})
			}
		}
		normalized := make([]float64, teams)
		for {
			j, ok := q.Pop(0)
			if !ok {
				return
			}
			normalized[j.Value] += float64(j.Tokens) / shares[j.Value].Weight
			left[j.Value]--
			for a := range shares {
				for b := range a {
					if left[a] == 0 || left[b] == 0 {
						continue
					}
					bound := maxTokens/shares[a].Weight + maxTokens/shares[b].Weight
					require.LessOrEqual(t, math.Abs(normalized[a]-normalized[b]), bound+1e-6)
				}
			}
		}
	})
}

// TestQueueReturnsEachJobOnce checks that every queued job is returned exactly once.
func TestQueueReturnsEachJobOnce(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		q := NewFairQueue[int](rapid.IntRange(1, 6).Draw(t, "limit"))
		q.SetTokenRate(rapid.Uint64Range(0, 2000).Draw(t, "rate"))
		now := clock.Time(1)
		waiting := map[string]uint32{}
		leave := func(jobs ...Job[int]) {
			for _, j := range jobs {
				require.Contains(t, waiting, j.ID)
				delete(waiting, j.ID)
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(clock.Span(rapid.IntRange(0, 20).Draw(t, "pause")))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				j := Job[int]{
					ID:       fmt.Sprint(i),
					Team:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
					Priority: rapid.Int32Range(0, 2).Draw(t, "priority"),
					Tokens:   rapid.Uint32Range(0, 50).Draw(t, "tokens"),
				}
				if rapid.Bool().Draw(t, "has deadline") {
					j.Deadline = now.Add(clock.Span(rapid.IntRange(0, 60).Draw(t, "left")))
				}
				if q.Push(now, j) == nil {
					waiting[j.ID] = j.Tokens
				}
				leave(q.TakeEvicted()...)
			case 2:
				if j, ok := q.Pop(now); ok {
					require.True(t, j.Deadline == 0 || j.Deadline > now, "popped a job past its deadline")
					leave(j)
				}
			case 3:
				leave(q.TakeExpired(now)...)
			case 4:
				if j, ok := q.Remove(fmt.Sprint(rapid.IntRange(0, i).Draw(t, "id"))); ok {
					leave(j)
				}
			}
			leave(q.TakeExpired(now)...)
			checkTotals(t, q, waiting)
		}
	})
}

func checkTotals(t require.TestingT, q *FairQueue[int], waiting map[string]uint32) {
	var tokens uint64
	for _, n := range waiting {
		tokens += uint64(n)
	}
	require.Equal(t, len(waiting), q.Len())
	require.Equal(t, tokens, q.QueuedTokens())
	require.LessOrEqual(t, q.Len(), q.limit)
}
