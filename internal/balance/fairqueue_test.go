package balance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/pkg/clock"
)

func pushAll(t require.TestingT, q *FairQueue[int], jobs ...Job[int]) {
	for _, j := range jobs {
		require.NoError(t, q.Push(0, j))
	}
}

func ids(jobs []Job[int]) []string {
	list := make([]string, 0, len(jobs))
	for _, j := range jobs {
		list = append(list, j.ID)
	}
	return list
}

func drain(q *FairQueue[int]) []string {
	var list []string
	for {
		j, ok := q.Pop(0)
		if !ok {
			return list
		}
		list = append(list, j.ID)
	}
}

func popCount(q *FairQueue[int], count int, team string) int {
	popped := 0
	for range count {
		if j, _ := q.Pop(0); j.Team == team {
			popped++
		}
	}
	return popped
}

func pushJobs(t require.TestingT, q *FairQueue[int], team string, count int, tokens uint32) {
	for i := range count {
		pushAll(t, q, Job[int]{ID: fmt.Sprint(team, i), Team: team, Tokens: tokens})
	}
}

func TestQueueOrder(t *testing.T) {
	t.Run("priority first, then the earliest deadline, then arrival", func(t *testing.T) {
		q := NewFairQueue[int](9)
		pushAll(t, q,
			Job[int]{ID: "none", Team: "a"},
			Job[int]{ID: "later", Team: "a", Deadline: 900},
			Job[int]{ID: "sooner", Team: "a", Deadline: 500},
			Job[int]{ID: "urgent", Team: "a", Priority: 1},
			Job[int]{ID: "last", Team: "a"})
		assert.Equal(t, []string{"urgent", "sooner", "later", "none", "last"}, drain(q))
	})
	t.Run("a new team does not wait for the backlog of another", func(t *testing.T) {
		q := NewFairQueue[int](100)
		pushJobs(t, q, "a", 50, 100)
		for range 10 {
			q.Pop(0)
		}
		pushAll(t, q, Job[int]{ID: "new", Team: "b", Tokens: 100})
		first, _ := q.Pop(0)
		second, _ := q.Pop(0)
		assert.Contains(t, []string{first.ID, second.ID}, "new")
	})
	t.Run("an idle team does not save up service", func(t *testing.T) {
		q := NewFairQueue[int](100)
		pushJobs(t, q, "a", 60, 100)
		for range 30 {
			q.Pop(0)
		}
		pushJobs(t, q, "b", 20, 100)
		assert.InDelta(t, 10, popCount(q, 20, "b"), 1)
	})
	t.Run("a team with one job at a time gets no more than its share", func(t *testing.T) {
		q := NewFairQueue[int](100)
		pushJobs(t, q, "b", 60, 100)
		single := 0
		for i := range 40 {
			if _, waits := q.items[fmt.Sprint("a", single)]; !waits {
				single = i
				pushAll(t, q, Job[int]{ID: fmt.Sprint("a", single), Team: "a", Tokens: 100})
			}
			q.Pop(0)
		}
		assert.InDelta(t, 40, q.Len(), 2)
	})
	t.Run("a lone team gets the full capacity", func(t *testing.T) {
		q := NewFairQueue[int](10)
		q.SetShares([]TeamShare{{Team: "a", Weight: 1}, {Team: "b", Weight: 99}})
		pushJobs(t, q, "a", 10, 10)
		assert.Len(t, drain(q), 10)
	})
}

func TestQueueDeadline(t *testing.T) {
	t.Run("expired jobs are never popped, but returned in order of their deadlines", func(t *testing.T) {
		q := NewFairQueue[int](9)
		pushAll(t, q,
			Job[int]{ID: "b", Deadline: 20}, Job[int]{ID: "c", Deadline: 30}, Job[int]{ID: "a", Deadline: 10})
		j, ok := q.Pop(25)
		require.True(t, ok)
		assert.Equal(t, "c", j.ID)
		assert.Equal(t, []string{"a", "b"}, ids(q.TakeExpired(25)))
		assert.Empty(t, q.TakeExpired(25))
	})
	t.Run("a job that cannot meet its deadline at the given rate is rejected", func(t *testing.T) {
		q := NewFairQueue[int](9)
		q.SetTokenRate(1000)
		pushAll(t, q, Job[int]{ID: "a", Team: "a", Tokens: 500, Deadline: 600})
		requireRejected(t, q.Push(0, Job[int]{ID: "b", Team: "a", Tokens: 200, Deadline: 650}), ReasonDeadline)
		assert.NoError(t, q.Push(0, Job[int]{ID: "c", Team: "a", Tokens: 200, Deadline: 750}))
	})
	t.Run("a job that would miss its deadline is not popped", func(t *testing.T) {
		q := NewFairQueue[int](9)
		q.ServiceTime = func(tokens uint32) clock.Span { return clock.Span(tokens) }
		pushAll(t, q, Job[int]{ID: "a", Tokens: 50, Deadline: 100})
		requireRejected(t, q.Push(0, Job[int]{ID: "b", Tokens: 100, Deadline: 100}), ReasonDeadline)
		_, ok := q.Pop(50)
		assert.False(t, ok)
		assert.Equal(t, []string{"a"}, ids(q.TakeExpired(50)))
	})
	t.Run("the backlog of another team does not count against a team", func(t *testing.T) {
		q := NewFairQueue[int](200)
		q.SetTokenRate(1000)
		pushJobs(t, q, "a", 100, 100)
		assert.NoError(t, q.Push(0, Job[int]{ID: "b", Team: "b", Tokens: 100, Deadline: 300}))
	})
	t.Run("the expected wait is the time to serve the queue", func(t *testing.T) {
		q := NewFairQueue[int](9)
		pushJobs(t, q, "a", 5, 100)
		assert.Equal(t, 600*clock.Millisecond, q.ExpectedWait(0, 100, 1000))
		assert.Zero(t, q.ExpectedWait(0, 100, 0))
	})
}

