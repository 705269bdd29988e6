package promise

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/standin"
	"carawaypick/pkg/clock"
)

// sent is one call with what came of it.
type sent struct {
	call   standin.Call
	prompt standin.Prompt // of a call to the model service
	zone   string         // of the caller, in traffic
	answer standin.Answer
}

var callCount atomic.Int64

// ask returns a call to the model service.
func ask(prompt string, tokens int) sent {
	p := standin.Prompt{Prompt: prompt, Tokens: tokens}
	body, _ := json.Marshal(p)
	call := standin.Call{
		ID:         fmt.Sprintf("ask-%d", callCount.Add(1)),
		Path:       "/quote",
		Body:       body,
		Idempotent: true,
		Deadline:   20 * clock.Second,
	}
	return sent{call: call, prompt: p}
}

// correct returns a call to the plain service that may not be repeated, under the key of a location.
func correct(location standin.Location) sent {
	n := callCount.Add(1)
	return sent{call: standin.Call{
		ID:       fmt.Sprintf("%s.correction-%d", location.Key, n),
		Path:     "/corrections",
		Body:     fmt.Appendf(nil, `{"story":"LVA-%d","wrong":"18 mil","right":"11 450"}`, n),
		Deadline: 20 * clock.Second,
	}}
}

// look returns an idempotent call to the plain service.
func look() sent {
	return sent{call: standin.Call{
		ID:         fmt.Sprintf("look-%d", callCount.Add(1)),
		Method:     http.MethodGet,
		Path:       "/archive/1970-06-01",
		Idempotent: true,
		Deadline:   20 * clock.Second,
	}}
}

func (b *bench) caller(service, zone string) *standin.Caller {
	c := standin.NewCaller(service, zone, team, b.EntryAddresses()...)
	b.t.Cleanup(c.Close)
	return c
}

// locate asks for addresses until a binding comes with them.
func (b *bench) locate(c *standin.Caller) (location standin.Location) {
	b.t.Helper()
	b.eventually("a binding for "+c.Service, func() bool {
		var err error
		location, err = c.Relocate(b.t.Context())
		return err == nil && location.Binding != ""
	})
	return location
}

// do sends a call and keeps its answer.
func (s sent) do(ctx context.Context, c *standin.Caller) sent {
	s.answer = c.Do(ctx, s.call)
	return s
}

// at sends a call by a location that the caller holds.
func (s sent) at(ctx context.Context, c *standin.Caller, location standin.Location) sent {
	s.answer = c.DoAt(ctx, s.call, location, c.Now())
	return s
}

// later sends a call in the background.
func later(f func() sent) <-chan sent {
	result := make(chan sent, 1)
	go func() { result <- f() }()
	return result
}

// expected is the whole answer to a call by the stand-ins' own rule.
func (s sent) expected() string {
	if s.prompt.Prompt != "" {
		return standin.NewWriter(s.prompt.Prompt).Whole(s.prompt.Tokens)
	}
	content, _ := json.Marshal(standin.PlainAnswer{ID: s.call.ID, Result: standin.Result(s.call.Path, s.call.Body)})
	return string(content)
}

// assertWhole holds an answer against what the backend server gives to this call alone.
func assertWhole(t *testing.T, s sent) {
	t.Helper()
	if assert.Equal(t, standin.Whole, s.answer.Outcome, "%s: %s after %d events, %d sends", s.call.ID, s.answer.Reason, s.answer.Events, s.answer.Sends) {
		assert.Equal(t, s.expected(), s.answer.Text, s.call.ID)
	}
}

// assertTrue allows a typed ending, but no wrong or short answer, and returns whether the answer is whole.
func assertTrue(t *testing.T, s sent) bool {
	t.Helper()
	if s.answer.Outcome == standin.Whole {
		assertWhole(t, s)
		return true
	}
	assert.NotEqual(t, standin.Broken, s.answer.Outcome, "%s: %s", s.call.ID, s.answer.Reason)
	if s.prompt.Prompt != "" {
		whole := s.expected()
		assert.Equal(t, whole[:min(len(whole), len(s.answer.Text))], s.answer.Text, s.call.ID)
	}
	return false
}

// traffic is a steady load of calls.
type traffic struct {
	stop  context.CancelFunc
	tasks conc.WaitGroup
	mutex sync.Mutex
	calls []sent
}

// load sends calls from a number of workers until the traffic is ended; each worker has its own caller.
func (b *bench) load(service string, workers int, next func(worker, turn int) sent) *traffic {
	return b.loadAs(team, service, workers, next)
}

func (b *bench) loadAs(name, service string, workers int, next func(worker, turn int) sent) *traffic {
	base := b.t.Context()
	ctx, cancel := context.WithCancel(base)
	t := &traffic{stop: cancel}
	for worker := range workers {
		zone := zones()[worker%len(zones())]
		c := b.caller(service, zone)
		c.Team = name
		t.tasks.Go(func() {
			for turn := 0; ctx.Err() == nil; turn++ {
				// A call in progress is finished after the stop.
				s := next(worker, turn).do(base, c)
				s.zone = zone
				t.mutex.Lock()
				t.calls = append(t.calls, s)
				t.mutex.Unlock()
			}
		})
	}
	b.t.Cleanup(func() { t.end() })
	return t
}

// count returns the number of calls that have ended.
func (t *traffic) count() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.calls)
}

// end stops the traffic, lets the calls in progress finish and returns all of them.
func (t *traffic) end() []sent {
	t.stop()
	t.tasks.Wait()
	return t.calls
}

// more waits until the traffic has ended this many more calls.
func (b *bench) more(t *traffic, count int) {
	b.t.Helper()
	goal := t.count() + count
	b.eventually(fmt.Sprintf("%d more calls", count), func() bool { return t.count() >= goal })
}

// assertAtMostOnce holds calls that may not be repeated against the plain services' own record.
func (b *bench) assertAtMostOnce(calls ...sent) {
	b.t.Helper()
	unknown := 0
	for _, s := range calls {
		runs := b.Runs(s.call.ID)
		require.LessOrEqual(b.t, runs, 1, "%s ran twice", s.call.ID)
		switch s.answer.Outcome {
		case standin.Whole:
			assert.Equal(b.t, 1, runs, "%s has an answer but never ran", s.call.ID)
		case standin.NotRun:
			assert.Zero(b.t, runs, "%s ran but is said not to have: %s", s.call.ID, s.answer.Reason)
		case standin.Unknown:
			unknown++
		}
		assertTrue(b.t, s)
	}
	b.t.Logf("%d of %d calls ended as unknown", unknown, len(calls))
}
