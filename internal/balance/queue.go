package balance

import (
	"container/heap"

	"carawaypick/pkg/clock"
)

// Job is one request that waits for its backend server.
type Job[T any] struct {
	ID       string
	Team     string
	Priority int32      // higher goes first within a team
	Deadline clock.Time // 0 for none
	Tokens   uint32     // expected cost
	Value    T
}

// Share is the standing of one team.
type Share struct {
	Team   string
	Weight float64 // against other teams, above 0
	Limit  uint64  // most tokens queued and running, 0 for no limit
}

// defaultWeight is the weight of a team without a share.
const defaultWeight = 1.0

// Queue holds waiting jobs and serves teams by start-time fair queueing in tokens (Goyal, Vin and Cheng, SIGCOMM 1996).
//
// A team without waiting jobs lends its share to the others. Within a team the highest priority goes first, then the
// earliest deadline. Jobs that leave without being popped are handed back once, by Expired or Displaced.
type Queue[T any] struct {
	// Running tells the tokens of a team at the backend server, for its limit; nil counts none.
	Running func(team string) uint64
	// Took tells the ms that a job takes once popped, so that none is popped too late for its deadline; nil counts none.
	Took func(tokens uint32) clock.Span

	limit     int
	rate      uint64
	tokens    uint64
	virtual   float64
	sweepAt   int
	order     uint64
	shares    map[string]Share
	teams     map[string]*team[T]
	active    teamHeap[T]
	deadlines deadlineHeap[T]
	items     map[string]*item[T]
	lapsed    []Job[T]
	displaced []Job[T]
}

// NewQueue returns an empty queue for at most limit jobs.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{
		limit:   max(limit, 1),
		sweepAt: idleTeams,
		teams:   make(map[string]*team[T]),
		items:   make(map[string]*item[T]),
	}
}

// SetShares replaces the shares of all teams; a team without one has weight 1 and no limit.
func (q *Queue[T]) SetShares(shares []Share) {
	q.shares = make(map[string]Share, len(shares))
	for _, s := range shares {
		q.shares[s.Team] = s
	}
	for name, t := range q.teams {
		t.weight = q.weight(name)
	}
}

// SetRate tells the tokens a second that the backend server completes while busy, 0 where unknown.
func (q *Queue[T]) SetRate(rate uint64) {
	q.rate = rate
}

// Push adds j or returns a *RefusedError; a full queue displaces a job of the team most over its share.
func (q *Queue[T]) Push(now clock.Time, j Job[T]) error {
	q.lapse(now)
	if r := q.judge(now, &j); r != nil {
		return r
	}
	t := q.team(j.Team)
	it := &item[T]{job: j, team: t, order: q.order, latest: q.latest(&j)}
	q.order++
	if len(q.items) >= q.limit {
		if r := q.displace(it); r != nil {
			q.forget()
			return r
		}
	}
	t.pace.pass(now, true)
	q.add(it)
	return nil
}

// Pop removes and returns the next job of the team whose turn it is; it never returns one that can't end in time.
func (q *Queue[T]) Pop(now clock.Time) (j Job[T], ok bool) {
	q.lapse(now)
	if len(q.active) == 0 {
		return j, false
	}
	t := q.active[0]
	it := t.jobs[0]
	q.virtual = t.start
	t.start += float64(it.job.Tokens) / t.weight
	q.remove(it)
	t.pace.serve(now, it.job.Tokens, len(t.jobs) > 0)
	return it.job, true
}

// Expired removes and returns the jobs that can't end in time, the one that had to start first in front.
func (q *Queue[T]) Expired(now clock.Time) []Job[T] {
	q.lapse(now)
	jobs := q.lapsed
	q.lapsed = nil
	return jobs
}

// Displaced returns, once, the jobs that lost their places to others since the last call.
func (q *Queue[T]) Displaced() []Job[T] {
	jobs := q.displaced
	q.displaced = nil
	return jobs
}

// Remove takes the job with the given id out of the queue.
func (q *Queue[T]) Remove(id string) (j Job[T], ok bool) {
	it := q.items[id]
	if it == nil {
		return j, false
	}
	q.remove(it)
	return it.job, true
}

// Len returns the number of jobs that wait.
func (q *Queue[T]) Len() int {
	return len(q.items)
}

// Tokens returns the expected tokens of all jobs that wait.
func (q *Queue[T]) Tokens() uint64 {
	return q.tokens
}

// Wait returns the ms until all that waits and tokens more are served at rate tokens a second, 0 where rate is unknown.
func (q *Queue[T]) Wait(_ clock.Time, tokens uint32, rate uint64) clock.Span {
	return served(q.tokens+uint64(tokens), rate)
}

// served returns the ms that a backend server needs for tokens at rate tokens a second.
func served(tokens, rate uint64) clock.Span {
	if rate == 0 {
		return 0
	}
	return clock.Span(tokens * uint64(clock.Second) / rate)
}

// latest returns the time before which j has to start.
func (q *Queue[T]) latest(j *Job[T]) clock.Time {
	if q.Took == nil {
		return j.Deadline
	}
	return j.Deadline.Add(-q.Took(j.Tokens))
}

// lapse moves jobs that can't end in time out of the queue.
func (q *Queue[T]) lapse(now clock.Time) {
	for len(q.deadlines) > 0 && q.deadlines[0].latest <= now {
		it := q.deadlines[0]
		q.remove(it)
		q.lapsed = append(q.lapsed, it.job)
	}
}

func (q *Queue[T]) add(it *item[T]) {
	t := it.team
	q.items[it.job.ID] = it
	q.tokens += uint64(it.job.Tokens)
	t.tokens += uint64(it.job.Tokens)
	heap.Push(&t.jobs, it)
	if it.job.Deadline > 0 {
		heap.Push(&q.deadlines, it)
	}
	if len(t.jobs) == 1 {
		t.start = max(t.start, q.virtual)
		heap.Push(&q.active, t)
	}
}

// remove takes it out of all indexes and puts its team in its new place.
func (q *Queue[T]) remove(it *item[T]) {
	t := it.team
	delete(q.items, it.job.ID)
	q.tokens -= uint64(it.job.Tokens)
	t.tokens -= uint64(it.job.Tokens)
	heap.Remove(&t.jobs, it.place)
	if it.job.Deadline > 0 {
		heap.Remove(&q.deadlines, it.due)
	}
	if len(t.jobs) > 0 {
		heap.Fix(&q.active, t.place)
		return
	}
	heap.Remove(&q.active, t.place)
	q.forget()
}

func (q *Queue[T]) weight(name string) float64 {
	if s, ok := q.shares[name]; ok && s.Weight > 0 {
		return s.Weight
	}
	return defaultWeight
}

func (q *Queue[T]) team(name string) *team[T] {
	t := q.teams[name]
	if t == nil {
		t = &team[T]{name: name, weight: q.weight(name)}
		q.teams[name] = t
	}
	return t
}

// idleTeams is the number of teams that are remembered whether they have jobs or not.
const idleTeams = 64

// forget drops teams without jobs whose next start lies in the past, so that memory follows the teams that are active.
func (q *Queue[T]) forget() {
	if len(q.teams) <= q.sweepAt {
		return
	}
	for name, t := range q.teams {
		if len(t.jobs) == 0 && (t.start <= q.virtual || len(q.active) == 0) {
			delete(q.teams, name)
		}
	}
	q.sweepAt = 2*len(q.teams) + idleTeams
}
