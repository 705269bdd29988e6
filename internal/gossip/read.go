package gossip

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

const (
	// watchTimeout is how long the configuration service may hold a watch call.
	watchTimeout = 30 * clock.Second
	// watchRetryInterval is the mean wait after a watch that failed or returned nothing new.
	watchRetryInterval = clock.Second
	// auditInterval is the mean time between two reads of the unsealed tickets.
	auditInterval = 30 * clock.Second
	// listReadInterval is the mean time between two reads of the instance list by a reader.
	listReadInterval = clock.Second
	// maxReadRounds bounds the consecutive reads while they return new tickets.
	maxReadRounds = 16
	// maxEmptyListDoublings bounds how often the wait between reads doubles while the instance list is empty.
	maxEmptyListDoublings = 3
	// logInterval is the shortest time between two log lines with the same message.
	logInterval = 10 * clock.Second
	// isolationIntervals is the number of gossip intervals without a call or reply from a peer that make a process isolated.
	isolationIntervals = 5
	// gapTimeout is how long a ticket may be missing before a snapshot is read.
	gapTimeout = 3 * clock.Second
)

// watchTickets waits for the next ticket at the configuration service and returns the wait before the next watch.
func (m *Member) watchTickets(ctx context.Context) (wait clock.Span) {
	if !m.Ready() {
		m.readSnapshot(ctx)
	}
	fresh, err := m.readTickets(ctx, m.tickets.LastContiguous(), watchTimeout)
	if err != nil || fresh == 0 {
		m.fillGap(ctx)
		return m.jitter(watchRetryInterval)
	}
	return 0
}

// scheduleAudit brings a reader's next audit forward to the middle of the settle delay of a new ticket, because the
// replica that the reader reads may have another content under the same number.
func (m *Member) scheduleAudit() {
	at := m.options.Clock.Now().Add(m.options.SettleDelay / 2)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if t := m.tasks[taskKey{kind: taskAudit}]; t != nil && !t.busy {
		t.next = min(t.next, at)
	}
}

// auditTickets reads all tickets again that another content could still replace.
func (m *Member) auditTickets(ctx context.Context) (wait clock.Span) {
	after := m.tickets.LastSealed(m.options.Clock.Now())
	if m.Ready() {
		_, _ = m.readTickets(ctx, after, 0) // readTickets logs the error; the next audit retries
	}
	return m.jitter(auditInterval)
}

// readPlatform reads tickets and the instance list; every process does so at a low rate, in case the readers have died
// or the process is isolated.
func (m *Member) readPlatform(ctx context.Context) (wait clock.Span) {
	if wait = m.startupDelay(ctx); wait > 0 {
		return wait
	}
	if !m.Ready() {
		m.readSnapshot(ctx)
	}
	for range maxReadRounds {
		fresh, err := m.readTickets(ctx, m.tickets.LastContiguous(), 0)
		if err != nil || fresh == 0 {
			break
		}
	}
	m.fillGap(ctx)
	m.readList(ctx)
	return m.jitter(ReadInterval(m.fleetSize(), m.isolated()))
}

// After maxEmptyListReads reads of an empty instance list, a process reads tickets at the rate of a fleet of
// defaultFleetSize processes, the largest expected.
const (
	maxEmptyListReads = 4
	defaultFleetSize  = 6000
)

// startupDelay returns how long to wait before the first platform read, and 0 after that wait. The delay grows with the
// fleet, so that a fleet that starts at once keeps to the rate of platform reads of all processes together. The instance list,
// which gives the size of the fleet, is read first if it is empty.
func (m *Member) startupDelay(ctx context.Context) (wait clock.Span) {
	m.mutex.Lock()
	known := m.fleetSizeKnown
	m.mutex.Unlock()
	if known {
		return 0
	}
	if len(m.List().Instances) == 0 {
		m.readList(ctx)
	}
	fleet := len(m.List().Instances)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if fleet == 0 {
		m.emptyListReads++
		if m.emptyListReads <= maxEmptyListReads {
			return m.jitter(minReadInterval << min(m.emptyListReads-1, maxEmptyListDoublings))
		}
		fleet = defaultFleetSize
	}
	m.fleetSizeKnown = true
	if m.isSeed() {
		return 0
	}
	return clock.Span(m.options.Random() * float64(ReadInterval(fleet, !m.Ready())-minReadInterval))
}

// fleetSize returns the number of listed processes, or the largest expected one if the instance list is empty.
func (m *Member) fleetSize() int {
	if listed := len(m.List().Instances); listed > 0 {
		return listed
	}
	return defaultFleetSize
}

// isolated reports whether no peer has called or replied for isolationIntervals.
func (m *Member) isolated() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.options.Clock.Since(m.lastSeen) > isolationIntervals*m.options.GossipInterval
}

// fillGap reads a snapshot if a gap exceeds gapTimeout, as the platform may no longer have the missing ticket.
func (m *Member) fillGap(ctx context.Context) {
	if _, since, ok := m.tickets.Missing(m.options.Clock.Now()); ok && since > gapTimeout {
		m.readSnapshot(ctx)
	}
}

func (m *Member) readSnapshot(ctx context.Context) {
	m.Counters.PlatformCalls.Add(1)
	content, err := m.options.Reader.Snapshot(ctx)
	if err != nil {
		m.logError("error reading snapshot", err)
		return
	}
	if content == nil {
		return
	}
	changed, err := m.tickets.AddSnapshot(m.options.Clock.Now(), content)
	if err != nil {
		m.rejectInput("error reading snapshot", err)
	}
	if changed {
		m.stateChanged()
	}
}

// readTickets reads tickets once and returns how many of them were new here.
func (m *Member) readTickets(ctx context.Context, after ticket.Number, wait clock.Span) (fresh int, err error) {
	m.Counters.PlatformCalls.Add(1)
	contents, err := m.options.Reader.Tickets(ctx, uint64(after), wait)
	if err != nil {
		m.logError("error reading tickets", err)
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

// readList reads the instance list and returns the wait before the next read.
func (m *Member) readList(ctx context.Context) (wait clock.Span) {
	m.Counters.PlatformCalls.Add(1)
	l, faults, err := m.options.Reader.Instances(ctx, m.List().Version)
	if err != nil {
		m.logError("error reading instance list", err)
		return m.jitter(listReadInterval)
	}
	for _, fault := range faults {
		m.rejectInput("error reading instance list", fault)
	}
	if m.instances.replace(l) {
		m.listChanged("")
	} else if known := m.List().Version; l.Version > 0 && l.Version < known {
		m.logError("instance list is older than the known one, ignoring it", errors.Newf("version %d, known %d", l.Version, known))
	}
	return m.jitter(listReadInterval)
}

// logError logs an error, at most once per logInterval for each message; it skips cancellation.
func (m *Member) logError(msg string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	now := m.options.Clock.Now()
	m.mutex.Lock()
	last, logged := m.lastLogged[msg]
	recent := logged && now.Sub(last) < logInterval
	if !recent {
		m.lastLogged[msg] = now
	}
	m.mutex.Unlock()
	if recent {
		return
	}
	m.options.Log.Log("level", "warn", "msg", msg, "error", err)
}

// rejectInput counts and logs an invalid input.
func (m *Member) rejectInput(msg string, err error) {
	m.Counters.InvalidInputs.Add(1)
	m.logError(msg, err)
}
