package balance

import "carawaypick/pkg/clock"

// Bounds in ms of the time after which a refused job may be sent again.
const (
	leastAfter = 100 * clock.Millisecond
	mostAfter  = 10 * clock.Second
)

// waitMargin is the factor by which a team's expected wait is weighed, so that few jobs are taken that then wait in vain.
const waitMargin = 2

// judge returns why j can't be queued whatever the room, or nil.
func (q *Queue[T]) judge(now clock.Time, j *Job[T]) *RefusedError {
	if _, queued := q.items[j.ID]; queued {
		return q.refuse(ReasonDuplicate)
	}
	if q.overLimit(j) {
		return q.refuse(ReasonLimit)
	}
	if j.Deadline == 0 {
		return nil
	}
	if now.Add(q.start(j)) >= q.latest(j) {
		return q.refuse(ReasonLate)
	}
	return nil
}

func (q *Queue[T]) overLimit(j *Job[T]) bool {
	limit := q.shares[j.Team].Limit
	if limit == 0 {
		return false
	}
	used := uint64(j.Tokens)
	if t := q.teams[j.Team]; t != nil {
		used += t.tokens
	}
	if q.Running != nil {
		used += q.Running(j.Team)
	}
	return used > limit
}

// start estimates the ms until j has to have started: what its team serves first, and what others are served meanwhile.
//
// Without a known service time the tokens of j itself count as well.
func (q *Queue[T]) start(j *Job[T]) clock.Span {
	if q.rate == 0 {
		return 0
	}
	it := item[T]{job: *j, order: q.order}
	var ahead, own uint64
	if q.Took == nil {
		ahead = uint64(j.Tokens)
	}
	if t := q.teams[j.Team]; t != nil {
		own = t.tokens
		ahead += t.ahead(&it)
		if wait, ok := t.pace.wait(ahead); ok && len(t.jobs) > 0 {
			return waitMargin * wait
		}
	}
	others := float64(ahead) * q.rivals(j.Team) / q.weight(j.Team)
	others = min(others, float64(q.tokens-own))
	return served(ahead+uint64(others), q.rate)
}

// ahead returns the tokens of the jobs that go before it.
func (t *team[T]) ahead(it *item[T]) uint64 {
	var tokens uint64
	for _, other := range t.jobs {
		if other.before(it) {
			tokens += uint64(other.job.Tokens)
		}
	}
	return tokens
}

// rivals returns the weight of the other teams with waiting jobs.
func (q *Queue[T]) rivals(name string) float64 {
	var weight float64
	for _, t := range q.active {
		if t.name != name {
			weight += t.weight
		}
	}
	return weight
}

// displace makes room for it by dropping the last job of the team most over its share, or refuses it.
func (q *Queue[T]) displace(it *item[T]) *RefusedError {
	worst := q.mostCrowded()
	victim := worst.last()
	if worst == it.team {
		if !it.before(victim) {
			return q.refuse(q.fullReason())
		}
		q.drop(victim)
		return nil
	}
	if it.team.crowding(1) >= worst.crowding(0) {
		return q.refuse(q.fullReason())
	}
	q.drop(victim)
	return nil
}

func (q *Queue[T]) drop(it *item[T]) {
	q.remove(it)
	q.displaced = append(q.displaced, it.job)
}

// mostCrowded returns the team with most places against its weight, the first by name among equals.
func (q *Queue[T]) mostCrowded() *team[T] {
	worst := q.active[0]
	for _, t := range q.active[1:] {
		c, w := t.crowding(0), worst.crowding(0)
		if c > w || (c == w && t.name < worst.name) {
			worst = t
		}
	}
	return worst
}

// fullReason tells a team that is over its share from a queue that is full for everybody.
func (q *Queue[T]) fullReason() string {
	if len(q.active) > 1 {
		return ReasonShare
	}
	return ReasonFull
}

func (q *Queue[T]) refuse(reason string) *RefusedError {
	after := served(q.tokens, q.rate)
	return &RefusedError{Reason: reason, After: min(max(after, leastAfter), mostAfter)}
}
