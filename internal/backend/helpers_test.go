package backend

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"carawaypick/internal/binding"
	"carawaypick/internal/config"
	"carawaypick/internal/gossip"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

const (
	waitTimeout = 5 * time.Second // maximum wait for an expected condition
	warmLimit   = 4               // concurrent requests of a warm backend server
)

// fixtures counts fixtures, each of which registers its own protocol.
var fixtures atomic.Int32

// fixture is an agent with a fake backend server.
type fixture struct {
	t            *testing.T
	agent        *Agent
	member       *gossip.Member
	mu           sync.Mutex
	load         LoadReport
	loadErr      error
	holdReports  chan struct{}  // blocks load reports unless nil
	reportHeld   atomic.Bool    // a load report was requested while blocked
	runs         map[string]int // number of runs by task id
	running      atomic.Int32
	peak         atomic.Int32 // highest number of concurrent runs
	handler      func(ctx context.Context, task Task, emit func(Event) error) (Summary, error)
	ticketNumber int
	epoch        func() uint64 // Protocol.Epoch, may be nil
	holdCancels  chan struct{} // blocks cancel calls unless nil
	cancels      atomic.Int32
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWithEpoch(t, nil)
}

// newFixtureWithEpoch is newFixture with a protocol that detects the end of the backend server's process.
func newFixtureWithEpoch(t *testing.T, epoch func() uint64) *fixture {
	t.Helper()
	f := &fixture{t: t, epoch: epoch, runs: map[string]int{}, load: LoadReport{Incarnation: "first"}}
	f.handler = echoBody
	c := clock.New()
	f.member = gossip.New(gossip.Options{
		Self:        platform.Instance{Name: "a1", Zone: "z1"},
		Clock:       c,
		Random:      func() float64 { return 0.5 },
		EvidenceTTL: clock.Minute,
		OnUpdate: func() {
			if f.agent != nil {
				f.agent.OnUpdate()
			}
		},
	})
	f.publishTicket(`"zones":{"z1":{"state":"in"}},"services":{"desk":{"kind":"plain","model":"","idempotent":true,"stall":300,"bears":4,"cold":4}}`)
	protocol := fmt.Sprint(t.Name(), fixtures.Add(1))
	Protocols.Register(protocol, func(string) (Protocol, error) {
		return Protocol{Run: f.run, Load: f.report, Cancel: f.cancel, Epoch: f.epoch}, nil
	})
	s := config.Defaults()
	s.Name, s.Zone = "a1", "z1"
	s.Backend = config.Backend{Service: "desk", Kind: protocol}
	agent, err := New(s, c, telemetry.Discard(), f.member)
	require.NoError(t, err)
	f.agent = agent
	ctx, cancel := context.WithCancel(context.Background())
	done := agent.Start(ctx)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
		agent.Wait()
	})
	f.eventually(func() bool { return agent.report("").GetState() == StateLive })
	return f
}

func (f *fixture) publishTicket(objects string) {
	f.t.Helper()
	f.ticketNumber++
	content := fmt.Sprintf(`{"number":%d,"author":"ana","objects":{%s}}`, f.ticketNumber, objects)
	_, err := f.member.Tickets().Add(clock.Time(0), []byte(content), clock.Hour)
	require.NoError(f.t, err)
	f.member.Tickets().Advance(clock.Time(clock.Hour))
	require.EqualValues(f.t, f.ticketNumber, f.member.State().Number)
}

func (f *fixture) eventually(check func() bool) {
	f.t.Helper()
	require.Eventually(f.t, check, waitTimeout, 2*time.Millisecond)
}

// echoBody answers a task with its body as one event.
func echoBody(_ context.Context, task Task, emit func(Event) error) (Summary, error) {
	summary := Summary{Count: 1, Hash: xxhash.Sum64(task.Body), Status: 200}
	return summary, emit(Event{Data: task.Body})
}

func (f *fixture) run(ctx context.Context, task Task, emit func(Event) error) (Summary, error) {
	f.mu.Lock()
	f.runs[task.ID]++
	handler := f.handler
	f.mu.Unlock()
	running := f.running.Add(1)
	defer f.running.Add(-1)
	for peak := f.peak.Load(); running > peak && !f.peak.CompareAndSwap(peak, running); peak = f.peak.Load() {
	}
	return handler(ctx, task, emit)
}

func (f *fixture) report(context.Context) (LoadReport, error) {
	f.mu.Lock()
	load, err, hold := f.load, f.loadErr, f.holdReports
	f.mu.Unlock()
	if hold != nil {
		f.reportHeld.Store(true)
		<-hold
	}
	return load, err
}

func (f *fixture) cancel(context.Context, string) error {
	f.mu.Lock()
	hold := f.holdCancels
	f.mu.Unlock()
	f.cancels.Add(1)
	if hold != nil {
		<-hold
	}
	return nil
}

func (f *fixture) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fixture) runCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// recorder records what the agent sends on one stream.
type recorder struct {
	grpc.ServerStream
	ctx    context.Context
	mu     sync.Mutex
	events []*peerpb.RunEvent
}

// Context returns the stream's context.
func (w *recorder) Context() context.Context { return w.ctx }

// Send records an event.
func (w *recorder) Send(e *peerpb.RunEvent) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
	return nil
}

func (w *recorder) last() *peerpb.RunEvent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.events[len(w.events)-1]
}

func request(id string) *peerpb.RunRequest {
	return &peerpb.RunRequest{
		Id: id, Attempt: 1, Send: 1, Service: "desk", Team: "night", Deadline: 10_000,
		Idempotent: true, Body: []byte(id), Fingerprint: xxhash.Sum64String(id), Tokens: 1,
	}
}

func (f *fixture) token() binding.Token {
	return binding.Token{
		Agent: "a1", Address: "127.0.0.1:1", Incarnation: f.agent.incarnation,
		Expiry: f.agent.clock.Now().Add(f.agent.settings.Timing.BindingLifetime), Service: "desk",
	}
}

func bound(token binding.Token, name string) *peerpb.RunRequest {
	r := request(token.IDPrefix() + "." + name)
	r.Idempotent = false
	r.Binding = token.Encode()
	return r
}

// call runs one attempt to completion and returns its last event.
func (f *fixture) call(r *peerpb.RunRequest) *peerpb.RunEvent {
	w := &recorder{ctx: context.Background()}
	_ = f.agent.Run(r, w)
	return w.last()
}

// start runs one attempt in the background and sends its last event on the channel.
func (f *fixture) start(r *peerpb.RunRequest) <-chan *peerpb.RunEvent {
	done := make(chan *peerpb.RunEvent, 1)
	go func() { done <- f.call(r) }()
	return done
}

func requireRefusal(t *testing.T, e *peerpb.RunEvent, outcome peerpb.Outcome, reason string) {
	t.Helper()
	require.NotNil(t, e.GetRefusal(), "%v", e)
	assert.Equal(t, outcome, e.GetRefusal().GetOutcome())
	assert.Equal(t, reason, e.GetRefusal().GetReason())
}

// holdRuns blocks every run until release is called or the run's context ends.
func (f *fixture) holdRuns() (release func()) {
	hold := make(chan struct{})
	f.set(func() {
		f.handler = func(ctx context.Context, task Task, emit func(Event) error) (Summary, error) {
			select {
			case <-hold:
				return echoBody(ctx, task, emit)
			case <-ctx.Done():
				return Summary{}, errors.Wrap(ErrTruncated, "cancelled")
			}
		}
	})
	return func() { close(hold) }
}
