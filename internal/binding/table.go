package binding

import (
	"container/heap"
	"sync"

	"carawaypick/pkg/clock"
)

// Reasons for which a table refuses an identifier.
const (
	ReasonForeign  = "incarnation" // the binding names another incarnation
	ReasonExpired  = "expired"     // the binding is too old to start a run
	ReasonForgot   = "forgotten"   // the binding is too old for the table to know
	ReasonMismatch = "mismatch"    // the identifier belongs to another binding
	ReasonContent  = "content"     // the identifier came before with other content
	ReasonSealed   = "refused"     // this send was refused before and stays so
	ReasonFull     = "full"        // the table holds as much as it may
)

// Step is what the agent must do with a send.
type Step int

// Steps of a send.
const (
	Run     Step = iota // start it and call Hand before the hand-over
	Join                // wait for the run that is on its way
	Replay              // give the held answer again
	NotRun              // refuse: proved not to have run
	Unknown             // refuse: may have run
)

// Answer is the end of a run as the agent holds it.
type Answer struct {
	Outcome string // done, failed, unknown
	Reason  string
	Status  int
	Content string // media type
	Events  [][]byte
	Hash    uint64 // xxhash64 over the data of all events
}

// size returns the bytes that the answer occupies.
func (a Answer) size() (sum int) {
	for _, event := range a.Events {
		sum += len(event)
	}
	return sum
}

// Verdict is the table's word on one send.
type Verdict struct {
	Step   Step
	Reason string
	Answer Answer          // for Replay
	Done   <-chan struct{} // for Join: closed when the run has ended or was refused
}

// Limits bounds a table.
type Limits struct {
	Life  clock.Span // longest life of a binding, in milliseconds
	Keep  clock.Span // milliseconds that an identifier is remembered after its binding's expiry
	Held  int        // most identifiers
	Bytes int        // most bytes of held answers
}

type phase int

const (
	waiting phase = iota
	handed
	ended
	refused
)

type held struct {
	id      string
	content uint64
	sealed  uint32
	phase   phase
	answer  Answer
	done    chan struct{}
	forget  clock.Time
}

// Table remembers the identifiers of one agent incarnation; it is safe for many goroutines.
type Table struct {
	mu          sync.Mutex
	incarnation uint64
	limits      Limits
	held        map[string]*held
	order       forgetting
	bytes       int
}

// NewTable returns the empty table of an incarnation.
func NewTable(incarnation uint64, limits Limits) *Table {
	return &Table{incarnation: incarnation, limits: limits, held: make(map[string]*held)}
}

// Open judges one send of an identifier with the fingerprint of its content.
// The send number is the caller's count from 1, or 0 where the caller doesn't count.
func (t *Table) Open(now clock.Time, token Token, id string, send uint32, content uint64) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if token.Incarnation != t.incarnation {
		return Verdict{Step: Unknown, Reason: ReasonForeign}
	}
	if !token.Covers(id) {
		return Verdict{Step: Unknown, Reason: ReasonMismatch}
	}
	if h, ok := t.held[id]; ok {
		return t.again(now, token, h, send, content)
	}
	if now > token.Expiry.Add(t.limits.Keep) {
		return Verdict{Step: Unknown, Reason: ReasonForgot}
	}
	if now >= token.Expiry || token.Expiry > now.Add(t.limits.Life) {
		return Verdict{Step: NotRun, Reason: ReasonExpired}
	}
	if len(t.held) >= t.limits.Held || t.bytes >= t.limits.Bytes {
		return Verdict{Step: NotRun, Reason: ReasonFull}
	}
	t.insert(token, id, content)
	return Verdict{Step: Run}
}

func (t *Table) again(now clock.Time, token Token, h *held, send uint32, content uint64) Verdict {
	if h.content != content {
		return Verdict{Step: Unknown, Reason: ReasonContent}
	}
	switch h.phase {
	case waiting, handed:
		return Verdict{Step: Join, Done: h.done}
	case ended:
		return Verdict{Step: Replay, Answer: h.answer}
	}
	if send <= h.sealed {
		return Verdict{Step: NotRun, Reason: ReasonSealed}
	}
	if now >= token.Expiry {
		return Verdict{Step: NotRun, Reason: ReasonExpired}
	}
	h.phase = waiting
	h.done = make(chan struct{})
	return Verdict{Step: Run}
}

func (t *Table) insert(token Token, id string, content uint64) {
	h := &held{
		id:      id,
		content: content,
		done:    make(chan struct{}),
		forget:  token.Expiry.Add(t.limits.Keep),
	}
	t.held[id] = h
	heap.Push(&t.order, h)
}

// Hand marks the identifier as handed over and tells whether the hand-over is still allowed.
// It is called once, right before the first byte goes to the backend server.
func (t *Table) Hand(now clock.Time, token Token, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.held[id]
	if !ok || h.phase != waiting || now >= token.Expiry.Add(t.limits.Keep) {
		return false
	}
	h.phase = handed
	return true
}

// Refuse seals this send and all earlier ones: they are never run.
// It tells false where the identifier was handed over before.
func (t *Table) Refuse(id string, send uint32) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.held[id]
	if !ok {
		return true
	}
	if h.phase == handed || h.phase == ended {
		return false
	}
	h.sealed = max(h.sealed, send)
	if h.phase == waiting {
		h.phase = refused
		close(h.done)
	}
	return true
}

// Finish holds the end of a run that was handed over.
func (t *Table) Finish(id string, answer Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.held[id]
	if !ok || h.phase != handed {
		return
	}
	h.phase = ended
	h.answer = answer
	t.bytes += answer.size()
	close(h.done)
}

// Never takes a hand-over back of which no byte left the agent, and seals this send.
func (t *Table) Never(id string, send uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.held[id]
	if !ok || (h.phase != handed && h.phase != waiting) {
		return
	}
	h.sealed = max(h.sealed, send)
	h.phase = refused
	close(h.done)
}

// Held returns the number of identifiers remembered.
func (t *Table) Held() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.held)
}

// sweep forgets identifiers whose time is over; a run on its way is never forgotten.
func (t *Table) sweep(now clock.Time) {
	for len(t.order) > 0 && t.order[0].forget < now {
		h := t.order[0]
		if h.phase == waiting || h.phase == handed {
			h.forget = now.Add(t.limits.Keep)
			heap.Fix(&t.order, 0)
			continue
		}
		heap.Pop(&t.order)
		t.bytes -= h.answer.size()
		delete(t.held, h.id)
	}
}

// forgetting is a heap of identifiers, the first to forget on top.
type forgetting []*held

// Len returns the number of identifiers.
func (f forgetting) Len() int { return len(f) }

// Less orders by the moment of forgetting.
func (f forgetting) Less(i, j int) bool { return f[i].forget < f[j].forget }

// Swap exchanges two identifiers.
func (f forgetting) Swap(i, j int) { f[i], f[j] = f[j], f[i] }

// Push adds an identifier.
func (f *forgetting) Push(x any) { *f = append(*f, x.(*held)) }

// Pop takes the last identifier off.
func (f *forgetting) Pop() any {
	old := *f
	h := old[len(old)-1]
	*f = old[:len(old)-1]
	return h
}
