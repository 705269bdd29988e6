package balance

import "carawaypick/pkg/clock"

// Place is what a placement needs to know of one backend server.
type Place struct {
	Slots    int // requests that it runs at once
	Own      int // own requests in flight
	Others   int // requests that other choosers have in flight
	Zone     string
	Cold     bool
	ColdLeft float64 // requests a second that it bears while cold
	Started  int     // own sends in the last second
	Down     bool    // it failed lately
	Tried    bool    // it has had this request
}

// Load returns the requests in flight.
func (p Place) Load() int {
	return p.Own + p.Others
}

// Pick returns the less loaded of two places drawn at random, its own zone first among equals, or -1.
//
// It answers steady load from several choosers that see each other's counts late: where all go to the least loaded
// place, it is overrun before anyone sees it (Mitzenmacher, "How useful is old information?", 2000). cold is the part
// of a cold backend server's rate that this chooser may use.
func Pick(places []Place, zone string, cold float64, random func() uint64) int {
	usable := make([]int, 0, len(places))
	for i := range places {
		p := &places[i]
		if p.Tried || p.Down || (p.Cold && p.ColdLeft > 0 && float64(p.Started) >= p.ColdLeft*cold) {
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
		if best < 0 || places[i].before(&places[best], zone) {
			best = i
		}
	}
	return best
}

// pickChoices is the number of places that a pick compares.
const pickChoices = 4

func (p *Place) before(o *Place, zone string) bool {
	a, b := p.Load()*max(o.Slots, 1), o.Load()*max(p.Slots, 1)
	if a != b {
		return a < b
	}
	return p.Zone == zone && o.Zone != zone
}

// Verdict says what the end of a request tells of the backend server's health.
type Verdict int

// Verdicts on a backend server.
const (
	Neutral Verdict = iota // tells nothing, as where the caller left
	Good
	Bad         // it failed or gave nothing usable
	Unreachable // no connection could be opened
)

const (
	badInRow   = 3                       // failures in a row after which a backend server is left alone
	firstPause = 500 * clock.Millisecond // pause after the first such row
	lastPause  = 4 * clock.Second
)

// Health is what a chooser has seen of one backend server.
type Health struct {
	bad   int
	pause clock.Span
	until clock.Time
}

// Note takes in the end of a request.
func (h *Health) Note(now clock.Time, v Verdict) {
	switch v {
	case Neutral:
		return
	case Good:
		*h = Health{}
		return
	case Unreachable:
		h.bad += badInRow
	case Bad:
		h.bad++
	}
	if h.bad < badInRow || now < h.until {
		return
	}
	h.pause = min(max(2*h.pause, firstPause), lastPause)
	h.until = now.Add(h.pause)
	h.bad = badInRow - 1 // one more failure after the pause is enough
}

// Down tells whether the backend server is left alone now.
func (h *Health) Down(now clock.Time) bool {
	return now < h.until
}

// rateSlots divides the window of a Rate.
const rateSlots = 8

// Rate counts events in the last second.
type Rate struct {
	counts [rateSlots]int
	marks  [rateSlots]int64
}

func rateMark(now clock.Time) int64 {
	return int64(now) * rateSlots / int64(clock.Second)
}

// Add counts one event.
func (r *Rate) Add(now clock.Time) {
	mark := rateMark(now)
	i := mark % rateSlots
	if r.marks[i] != mark {
		r.marks[i], r.counts[i] = mark, 0
	}
	r.counts[i]++
}

// Count returns the events of the last second.
func (r *Rate) Count(now clock.Time) int {
	mark := rateMark(now)
	total := 0
	for i := range r.counts {
		if mark-r.marks[i] < rateSlots {
			total += r.counts[i]
		}
	}
	return total
}