func TestQueueFull(t *testing.T) {
	t.Run("a team under its share evicts the last job of the team most over its share", func(t *testing.T) {
		q := NewFairQueue[int](4)
		pushJobs(t, q, "a", 4, 10)
		pushAll(t, q, Job[int]{ID: "b", Team: "b", Tokens: 1000})
		assert.Equal(t, []string{"a3"}, ids(q.TakeEvicted()))
		assert.Empty(t, q.TakeEvicted())
		assert.Equal(t, 4, q.Len())
	})
	t.Run("a team over its share is rejected while others wait", func(t *testing.T) {
		q := NewFairQueue[int](4)
		pushJobs(t, q, "a", 3, 10)
		pushAll(t, q, Job[int]{ID: "b", Team: "b"})
		requireRejected(t, q.Push(0, Job[int]{ID: "x", Team: "a"}), ReasonOverShare)
	})
	t.Run("equal teams do not evict each other", func(t *testing.T) {
		q := NewFairQueue[int](2)
		pushAll(t, q, Job[int]{ID: "a", Team: "a"}, Job[int]{ID: "b", Team: "b"})
		requireRejected(t, q.Push(0, Job[int]{ID: "x", Team: "b"}), ReasonOverShare)
	})
	t.Run("a lone team is rejected because the queue is full", func(t *testing.T) {
		q := NewFairQueue[int](2)
		pushJobs(t, q, "a", 2, 10)
		requireRejected(t, q.Push(0, Job[int]{ID: "x", Team: "a"}), ReasonQueueFull)
	})
	t.Run("an urgent job evicts a job of its own team", func(t *testing.T) {
		q := NewFairQueue[int](2)
		pushJobs(t, q, "a", 2, 10)
		pushAll(t, q, Job[int]{ID: "x", Team: "a", Priority: 1})
		assert.Equal(t, []string{"a1"}, ids(q.TakeEvicted()))
	})
	t.Run("limits include running tokens", func(t *testing.T) {
		q := NewFairQueue[int](9)
		q.SetShares([]TeamShare{{Team: "a", Weight: 1, TokenLimit: 100}})
		q.RunningTokens = func(string) uint64 { return 60 }
		pushAll(t, q, Job[int]{ID: "1", Team: "a", Tokens: 40})
		requireRejected(t, q.Push(0, Job[int]{ID: "2", Team: "a", Tokens: 1}), ReasonTeamLimit)
	})
	t.Run("a duplicate id is rejected", func(t *testing.T) {
		q := NewFairQueue[int](9)
		pushAll(t, q, Job[int]{ID: "1"})
		requireRejected(t, q.Push(0, Job[int]{ID: "1"}), ReasonDuplicate)
	})
}

func TestQueueDropsIdleTeams(t *testing.T) {
	t.Run("memory is bounded by the active teams", func(t *testing.T) {
		q := NewFairQueue[int](10)
		for i := range 10_000 {
			pushAll(t, q, Job[int]{ID: fmt.Sprint(i), Team: fmt.Sprint("team", i), Tokens: 5})
			_, ok := q.Pop(0)
			require.True(t, ok)
		}
		assert.LessOrEqual(t, len(q.teams), 3*retainedTeams)
	})
	t.Run("rejected teams leave no state", func(t *testing.T) {
		q := NewFairQueue[int](1)
		pushJobs(t, q, "a", 1, 1)
		for i := range 10_000 {
			_ = q.Push(0, Job[int]{ID: fmt.Sprint(i), Team: fmt.Sprint("team", i)})
		}
		assert.LessOrEqual(t, len(q.teams), 3*retainedTeams)
	})
}

// TestQueueRejectsEarly checks that a team of low weight, starved by a team that is always served immediately, gets its
// excess jobs rejected on arrival instead of expired in the queue.
func TestQueueRejectsEarly(t *testing.T) {
	const (
		tokens   = 10
		wait     = 2 * clock.Second
		interval = 10 * clock.Millisecond
	)
	q := NewFairQueue[int](1000)
	q.SetShares([]TeamShare{{Team: "high", Weight: 9}, {Team: "low", Weight: 1}})
	q.SetTokenRate(uint64(tokens * clock.Second / interval))
	rejected, expired := 0, 0
	for n := range 2000 {
		now := clock.Time(n) * clock.Time(interval)
		push := func(team string, number int) {
			err := q.Push(now, Job[int]{ID: fmt.Sprint(team, number), Team: team, Deadline: now.Add(wait), Tokens: tokens})
			if err != nil {
				rejected++
			}
		}
		if n%10 > 0 { // the high team takes nine of ten services, each on arrival
			push("high", n)
		}
		push("low", n)
		q.Pop(now)
		expired += len(q.TakeExpired(now))
	}
	assert.Greater(t, rejected, 1000)
	assert.Less(t, expired, rejected/10, "jobs expired in the queue")
}
