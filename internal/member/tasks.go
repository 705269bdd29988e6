package member

import (
	"cmp"
	"context"
	"slices"

	"carawaypick/internal/platform"
	"carawaypick/pkg/clock"
)

const (
	// NeighbourCount is the number of instances that a process spreads news to.
	NeighbourCount = 5
	// ReadersOfZone is the number of processes of a zone that watch the platform.
	ReadersOfZone = 3
	// maxPulls is the number of peers that are asked for news at once.
	maxPulls = 4
	// maxDoubt is the longest wait between two looks into another state of the same number.
	maxDoubt = 10 * clock.Minute
	// firstCold is the mean wait between the first exchanges of a process without a configuration.
	firstCold = 250 * clock.Millisecond
	// coldDoublings bounds how often that wait doubles.
	coldDoublings = 4
)

// kind is what a duty does.
type kind string

// Kinds of duty.
const (
	advance  kind = "advance"  // puts in force what has settled
	watch    kind = "watch"    // waits at the configuration service
	audit    kind = "audit"    // reads again what may have a rival
	read     kind = "read"     // reads without being a reader
	list     kind = "list"     // reads the list
	exchange kind = "exchange" // compares with a neighbour
	pull     kind = "pull"     // fetches what a peer has
	push     kind = "push"     // tells a neighbour what is new
)

// key names one duty.
type key struct {
	kind    kind
	address string
}

// duty is when a duty is next done, or that it is being done.
type duty struct {
	next clock.Time
	busy bool
}

// plan is what follows from the list.
type plan struct {
	list       *platform.List
	reader     bool
	neighbours []string // peer addresses
	turn       int      // of the next exchange
}

func (m *Member) begin(now clock.Time) {
	m.heard, m.looked, m.doubt = now, now, m.options.Gossip
	m.plan.list = m.List()
	cold := clock.Span(m.options.Random() * float64(m.options.Cold))
	if m.seed() {
		cold = 0
	}
	m.duties[key{kind: exchange}] = &duty{next: now}
	m.duties[key{kind: read}] = &duty{next: now.Add(cold)}
}

// seed tells whether cold processes ask this one first, which are few and so read at once.
func (m *Member) seed() bool {
	return slices.Contains(m.options.Seeds, m.options.Self.Peer)
}

// Due returns the duties whose time has come and marks them as being done.
func (m *Member) Due(now clock.Time) (due []key) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.looked = now
	m.replan(now)
	if at, ok := m.book.NextAdvance(); ok && at <= now {
		due = append(due, key{kind: advance})
	}
	for k, d := range m.duties {
		if !d.busy && d.next <= now {
			d.busy = true
			due = append(due, k)
		}
	}
	slices.SortFunc(due, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.address, b.address))
	})
	return due
}

// next returns when Due next has something to return.
func (m *Member) next() (at clock.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	at = m.looked.Add(m.options.Gossip)
	for _, d := range m.duties {
		if !d.busy {
			at = min(at, d.next)
		}
	}
	if wake, ok := m.book.NextAdvance(); ok {
		at = min(at, wake)
	}
	return at
}

// replan follows a changed list.
func (m *Member) replan(now clock.Time) {
	l := m.List()
	if m.plan.list == l {
		return
	}
	m.plan.list = l
	m.plan.neighbours = nil
	for _, i := range Neighbours(m.options.Self, l, NeighbourCount) {
		m.plan.neighbours = append(m.plan.neighbours, i.Peer)
	}
	m.plan.reader = slices.Contains(Readers(l, m.options.Self.Zone, ReadersOfZone), m.options.Self.Name)
	for _, k := range []kind{watch, audit, list} {
		m.employ(now, k, m.plan.reader)
	}
	for address := range m.known {
		if !slices.Contains(m.plan.neighbours, address) {
			delete(m.known, address)
		}
	}
}

// employ gives a reader's duty to this process or takes it away.
func (m *Member) employ(now clock.Time, k kind, wanted bool) {
	d := m.duties[key{kind: k}]
	if wanted && d == nil {
		m.duties[key{kind: k}] = &duty{next: now}
	}
	if !wanted && d != nil && !d.busy {
		delete(m.duties, key{kind: k})
	}
}

// Perform does one duty and settles when it is next due.
func (m *Member) Perform(ctx context.Context, k key) {
	var wait clock.Span
	switch k.kind {
	case advance:
		m.advance()
		return
	case watch:
		wait = m.watch(ctx)
	case audit:
		wait = m.audit(ctx)
	case read:
		wait = m.read(ctx)
	case list:
		wait = m.readList(ctx)
	case exchange:
		wait = m.exchange(ctx)
	case pull:
		m.converse(ctx, k.address)
	case push:
		m.push(ctx, k.address)
	}
	m.finish(k, wait)
}

// finish settles when a duty is next due; pushes and pulls are done once.
func (m *Member) finish(k key, wait clock.Span) {
	now := m.options.Clock.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if k.kind == pull || k.kind == push {
		m.once(now, k)
		return
	}
	reading := k.kind == watch || k.kind == audit || k.kind == list
	if reading && !m.plan.reader {
		delete(m.duties, k)
		return
	}
	m.duties[k].busy = false
	m.duties[k].next = now.Add(wait)
}

// once ends a push or pull, and begins the next push where more has come.
func (m *Member) once(now clock.Time, k key) {
	delete(m.duties, k)
	if k.kind == pull && !slices.Contains(m.plan.neighbours, k.address) {
		delete(m.known, k.address)
	}
	o := m.outboxes[k.address]
	if k.kind != push || o == nil {
		return
	}
	if o.tries > 0 {
		now = now.Add(m.jitter(retryPause << (o.tries - 1)))
	}
	m.duties[k] = &duty{next: now}
	m.rouse()
}

// rouse makes the loop look for duties.
func (m *Member) rouse() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Member) pulls() (count int) {
	for k := range m.duties {
		if k.kind == pull {
			count++
		}
	}
	return count
}

// jitter returns a mean span spread by the random source.
func (m *Member) jitter(mean clock.Span) clock.Span {
	return Jitter(mean, m.options.Random())
}
