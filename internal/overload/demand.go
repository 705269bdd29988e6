package overload

import (
	"math"

	"carawaypick/pkg/clock"
)

const (
	// Levels is the number of levels: priorities 0 to 7 of requests that can still be on time, then late requests.
	Levels = 9
	// LateLevel is the level of late requests.
	LateLevel = Levels - 1

	rateUnit   = 100     // units per request and second in which rates are sent
	maxWaiting = 1 << 14 // waiting requests that one report may claim for a level
	maxRate    = 1 << 20 // rate that one report may claim, in units
)

// Demand is what one entry reports of one service. The order of its fields is part of the protocol.
type Demand struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag

	Levels []LevelDemand // levels with demand
	Starts int           // hundredths of requests that are started per second
	Ends   int           // hundredths of requests that end per second
	Flight clock.Span    // mean time in ms that a request is in flight; 0 if unknown
	Teams  TeamReport
}

// LevelDemand is the demand of one level. The order of its fields is part of the protocol.
type LevelDemand struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag

	Level    int
	Waiting  int // requests
	Arrivals int // hundredths of requests that arrive per second
}

// LevelOf returns the level of a request that can still be on time; lower priorities than the last level share it.
func LevelOf(priority int) int {
	return min(max(priority, 0), LateLevel-1)
}

// units returns the rate in the units of a report.
func units(rate float64) int {
	return int(math.Round(rate * rateUnit))
}

// bounded returns the rate of a report in requests per second; values out of range count as the nearest one in range.
func bounded(units int) float64 {
	return float64(min(max(units, 0), maxRate)) / rateUnit
}

// amounts are the figures of one or several reports.
type amounts struct {
	waiting, arrivals [Levels]float64
	starts, ends      float64
	flight, flights   float64 // sum of the mean times in flight, and their number
	flow              [Levels]float64
}

// newAmounts returns the figures of d.
func newAmounts(d Demand) (a amounts) {
	for _, l := range d.Levels {
		if l.Level < 0 || l.Level >= Levels {
			continue
		}
		a.waiting[l.Level] = float64(min(max(l.Waiting, 0), maxWaiting))
		a.arrivals[l.Level] = bounded(l.Arrivals)
	}
	a.starts, a.ends = bounded(d.Starts), bounded(d.Ends)
	if d.Flight > 0 && d.Flight <= maxFlight {
		a.flight, a.flights = float64(d.Flight), 1
	}
	return a
}

// add adds b times sign.
func (a *amounts) add(b *amounts, sign float64) {
	for l := range Levels {
		a.waiting[l] += sign * b.waiting[l]
		a.arrivals[l] += sign * b.arrivals[l]
		a.flow[l] += sign * b.flow[l]
	}
	a.starts += sign * b.starts
	a.ends += sign * b.ends
	a.flight += sign * b.flight
	a.flights += sign * b.flights
}
