package gossip

import (
	"cmp"
	"context"
	"slices"

	"carawaypick/internal/platform"
	"carawaypick/pkg/clock"
)

const (
	// NeighbourCount is the number of instances that a process pushes updates to, besides its successor on the ring.
	NeighbourCount = 5
	// ReadersPerZone is the number of processes of a zone that watch the platform for all processes.
	ReadersPerZone = 3
	// maxPulls bounds the number of concurrent pulls.
	maxPulls = 4
	// maxConflictBackoff is the longest interval between two pulls because of a conflicting state.
	maxConflictBackoff = 10 * clock.Minute
	// coldExchangeInterval is the mean interval between the first exchanges of a process without a configuration.
	coldExchangeInterval = 250 * clock.Millisecond
	// maxColdDoublings bounds how often coldExchangeInterval doubles.
	maxColdDoublings = 4
)

// taskKind is the kind of a scheduled task.
type taskKind string

// Kinds of scheduled tasks.
const (
	taskAdvance  taskKind = "advance"  // applies tickets whose settle delay has passed
	taskWatch    taskKind = "watch"    // long-polls the configuration service, on readers
	taskAudit    taskKind = "audit"    // reads unsealed tickets again to find conflicts, on readers
	taskRead     taskKind = "read"     // reads the platform at a low rate, on every process
	taskReadList taskKind = "list"     // reads the instance list, on readers
	taskExchange taskKind = "exchange" // compares state with a peer
	taskPull     taskKind = "pull"     // fetches what a peer has and this process lacks
	taskPush     taskKind = "push"     // sends queued updates to a neighbour
)

// taskKey identifies one task.
type taskKey struct {
	kind    taskKind
	address string // of the peer, for pulls and pushes; empty for other kinds
}

// task is the schedule of one task: when it is next due, or that it is running.
type task struct {
	next clock.Time
	busy bool
}

// plan is derived from the instance list.
type plan struct {
	list          *platform.List
	reader        bool
	neighbours    []string // peer addresses
	exchangeCount int      // selects the neighbour of the next exchange
}

func (m *Member) scheduleInitialTasks(now clock.Time) {
	m.lastSeen, m.lastScan, m.conflictBackoff = now, now, m.options.GossipInterval
	m.plan.list = m.List()
	delay := clock.Span(m.options.Random() * float64(m.options.StartupSpread))
	if m.isSeed() {
		delay = 0
	}
	m.tasks[taskKey{kind: taskExchange}] = &task{next: now}
	m.tasks[taskKey{kind: taskRead}] = &task{next: now.Add(delay)}
}

// isSeed reports whether this process is a seed; seeds are few and others depend on them, so they read without delay.
func (m *Member) isSeed() bool {
	return slices.Contains(m.options.Seeds, m.options.Self.Peer)
}

// DueTasks returns the due tasks and marks them as busy.
func (m *Member) DueTasks(now clock.Time) (due []taskKey) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastScan = now
	m.updatePlan(now)
	if at, ok := m.tickets.NextAdvance(); ok && at <= now {
		due = append(due, taskKey{kind: taskAdvance})
	}
	for k, t := range m.tasks {
		if !t.busy && t.next <= now {
			t.busy = true
			due = append(due, k)
		}
	}
	slices.SortFunc(due, func(a, b taskKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.address, b.address))
	})
	return due
}

// nextWake returns when the next task is due, at the latest one gossip interval after the last scan.
func (m *Member) nextWake() (at clock.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	at = m.lastScan.Add(m.options.GossipInterval)
	for _, t := range m.tasks {
		if !t.busy {
			at = min(at, t.next)
		}
	}
	if wake, ok := m.tickets.NextAdvance(); ok {
		at = min(at, wake)
	}
	return at
}

// updatePlan selects neighbours and reader tasks again after a change of the instance list; mutex is held.
func (m *Member) updatePlan(now clock.Time) {
	l := m.List()
	if m.plan.list == l {
		return
	}
	m.plan.list = l
	m.plan.neighbours = nil
	for _, i := range Neighbours(m.options.Self, l, NeighbourCount) {
		m.plan.neighbours = append(m.plan.neighbours, i.Peer)
	}
	m.plan.reader = slices.Contains(Readers(l, m.options.Self.Zone, ReadersPerZone), m.options.Self.Name)
	for _, k := range []taskKind{taskWatch, taskAudit, taskReadList} {
		m.scheduleReaderTask(now, k, m.plan.reader)
	}
	for address := range m.peerDigests {
		if !slices.Contains(m.plan.neighbours, address) {
			delete(m.peerDigests, address)
		}
	}
}

// scheduleReaderTask adds a task that only readers run, or removes it unless it is running; mutex is held.
func (m *Member) scheduleReaderTask(now clock.Time, k taskKind, wanted bool) {
	t := m.tasks[taskKey{kind: k}]
	if wanted && t == nil {
		m.tasks[taskKey{kind: k}] = &task{next: now}
	}
	if !wanted && t != nil && !t.busy {
		delete(m.tasks, taskKey{kind: k})
	}
}

// RunTask runs one task and schedules its next run.
func (m *Member) RunTask(ctx context.Context, k taskKey) {
	var wait clock.Span
	switch k.kind {
	case taskAdvance:
		m.advanceTickets()
		return
	case taskWatch:
		wait = m.watchTickets(ctx)
	case taskAudit:
		wait = m.auditTickets(ctx)
	case taskRead:
		wait = m.readPlatform(ctx)
	case taskReadList:
		wait = m.readList(ctx)
	case taskExchange:
		wait = m.exchange(ctx)
	case taskPull:
		m.syncWith(ctx, k.address)
	case taskPush:
		m.push(ctx, k.address)
	}
	m.reschedule(k, wait)
}

// reschedule sets when a task is next due; pushes and pulls run once, and reader tasks end on a process that is no longer a
// reader.
func (m *Member) reschedule(k taskKey, wait clock.Span) {
	now := m.options.Clock.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if k.kind == taskPull || k.kind == taskPush {
		m.finishOneShot(now, k)
		return
	}
	reading := k.kind == taskWatch || k.kind == taskAudit || k.kind == taskReadList
	if reading && !m.plan.reader {
		delete(m.tasks, k)
		return
	}
	m.tasks[k].busy = false
	m.tasks[k].next = now.Add(wait)
}

// finishOneShot removes a push or pull, and schedules another push if the outbox has more; mutex is held.
func (m *Member) finishOneShot(now clock.Time, k taskKey) {
	delete(m.tasks, k)
	if k.kind == taskPull && !slices.Contains(m.plan.neighbours, k.address) {
		delete(m.peerDigests, k.address)
	}
	o := m.outboxes[k.address]
	if k.kind != taskPush || o == nil {
		return
	}
	if o.failures > 0 {
		now = now.Add(m.jitter(pushRetryInterval << (o.failures - 1)))
	}
	m.tasks[k] = &task{next: now}
	m.wakeLoop()
}

// wakeLoop makes the loop collect due tasks.
func (m *Member) wakeLoop() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Member) pullCount() (count int) {
	for k := range m.tasks {
		if k.kind == taskPull {
			count++
		}
	}
	return count
}

// jitter returns a random duration around the mean, in ms.
func (m *Member) jitter(mean clock.Span) clock.Span {
	return Jitter(mean, m.options.Random())
}
