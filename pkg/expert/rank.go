package expert

import (
	"slices"

	"carawaypick/pkg/clock"
)

// Timing of the switch between ranks.
const (
	retryInterval = 200 * clock.Millisecond // between two rounds of queries or two sends of an unanswered proposal
	joinBackoff   = 4 * retryInterval       // time for which a joining rank that got a reply has priority over joining ranks with a higher index
)

// Rank is the state machine of one rank in the switch; it ensures that all ranks use the same map in each step.
//
// A map is committed once all ranks of one generation have promised it, and
// aborted once one has refused it. The votes alone decide, so any process that
// knows all of them knows the outcome. A cold rank has lost its votes and its
// map. To join, it queries all other ranks, which decide nothing until it has
// collected their replies and started a new generation.
type Rank struct {
	name       string
	ranks      []string
	initialMap Map

	cold       bool
	generation Generation
	step       uint64
	highest    Fence
	current    Activation
	next       *Activation
	promised   *Activation

	requested     *Activation         // requested by a planner, not promised yet
	planner       string              // name of the planner that sent the request
	loaded        map[Fence]bool      // by fence: the weights of the map are loaded
	queryToken    uint64              // token of the current queries
	lastJoinToken uint64              // newest token issued to a joining rank
	joinLocks     map[string]joinLock // by name of the joining rank; while there is a lock, this rank decides nothing
	joinTokens    map[string]uint64   // join tokens received by this rank while it joins, by sender
	replies       map[string]View     // replies to the current queries, by rank
	queriedAt     clock.Time          // time of the newest queries
	waiting       bool                // the engine is blocked at the step of the promised map
	lastJoiner    string              // name of the joining rank to which this rank last replied
	backoffUntil  clock.Time          // until then lastJoiner has priority over ranks with a higher index, and this rank, if cold, sends no queries
}

// joinLock is the pair of tokens of a reply to a joining rank.
type joinLock struct {
	queryToken uint64 // token of the joining rank's query
	joinToken  uint64 // token issued by the replying rank
}

// NewRank returns a cold rank; nonce is random, and initialMap is the first map of a new group.
func NewRank(name string, ranks []string, initialMap Map, nonce uint64) *Rank {
	return &Rank{
		name:          name,
		ranks:         ranks,
		initialMap:    initialMap,
		cold:          true,
		loaded:        map[Fence]bool{},
		queryToken:    nonce,
		lastJoinToken: nonce,
		joinLocks:     map[string]joinLock{},
		replies:       map[string]View{},
		joinTokens:    map[string]uint64{},
		queriedAt:     -clock.Time(retryInterval),
	}
}

// View returns the rank's switch state.
func (r *Rank) View() View {
	if r.cold {
		return View{Cold: true}
	}
	return View{
		Generation: r.generation,
		Step:       r.step,
		Highest:    r.highest,
		Current:    r.current,
		Next:       r.next,
		Promised:   r.promised,
	}
}

// BeginStep returns the map to use in the step, or false while the step may not begin; steps are begun in order.
func (r *Rank) BeginStep(step uint64) (activation Activation, ok bool) {
	if r.cold {
		return Activation{}, false
	}
	r.waiting = r.promised != nil && step >= r.promised.Step
	if r.waiting {
		return Activation{}, false
	}
	if r.next != nil && step >= r.next.Step {
		r.current = *r.next
		r.next = nil
	}
	if !r.loaded[r.current.Fence] {
		return Activation{}, false
	}
	r.step = max(r.step, step)
	return r.current, true
}

// NextLoad returns the map whose weights the rank loads next, if any.
func (r *Rank) NextLoad() (activation Activation, ok bool) {
	if r.cold {
		return Activation{}, false
	}
	for _, a := range []*Activation{&r.current, r.next, r.requested} {
		if a != nil && !r.loaded[a.Fence] {
			return *a, true
		}
	}
	return Activation{}, false
}

// MarkLoaded records that the weights of a map are loaded and returns the messages to send.
func (r *Rank) MarkLoaded(f Fence) []Envelope {
	r.loaded[f] = true
	for old := range r.loaded {
		if old.Less(r.current.Fence) {
			delete(r.loaded, old)
		}
	}
	if r.requested == nil || r.requested.Fence != f {
		return nil
	}
	r.requested = nil
	return r.envelope(r.planner, Message{Kind: KindLoaded, Fence: f})
}

// Tick returns the messages that are due; it is called every few milliseconds.
func (r *Rank) Tick(now clock.Time) []Envelope {
	if r.cold && len(r.ranks) == 1 {
		return r.beginGeneration()
	}
	if !r.cold && !r.waiting && len(r.joinLocks) == 0 {
		return nil
	}
	if len(r.ranks) == 1 {
		r.decide(true)
		return nil
	}
	if now.Sub(r.queriedAt) < retryInterval || r.cold && now < r.backoffUntil {
		return nil
	}
	r.queriedAt = now
	query := Message{Kind: KindQuery, Token: r.queryToken}
	if r.promised != nil {
		query.Fence = r.promised.Fence
	}
	var out []Envelope
	for _, name := range r.ranks {
		if name != r.name {
			out = append(out, r.envelope(name, query)...)
		}
	}
	return out
}

// Handle processes one message and returns the messages to send.
func (r *Rank) Handle(now clock.Time, m Message) []Envelope {
	switch m.Kind {
	case KindLoad:
		return r.handleLoad(m)
	case KindPrepare:
		return r.handlePrepare(m)
	case KindCommit, KindAbort:
		r.handleOutcome(m)
	case KindQuery:
		return r.handleQuery(now, m)
	case KindQueryReply:
		return r.handleQueryReply(m)
	case KindJoin:
		r.handleJoin(m)
	}
	return nil
}

// envelope addresses a message and adds the rank's name, generation and view.
func (r *Rank) envelope(to string, m Message) []Envelope {
	v := r.View()
	m.From = r.name
	m.Generation = r.generation
	m.View = &v
	return []Envelope{{To: to, Message: m}}
}

func (r *Rank) index(name string) int {
	return slices.Index(r.ranks, name)
}

// discardReplies invalidates all replies to earlier queries.
func (r *Rank) discardReplies() {
	r.queryToken++
	clear(r.replies)
}
