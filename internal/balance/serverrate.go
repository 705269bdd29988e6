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

// MaxRateWindow is the longest window of a rate: one request in it finds out whether a very low rate has changed.
const MaxRateWindow = clock.Minute

const maxRateRequests = 1 << 20 // in a window; more than any server takes

// NewServerRate returns a rate of perSecond requests, in whole requests per window; the window is longer if it has less than
// one request.
func NewServerRate(perSecond float64, window clock.Span) ServerRate {
	perMs := perSecond / float64(clock.Second)
	if perMs*float64(window) < 1 {
		return ServerRate{Requests: 1, Window: clock.Span(min(math.Ceil(1/perMs), float64(MaxRateWindow)))}
	}
	return ServerRate{Requests: int(min(perMs*float64(window), maxRateRequests)), Window: window}
}

// PerSecond returns how many requests a second are the part of an entry.
func (r ServerRate) PerSecond(part int) float64 {
	return float64(part) * float64(clock.Second) / float64(r.Window)
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

// Add records a request, and forgets those that a window no longer has.
func (l *SendLog) Add(now clock.Time, window clock.Span) {
	l.times = append(l.times[len(l.times)-l.Within(now, window):], now)
}

// Clone returns an independent copy.
func (l *SendLog) Clone() SendLog {
	return SendLog{times: slices.Clone(l.times)}
}

// Within returns the number of requests in the window that ends now.
func (l *SendLog) Within(now clock.Time, window clock.Span) int {
	first, _ := slices.BinarySearch(l.times, now.Add(-window)+1)
	return len(l.times) - first
}
