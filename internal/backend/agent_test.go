package backend

import (
	"context"
	"fmt"
	"net"
	"slices"
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

func TestAgentRunsOnce(t *testing.T) {
	t.Run("many sends of one identifier run once and all get the answer", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		tok := b.token()
		var ends []<-chan *peerpb.RunEvent
		for i := range 6 {
			r := bound(tok, "fee")
			r.Send = uint32(i + 1)
			ends = append(ends, b.start(r))
		}
		b.eventually(func() bool { return b.running.Load() == 1 })
		open()
		for _, end := range ends {
			require.NotNil(t, (<-end).GetFinal())
		}
		assert.Equal(t, 1, b.ran(tok.Key()+".fee"))
	})
	t.Run("a run goes on when its entry is gone", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		r := bound(b.token(), "fee")
		ctx, cancel := context.WithCancel(context.Background())
		left := make(chan error, 1)
		go func() { left <- b.agent.Run(r, &wire{ctx: ctx}) }()
		b.eventually(func() bool { return b.running.Load() == 1 })
		cancel()
		require.Error(t, <-left)
		open()
		require.NotNil(t, b.call(r).GetFinal())
		assert.Equal(t, 1, b.ran(r.GetId()))
	})
	t.Run("a broken answer stays unknown", func(t *testing.T) {
		b := newBench(t)
		b.set(func() {
			b.work = func(context.Context, Task, func(Piece) error) (End, error) { return End{}, ErrCut }
		})
		r := bound(b.token(), "fee")
		requireRefusal(t, b.call(r), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonCut)
		r.Send = 2
		requireRefusal(t, b.call(r), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonCut)
		assert.Equal(t, 1, b.ran(r.GetId()))
	})
	t.Run("a dial that fails proves that nothing ran and a later send may", func(t *testing.T) {
		b := newBench(t)
		b.set(func() {
			b.work = func(context.Context, Task, func(Piece) error) (End, error) { return End{}, ErrNever }
		})
		r := bound(b.token(), "fee")
		requireRefusal(t, b.call(r), peerpb.Outcome_OUTCOME_NOTRUN, ReasonDown)
		b.set(func() { b.work = whole })
		requireRefusal(t, b.call(r), peerpb.Outcome_OUTCOME_NOTRUN, binding.ReasonSealed)
		r.Send = 2
		b.eventually(func() bool { return b.agent.report("").GetState() == StateLive })
		require.NotNil(t, b.call(r).GetFinal())
	})
	t.Run("an identifier that was refused while it waited is not handed over", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		var ends []<-chan *peerpb.RunEvent
		for i := range bears {
			ends = append(ends, b.start(request(fmt.Sprint("r", i))))
		}
		b.eventually(func() bool { return b.running.Load() == bears })
		r := bound(b.token(), "fee")
		waiting := b.start(r)
		b.eventually(func() bool { return b.agent.report("").GetQueued() == 1 })
		require.True(t, b.agent.table.Refuse(r.GetId(), 1))
		open()
		for _, end := range ends {
			<-end
		}
		assert.Equal(t, peerpb.Outcome_OUTCOME_NOTRUN, (<-waiting).GetRefusal().GetOutcome())
		b.eventually(b.agent.Idle)
		assert.Zero(t, b.ran(r.GetId()))
	})
	t.Run("a leaving agent refuses new identifiers and still gives held answers", func(t *testing.T) {
		b := newBench(t)
		tok := b.token()
		require.NotNil(t, b.call(bound(tok, "old")).GetFinal())
		b.agent.Leave()
		require.NotNil(t, b.call(bound(tok, "old")).GetFinal())
		requireRefusal(t, b.call(bound(tok, "new")), peerpb.Outcome_OUTCOME_NOTRUN, StateLeaving)
	})
}

