package binding

import (
	"container/heap"
	"sync"

	"carawaypick/pkg/clock"
)

// Reasons for which a table rejects a send.
const (
	ReasonForeign   = "incarnation" // the binding names another incarnation
	ReasonExpired   = "expired"     // the binding has expired, or its expiry is too far ahead
	ReasonForgotten = "forgotten"   // the binding expired longer than Limits.Retention ago, so the table may no longer know whether the request ran
	ReasonMismatch  = "mismatch"    // the request id belongs to another binding
	ReasonContent   = "content"     // the request id came before with other content
	ReasonSealed    = "refused"     // this send was rejected before and stays rejected
	ReasonFull      = "full"        // the table is full
)

// Action is what the agent does with a send.
type Action int

// Actions for a send.
const (
	ActionRun           Action = iota // start the run, and call HandOver before forwarding it
	ActionJoin                        // wait for the run in progress
	ActionReplay                      // return the stored response
	ActionRejectNotRun                // reject: proven not to have run
	ActionRejectUnknown               // reject: may have run
)

// Response is the stored outcome of a run.
type Response struct {
	Outcome     string // done, failed, unknown
	Reason      string
	Status      int
	ContentType string // media type
	Events      [][]byte
	EventsHash  uint64 // xxhash64 over the data of all events
}

// size returns the size of the events in bytes.
func (a Response) size() (sum int) {
	for _, event := range a.Events {
		sum += len(event)
	}
	return sum
}

// Decision is what the table decided on one send.
type Decision struct {
	Action   Action
	Reason   string
	Response Response        // for ActionReplay
	Done     <-chan struct{} // for ActionJoin: closed when the run has finished or was rejected
}

// Limits bounds a table.
type Limits struct {
	MaxLifetime      clock.Span // longest remaining lifetime of a binding, in milliseconds
	Retention        clock.Span // milliseconds that a request id is remembered after the expiry of its binding
	MaxRequests      int        // max request ids
	MaxResponseBytes int        // bytes of stored responses from which new request ids are rejected
}

type phase int

const (
	pending    phase = iota // accepted, not yet handed over
	handedOver              // may run at the backend server
	finished                // the response is stored
	rejected                // proven not to have run; a later send may run
)

type record struct {
	id          string
	fingerprint uint64
	sealedSend  uint32 // number of the newest sealed send; that send and earlier ones never run
	phase       phase
	response    Response
	done        chan struct{}
	evictAt     clock.Time
}

// Table remembers the request ids of one agent incarnation; it is safe for concurrent use.
type Table struct {
	mu            sync.Mutex
	incarnation   uint64
	limits        Limits
	records       map[string]*record
	evictions     evictionHeap
	responseBytes int
}

// NewTable returns an empty table for an incarnation.
func NewTable(incarnation uint64, limits Limits) *Table {
	return &Table{incarnation: incarnation, limits: limits, records: make(map[string]*record)}
}

// Decide decides on one send of a request id with the fingerprint of its content.
// The send number is the caller's count from 1, or 0 if the caller doesn't count.
func (t *Table) Decide(now clock.Time, token Token, id string, send uint32, fingerprint uint64) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evictExpired(now)
	if token.Incarnation != t.incarnation {
		return Decision{Action: ActionRejectUnknown, Reason: ReasonForeign}
	}
	if !token.Covers(id) {
		return Decision{Action: ActionRejectUnknown, Reason: ReasonMismatch}
	}
	if r, ok := t.records[id]; ok {
		return t.resend(now, token, r, send, fingerprint)
	}
	if now > token.Expiry.Add(t.limits.Retention) {
		return Decision{Action: ActionRejectUnknown, Reason: ReasonForgotten}
	}
	if now >= token.Expiry || token.Expiry > now.Add(t.limits.MaxLifetime) {
		return Decision{Action: ActionRejectNotRun, Reason: ReasonExpired}
	}
	if len(t.records) >= t.limits.MaxRequests || t.responseBytes >= t.limits.MaxResponseBytes {
		return Decision{Action: ActionRejectNotRun, Reason: ReasonFull}
	}
	t.insert(token, id, fingerprint)
	return Decision{Action: ActionRun}
}

