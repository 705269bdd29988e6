package balance

import (
	"container/heap"

	"carawaypick/pkg/clock"
)

// Job is a request that waits for its backend server.
type Job[T any] struct {
	ID       string
	Team     string
	Priority int32      // higher goes first within a team
	Deadline clock.Time // 0 for none
	Tokens   uint32     // expected cost
	Value    T
}

// TeamShare is the weight and limit of one team.
type TeamShare struct {
	Team       string
	Weight     float64 // relative to other teams, above 0
	TokenLimit uint64  // maximum tokens queued and running, 0 for no limit
}

// defaultWeight is the weight of a team without a share.
const defaultWeight = 1.0

// FairQueue serves teams by start-time fair queueing in tokens (Goyal, Vin and Cheng, SIGCOMM 1996).
//
// The share of a team without waiting jobs goes to the other teams. Within a team the highest priority goes first, then
// the earliest deadline. Expired and evicted jobs are returned once, by TakeExpired and TakeEvicted.
type FairQueue[T any] struct {
	// RunningTokens returns the tokens of a team that run at the backend server and count towards its limit; nil counts none.
	RunningTokens func(team string) uint64
	// ServiceTime returns the expected service time of a job in ms, so that none is popped too late for its deadline; nil means 0.
	ServiceTime func(tokens uint32) clock.Span

	limit          int
	tokenRate      uint64
	tokens         uint64
	virtualTime    float64
	sweepThreshold int
	sequence       uint64
	shares         map[string]TeamShare
	teams          map[string]*team[T]
	active         teamHeap[T]
	deadlines      deadlineHeap[T]
	items          map[string]*item[T]
	expired        []Job[T]
	evicted        []Job[T]
}

// NewFairQueue returns an empty queue of at most limit jobs.
func NewFairQueue[T any](limit int) *FairQueue[T] {
	return &FairQueue[T]{
		limit:          max(limit, 1),
		sweepThreshold: retainedTeams,
		teams:          make(map[string]*team[T]),
		items:          make(map[string]*item[T]),
	}
}

// SetShares replaces the shares of all teams; a team without a share has weight 1 and no limit.
func (q *FairQueue[T]) SetShares(shares []TeamShare) {
	q.shares = make(map[string]TeamShare, len(shares))
	for _, s := range shares {
		q.shares[s.Team] = s
	}
	for name, t := range q.teams {
		t.weight = q.weight(name)
	}
}

// SetTokenRate sets the tokens per second that the backend server completes while busy, 0 if unknown.
func (q *FairQueue[T]) SetTokenRate(rate uint64) {
	q.tokenRate = rate
}

// Push adds j or returns a *RejectedError; a full queue evicts a job of the team that is most over its share.
func (q *FairQueue[T]) Push(now clock.Time, j Job[T]) error {
	q.expire(now)
	if rejected := q.precheck(now, &j); rejected != nil {
		return rejected
	}
	t := q.team(j.Team)
	it := &item[T]{job: j, team: t, sequence: q.sequence, latestStart: q.latestStart(&j)}
	q.sequence++
	if len(q.items) >= q.limit {
		if rejected := q.makeRoom(it); rejected != nil {
			q.dropIdleTeams()
			return rejected
		}
	}
	t.rate.advance(now, true)
	q.add(it)
	return nil
}

// Pop removes and returns the next job of the team with the earliest virtual start; it skips jobs that would miss their deadlines.
func (q *FairQueue[T]) Pop(now clock.Time) (j Job[T], ok bool) {
	q.expire(now)
	if len(q.active) == 0 {
		return j, false
	}
	t := q.active[0]
	it := t.jobs[0]
	q.virtualTime = t.virtualStart
	t.virtualStart += float64(it.job.Tokens) / t.weight
	q.remove(it)
	t.rate.record(now, it.job.Tokens, len(t.jobs) > 0)
	return it.job, true
}

// TakeExpired returns and clears the jobs that can no longer meet their deadlines, ordered by latest start.
func (q *FairQueue[T]) TakeExpired(now clock.Time) []Job[T] {
	q.expire(now)
	jobs := q.expired
	q.expired = nil
	return jobs
}