func TestAgentAdmits(t *testing.T) {
	t.Run("never more than the backend server bears", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		var ends []<-chan *peerpb.RunEvent
		for i := range 5 * bears {
			ends = append(ends, b.start(request(fmt.Sprint("r", i))))
		}
		b.eventually(func() bool { return b.running.Load() == bears })
		open()
		for _, end := range ends {
			require.NotNil(t, (<-end).GetFinal())
		}
		assert.EqualValues(t, bears, b.peak.Load())
	})
	t.Run("a slot only once the backend server has let go of it", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		defer open()
		letGo := make(chan struct{})
		b.set(func() { b.letGo = letGo })
		ctx, cancel := context.WithCancel(context.Background())
		for i := range bears {
			r := request(fmt.Sprint("r", i))
			r.Stream = true
			r.Service = "desk"
			go func() { _ = b.agent.Run(r, &wire{ctx: ctx}) }()
		}
		b.eventually(func() bool { return b.running.Load() == bears })
		cancel()
		b.eventually(func() bool { return b.cancels.Load() == bears })
		b.start(request("next"))
		b.eventually(func() bool { return b.agent.report("").GetQueued() == 1 })
		b.agent.pump()
		assert.Zero(t, b.ran("next"))
		close(letGo)
		b.eventually(func() bool { return b.ran("next") == 1 })
	})
	t.Run("a plain call keeps its slot until it ends, though its entry is gone", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		ctx, cancel := context.WithCancel(context.Background())
		for i := range bears {
			go func() { _ = b.agent.Run(request(fmt.Sprint("r", i)), &wire{ctx: ctx}) }()
		}
		b.eventually(func() bool { return b.running.Load() == bears })
		cancel()
		next := b.start(request("next"))
		b.eventually(func() bool { return b.agent.report("").GetQueued() == 1 })
		b.agent.pump()
		assert.Zero(t, b.ran("next"))
		open()
		require.NotNil(t, (<-next).GetFinal())
	})
	t.Run("nothing once the zone is out, and what runs is finished", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		running := b.start(request("old"))
		b.eventually(func() bool { return b.running.Load() == 1 })
		b.publish(`"zones":{"z1":{"state":"out"}}`)
		requireRefusal(t, b.call(request("new")), peerpb.Outcome_OUTCOME_NOTRUN, StateOut)
		open()
		require.NotNil(t, (<-running).GetFinal())
		assert.Zero(t, b.ran("new"))
	})
	t.Run("a request that waits past its deadline is refused with proof", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		defer open()
		for i := range bears {
			b.start(request(fmt.Sprint("r", i)))
		}
		b.eventually(func() bool { return b.running.Load() == bears })
		late := request("late")
		late.Deadline = 50
		end := b.call(late)
		assert.Equal(t, peerpb.Outcome_OUTCOME_NOTRUN, end.GetRefusal().GetOutcome())
		assert.Zero(t, b.ran("late"))
	})
	t.Run("an answer without progress is given up", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		defer open()
		r := request("stalled")
		r.Stream = true
		requireRefusal(t, b.call(r), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonStall)
	})
}

func TestAgentColdStart(t *testing.T) {
	b := newBench(t)
	b.publish(`"services":{"desk":{"kind":"plain","model":"","idempotent":true,"stall":300,"bears":4,"cold":1}}`)
	for i := range 40 {
		require.NotNil(t, b.call(request(fmt.Sprint("warm", i))).GetFinal())
	}
	b.set(func() { b.load = Load{Incarnation: "second"} })
	b.peak.Store(0)
	open := b.gate()
	time.Sleep(2 * probeFresh.Duration()) // the last report is no longer fresh
	var ends []<-chan *peerpb.RunEvent
	for i := range bears {
		ends = append(ends, b.start(request(fmt.Sprint("cold", i))))
	}
	b.eventually(func() bool { return b.running.Load() == 1 })
	open()
	<-ends[0]
	assert.EqualValues(t, 1, b.peak.Load(), "a cold backend server got more than one request at once")
	for _, end := range ends[1:] {
		<-end
	}
}

// TestAgentLateReports restarts a backend server whose reports are late: its old report says nothing of the new process.
func TestAgentLateReports(t *testing.T) {
	t.Run("seen by the sign first", func(t *testing.T) { lateReports(t, false) })
	t.Run("seen by a report first", func(t *testing.T) { lateReports(t, true) })
}

func lateReports(t *testing.T, reported bool) {
	var epoch atomic.Uint64
	b := newBenchWith(t, epoch.Load)
	b.publish(`"services":{"desk":{"kind":"plain","model":"","idempotent":true,"stall":300,"bears":4,"cold":1}}`)
	for i := range 40 {
		require.NotNil(t, b.call(request(fmt.Sprint("warm", i))).GetFinal())
	}
	epoch.Add(1)
	b.set(func() { b.load = Load{Incarnation: "first", Epoch: 1, Age: clock.Hour} })
	if reported {
		_, err := b.agent.probe(t.Context())
		require.NoError(t, err)
	}
	open := sync.OnceFunc(b.gate())
	defer open()
	ends := []<-chan *peerpb.RunEvent{b.start(request("cold0")), b.start(request("cold1"))}
	b.eventually(func() bool { return b.agent.report("").GetQueued() == 2 })
	for range 3 {
		_, err := b.agent.probe(t.Context())
		require.NoError(t, err)
		b.agent.pump()
		require.Zero(t, b.running.Load(), "handed over on a report of the process before")
	}
	b.set(func() { b.load = Load{Incarnation: "second", Epoch: 1} })
	b.eventually(func() bool { return b.running.Load() == 1 })
	b.agent.pump()
	assert.EqualValues(t, 1, b.running.Load())
	open()
	for _, end := range ends {
		require.NotNil(t, (<-end).GetFinal())
	}
}