// resend decides on a send of a request id that the table remembers.
func (t *Table) resend(now clock.Time, token Token, r *record, send uint32, fingerprint uint64) Decision {
	if r.fingerprint != fingerprint {
		return Decision{Action: ActionRejectUnknown, Reason: ReasonContent}
	}
	switch r.phase {
	case pending, handedOver:
		return Decision{Action: ActionJoin, Done: r.done}
	case finished:
		return Decision{Action: ActionReplay, Response: r.response}
	}
	if send <= r.sealedSend {
		return Decision{Action: ActionRejectNotRun, Reason: ReasonSealed}
	}
	if now >= token.Expiry {
		return Decision{Action: ActionRejectNotRun, Reason: ReasonExpired}
	}
	r.phase = pending
	r.done = make(chan struct{})
	return Decision{Action: ActionRun}
}

func (t *Table) insert(token Token, id string, fingerprint uint64) {
	r := &record{
		id:          id,
		fingerprint: fingerprint,
		done:        make(chan struct{}),
		evictAt:     token.Expiry.Add(t.limits.Retention),
	}
	t.records[id] = r
	heap.Push(&t.evictions, r)
}

// HandOver marks a request as handed over and reports whether the hand-over is still allowed.
// It is called once, right before the first byte goes to the backend server.
func (t *Table) HandOver(now clock.Time, token Token, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	if !ok || r.phase != pending || now >= token.Expiry.Add(t.limits.Retention) {
		return false
	}
	r.phase = handedOver
	return true
}

// Reject seals this send and all earlier ones, so that they never run.
// It returns false if the request was handed over before.
func (t *Table) Reject(id string, send uint32) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	if !ok {
		return true
	}
	if r.phase == handedOver || r.phase == finished {
		return false
	}
	r.sealedSend = max(r.sealedSend, send)
	if r.phase == pending {
		r.phase = rejected
		close(r.done)
	}
	return true
}

// Finish stores the response of a run that was handed over.
func (t *Table) Finish(id string, response Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	if !ok || r.phase != handedOver {
		return
	}
	r.phase = finished
	r.response = response
	t.responseBytes += response.size()
	close(r.done)
}

// Withdraw marks a request as not run if no byte was sent to the backend server, and seals this send and all earlier ones.
// It may be called before or after the hand-over.
func (t *Table) Withdraw(id string, send uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	if !ok || (r.phase != handedOver && r.phase != pending) {
		return
	}
	r.sealedSend = max(r.sealedSend, send)
	r.phase = rejected
	close(r.done)
}

// Len returns the number of request ids remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// evictExpired removes request ids whose retention has passed; a run in progress is never removed.
func (t *Table) evictExpired(now clock.Time) {
	for len(t.evictions) > 0 && t.evictions[0].evictAt < now {
		r := t.evictions[0]
		if r.phase == pending || r.phase == handedOver {
			r.evictAt = now.Add(t.limits.Retention)
			heap.Fix(&t.evictions, 0)
			continue
		}
		heap.Pop(&t.evictions)
		t.responseBytes -= r.response.size()
		delete(t.records, r.id)
	}
}

// evictionHeap is a heap of records, the first to evict on top.
type evictionHeap []*record

// Len returns the number of records.
func (h evictionHeap) Len() int { return len(h) }

// Less orders by eviction time.
func (h evictionHeap) Less(i, j int) bool { return h[i].evictAt < h[j].evictAt }

// Swap exchanges two records.
func (h evictionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a record.
func (h *evictionHeap) Push(x any) { *h = append(*h, x.(*record)) }

// Pop removes and returns the last record.
func (h *evictionHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}
