package overload

import (
	"maps"
	"math"
	"slices"

	"carawaypick/pkg/clock"
)

const (
	reportExpiry      = 2 * clock.Second        // age from which a peer's report does not count
	flowStep          = 50 * clock.Millisecond  // step of the prediction of waiting requests
	maxFlight         = 10 * clock.Minute       // longest time in flight that a report may claim
	refillTime        = 0.5                     // seconds within which free slots are taken into account as starts
	priorFlightFactor = 3.0                     // multiple of the assumed time in flight within which the measured one replaces it, as the first requests to end are the short ones
	flightWeight      = 1.0 / 32                // weight of one request in the mean time in flight
	budgetWeight      = 1.0 / 8                 // weight of one request in the mean time budget of its level
	defaultBudget     = 300 * clock.Millisecond // time budget of a level without requests
	acceptFraction    = 1.0 / 3                 // of the time budget: longest expected wait without rejections
	rejectFraction    = 2.0 / 3                 // of the time budget: expected wait from which all are rejected
	acceptLate        = 1.0 / 2                 // the same for late requests, which lose nothing by waiting longer
	rejectLate        = 3.0 / 4
	minLateFraction   = 0.05                    // of the starts, for late requests
	starvationShare   = 0.3                     // of the admitted share of all requests, which each priority gets at least
	someWait          = 0.5                     // predicted number of waiting requests from which one is assumed to wait
	minCorrectionTime = 100 * clock.Millisecond // time over which free slots are filled, in addition to the age of the reports
)

// MaxLateWait is the longest wait in ms of a request that starts late.
const MaxLateWait = 2500 * clock.Millisecond

// Service is the demand for one service at this entry and, by their reports, at its peers.
type Service struct {
	Limit   float64 // requests that the servers may run at once for all entries; 0 if unknown
	Entries int     // entries that are alive, with this one; 0 if unknown. Those without a report count as the mean of the others
	// PriorFlight is the time in ms that a request is assumed to be in flight until some have ended; 0 if unknown.
	PriorFlight clock.Span
	// MaxStarts bounds the starts per second of all entries, because servers name rates; 0 for no bound.
	MaxStarts float64
	// TeamReject returns the rejection probability of a team, given that of its level; nil means that all teams have the same.
	TeamReject func(now clock.Time, level int, team string, probability float64) float64

	waiting   [Levels]int
	arrivals  [Levels]rate
	starts    rate
	started   bool
	startedAt clock.Time // of the first request
	ends      rate
	flights   int
	flight    float64 // mean time in ms that a request is in flight; 0 if unknown
	budgets   [Levels]float64

	reports  map[string]*report
	sum      amounts    // of the reports
	sumAt    clock.Time // sum of their times
	received []receipt  // of the reports and of those that later ones replaced, by time

	free     float64         // free slots as last known
	atOnce   float64         // probability with which a request started at once lately if none waited
	flow     [Levels]float64 // predicted change of the waiting requests of all entries, up to flowAt
	flowAt   clock.Time
	flowUsed bool
}

// Clone returns a copy that can be changed without an effect on s. TeamReject is that of s.
func (s *Service) Clone() Service {
	c := *s
	c.reports, c.received = maps.Clone(s.reports), slices.Clone(s.received)
	for peer, r := range c.reports {
		report := *r
		c.reports[peer] = &report
	}
	return c
}

// report is the last report of one peer.
type report struct {
	amounts
	at clock.Time
}

// receipt is the time at which a report of a peer was received.
type receipt struct {
	peer string
	at   clock.Time
}

// RecordArrival counts a request that arrives with the time budget in ms, whether or not it has to wait.
func (s *Service) RecordArrival(now clock.Time, level int, budget clock.Span) {
	s.arrivals[level].time = arrivalTime
	s.arrivals[level].add(now)
	if s.budgets[level] == 0 {
		s.budgets[level] = float64(budget)
	}
	s.budgets[level] += budgetWeight * (float64(budget) - s.budgets[level])
}

// RecordStart counts a request that is started, whether or not it waited.
func (s *Service) RecordStart(now clock.Time) {
	if !s.started {
		s.started, s.startedAt = true, now
	}
	s.starts.time = startTime
	s.starts.add(now)
}

// RecordEnd counts a request that ended after the given time in ms in flight, 0 if it was sent to no server.
func (s *Service) RecordEnd(now clock.Time, flight clock.Span) {
	s.ends.time = startTime
	s.ends.add(now)
	if flight <= 0 {
		return
	}
	s.flights++
	s.flight += max(flightWeight, 1/float64(s.flights)) * (float64(flight) - s.flight)
}