func TestSentinel(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var s sentinel
	dial := func(context.Context) (net.Conn, error) { return net.Dial("tcp", listener.Addr().String()) }
	epoch, err := s.ensure(t.Context(), dial)
	require.NoError(t, err)
	other, err := listener.Accept()
	require.NoError(t, err)
	assert.Equal(t, epoch, s.now(), "the connection stands")
	require.NoError(t, other.Close())
	require.Eventually(t, func() bool { return s.now() == epoch+1 }, patience, time.Millisecond)
	assert.Equal(t, epoch+1, s.now(), "one end counts once")
	next, err := s.ensure(t.Context(), dial)
	require.NoError(t, err)
	assert.Equal(t, epoch+1, next)
}

func TestAgentCrash(t *testing.T) {
	crash := func(b *bench, marked string) {
		b.set(func() {
			b.work = func(ctx context.Context, task Task, emit func(Piece) error) (End, error) {
				if string(task.Body) != marked {
					return whole(ctx, task, emit)
				}
				b.set(func() { b.load = Load{Incarnation: b.load.Incarnation + "x"} })
				return End{}, ErrCut
			}
		})
	}
	t.Run("names the contents in flight and condemns after a second one alone", func(t *testing.T) {
		b := newBench(t)
		crash(b, "poison")
		requireRefusal(t, b.call(request("poison")), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonCrash)
		requireRefusal(t, b.call(request("poison")), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonCrash)
		requireRefusal(t, b.call(request("poison")), peerpb.Outcome_OUTCOME_FAILED, ReasonCondemned)
		assert.Equal(t, 2, b.ran("poison"))
		require.NotNil(t, b.call(request("innocent")).GetFinal())
	})
	t.Run("gets no work after a broken answer before the next report", func(t *testing.T) {
		b := newBench(t)
		hold := make(chan struct{})
		b.set(func() {
			b.work = func(ctx context.Context, task Task, emit func(Piece) error) (End, error) {
				if string(task.Body) == "cut" {
					b.set(func() { b.hold = hold })
					return End{}, ErrCut
				}
				return whole(ctx, task, emit)
			}
		})
		cut := b.start(request("cut"))
		b.eventually(func() bool { return b.asked.Load() })
		next := b.start(request("next"))
		b.eventually(func() bool { return b.agent.report("").GetQueued() == 1 })
		b.agent.pump()
		assert.Zero(t, b.ran("next"))
		close(hold)
		requireRefusal(t, <-cut, peerpb.Outcome_OUTCOME_UNKNOWN, ReasonCut)
		require.NotNil(t, (<-next).GetFinal())
	})
	t.Run("a suspect runs alone", func(t *testing.T) {
		b := newBench(t)
		open := b.gate()
		suspect := request("suspect")
		suspect.Suspect = true
		first := b.start(suspect)
		b.eventually(func() bool { return b.running.Load() == 1 })
		second := b.start(request("neighbour"))
		b.eventually(func() bool { return b.agent.report("").GetQueued() == 1 })
		b.agent.pump()
		assert.EqualValues(t, 1, b.running.Load())
		open()
		require.NotNil(t, (<-first).GetFinal())
		require.NotNil(t, (<-second).GetFinal())
		assert.EqualValues(t, 1, b.peak.Load())
	})
	t.Run("a cut without a crash accuses nobody", func(t *testing.T) {
		b := newBench(t)
		b.set(func() {
			b.work = func(context.Context, Task, func(Piece) error) (End, error) { return End{}, ErrCut }
		})
		requireRefusal(t, b.call(request("cut")), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonCut)
		assert.Empty(t, b.member.Evidence())
	})
	t.Run("a suspect that ran whole elsewhere is a suspect no more", func(t *testing.T) {
		b := newBench(t)
		content := request("innocent").GetFingerprint()
		b.member.AddEvidence(&peerpb.Evidence{Crash: "a8/1/x", Contents: []uint64{content}, Age: 20})
		require.NotNil(t, b.call(request("innocent")).GetFinal())
		b.eventually(func() bool { return slices.ContainsFunc(b.member.Evidence(), (*peerpb.Evidence).GetWhole) })
		other := newBench(t)
		other.member.AddEvidence(b.member.Evidence()...)
		crash(other, "innocent")
		requireRefusal(t, other.call(request("innocent")), peerpb.Outcome_OUTCOME_UNKNOWN, ReasonCrash)
		other.set(func() { other.work = whole })
		require.NotNil(t, other.call(request("innocent")).GetFinal(), "two coincidences condemned it")
	})
	t.Run("evidence from elsewhere counts", func(t *testing.T) {
		b := newBench(t)
		content := request("poison").GetFingerprint()
		for _, name := range []string{"a8/1/x", "a9/1/x"} {
			b.member.AddEvidence(&peerpb.Evidence{Crash: name, Contents: []uint64{content}, Alone: true})
		}
		requireRefusal(t, b.call(request("poison")), peerpb.Outcome_OUTCOME_FAILED, ReasonCondemned)
		assert.Zero(t, b.ran("poison"))
	})
}
