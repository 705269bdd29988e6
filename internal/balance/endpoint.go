package balance

import "carawaypick/pkg/clock"

// Endpoint is the state of one backend server as known to an entry.
type Endpoint struct {
	Slots        int // concurrent requests that the server runs
	OwnInFlight  int // requests in flight from this entry
	PeerInFlight int // requests in flight from other entries
	Zone         string
	Limited      bool       // the server accepts a limited rate of requests from all entries together
	Rate         ServerRate // that rate
	Part         int        // of that rate: requests in its window that this entry may send
	Sent         int        // requests that this entry sent in that window
	Ejected      bool       // ejected after failures
	Leaving      bool       // the server said that it leaves
	AskedUntil   clock.Time // end of the time for which the server asked for no requests, 0 for none
	TurnsAway    bool       // the server rejects requests at once and isn't to be tried again yet
	Tried        bool       // this request was already sent to the server
	OnTrial      bool       // another backend server may be at its address, and it isn't to be tried now
	Weight       float64    // see LearnedCapacity.Weight and PickByCapacity
	Load         float64    // of all requests at an engine, see Work.Load
	Owned        bool       // this entry prefers the server, see Owns
}

// Closed returns why the server gets no request of this entry now, empty if it may get one.
func (e *Endpoint) Closed() (reason string) {
	switch {
	case e.Tried:
		return "tried"
	case e.Leaving:
		return "leaving"
	case e.Ejected:
		return "failing"
	case e.AskedUntil > 0:
		return "asked to wait"
	case e.TurnsAway:
		return "turns requests away"
	case e.OnTrial:
		return "on trial"
	case e.RateUsedUp():
		return "rate used up"
	}
	return ""
}

// RateUsedUp reports whether this entry has sent its part of the server's rate.
func (e *Endpoint) RateUsedUp() bool {
	return e.Limited && e.Sent >= e.Part
}

// InFlight returns the requests in flight from all entries.
func (e Endpoint) InFlight() int {
	return e.OwnInFlight + e.PeerInFlight
}

// PickEndpoint returns the index of the least loaded of a few randomly drawn endpoints, preferring the given zone among equals,
// or -1 if none is usable.
//
// Entries see each other's counts with a delay. If all of them picked the least loaded endpoint, it would be overloaded
// before any of them noticed (Mitzenmacher, "How useful is old information?", 2000).
func PickEndpoint(endpoints []Endpoint, zone string, random func() uint64) int {
	usable := make([]int, 0, len(endpoints))
	for i := range endpoints {
		if endpoints[i].Closed() != "" {
			continue
		}
		usable = append(usable, i)
	}
	best := -1
	for range min(pickChoices, len(usable)) {
		n := int(random() % uint64(len(usable)))
		i := usable[n]
		usable[n] = usable[len(usable)-1]
		usable = usable[:len(usable)-1]
		if best < 0 || endpoints[i].preferredOver(&endpoints[best], zone) {
			best = i
		}
	}
	return best
}

// pickChoices is the number of endpoints that PickEndpoint compares.
const pickChoices = 4

// PickChances returns the probability that PickEndpoint returns each of the endpoints.
func PickChances(endpoints []Endpoint, zone string) (chances []float64) {
	chances = make([]float64, len(endpoints))
	var usable []int
	for i := range endpoints {
		if endpoints[i].Closed() == "" {
			usable = append(usable, i)
		}
	}
	drawn := min(pickChoices, len(usable))
	allFrom := func(count int) float64 { return allDrawnFrom(count, len(usable), drawn) }
	for _, i := range usable {
		better, equal := 0, 0
		for _, j := range usable {
			switch {
			case endpoints[j].preferredOver(&endpoints[i], zone):
				better++
			case !endpoints[i].preferredOver(&endpoints[j], zone):
				equal++
			}
		}
		left := len(usable) - better
		chances[i] = (allFrom(left) - allFrom(left-equal)) / float64(equal)
	}
	return chances
}

// allDrawnFrom returns the probability that all endpoints drawn are among count of the usable ones, without replacement.
func allDrawnFrom(count, usable, drawn int) float64 {
	p := 1.0
	for k := range drawn {
		p *= float64(max(count-k, 0)) / float64(usable-k)
	}
	return p
}

func (e *Endpoint) preferredOver(o *Endpoint, zone string) bool {
	a, b := e.InFlight()*max(o.Slots, 1), o.InFlight()*max(e.Slots, 1)
	if a != b {
		return a < b
	}
	return e.Zone == zone && o.Zone != zone
}

// HealthSignal is the effect of an attempt's outcome on the health of its backend server.
type HealthSignal int

// Health signals of an attempt.
const (
	Neutral HealthSignal = iota // no effect, for example if the caller disconnected
	Success
	Failure     // failed or returned no usable answer
	Unreachable // connection failed; ejects the server immediately
)

const (
	failureThreshold = 3                       // consecutive failures after which a backend server is ejected
	minEjectionTime  = 500 * clock.Millisecond // duration of the first ejection; each further ejection without a success in between doubles it
	maxEjectionTime  = 4 * clock.Second
)

// Health tracks the consecutive failures of one backend server and ejects it for a time.
type Health struct {
	failures     int
	ejectionTime clock.Span
	ejectedUntil clock.Time
}

// Record records the outcome of an attempt.
func (h *Health) Record(now clock.Time, signal HealthSignal) {
	switch signal {
	case Neutral:
		return
	case Success:
		*h = Health{}
		return
	case Unreachable:
		h.failures += failureThreshold
	case Failure:
		h.failures++
	}
	if h.failures < failureThreshold || now < h.ejectedUntil {
		return
	}
	h.ejectionTime = min(max(2*h.ejectionTime, minEjectionTime), maxEjectionTime)
	h.ejectedUntil = now.Add(h.ejectionTime)
	h.failures = failureThreshold - 1 // one failure after the ejection is enough to eject it again
}

// Ejected reports whether the backend server is ejected.
func (h *Health) Ejected(now clock.Time) bool {
	return now < h.ejectedUntil
}
