package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"carawaypick/internal/balance"
	"carawaypick/internal/config"
	"carawaypick/internal/kernel"
	"carawaypick/internal/member"
	"carawaypick/internal/operator"
	"carawaypick/internal/peer"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

const (
	subsetSize   = 24                      // agents of one service that an entry knows
	retryRatio   = 0.2                     // retries for each call, for a team and for the entry
	retryBurst   = 32                      // retries allowed at once
	ringSize     = 4096                    // decisions kept for explain
	refusedAfter = 500 * clock.Millisecond // when a new send makes sense where no backend server may get the call
	boardPeriod  = 200 * clock.Millisecond // between two looks at the instance list and at reports that are due
	pollTimeout  = 1 * clock.Second        // longest wait for a report
	patienceMore = 2                       // the entry's patience in units of the agent's
)

// Entry serves callers.
type Entry struct {
	settings  config.Settings
	clock     clock.Clock
	telemetry *telemetry.Telemetry
	member    *member.Member
	pool      *peer.Pool
	board     *Board
	chooser   balance.Chooser
	budget    *budget
	ring      *operator.Ring

	mu       sync.Mutex
	suspects *balance.Suspects

	calls   atomic.Int64
	leaving atomic.Bool
}

// New returns an entry that reaches agents through the pool.
func New(s config.Settings, c clock.Clock, t *telemetry.Telemetry, m *member.Member, p *peer.Pool) *Entry {
	return &Entry{
		settings:  s,
		clock:     c,
		telemetry: t,
		member:    m,
		pool:      p,
		board:     NewBoard(c, s.Timing.Poll),
		chooser:   balance.Chooser{Random: rand.Uint64, Tuning: balance.DefaultTuning()},
		budget:    &budget{clock: c, retries: balance.NewBudget(retryRatio, retryBurst)},
		ring:      operator.NewRing(ringSize),
		suspects:  balance.NewSuspects(s.Timing.Condemn),
	}
}

// budget guards the retry budget for many goroutines.
type budget struct {
	mu      sync.Mutex
	clock   clock.Clock
	retries *balance.Budget
}

func (b *budget) earn(team string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.Earn(b.clock.Now(), team)
}

func (b *budget) spend(team string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retries.Spend(b.clock.Now(), team)
}

// learn takes in what an agent's event says beside the answer.
func (e *Entry) learn(event *peerpb.RunEvent) {
	if r := event.GetReport(); r != nil {
		e.heard(r)
	}
	e.accuse(event.GetRefusal().GetEvidence())
}

func (e *Entry) heard(r *peerpb.Report) {
	e.board.Heard(r)
	e.accuse(r.GetEvidence())
	if t, ok := e.board.Target(r.GetName()); ok {
		e.member.Heard(r.GetDigest(), t.Address)
	}
}

// accuse passes crash evidence on; what is new comes back through Hear.
func (e *Entry) accuse(evidence []*peerpb.Evidence) {
	if len(evidence) > 0 {
		e.member.AddEvidence(evidence...)
	}
}

// Hear takes in news of tickets, instances and crashes.
func (e *Entry) Hear() {
	evidence := e.member.Evidence()
	e.mu.Lock()
	defer e.mu.Unlock()
	peer.Weigh(e.clock.Now(), e.suspects, evidence)
}

func (e *Entry) condemned(content uint64) (after clock.Span, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.suspects.Condemned(e.clock.Now(), content)
}

func (e *Entry) suspected(content uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.suspects.Suspect(e.clock.Now(), content)
}

// patience returns the milliseconds without a sign of life after which an agent is given up.
func (e *Entry) patience(service string) clock.Span {
	s := e.member.State().Objects.Services[service]
	if s != nil && s.Stall > 0 {
		return patienceMore * clock.Span(s.Stall)
	}
	return patienceMore * e.settings.Timing.Stall
}

// whole takes suspicion off content that ran whole.
func (e *Entry) whole(content uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspects.Whole(e.clock.Now(), content)
}

// Start keeps the board up to date until ctx ends and reports its end.
func (e *Entry) Start(ctx context.Context) <-chan error {
	return kernel.Start(ctx, func(ctx context.Context) error {
		ticker := time.NewTicker(boardPeriod.Duration())
		defer ticker.Stop()
		for {
			e.refresh(ctx)
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	})
}

// refresh takes the entry's agents from the instance list and asks those that are silent for a report.
func (e *Entry) refresh(ctx context.Context) {
	if e.member.List().Version == 0 {
		return
	}
	e.board.Update(e.agents())
	var polls []<-chan error
	for _, t := range e.board.Due() {
		polls = append(polls, kernel.Start(ctx, func(ctx context.Context) error { return e.poll(ctx, t) }))
	}
	for _, poll := range polls {
		if err := <-poll; err != nil {
			level.Debug(e.telemetry.Logger).Log("msg", "no report", "err", err)
		}
	}
}

// agents returns this entry's part of the agents of each service.
func (e *Entry) agents() (chosen []platform.Instance) {
	list := e.member.List()
	var entries []string
	services := make(map[string]map[string]platform.Instance)
	for _, i := range list.Instances {
		if i.Role == platform.EntryRole {
			entries = append(entries, i.Name)
			continue
		}
		if services[i.Service] == nil {
			services[i.Service] = make(map[string]platform.Instance)
		}
		services[i.Service][i.Name] = i
	}
	for _, agents := range services {
		names := make([]string, 0, len(agents))
		for name := range agents {
			names = append(names, name)
		}
		for _, name := range balance.Subset(e.settings.Name, entries, names, subsetSize) {
			chosen = append(chosen, agents[name])
		}
	}
	return chosen
}

func (e *Entry) poll(ctx context.Context, t Target) (err error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
	defer cancel()
	conn, err := e.pool.Conn(t.Address)
	if err != nil {
		return err
	}
	request := &peerpb.PollRequest{Entry: e.settings.Name, Digest: e.member.Digest()}
	r, err := peerpb.NewAgentClient(conn).Poll(ctx, request)
	if err != nil {
		e.telemetry.Metrics.Peers.Get("failed").Inc()
		return err
	}
	e.heard(r)
	return nil
}

// Leave takes the entry out of every answer to locate; calls are still served.
func (e *Entry) Leave() {
	e.leaving.Store(true)
}

// Idle tells whether no call is in progress.
func (e *Entry) Idle() bool {
	return e.calls.Load() == 0
}
