package caller

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"carawaypick/internal/balance"
	"carawaypick/internal/config"
	"carawaypick/internal/gossip"
	"carawaypick/internal/lifecycle"
	"carawaypick/internal/operator"
	"carawaypick/internal/peer"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

const (
	subsetSize        = 24                      // agents per service that an entry uses
	retryRatio        = 0.2                     // retries earned per call, both for the call's team and for the entry as a whole
	retryBurst        = 32                      // maximum retries that a retry budget saves up
	ringSize          = 4096                    // number of decisions kept for explain
	defaultRetryAfter = 500 * clock.Millisecond // retry delay if no backend server can take the call
	refreshInterval   = 200 * clock.Millisecond // time between two refreshes; a refresh updates the list of agents and polls those whose report is due
	pollTimeout       = 1 * clock.Second        // timeout for the poll of one report
	servingTimeout    = 300 * clock.Millisecond // timeout for the check of a starting entry
	agentIdleFactor   = 2                       // agentIdleTimeout as a multiple of the agent's stall timeout
)

// Entry serves callers.
type Entry struct {
	settings    config.Settings
	clock       clock.Clock
	telemetry   *telemetry.Telemetry
	member      *gossip.Member
	pool        *peer.Pool
	tracker     *AgentTracker
	entries     entryTracker
	picker      balance.Picker
	retryBudget *retryBudget
	ring        *operator.DecisionRing

	mu       sync.Mutex
	suspects *balance.SuspectTracker

	calls   atomic.Int64
	leaving atomic.Bool
}

// New returns an entry that reaches agents through the pool.
func New(s config.Settings, c clock.Clock, t *telemetry.Telemetry, m *gossip.Member, p *peer.Pool) *Entry {
	return &Entry{
		settings:    s,
		clock:       c,
		telemetry:   t,
		member:      m,
		pool:        p,
		tracker:     NewAgentTracker(c, s.Timing.ReportInterval),
		picker:      balance.Picker{Random: rand.Uint64, Config: balance.DefaultPickerConfig()},
		retryBudget: &retryBudget{clock: c, budget: balance.NewRetryBudget(retryRatio, retryBurst)},
		ring:        operator.NewDecisionRing(ringSize),
		suspects:    balance.NewSuspectTracker(s.Timing.Quarantine),
	}
}

// retryBudget is a retry budget for concurrent use.
type retryBudget struct {
	mu     sync.Mutex
	clock  clock.Clock
	budget *balance.RetryBudget
}

func (b *retryBudget) deposit(team string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Deposit(b.clock.Now(), team)
}

func (b *retryBudget) tryWithdraw(team string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TryWithdraw(b.clock.Now(), team)
}

// receiveMetadata applies the load report and the crash and run reports of an agent's event.
func (e *Entry) receiveMetadata(event *peerpb.RunEvent) {
	if r := event.GetReport(); r != nil {
		e.receiveReport(r)
	}
	e.addEvidence(event.GetRefusal().GetEvidence())
}

func (e *Entry) receiveReport(r *peerpb.Report) {
	e.tracker.ReceiveReport(r)
	e.addEvidence(r.GetEvidence())
	if t, ok := e.tracker.Target(r.GetName()); ok {
		e.member.ReceiveDigest(r.GetDigest(), t.Address)
	}
}

// addEvidence passes crash and run reports to the member, which calls OnUpdate if any of them is new.
func (e *Entry) addEvidence(reports []*peerpb.Evidence) {
	if len(reports) > 0 {
		e.member.AddEvidence(reports...)
	}
}

// OnUpdate applies the crash and run reports that the member knows.
func (e *Entry) OnUpdate() {
	reports := e.member.Evidence()
	e.mu.Lock()
	defer e.mu.Unlock()
	peer.ApplyEvidence(e.clock.Now(), e.suspects, reports)
}

func (e *Entry) quarantined(content uint64) (remaining clock.Span, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.suspects.Quarantined(e.clock.Now(), content)
}

func (e *Entry) isSuspect(content uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.suspects.Suspected(e.clock.Now(), content)
}

// agentIdleTimeout returns the milliseconds without a message after which an attempt at an agent ends.
func (e *Entry) agentIdleTimeout(service string) clock.Span {
	s := e.member.State().Objects.Services[service]
	if s != nil && s.StallTimeout > 0 {
		return agentIdleFactor * clock.Span(s.StallTimeout)
	}
	return agentIdleFactor * e.settings.Timing.StallTimeout
}

// recordCompletedRun clears content that ran to completion from suspicion.
func (e *Entry) recordCompletedRun(content uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspects.RecordCompleted(e.clock.Now(), content)
}

// Start refreshes the agents and their reports until ctx ends, and sends the loop's error on the channel.
func (e *Entry) Start(ctx context.Context) <-chan error {
	return lifecycle.Start(ctx, func(ctx context.Context) error {
		ticker := time.NewTicker(refreshInterval.Duration())
		defer ticker.Stop()
		var polls []<-chan error
		for {
			polls = append(slices.DeleteFunc(polls, e.pollEnded), e.refresh(ctx)...)
			select {
			case <-ctx.Done():
				for _, poll := range polls {
					e.logPoll(<-poll)
				}
				return nil
			case <-ticker.C:
			}
		}
	})
}

// refresh updates the entry's agents from the instance list and starts the polls of those whose report is due. It does not wait
// for them, so that an agent that does not answer delays no report of the others.
func (e *Entry) refresh(ctx context.Context) (polls []<-chan error) {
	if e.member.List().Version == 0 {
		return nil
	}
	e.tracker.Update(e.agentSubset())
	e.entries.update(e.member.List())
	for _, i := range e.entries.startingEntries() {
		polls = append(polls, lifecycle.Start(ctx, func(context.Context) error { return e.checkServing(i) }))
	}
	for _, t := range e.tracker.DuePolls() {
		polls = append(polls, lifecycle.Start(ctx, func(ctx context.Context) error {
			defer e.tracker.PollEnded(t)
			return e.poll(ctx, t)
		}))
	}
	return polls
}

// pollEnded reports whether a poll has ended, and logs its failure.
func (e *Entry) pollEnded(poll <-chan error) bool {
	select {
	case err := <-poll:
		e.logPoll(err)
		return true
	default:
		return false
	}
}

func (e *Entry) logPoll(err error) {
	if err != nil {
		level.Debug(e.telemetry.Logger).Log("msg", "poll of an agent or a starting entry failed, polling it again", "err", err)
	}
}

// agentSubset returns the agents that this entry uses, at most subsetSize per service.
func (e *Entry) agentSubset() (chosen []platform.Instance) {
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

// checkServing asks a starting entry whether it serves, and records if it does.
func (e *Entry) checkServing(i platform.Instance) error {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+i.Caller+operator.PathReady, servingTimeout.Duration())
	if err != nil {
		return errors.Wrapf(err, "ask entry %s whether it serves", i.Name)
	}
	if status == fasthttp.StatusOK {
		e.entries.setServing(i)
	}
	return nil
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
		e.telemetry.Metrics.PeerCalls.Get("failed").Inc()
		return err
	}
	e.receiveReport(r)
	return nil
}

// Leave removes the entry from its locate responses; calls are still served.
func (e *Entry) Leave() {
	e.leaving.Store(true)
}

// Idle reports whether no call is in progress.
func (e *Entry) Idle() bool {
	return e.calls.Load() == 0
}
