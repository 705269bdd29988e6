package balance

import "carawaypick/pkg/clock"

// item is a job with its heap indices.
type item[T any] struct {
	job           Job[T]
	team          *team[T]
	sequence      uint64     // order of arrival
	jobIndex      int        // index in the heap of the team's jobs
	deadlineIndex int        // index in the heap of all jobs with a deadline
	latestStart   clock.Time // time before which the job must start
}

// goesBefore reports whether a is served before b within a team.
func (a *item[T]) goesBefore(b *item[T]) bool {
	if a.job.Priority != b.job.Priority {
		return a.job.Priority > b.job.Priority
	}
	if a.job.Deadline != b.job.Deadline {
		if a.job.Deadline == 0 || b.job.Deadline == 0 {
			return b.job.Deadline == 0
		}
		return a.job.Deadline < b.job.Deadline
	}
	return a.sequence < b.sequence
}

// team is the state of one team in a queue.
type team[T any] struct {
	name         string
	weight       float64
	virtualStart float64 // virtual time at which the team's next job starts
	tokens       uint64
	rate         teamRate
	jobs         jobHeap[T]
	activeIndex  int // index in the heap of active teams
}

// occupancy returns the number of the team's waiting jobs plus count, relative to its weight.
func (t *team[T]) occupancy(count int) float64 {
	return float64(len(t.jobs)+count) / t.weight
}

// lastJob returns the job that would be served last, or nil.
func (t *team[T]) lastJob() *item[T] {
	var last *item[T]
	for _, it := range t.jobs {
		if last == nil || last.goesBefore(it) {
			last = it
		}
	}
	return last
}

// jobHeap orders the jobs of a team.
type jobHeap[T any] []*item[T]

func (h jobHeap[T]) Len() int           { return len(h) }
func (h jobHeap[T]) Less(i, j int) bool { return h[i].goesBefore(h[j]) }

func (h jobHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].jobIndex, h[j].jobIndex = i, j
}

func (h *jobHeap[T]) Push(x any) {
	it := x.(*item[T])
	it.jobIndex = len(*h)
	*h = append(*h, it)
}

func (h *jobHeap[T]) Pop() any { return pop((*[]*item[T])(h)) }

// deadlineHeap orders the jobs of all teams by latest start.
type deadlineHeap[T any] []*item[T]

func (h deadlineHeap[T]) Len() int           { return len(h) }
func (h deadlineHeap[T]) Less(i, j int) bool { return h[i].latestStart < h[j].latestStart }

func (h deadlineHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}

func (h *deadlineHeap[T]) Push(x any) {
	it := x.(*item[T])
	it.deadlineIndex = len(*h)
	*h = append(*h, it)
}

func (h *deadlineHeap[T]) Pop() any { return pop((*[]*item[T])(h)) }

// teamHeap orders the teams with waiting jobs by virtual start.
type teamHeap[T any] []*team[T]

func (h teamHeap[T]) Len() int { return len(h) }

func (h teamHeap[T]) Less(i, j int) bool {
	if h[i].virtualStart != h[j].virtualStart {
		return h[i].virtualStart < h[j].virtualStart
	}
	return h[i].name < h[j].name
}

func (h teamHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].activeIndex, h[j].activeIndex = i, j
}

func (h *teamHeap[T]) Push(x any) {
	t := x.(*team[T])
	t.activeIndex = len(*h)
	*h = append(*h, t)
}

func (h *teamHeap[T]) Pop() any { return pop((*[]*team[T])(h)) }

// pop removes and returns the last element of list and clears its slot for the garbage collector.
func pop[E any](list *[]*E) *E {
	n := len(*list) - 1
	x := (*list)[n]
	(*list)[n] = nil
	*list = (*list)[:n]
	return x
}
