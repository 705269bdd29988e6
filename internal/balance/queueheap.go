package balance

import "carawaypick/pkg/clock"

// item is a job with its places in the heaps.
type item[T any] struct {
	job    Job[T]
	team   *team[T]
	order  uint64     // of arrival
	place  int        // in the heap of its team
	due    int        // in the heap of deadlines
	latest clock.Time // before which it has to start
}

// before reports whether a goes before b within a team.
func (a *item[T]) before(b *item[T]) bool {
	if a.job.Priority != b.job.Priority {
		return a.job.Priority > b.job.Priority
	}
	if a.job.Deadline != b.job.Deadline {
		if a.job.Deadline == 0 || b.job.Deadline == 0 {
			return b.job.Deadline == 0
		}
		return a.job.Deadline < b.job.Deadline
	}
	return a.order < b.order
}

// team is the state of one team in a queue.
type team[T any] struct {
	name   string
	weight float64
	start  float64 // virtual time at which its next job starts
	tokens uint64
	pace   teamPace
	jobs   jobHeap[T]
	place  int // in the heap of active teams
}

// crowding is the number of the team's places against its weight, with count more.
func (t *team[T]) crowding(count int) float64 {
	return float64(len(t.jobs)+count) / t.weight
}

// last returns the job that the team would serve last, or nil.
func (t *team[T]) last() *item[T] {
	var last *item[T]
	for _, it := range t.jobs {
		if last == nil || last.before(it) {
			last = it
		}
	}
	return last
}

// jobHeap orders the jobs of a team.
type jobHeap[T any] []*item[T]

func (h jobHeap[T]) Len() int           { return len(h) }
func (h jobHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h jobHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *jobHeap[T]) Push(x any) {
	it := x.(*item[T])
	it.place = len(*h)
	*h = append(*h, it)
}

func (h *jobHeap[T]) Pop() any { return pop((*[]*item[T])(h)) }

// deadlineHeap orders the jobs of all teams by deadline.
type deadlineHeap[T any] []*item[T]

func (h deadlineHeap[T]) Len() int           { return len(h) }
func (h deadlineHeap[T]) Less(i, j int) bool { return h[i].latest < h[j].latest }

func (h deadlineHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].due, h[j].due = i, j
}

func (h *deadlineHeap[T]) Push(x any) {
	it := x.(*item[T])
	it.due = len(*h)
	*h = append(*h, it)
}

func (h *deadlineHeap[T]) Pop() any { return pop((*[]*item[T])(h)) }

// teamHeap orders the teams with waiting jobs by the virtual time of their next starts.
type teamHeap[T any] []*team[T]

func (h teamHeap[T]) Len() int { return len(h) }

func (h teamHeap[T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].name < h[j].name
}

func (h teamHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *teamHeap[T]) Push(x any) {
	t := x.(*team[T])
	t.place = len(*h)
	*h = append(*h, t)
}

func (h *teamHeap[T]) Pop() any { return pop((*[]*team[T])(h)) }

// pop removes the last element of list and clears its place.
func pop[E any](list *[]*E) *E {
	n := len(*list) - 1
	x := (*list)[n]
	(*list)[n] = nil
	*list = (*list)[:n]
	return x
}
