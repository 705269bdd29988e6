package balance

import (
	"math"
	"slices"

	"carawaypick/pkg/clock"
)

// EntrySet is what one entry knows of the entries among which a limit is divided; it is immutable.
type EntrySet struct {
	Self  string
	Alive []string // names of the entries heard lately, with Self; none while the entry can't know them yet
	Known int      // entries that may be alive, at least those in Alive
}

// ServerRate is a rate of requests that one backend server accepts from all entries together.
type ServerRate struct {
	Requests int        // in each window, at least 1
	Window   clock.Span // ms
}

// NewServerRate returns a rate of perSecond requests, in whole requests per window; the window is longer if it has less than
// one request.
func NewServerRate(perSecond float64, window clock.Span) ServerRate {
	perMs := perSecond / float64(clock.Second)
	if perMs*float64(window) < 1 {
		return ServerRate{Requests: 1, Window: clock.Span(math.Ceil(1 / perMs))}
	}
	return ServerRate{Requests: int(perMs * float64(window)), Window: window}
}

// Part returns how many requests the entry may send to the server in each window.
//
// The whole requests of the rate are dealt to the entries by a hash that differs by server, so the parts of entries that know
// the same entries add up to the rate, also where there are more entries than requests. An entry that misses others deals
// only a part as large as the entries that it hears, so that two sides of a partition together stay within the rate.
func (r ServerRate) Part(server uint64, entries *EntrySet) int {
	alive := len(entries.Alive)
	if alive == 0 {
		return 0
	}
	dealt, own := r.dealt(alive, entries.Known), rendezvousWeight(entries.Self, server)
	rank := 0
	for _, name := range entries.Alive {
		if rendezvousWeight(name, server) > own {
			rank++
		}
	}
	part := dealt / alive
	if rank < dealt%alive {
		part++
	}
	return part
}

// dealt returns the requests that an entry deals to the entries that it hears.
func (r ServerRate) dealt(alive, known int) int {
	exact := float64(r.Requests) * float64(alive) / float64(max(known, alive))
	if 2*alive > known {
		return int(math.Round(exact))
	}
	return int(exact)
}

// SendLog holds the times of the latest requests of one kind from one entry.
type SendLog struct {
	times []clock.Time // ascending
}

// Add records a request.
func (l *SendLog) Add(now clock.Time) {
	l.times = append(l.times, now)
}

// Within returns the number of requests in the window that ends now, and forgets those before it.
func (l *SendLog) Within(now clock.Time, window clock.Span) int {
	first, _ := slices.BinarySearch(l.times, now.Add(-window)+1)
	l.times = l.times[first:]
	return len(l.times)
}