// TakeEvicted returns and clears the jobs evicted since the last call.
func (q *FairQueue[T]) TakeEvicted() []Job[T] {
	jobs := q.evicted
	q.evicted = nil
	return jobs
}

// Remove removes and returns the job with the given id.
func (q *FairQueue[T]) Remove(id string) (j Job[T], ok bool) {
	it := q.items[id]
	if it == nil {
		return j, false
	}
	q.remove(it)
	return it.job, true
}

// Len returns the number of waiting jobs.
func (q *FairQueue[T]) Len() int {
	return len(q.items)
}

// QueuedTokens returns the expected tokens of all waiting jobs.
func (q *FairQueue[T]) QueuedTokens() uint64 {
	return q.tokens
}

// ExpectedWait returns the ms to serve all waiting jobs and the given tokens at rate tokens per second, 0 if rate is 0.
func (q *FairQueue[T]) ExpectedWait(_ clock.Time, tokens uint32, rate uint64) clock.Span {
	return serviceTime(q.tokens+uint64(tokens), rate)
}

// serviceTime returns the ms that a backend server needs for tokens at rate tokens per second, 0 if rate is 0.
func serviceTime(tokens, rate uint64) clock.Span {
	if rate == 0 {
		return 0
	}
	return clock.Span(tokens * uint64(clock.Second) / rate)
}

// latestStart returns the time before which j must start to meet its deadline.
func (q *FairQueue[T]) latestStart(j *Job[T]) clock.Time {
	if q.ServiceTime == nil {
		return j.Deadline
	}
	return j.Deadline.Add(-q.ServiceTime(j.Tokens))
}

// expire moves jobs that can no longer meet their deadlines to the expired list.
func (q *FairQueue[T]) expire(now clock.Time) {
	for len(q.deadlines) > 0 && q.deadlines[0].latestStart <= now {
		it := q.deadlines[0]
		q.remove(it)
		q.expired = append(q.expired, it.job)
	}
}

func (q *FairQueue[T]) add(it *item[T]) {
	t := it.team
	q.items[it.job.ID] = it
	q.tokens += uint64(it.job.Tokens)
	t.tokens += uint64(it.job.Tokens)
	heap.Push(&t.jobs, it)
	if it.job.Deadline > 0 {
		heap.Push(&q.deadlines, it)
	}
	if len(t.jobs) == 1 {
		t.virtualStart = max(t.virtualStart, q.virtualTime)
		heap.Push(&q.active, t)
	}
}

// remove takes a job out of all heaps and updates the position of its team.
func (q *FairQueue[T]) remove(it *item[T]) {
	t := it.team
	delete(q.items, it.job.ID)
	q.tokens -= uint64(it.job.Tokens)
	t.tokens -= uint64(it.job.Tokens)
	heap.Remove(&t.jobs, it.jobIndex)
	if it.job.Deadline > 0 {
		heap.Remove(&q.deadlines, it.deadlineIndex)
	}
	if len(t.jobs) > 0 {
		heap.Fix(&q.active, t.activeIndex)
		return
	}
	heap.Remove(&q.active, t.activeIndex)
	q.dropIdleTeams()
}

func (q *FairQueue[T]) weight(name string) float64 {
	if s, ok := q.shares[name]; ok && s.Weight > 0 {
		return s.Weight
	}
	return defaultWeight
}

func (q *FairQueue[T]) team(name string) *team[T] {
	t := q.teams[name]
	if t == nil {
		t = &team[T]{name: name, weight: q.weight(name)}
		q.teams[name] = t
	}
	return t
}

// retainedTeams is the number of teams whose state is kept even without waiting jobs.
const retainedTeams = 64

// dropIdleTeams drops teams without jobs whose virtual start has passed, so that memory is bounded by the active teams.
func (q *FairQueue[T]) dropIdleTeams() {
	if len(q.teams) <= q.sweepThreshold {
		return
	}
	for name, t := range q.teams {
		if len(t.jobs) == 0 && (t.virtualStart <= q.virtualTime || len(q.active) == 0) {
			delete(q.teams, name)
		}
	}
	q.sweepThreshold = 2*len(q.teams) + retainedTeams
}
