package expert

import (
	"slices"

	"carawaypick/pkg/clock"
)

// Spans of the switch.
const (
	retryAfter = 200 * clock.Millisecond // between two asks
	yieldFor   = 4 * retryAfter          // that a cold rank leaves joining to a lower one
)

// Rank is one rank's part of the switch: every rank uses one map in each step.
//
// A map is committed when all ranks of one generation have promised it, and
// aborted when one has refused it, so that the votes alone decide and anyone
// who has all of them may say the outcome. A rank that starts knows neither its
// votes nor its map: it joins by asking all others, who decide nothing more
// before it has gathered their answers and begun a new generation.
type Rank struct {
	name  string
	ranks []string
	first Map

	cold       bool
	generation Generation
	step       uint64
	highest    Fence
	now        Use
	next       *Use
	promise    *Use

	loading *Use              // asked for by a planner, not promised
	planner string            // who asked for it
	have    map[Fence]bool    // maps whose weights are loaded
	nonce   uint64            // token of the present asks
	token   uint64            // newest given to a joining rank
	locks   map[string]lock   // by joining rank
	tokens  map[string]uint64 // tokens of those answers, for a cold rank
	told    map[string]View   // answers to the present asks
	asked   clock.Time        // of the newest asks
	waiting bool              // the engine waits at the step of the promise
	quiet   clock.Time        // a cold rank doesn't ask before
}

// lock is what a rank has told one that joins.
type lock struct {
	ask   uint64 // token of the joining rank's ask
	token uint64 // own token
}

// NewRank returns a rank that has just started; mark is random, and first is the map of a group that has never had one.
func NewRank(name string, ranks []string, first Map, mark uint64) *Rank {
	return &Rank{
		name:   name,
		ranks:  ranks,
		first:  first,
		cold:   true,
		have:   map[Fence]bool{},
		nonce:  mark,
		token:  mark,
		locks:  map[string]lock{},
		told:   map[string]View{},
		tokens: map[string]uint64{},
		asked:  -clock.Time(retryAfter),
	}
}

// View returns what the rank knows.
func (r *Rank) View() View {
	if r.cold {
		return View{Cold: true}
	}
	return View{
		Generation: r.generation,
		Step:       r.step,
		Highest:    r.highest,
		Now:        r.now,
		Next:       r.next,
		Promise:    r.promise,
	}
}

// Begin asks to begin a step, in order; where it may, it returns the map to use.
func (r *Rank) Begin(step uint64) (use Use, ok bool) {
	if r.cold {
		return Use{}, false
	}
	r.waiting = r.promise != nil && step >= r.promise.Step
	if r.waiting {
		return Use{}, false
	}
	if r.next != nil && step >= r.next.Step {
		r.now = *r.next
		r.next = nil
	}
	if !r.have[r.now.Fence] {
		return Use{}, false
	}
	r.step = max(r.step, step)
	return r.now, true
}

// Wants returns the map whose weights the rank should load next, if any.
func (r *Rank) Wants() (use Use, ok bool) {
	if r.cold {
		return Use{}, false
	}
	for _, u := range []*Use{&r.now, r.next, r.loading} {
		if u != nil && !r.have[u.Fence] {
			return *u, true
		}
	}
	return Use{}, false
}

// Loaded says that the weights of a map are there and returns what to send.
func (r *Rank) Loaded(f Fence) []Envelope {
	r.have[f] = true
	for old := range r.have {
		if old.Less(r.now.Fence) {
			delete(r.have, old)
		}
	}
	if r.loading == nil || r.loading.Fence != f {
		return nil
	}
	r.loading = nil
	return r.reply(r.planner, Message{Kind: Loaded, Fence: f})
}

// Tick returns what to send as time passes; it is called every few milliseconds.
func (r *Rank) Tick(now clock.Time) []Envelope {
	if r.cold && len(r.ranks) == 1 {
		return r.begin()
	}
	if !r.cold && !r.waiting && len(r.locks) == 0 {
		return nil
	}
	if len(r.ranks) == 1 {
		r.decide(true)
		return nil
	}
	if now.Sub(r.asked) < retryAfter || now < r.quiet {
		return nil
	}
	r.asked = now
	ask := Message{Kind: Ask, Token: r.nonce}
	if r.promise != nil {
		ask.Fence = r.promise.Fence
	}
	var out []Envelope
	for _, name := range r.ranks {
		if name != r.name {
			out = append(out, r.reply(name, ask)...)
		}
	}
	return out
}

// Handle takes one message and returns what to send.
func (r *Rank) Handle(now clock.Time, m Message) []Envelope {
	switch m.Kind {
	case Load:
		return r.load(m)
	case Prepare:
		return r.prepare(m)
	case Commit, Abort:
		r.order(m)
	case Ask:
		return r.answer(now, m)
	case Tell:
		return r.hear(m)
	case Join:
		r.join(m)
	}
	return nil
}

// reply returns a message with the rank's name, generation and view.
func (r *Rank) reply(to string, m Message) []Envelope {
	v := r.View()
	m.From = r.name
	m.Generation = r.generation
	m.View = &v
	return []Envelope{{To: to, Message: m}}
}

func (r *Rank) index(name string) int {
	return slices.Index(r.ranks, name)
}

// forget makes answers to earlier asks count no more.
func (r *Rank) forget() {
	r.nonce++
	clear(r.told)
}
