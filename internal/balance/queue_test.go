package balance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/pkg/clock"
)

func pushAll(t require.TestingT, q *Queue[int], jobs ...Job[int]) {
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

func drain(q *Queue[int]) []string {
	var list []string
	for {
		j, ok := q.Pop(0)
		if !ok {
			return list
		}
		list = append(list, j.ID)
	}
}

func popped(q *Queue[int], count int, team string) int {
	of := 0
	for range count {
		if j, _ := q.Pop(0); j.Team == team {
			of++
		}
	}
	return of
}

func flood(t require.TestingT, q *Queue[int], team string, count int, tokens uint32) {
	for i := range count {
		pushAll(t, q, Job[int]{ID: fmt.Sprint(team, i), Team: team, Tokens: tokens})
	}
}

func TestQueueOrder(t *testing.T) {
	t.Run("priority first, then the earliest deadline, then arrival", func(t *testing.T) {
		q := NewQueue[int](9)
		pushAll(t, q,
			Job[int]{ID: "none", Team: "a"},
			Job[int]{ID: "later", Team: "a", Deadline: 900},
			Job[int]{ID: "sooner", Team: "a", Deadline: 500},
			Job[int]{ID: "urgent", Team: "a", Priority: 1},
			Job[int]{ID: "last", Team: "a"})
		assert.Equal(t, []string{"urgent", "sooner", "later", "none", "last"}, drain(q))
	})
	t.Run("a newcomer does not wait for what a flood has queued", func(t *testing.T) {
		q := NewQueue[int](100)
		flood(t, q, "a", 50, 100)
		for range 10 {
			q.Pop(0)
		}
		pushAll(t, q, Job[int]{ID: "new", Team: "b", Tokens: 100})
		first, _ := q.Pop(0)
		second, _ := q.Pop(0)
		assert.Contains(t, []string{first.ID, second.ID}, "new")
	})
	t.Run("an idle team saves up nothing", func(t *testing.T) {
		q := NewQueue[int](100)
		flood(t, q, "a", 60, 100)
		for range 30 {
			q.Pop(0)
		}
		flood(t, q, "b", 20, 100)
		assert.InDelta(t, 10, popped(q, 20, "b"), 1)
	})
	t.Run("a team that sends one at a time has no more than its share", func(t *testing.T) {
		q := NewQueue[int](100)
		flood(t, q, "b", 60, 100)
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
	t.Run("a team alone gets everything", func(t *testing.T) {
		q := NewQueue[int](10)
		q.SetShares([]Share{{Team: "a", Weight: 1}, {Team: "b", Weight: 99}})
		flood(t, q, "a", 10, 10)
		assert.Len(t, drain(q), 10)
	})
}

func TestQueueDeadline(t *testing.T) {
	t.Run("expired jobs are never popped and come back oldest first", func(t *testing.T) {
		q := NewQueue[int](9)
		pushAll(t, q,
			Job[int]{ID: "b", Deadline: 20}, Job[int]{ID: "c", Deadline: 30}, Job[int]{ID: "a", Deadline: 10})
		j, ok := q.Pop(25)
		require.True(t, ok)
		assert.Equal(t, "c", j.ID)
		assert.Equal(t, []string{"a", "b"}, ids(q.Expired(25)))
		assert.Empty(t, q.Expired(25))
	})
	t.Run("a deadline that can't be met at the measured rate is refused", func(t *testing.T) {
		q := NewQueue[int](9)
		q.SetRate(1000)
		pushAll(t, q, Job[int]{ID: "a", Team: "a", Tokens: 500, Deadline: 600})
		requireRefused(t, q.Push(0, Job[int]{ID: "b", Team: "a", Tokens: 200, Deadline: 650}), ReasonLate)
		assert.NoError(t, q.Push(0, Job[int]{ID: "c", Team: "a", Tokens: 200, Deadline: 750}))
	})
	t.Run("a job that can't end in time any more is not popped", func(t *testing.T) {
		q := NewQueue[int](9)
		q.Took = func(tokens uint32) clock.Span { return clock.Span(tokens) }
		pushAll(t, q, Job[int]{ID: "a", Tokens: 50, Deadline: 100})
		requireRefused(t, q.Push(0, Job[int]{ID: "b", Tokens: 100, Deadline: 100}), ReasonLate)
		_, ok := q.Pop(50)
		assert.False(t, ok)
		assert.Equal(t, []string{"a"}, ids(q.Expired(50)))
	})
	t.Run("the flood of another team does not count against a team", func(t *testing.T) {
		q := NewQueue[int](200)
		q.SetRate(1000)
		flood(t, q, "a", 100, 100)
		assert.NoError(t, q.Push(0, Job[int]{ID: "b", Team: "b", Tokens: 100, Deadline: 300}))
	})
	t.Run("waits as long as the queue takes", func(t *testing.T) {
		q := NewQueue[int](9)
		flood(t, q, "a", 5, 100)
		assert.Equal(t, 600*clock.Millisecond, q.Wait(0, 100, 1000))
		assert.Zero(t, q.Wait(0, 100, 0))
	})
}

func TestQueueFull(t *testing.T) {
	t.Run("a team under its share displaces the last job of the team most over it", func(t *testing.T) {
		q := NewQueue[int](4)
		flood(t, q, "a", 4, 10)
		pushAll(t, q, Job[int]{ID: "b", Team: "b", Tokens: 1000})
		assert.Equal(t, []string{"a3"}, ids(q.Displaced()))
		assert.Empty(t, q.Displaced())
		assert.Equal(t, 4, q.Len())
	})
	t.Run("a team over its share is refused while others wait", func(t *testing.T) {
		q := NewQueue[int](4)
		flood(t, q, "a", 3, 10)
		pushAll(t, q, Job[int]{ID: "b", Team: "b"})
		requireRefused(t, q.Push(0, Job[int]{ID: "x", Team: "a"}), ReasonShare)
	})
	t.Run("equal teams do not displace each other", func(t *testing.T) {
		q := NewQueue[int](2)
		pushAll(t, q, Job[int]{ID: "a", Team: "a"}, Job[int]{ID: "b", Team: "b"})
		requireRefused(t, q.Push(0, Job[int]{ID: "x", Team: "b"}), ReasonShare)
	})
	t.Run("a lone team is told that the queue is full", func(t *testing.T) {
		q := NewQueue[int](2)
		flood(t, q, "a", 2, 10)
		requireRefused(t, q.Push(0, Job[int]{ID: "x", Team: "a"}), ReasonFull)
	})
	t.Run("an urgent job displaces a job of its own team", func(t *testing.T) {
		q := NewQueue[int](2)
		flood(t, q, "a", 2, 10)
		pushAll(t, q, Job[int]{ID: "x", Team: "a", Priority: 1})
		assert.Equal(t, []string{"a1"}, ids(q.Displaced()))
	})
	t.Run("limits count what runs", func(t *testing.T) {
		q := NewQueue[int](9)
		q.SetShares([]Share{{Team: "a", Weight: 1, Limit: 100}})
		q.Running = func(string) uint64 { return 60 }
		pushAll(t, q, Job[int]{ID: "1", Team: "a", Tokens: 40})
		requireRefused(t, q.Push(0, Job[int]{ID: "2", Team: "a", Tokens: 1}), ReasonLimit)
	})
	t.Run("an id waits once", func(t *testing.T) {
		q := NewQueue[int](9)
		pushAll(t, q, Job[int]{ID: "1"})
		requireRefused(t, q.Push(0, Job[int]{ID: "1"}), ReasonDuplicate)
	})
}

func TestQueueForgets(t *testing.T) {
	t.Run("memory follows the active teams", func(t *testing.T) {
		q := NewQueue[int](10)
		for i := range 10_000 {
			pushAll(t, q, Job[int]{ID: fmt.Sprint(i), Team: fmt.Sprint("team", i), Tokens: 5})
			_, ok := q.Pop(0)
			require.True(t, ok)
		}
		assert.LessOrEqual(t, len(q.teams), 3*idleTeams)
	})
	t.Run("refused teams leave nothing", func(t *testing.T) {
		q := NewQueue[int](1)
		flood(t, q, "a", 1, 1)
		for i := range 10_000 {
			_ = q.Push(0, Job[int]{ID: fmt.Sprint(i), Team: fmt.Sprint("team", i)})
		}
		assert.LessOrEqual(t, len(q.teams), 3*idleTeams)
	})
}

// TestQueueRefusesAtOnce lets a team of low share wait behind one that is always served at once:
// what can't be served in time is refused when it comes, not when its time is over.
func TestQueueRefusesAtOnce(t *testing.T) {
	const (
		tokens = 10
		wait   = 2 * clock.Second
		turn   = 10 * clock.Millisecond
	)
	q := NewQueue[int](1000)
	q.SetShares([]Share{{Team: "high", Weight: 9}, {Team: "low", Weight: 1}})
	q.SetRate(uint64(tokens * clock.Second / turn))
	refused, expired := 0, 0
	for n := range 2000 {
		now := clock.Time(n) * clock.Time(turn)
		push := func(team string, number int) {
			err := q.Push(now, Job[int]{ID: fmt.Sprint(team, number), Team: team, Deadline: now.Add(wait), Tokens: tokens})
			if err != nil {
				refused++
			}
		}
		if n%10 > 0 { // the high team takes nine turns of ten, each as it comes
			push("high", n)
		}
		push("low", n)
		q.Pop(now)
		expired += len(q.Expired(now))
	}
	assert.Greater(t, refused, 1000)
	assert.Less(t, expired, refused/10, "jobs waited in vain")
}
