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
	"carawaypick/internal/member"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

const (
	patience = 5 * time.Second // longest wait for what must happen
	bears    = 4
)

// benches counts benches, each of which registers a dialect of its own.
var benches atomic.Int32

// bench is an agent before a fake backend server.
type bench struct {
	t       *testing.T
	agent   *Agent
	member  *member.Member
	mu      sync.Mutex
	load    Load
	loadErr error
	hold    chan struct{} // holds reports back where not nil
	asked   atomic.Bool   // a report was asked for while held back
	runs    map[string]int
	running atomic.Int32
	peak    atomic.Int32
	work    func(ctx context.Context, task Task, emit func(Piece) error) (End, error)
	number  int
	sign    func() uint64 // of the dialect, may be nil
	letGo   chan struct{} // holds cancel calls back where not nil
	cancels atomic.Int32
}

func newBench(t *testing.T) *bench {
	t.Helper()
	return newBenchWith(t, nil)
}

// newBenchWith is newBench with a backend server that gives a sign where its process ends.
func newBenchWith(t *testing.T, sign func() uint64) *bench {
	t.Helper()
	b := &bench{t: t, sign: sign, runs: map[string]int{}, load: Load{Incarnation: "first"}}
	b.work = whole
	c := clock.New()
	b.member = member.New(member.Options{
		Self:   platform.Instance{Name: "a1", Zone: "z1"},
		Clock:  c,
		Random: func() float64 { return 0.5 },
		Keep:   clock.Minute,
		Notify: func() {
			if b.agent != nil {
				b.agent.Hear()
			}
		},
	})
	b.publish(`"zones":{"z1":{"state":"in"}},"services":{"desk":{"kind":"plain","model":"","idempotent":true,"stall":300,"bears":4,"cold":4}}`)
	dialect := fmt.Sprint(t.Name(), benches.Add(1))
	Dialects.Register(dialect, func(string) (Dialect, error) {
		return Dialect{Run: b.run, Load: b.report, Cancel: b.cancel, Epoch: b.sign}, nil
	})
	s := config.Defaults()
	s.Name, s.Zone = "a1", "z1"
	s.Backend = config.Backend{Service: "desk", Kind: dialect}
	agent, err := New(s, c, telemetry.Discard(), b.member)
	require.NoError(t, err)
	b.agent = agent
	ctx, cancel := context.WithCancel(context.Background())
	done := agent.Start(ctx)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
		agent.Wait()
	})
	b.eventually(func() bool { return agent.report("").GetState() == StateLive })
	return b
}

func (b *bench) publish(objects string) {
	b.t.Helper()
	b.number++
	content := fmt.Sprintf(`{"number":%d,"author":"ana","objects":{%s}}`, b.number, objects)
	_, err := b.member.Book().Add(clock.Time(0), []byte(content), clock.Hour)
	require.NoError(b.t, err)
	b.member.Book().Advance(clock.Time(clock.Hour))
	require.EqualValues(b.t, b.number, b.member.State().Number)
}

func (b *bench) eventually(check func() bool) {
	b.t.Helper()
	require.Eventually(b.t, check, patience, 2*time.Millisecond)
}

// whole answers a task with its body as one event.
func whole(_ context.Context, task Task, emit func(Piece) error) (End, error) {
	end := End{Count: 1, Hash: xxhash.Sum64(task.Body), Status: 200}
	return end, emit(Piece{Data: task.Body})
}

func (b *bench) run(ctx context.Context, task Task, emit func(Piece) error) (End, error) {
	b.mu.Lock()
	b.runs[task.ID]++
	work := b.work
	b.mu.Unlock()
	running := b.running.Add(1)
	defer b.running.Add(-1)
	for peak := b.peak.Load(); running > peak && !b.peak.CompareAndSwap(peak, running); peak = b.peak.Load() {
	}
	return work(ctx, task, emit)
}

func (b *bench) report(context.Context) (Load, error) {
	b.mu.Lock()
	load, err, hold := b.load, b.loadErr, b.hold
	b.mu.Unlock()
	if hold != nil {
		b.asked.Store(true)
		<-hold
	}
	return load, err
}

func (b *bench) cancel(context.Context, string) error {
	b.mu.Lock()
	letGo := b.letGo
	b.mu.Unlock()
	b.cancels.Add(1)
	if letGo != nil {
		<-letGo
	}
	return nil
}

func (b *bench) set(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

func (b *bench) ran(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// wire records what the agent sends on one stream.
type wire struct {
	grpc.ServerStream
	ctx    context.Context
	mu     sync.Mutex
	events []*peerpb.RunEvent
}

// Context returns the stream's context.
func (w *wire) Context() context.Context { return w.ctx }

// Send records an event.
func (w *wire) Send(e *peerpb.RunEvent) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
	return nil
}

func (w *wire) last() *peerpb.RunEvent {
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

func (b *bench) token() binding.Token {
	return binding.Token{
		Agent: "a1", Address: "127.0.0.1:1", Incarnation: b.agent.incarnation,
		Expiry: b.agent.clock.Now().Add(b.agent.settings.Timing.Life), Service: "desk",
	}
}

func bound(token binding.Token, name string) *peerpb.RunRequest {
	r := request(token.Key() + "." + name)
	r.Idempotent = false
	r.Binding = token.Encode()
	return r
}

// call runs one attempt to its end and returns its last event.
func (b *bench) call(r *peerpb.RunRequest) *peerpb.RunEvent {
	w := &wire{ctx: context.Background()}
	_ = b.agent.Run(r, w)
	return w.last()
}

// start runs one attempt in the background; its last event comes on the channel.
func (b *bench) start(r *peerpb.RunRequest) <-chan *peerpb.RunEvent {
	done := make(chan *peerpb.RunEvent, 1)
	go func() { done <- b.call(r) }()
	return done
}

func requireRefusal(t *testing.T, e *peerpb.RunEvent, outcome peerpb.Outcome, reason string) {
	t.Helper()
	require.NotNil(t, e.GetRefusal(), "%v", e)
	assert.Equal(t, outcome, e.GetRefusal().GetOutcome())
	assert.Equal(t, reason, e.GetRefusal().GetReason())
}

// gate holds every run until it is opened.
func (b *bench) gate() (open func()) {
	hold := make(chan struct{})
	b.set(func() {
		b.work = func(ctx context.Context, task Task, emit func(Piece) error) (End, error) {
			select {
			case <-hold:
				return whole(ctx, task, emit)
			case <-ctx.Done():
				return End{}, errors.Wrap(ErrCut, "cancelled")
			}
		}
	})
	return func() { close(hold) }
}
