package gateway

import (
	"maps"
	"slices"

	"carawaypick/internal/balance"
	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

const (
	namedRateWindow  = 4 * clock.Second       // in which a rate that a backend server names is divided into whole requests
	endedRateMemory  = clock.Minute           // for which the end of such a rate is remembered and told to peers that may not know it
	reportedRateTime = 10 * clock.Second      // after the last report of a rate that this entry did not hear itself, for which it holds: whoever heard it may be gone
	maxNamedRates    = 24                     // in one heartbeat; the next one has others
	reportTravelTime = 50 * clock.Millisecond // that a report is assumed to have been under way at most, where it matters
)

// namedRate is what a backend server last said about the rate of requests that it takes from all entries together.
type namedRate struct {
	perSecond float64    // 0 if it names none any more
	startedAt int64      // of the incarnation that said it
	at        clock.Time // see newerThan
	own       bool       // this entry heard it itself
	reported  clock.Time // time of the last report of it, if another entry heard it
}

// newerThan reports whether v is newer than old: what the server said last holds. A limit counts from the time at which its
// answer arrived, and the end of one from the time at which the request was sent, so that an answer which was overtaken on its
// way never ends a limit that was named after it.
func (v namedRate) newerThan(old namedRate) bool {
	if v.startedAt != old.startedAt {
		return v.startedAt > old.startedAt
	}
	return v.at > old.at
}

// rateReport is a rate that a backend server named, in the messages between entries.
type rateReport struct {
	ID   string
	Born int64   // start of the incarnation
	Rate float64 // requests per second; 0 if it names none any more
	Age  clock.Span
}

// RecordNamedRate records the rate that s named in an answer, 0 for none, and reports whether it is another than before. The
// request was sent at sentAt.
func (t *LoadTracker) RecordNamedRate(s *routing.Server, perSecond float64, sentAt clock.Time) (changed bool) {
	v := namedRate{perSecond: perSecond, startedAt: s.StartedAt, at: t.clock.Now(), own: true}
	if perSecond == 0 {
		v.at = sentAt
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mergeNamedRate(s.ID, v)
}

// mergeNamedRate replaces what is known of the server unless v is older, and reports whether the rate changes; mu is held.
func (t *LoadTracker) mergeNamedRate(id string, v namedRate) (changed bool) {
	old, known := t.namedRates[id]
	if !known && v.perSecond == 0 {
		return false
	}
	if known && !v.newerThan(old) {
		if v.perSecond == old.perSecond && v.startedAt == old.startedAt {
			old.reported = max(old.reported, v.reported)
			t.namedRates[id] = old
		}
		return false
	}
	t.namedRates[id] = v
	return !known || old.perSecond != v.perSecond
}

// MergeRateReports adds what a peer heard from backend servers itself, and returns the reports that change a rate.
func (t *LoadTracker) MergeRateReports(reports []rateReport) (changed []rateReport) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		v := namedRate{perSecond: r.Rate, startedAt: r.Born, at: now.Add(-r.Age), reported: now}
		if r.Rate == 0 {
			v.at = v.at.Add(-reportTravelTime) // the report was under way for an unknown time
		}
		if t.mergeNamedRate(r.ID, v) {
			changed = append(changed, r)
		}
	}
	return changed
}

// RateReports returns what this entry heard from backend servers itself, for a heartbeat; all of it in turn if it is much.
// What others heard is not handed on, since it would look newer with each message.
func (t *LoadTracker) RateReports() (reports []rateReport) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.namedRates, func(_ string, v namedRate) bool {
		return (v.perSecond == 0 && now.Sub(v.at) > endedRateMemory) || (!v.own && now.Sub(v.reported) > reportedRateTime)
	})
	ids := slices.Sorted(maps.Keys(t.namedRates))
	ids = slices.DeleteFunc(ids, func(id string) bool { return !t.namedRates[id].own })
	first, _ := slices.BinarySearch(ids, t.nextReport)
	for i := range min(len(ids), maxNamedRates) {
		id := ids[(first+i)%len(ids)]
		v := t.namedRates[id]
		reports = append(reports, rateReport{ID: id, Born: v.startedAt, Rate: v.perSecond, Age: now.Sub(v.at)})
		t.nextReport = id + "\x00" // the id after it
	}
	return reports
}

// limits returns the limited rates of s that are in force; mu is held.
func (t *LoadTracker) limits(s *routing.Server, service routing.Service, now clock.Time) (rates []balance.ServerRate) {
	if now < max(s.ColdUntil, t.serverLoad(s.ID).coldUntil) && service.ColdRate > 0 {
		rates = append(rates, balance.NewServerRate(service.ColdRate, coldWindow))
	}
	if v := t.namedRates[s.ID]; v.perSecond > 0 && v.startedAt == s.StartedAt {
		rates = append(rates, balance.NewServerRate(v.perSecond, namedRateWindow))
	}
	return rates
}