// MeanFlight returns the mean time in ms that a request is in flight; 0 if unknown.
func (s *Service) MeanFlight(now clock.Time) clock.Span {
	s.expire(now)
	t := s.total(now)
	return clock.Span(t.flight)
}

// SetWaiting sets the number of requests that wait at this entry, by level.
func (s *Service) SetWaiting(waiting [Levels]int) {
	s.waiting = waiting
}

// SetReport replaces the report of a peer.
func (s *Service) SetReport(now clock.Time, peer string, d Demand) {
	s.predict(now)
	if s.reports == nil {
		s.reports = make(map[string]*report)
	}
	s.RemoveReport(peer)
	r := &report{amounts: newAmounts(d), at: now}
	r.flow = s.flow
	s.reports[peer] = r
	s.sum.add(&r.amounts, 1)
	s.sumAt += now
	s.expire(now)
	s.received = append(s.received, receipt{peer, now})
}

// RemoveReport removes the report of a peer that is silent.
func (s *Service) RemoveReport(peer string) {
	r := s.reports[peer]
	if r == nil {
		return
	}
	s.sum.add(&r.amounts, -1)
	s.sumAt -= r.at
	delete(s.reports, peer)
	if len(s.reports) == 0 {
		s.sum = amounts{} // without rounding errors
	}
}

// expire removes reports that are too old to count.
func (s *Service) expire(now clock.Time) {
	old := 0
	for ; old < len(s.received) && now.Sub(s.received[old].at) > reportExpiry; old++ {
		if r := s.received[old]; s.reports[r.peer] != nil && s.reports[r.peer].at == r.at {
			s.RemoveReport(r.peer)
		}
	}
	s.received = s.received[old:]
}

// Reports returns the number of peers' reports in use and their mean age in ms.
func (s *Service) Reports(now clock.Time) (count int, age clock.Span) {
	s.expire(now)
	return len(s.reports), s.age(now)
}

// age returns the mean age of the reports in ms.
func (s *Service) age(now clock.Time) clock.Span {
	if len(s.reports) == 0 {
		return 0
	}
	return now.Sub(s.sumAt / clock.Time(len(s.reports)))
}

// scale returns by how much the sums of the reports are multiplied for the peers that have none.
func (s *Service) scale() float64 {
	if len(s.reports) == 0 {
		return 0
	}
	return max(1, float64(s.Entries-1)/float64(len(s.reports)))
}

// total is the demand of all entries.
type total struct {
	waiting   [Levels]float64
	arrivals  [Levels]float64 // per second
	starts    float64         // per second; what the servers are able to start if that is more
	sustained float64         // of starts, without those that fill free slots
	ends      float64         // per second
	flight    float64         // mean time in flight in ms
	all       float64         // arrivals per second of all levels
	started   float64         // starts per second as measured
	promoted  [Levels]float64 // arrivals per second that only the starvation bound admits
}

// total returns the demand of all entries. A peer's waiting requests are those that it reported and its part of the change that
// is predicted since then: the reports are older than requests may wait, so that rejections by the reports alone would
// alternate between none and all.
func (s *Service) total(now clock.Time) (t total) {
	scale, count := s.scale(), float64(len(s.reports))
	part := scale / (scale*count + 1)
	for l := range Levels {
		predicted := part * (s.flow[l]*count - s.sum.flow[l])
		t.waiting[l] = float64(s.waiting[l]) + max(0, scale*s.sum.waiting[l]+predicted)
		t.arrivals[l] = s.arrivals[l].perSecond(now) + scale*max(s.sum.arrivals[l], 0)
		t.all += t.arrivals[l]
	}
	t.started = s.starts.perSecond(now) + scale*max(s.sum.starts, 0)
	t.ends = s.ends.perSecond(now) + scale*max(s.sum.ends, 0)
	t.flight = s.flight
	if s.flight > 0 {
		t.flight = (s.flight + s.sum.flight) / (1 + s.sum.flights)
	} else if s.sum.flights > 0 {
		t.flight = s.sum.flight / s.sum.flights
	}
	if prior := float64(s.PriorFlight); prior > 0 {
		weight := max(0, 1-float64(now.Sub(s.startedAt))/(priorFlightFactor*prior))
		if t.flight == 0 {
			weight = 1
		}
		t.flight = weight*prior + (1-weight)*t.flight
	}
	t.starts = min(t.started, t.ends) // more start only while free slots are filled
	if t.flight > 0 {
		t.starts = max(t.starts, s.Limit/t.flight*float64(clock.Second))
	}
	t.sustained = t.starts
	t.starts += max(s.free-t.growth(s.age(now)), 0) / refillTime
	if s.MaxStarts > 0 {
		t.starts = min(t.starts, s.MaxStarts)
	}
	floor := t.floor()
	for l := LateLevel - 1; l >= 0; l-- {
		if t.arrivals[l] > 0 {
			t.promoted[l] = t.arrivals[l] * max(0, floor-(1-t.reject(l, s.budget(l))))
		}
	}
	return t
}

