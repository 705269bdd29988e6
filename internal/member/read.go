package member

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

const (
	// watchWait is how long a watch asks the configuration service to wait.
	watchWait = 30 * clock.Second
	// watchPause is the mean wait before the next watch after one that brought nothing or failed.
	watchPause = clock.Second
	// auditPeriod is the mean time between two reads of what may have a rival.
	auditPeriod = 30 * clock.Second
	// listPeriod is the mean time between two reads of the list by a reader.
	listPeriod = clock.Second
	// maxReads is the number of answers read in a row while they bring something new.
	maxReads = 16
	// missDoublings bounds how often the wait between reads doubles while not even a list is known.
	missDoublings = 3
	// notePeriod is the least time between two log lines on one fault.
	notePeriod = 10 * clock.Second
	// silentSpans is the number of gossip periods without a word from a peer after which a process is on its own.
	silentSpans = 5
	// gapPatience is how long a gap may last before a snapshot is read.
	gapPatience = 3 * clock.Second
)

// watch waits at the configuration service for the next ticket.
func (m *Member) watch(ctx context.Context) (wait clock.Span) {
	if !m.Ready() {
		m.readSnapshot(ctx)
	}
	fresh, err := m.readTickets(ctx, m.book.Seen(), watchWait)
	if err != nil || fresh == 0 {
		m.fill(ctx)
		return m.jitter(watchPause)
	}
	return 0
}

// auditSoon makes a reader read again before a new ticket settles, as its replica may hold a rival.
func (m *Member) auditSoon() {
	at := m.options.Clock.Now().Add(m.options.Settle / 2)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if d := m.duties[key{kind: audit}]; d != nil && !d.busy {
		d.next = min(d.next, at)
	}
}

// audit reads all tickets again that a rival could still replace.
func (m *Member) audit(ctx context.Context) (wait clock.Span) {
	after := m.book.LastSealed(m.options.Clock.Now())
	if m.Ready() {
		_, _ = m.readTickets(ctx, after, 0) // logged there; the next audit tries again
	}
	return m.jitter(auditPeriod)
}

// read fetches what is new for a process that may be no reader, or that has lost its peers.
func (m *Member) read(ctx context.Context) (wait clock.Span) {
	if wait = m.hold(ctx); wait > 0 {
		return wait
	}
	if !m.Ready() {
		m.readSnapshot(ctx)
	}
	for range maxReads {
		fresh, err := m.readTickets(ctx, m.book.Seen(), 0)
		if err != nil || fresh == 0 {
			break
		}
	}
	m.fill(ctx)
	m.readList(ctx)
	return m.jitter(Rate(m.size(), m.silent()))
}

// A process that found the list empty some times reads tickets all the same, at the pace of the largest fleet.
const (
	missesUnsized = 4
	unsizedFleet  = 6000
)

// hold learns the fleet's size before the first own read, and returns how long to leave the rest to peers,
// so that a fleet that starts at once stays within its rate.
func (m *Member) hold(ctx context.Context) (wait clock.Span) {
	m.mutex.Lock()
	sized := m.sized
	m.mutex.Unlock()
	if sized {
		return 0
	}
	if len(m.List().Instances) == 0 {
		m.readList(ctx)
	}
	fleet := len(m.List().Instances)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if fleet == 0 {
		m.misses++
		if m.misses <= missesUnsized {
			return m.jitter(shortestRead << min(m.misses-1, missDoublings))
		}
		fleet = unsizedFleet
	}
	m.sized = true
	if m.seed() {
		return 0
	}
	return clock.Span(m.options.Random() * float64(Rate(fleet, !m.Ready())-shortestRead))
}

// size returns the number of processes by the list, or the most expected where there is no list.
func (m *Member) size() int {
	if listed := len(m.List().Instances); listed > 0 {
		return listed
	}
	return unsizedFleet
}

// silent tells whether no peer has been heard for some gossip periods.
func (m *Member) silent() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.options.Clock.Since(m.heard) > silentSpans*m.options.Gossip
}

// fill reads a snapshot where a gap has lasted, as the platform may no longer have the ticket.
func (m *Member) fill(ctx context.Context) {
	if _, since, ok := m.book.Missing(m.options.Clock.Now()); ok && since > gapPatience {
		m.readSnapshot(ctx)
	}
}

func (m *Member) readSnapshot(ctx context.Context) {
	m.Counters.Reads.Add(1)
	content, err := m.options.Reader.Snapshot(ctx)
	if err != nil {
		m.note("read snapshot", err)
		return
	}
	if content == nil {
		return
	}
	changed, err := m.book.AddSnapshot(m.options.Clock.Now(), content)
	if err != nil {
		m.refuse("read snapshot", err)
	}
	if changed {
		m.changed()
	}
}

// readTickets reads one answer and returns how many of its tickets were new here.
func (m *Member) readTickets(ctx context.Context, after ticket.Number, wait clock.Span) (fresh int, err error) {
	m.Counters.Reads.Add(1)
	contents, err := m.options.Reader.Tickets(ctx, uint64(after), wait)
	if err != nil {
		m.note("read tickets", err)
		return 0, err
	}
	now := m.options.Clock.Now()
	for _, content := range contents {
		if m.addTicket(now, content, 0, "") {
			fresh++
		}
	}
	return fresh, nil
}

// readList reads the list of instances.
func (m *Member) readList(ctx context.Context) (wait clock.Span) {
	m.Counters.Reads.Add(1)
	l, faults, err := m.options.Reader.Instances(ctx, m.List().Version)
	if err != nil {
		m.note("read list", err)
		return m.jitter(listPeriod)
	}
	for _, fault := range faults {
		m.refuse("read list", fault)
	}
	if m.roster.replace(l) {
		m.listChanged("")
	}
	return m.jitter(listPeriod)
}

// note logs a fault, and repeats the same one only after a while.
func (m *Member) note(what string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	now := m.options.Clock.Now()
	m.mutex.Lock()
	last, again := m.noted[what]
	quiet := again && now.Sub(last) < notePeriod
	if !quiet {
		m.noted[what] = now
	}
	m.mutex.Unlock()
	if quiet {
		return
	}
	m.options.Log.Log("level", "warn", "msg", what, "error", err)
}

// refuse counts and logs a value that could not be read.
func (m *Member) refuse(what string, err error) {
	m.Counters.Refused.Add(1)
	m.note(what, err)
}
