package balance

import "carawaypick/pkg/clock"

// Bounds of the retry delay in a RejectedError.
const (
	minRetryAfter = 100 * clock.Millisecond
	maxRetryAfter = 10 * clock.Second
)

// waitSafetyFactor multiplies a team's expected wait, so that few accepted jobs expire in the queue.
const waitSafetyFactor = 2

// precheck returns the rejection of a job that may not wait even if the queue has free slots, or nil.
func (q *FairQueue[T]) precheck(now clock.Time, j *Job[T]) *RejectedError {
	if _, queued := q.items[j.ID]; queued {
		return q.rejection(ReasonDuplicate)
	}
	if q.overLimit(j) {
		return q.rejection(ReasonTeamLimit)
	}
	if j.Deadline == 0 {
		return nil
	}
	if now.Add(q.startDelay(j)) >= q.latestStart(j) {
		return q.rejection(ReasonDeadline)
	}
	return nil
}

func (q *FairQueue[T]) overLimit(j *Job[T]) bool {
	limit := q.shares[j.Team].TokenLimit
	if limit == 0 {
		return false
	}
	used := uint64(j.Tokens)
	if t := q.teams[j.Team]; t != nil {
		used += t.tokens
	}
	if q.RunningTokens != nil {
		used += q.RunningTokens(j.Team)
	}
	return used > limit
}

// startDelay estimates the ms until j starts: the time to serve the jobs of j's team that go before j, and the jobs of other
// teams that are served in between.
//
// Without a service time function the estimate includes the tokens of j itself.
func (q *FairQueue[T]) startDelay(j *Job[T]) clock.Span {
	if q.tokenRate == 0 {
		return 0
	}
	it := item[T]{job: *j, sequence: q.sequence}
	var ahead, own uint64
	if q.ServiceTime == nil {
		ahead = uint64(j.Tokens)
	}
	if t := q.teams[j.Team]; t != nil {
		own = t.tokens
		ahead += t.tokensAhead(&it)
		if wait, ok := t.rate.timeToServe(ahead); ok && len(t.jobs) > 0 {
			return waitSafetyFactor * wait
		}
	}
	others := float64(ahead) * q.competingWeight(j.Team) / q.weight(j.Team)
	others = min(others, float64(q.tokens-own))
	return serviceTime(ahead+uint64(others), q.tokenRate)
}

// tokensAhead returns the tokens of the team's jobs that are served before the given one.
func (t *team[T]) tokensAhead(it *item[T]) uint64 {
	var tokens uint64
	for _, other := range t.jobs {
		if other.goesBefore(it) {
			tokens += uint64(other.job.Tokens)
		}
	}
	return tokens
}

// competingWeight returns the total weight of the other teams with waiting jobs.
func (q *FairQueue[T]) competingWeight(name string) float64 {
	var weight float64
	for _, t := range q.active {
		if t.name != name {
			weight += t.weight
		}
	}
	return weight
}

// makeRoom evicts the last job of the team that is most over its share. It returns the rejection of the new job instead if
// that job's own team would then be at least as far over its share, or, within one team, if the new job would be the last.
func (q *FairQueue[T]) makeRoom(it *item[T]) *RejectedError {
	worst := q.mostOverShare()
	victim := worst.lastJob()
	if worst == it.team {
		if !it.goesBefore(victim) {
			return q.rejection(q.fullReason())
		}
		q.evict(victim)
		return nil
	}
	if it.team.occupancy(1) >= worst.occupancy(0) {
		return q.rejection(q.fullReason())
	}
	q.evict(victim)
	return nil
}

func (q *FairQueue[T]) evict(it *item[T]) {
	q.remove(it)
	q.evicted = append(q.evicted, it.job)
}

// mostOverShare returns the team with the highest occupancy, the first by name among equals.
func (q *FairQueue[T]) mostOverShare() *team[T] {
	worst := q.active[0]
	for _, t := range q.active[1:] {
		c, w := t.occupancy(0), worst.occupancy(0)
		if c > w || (c == w && t.name < worst.name) {
			worst = t
		}
	}
	return worst
}

// fullReason returns ReasonOverShare if several teams have waiting jobs, and ReasonQueueFull otherwise.
func (q *FairQueue[T]) fullReason() string {
	if len(q.active) > 1 {
		return ReasonOverShare
	}
	return ReasonQueueFull
}

func (q *FairQueue[T]) rejection(reason string) *RejectedError {
	retryAfter := serviceTime(q.tokens, q.tokenRate)
	return &RejectedError{Reason: reason, RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter)}
}