// wait returns the expected wait in ms of a request that arrives at the level.
func (t *total) wait(level int) float64 {
	ahead, rate := 1.0, t.starts
	urgent, soon := 0.0, 0.0 // more urgent requests that wait, and those that arrive between two dispatches and count by their rate
	for l := range LateLevel {
		switch {
		case l < level:
			urgent += t.waiting[l]
			rate -= t.arrivals[l]
			soon += t.arrivals[l] * float64(flowStep) / float64(clock.Second)
		case l == level:
			ahead += t.waiting[l]
		default:
			rate -= t.promoted[l]
		}
	}
	ahead += max(0, urgent-soon)
	if level == LateLevel {
		// Free slots are filled before a late request has waited.
		if t.sustained <= 0 {
			return math.Inf(1)
		}
		rate = max(rate-(t.starts-t.sustained), t.sustained*minLateFraction)
		return (ahead-1)/t.sustained*float64(clock.Second) + (t.waiting[LateLevel]+1)/rate*float64(clock.Second)
	}
	if t.arrivals[LateLevel] > 0 {
		rate -= min(t.starts*minLateFraction, t.arrivals[LateLevel])
	}
	if rate <= 0 {
		return math.Inf(1)
	}
	return ahead / rate * float64(clock.Second)
}

// reject returns the rejection probability of a request of the level with the time budget in ms.
func (t *total) reject(level int, budget float64) float64 {
	wait, accept, full := t.wait(level), acceptFraction, rejectFraction
	if level == LateLevel {
		budget, accept, full = min(budget, float64(MaxLateWait)), acceptLate, rejectLate
	}
	probability := 1.0
	if budget > 0 && !math.IsInf(wait, 1) {
		probability = min(max((wait/budget-accept)/(full-accept), 0), 1)
	}
	return probability
}

// floor returns the least share of the requests of a priority that is admitted, so that none starves.
func (t *total) floor() float64 {
	if t.all <= 0 {
		return starvationShare
	}
	return starvationShare * min(t.started/t.all, 1)
}

// ExpectedWait returns the expected wait in ms of a request that arrives now at the level; it is infinite if more urgent
// requests use all starts.
func (s *Service) ExpectedWait(now clock.Time, level int) float64 {
	s.expire(now)
	s.predict(now)
	t := s.total(now)
	return t.wait(level)
}

// RejectProbability returns the rejection probability of a request of the level that can't start at once; budget is the time in
// ms within which it must start to be on time, for late requests to be useful.
func (s *Service) RejectProbability(now clock.Time, level int, budget clock.Span) float64 {
	s.expire(now)
	s.predict(now)
	t := s.total(now)
	probability := t.reject(level, float64(budget))
	if level == LateLevel {
		return probability
	}
	return min(probability, 1-t.floor())
}

// unbounded returns the rejection probability without the starvation bound.
func (s *Service) unbounded(now clock.Time, level int, budget clock.Span) float64 {
	t := s.total(now)
	return t.reject(level, float64(budget))
}

// predict advances the prediction of the waiting requests of all entries to now.
func (s *Service) predict(now clock.Time) {
	if !s.flowUsed || now.Sub(s.flowAt) > reportExpiry {
		s.flowAt, s.flowUsed = now, true // reports from before a longer pause have expired
		return
	}
	for now.Sub(s.flowAt) >= flowStep {
		s.flowAt = s.flowAt.Add(flowStep)
		if len(s.reports) > 0 {
			s.predictStep(s.flowAt)
		}
	}
}

// predictStep adds the change of the waiting requests of all entries during one step to the flow: those that arrive, can't start
// at once and are not rejected wait, and the starts go to the most urgent ones that waited before.
func (s *Service) predictStep(now clock.Time) {
	t := s.total(now)
	step := float64(flowStep) / float64(clock.Second)
	starts := t.starts * step
	late := min(t.waiting[LateLevel], starts*minLateFraction)
	starts -= late
	ahead := 0.0
	for l := range Levels {
		ahead += t.waiting[l]
		joining := t.arrivals[l] * step * (1 - t.reject(l, s.budget(l)))
		if ahead < someWait {
			joining *= 1 - s.atOnce
		}
		if l == LateLevel {
			starts += late
		}
		if l == 0 {
			for _, promoted := range t.promoted {
				joining += promoted * step
			}
		}
		leaving := min(t.waiting[l], starts)
		starts -= leaving
		s.flow[l] += joining - leaving
	}
}

// budget returns the mean time budget in ms of the requests of the level.
func (s *Service) budget(level int) float64 {
	switch {
	case s.budgets[level] > 0:
		return s.budgets[level]
	case level == LateLevel:
		return float64(MaxLateWait)
	}
	return float64(defaultBudget)
}

// Status is what an entry knows of a service's overload.
type Status struct {
	Waiting [Levels]float64 // requests that wait at all entries, by level
	Wait    float64         // expected wait in ms of the least urgent requests on time; infinite if they can't start
	Starts  float64         // per second, of all entries
	Peers   int             // reports in use
	Oldest  clock.Span      // age in ms of the oldest of them
}

// Status returns what this entry knows of the service's overload.
func (s *Service) Status(now clock.Time) (status Status) {
	status.Peers, _ = s.Reports(now)
	for _, r := range s.reports {
		status.Oldest = max(status.Oldest, now.Sub(r.at))
	}
	s.predict(now)
	t := s.total(now)
	status.Waiting, status.Starts = t.waiting, t.starts
	least := 0
	for l := range LateLevel {
		if t.arrivals[l] > 0 {
			least = l
		}
	}
	if status.Starts > 0 {
		status.Wait = t.wait(least)
	}
	return status
}

// Demand returns this entry's report.
func (s *Service) Demand(now clock.Time) (d Demand) {
	for l := range Levels {
		arrivals := units(s.arrivals[l].perSecond(now))
		if s.waiting[l] > 0 || arrivals > 0 {
			d.Levels = append(d.Levels, LevelDemand{Level: l, Waiting: s.waiting[l], Arrivals: arrivals})
		}
	}
	d.Starts, d.Ends = units(s.starts.perSecond(now)), units(s.ends.perSecond(now))
	d.Flight = clock.Span(math.Round(s.flight))
	return d
}

// FreeShare returns how many of the free slots this entry's waiting requests of the level get: the more urgent requests at all
// entries go first, then each entry gets its proportional part.
func (s *Service) FreeShare(now clock.Time, free float64, level int) float64 {
	own := float64(s.waiting[level])
	if own == 0 || free <= 0 {
		return 0
	}
	s.expire(now)
	s.predict(now)
	t := s.total(now)
	left := free
	for l := range level {
		left -= t.waiting[l]
	}
	return min(own, max(left, 0)*own/max(t.waiting[level], own))
}

// LateShare returns how many requests all entries start in the given ms for late requests at least, and the part of this entry.
func (s *Service) LateShare(now clock.Time, elapsed clock.Span) (all, own float64) {
	t := s.total(now)
	if t.waiting[LateLevel] <= 0 {
		return 0, 0
	}
	all = min(t.starts*minLateFraction*float64(elapsed)/float64(clock.Second), t.waiting[LateLevel])
	return all, all * float64(s.waiting[LateLevel]) / t.waiting[LateLevel]
}

// Slots returns how many of the free slots all entries together should fill in the given ms. All entries see the same free slots
// until the next reports arrive, so they fill them over the age of the reports, beside what replaces the requests that end.
func (s *Service) Slots(now clock.Time, free float64, elapsed clock.Span) float64 {
	count, age := s.Reports(now)
	if count == 0 {
		return max(free, 0)
	}
	t := s.total(now)
	free -= t.growth(age)
	perMs := t.ends/float64(clock.Second) + free/float64(age+minCorrectionTime)
	return max(perMs*float64(elapsed), 0)
}

// StartProbability returns the probability with which a request that arrives at the level starts at once; free is the number of
// free slots. A request that an entry knows of and that is as urgent goes first.
func (s *Service) StartProbability(now clock.Time, free float64, level int) float64 {
	count, age := s.Reports(now)
	s.predict(now)
	t := s.total(now)
	if s.atOnce = 0; free >= 1 {
		s.atOnce = 1
		if count > 0 {
			s.atOnce = min(1, max(free-t.growth(age), 0)/max(t.all*float64(age)/float64(clock.Second), 1))
		}
	}
	for l := range level + 1 {
		if t.waiting[l] >= someWait {
			return 0
		}
	}
	return s.atOnce
}

// growth returns by how many the requests in flight have grown since reports of the given age, by the rates of starts and ends.
func (t *total) growth(age clock.Span) float64 {
	return (t.started - t.ends) * float64(age) / float64(clock.Second)
}
