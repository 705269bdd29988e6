package e2e

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

// testCall is a call with its answer.
type testCall struct {
	call   standin.Call
	prompt standin.Prompt // set for calls to the model service
	zone   string         // availability zone of the caller, set by startTeamLoad
	answer standin.CallResult
}

var callSequence atomic.Int64

// newModelCall returns a call to the model service.
func newModelCall(prompt string, tokens int) testCall {
	p := standin.Prompt{Prompt: prompt, Tokens: tokens}
	body, _ := json.Marshal(p)
	call := standin.Call{
		ID:         fmt.Sprintf("ask-%d", callSequence.Add(1)),
		Path:       "/quote",
		Body:       body,
		Idempotent: true,
		Deadline:   20 * clock.Second,
	}
	return testCall{call: call, prompt: p}
}

// newNonIdempotentCall returns a non-idempotent call to the plain service whose id starts with the key of the location.
func newNonIdempotentCall(location standin.Location) testCall {
	n := callSequence.Add(1)
	return testCall{call: standin.Call{
		ID:       fmt.Sprintf("%s.correction-%d", location.Key, n),
		Path:     "/corrections",
		Body:     fmt.Appendf(nil, `{"story":"LVA-%d","wrong":"18 mil","right":"11 450"}`, n),
		Deadline: 20 * clock.Second,
	}}
}

// newIdempotentCall returns an idempotent call to the plain service.
func newIdempotentCall() testCall {
	return testCall{call: standin.Call{
		ID:         fmt.Sprintf("look-%d", callSequence.Add(1)),
		Method:     http.MethodGet,
		Path:       "/archive/1970-06-01",
		Idempotent: true,
		Deadline:   20 * clock.Second,
	}}
}

func (fx *fixture) newCaller(service, zone string) *standin.Caller {
	c := standin.NewCaller(service, zone, testTeam, fx.EntryAddresses()...)
	fx.t.Cleanup(c.Close)
	return c
}

// awaitBinding repeats the locate call until its answer contains a binding.
func (fx *fixture) awaitBinding(c *standin.Caller) (location standin.Location) {
	fx.t.Helper()
	fx.eventually("a binding for "+c.Service, func() bool {
		var err error
		location, err = c.RefreshLocation(fx.t.Context())
		return err == nil && location.Binding != ""
	})
	return location
}

// send sends the call and returns it with its answer.
func (tc testCall) send(ctx context.Context, c *standin.Caller) testCall {
	tc.answer = c.Do(ctx, tc.call)
	return tc
}

// sendTo sends the call to the addresses of a location and returns it with its answer.
func (tc testCall) sendTo(ctx context.Context, c *standin.Caller, location standin.Location) testCall {
	tc.answer = c.DoAt(ctx, tc.call, location, c.Now())
	return tc
}

// async runs f in a goroutine and returns a channel with its result.
func async(f func() testCall) <-chan testCall {
	result := make(chan testCall, 1)
	go func() { result <- f() }()
	return result
}

// expectedText returns the complete answer that the fake backend servers compute for the call.
func (tc testCall) expectedText() string {
	if tc.prompt.Prompt != "" {
		return standin.NewTextGenerator(tc.prompt.Prompt).FullText(tc.prompt.Tokens)
	}
	content, _ := json.Marshal(standin.PlainResponse{ID: tc.call.ID, Result: standin.PlainResult(tc.call.Path, tc.call.Body)})
	return string(content)
}

// assertComplete checks that the answer is complete and equals the expected text of this call.
func assertComplete(t *testing.T, tc testCall) {
	t.Helper()
	if assert.Equal(t, standin.Complete, tc.answer.Outcome, "%s: %s after %d events, %d sends", tc.call.ID, tc.answer.Reason, tc.answer.Events, tc.answer.Sends) {
		assert.Equal(t, tc.expectedText(), tc.answer.Text, tc.call.ID)
	}
}

// assertValid checks that a complete answer is correct, and that any other answer doesn't violate the protocol and, from the
// model service, has a text that is a prefix of the correct text. It reports whether the answer is complete.
func assertValid(t *testing.T, tc testCall) bool {
	t.Helper()
	if tc.answer.Outcome == standin.Complete {
		assertComplete(t, tc)
		return true
	}
	assert.NotEqual(t, standin.ProtocolError, tc.answer.Outcome, "%s: %s", tc.call.ID, tc.answer.Reason)
	if tc.prompt.Prompt != "" {
		expected := tc.expectedText()
		assert.Equal(t, expected[:min(len(expected), len(tc.answer.Text))], tc.answer.Text, tc.call.ID)
	}
	return false
}

// loadGenerator sends calls from several workers and collects them with their answers.
type loadGenerator struct {
	stop  context.CancelFunc
	tasks conc.WaitGroup
	mutex sync.Mutex
	calls []testCall
}

// startLoad starts workers, each with its own caller, that send calls one after the other until the generator is drained.
func (fx *fixture) startLoad(service string, workers int, next func(worker, iteration int) testCall) *loadGenerator {
	return fx.startTeamLoad(testTeam, service, workers, next)
}

func (fx *fixture) startTeamLoad(teamName, service string, workers int, next func(worker, iteration int) testCall) *loadGenerator {
	callContext := fx.t.Context()
	ctx, cancel := context.WithCancel(callContext)
	g := &loadGenerator{stop: cancel}
	for worker := range workers {
		zone := zones()[worker%len(zones())]
		c := fx.newCaller(service, zone)
		c.Team = teamName
		g.tasks.Go(func() {
			for iteration := 0; ctx.Err() == nil; iteration++ {
				// A stopped generator lets calls in progress finish, so they don't use ctx.
				tc := next(worker, iteration).send(callContext, c)
				tc.zone = zone
				g.mutex.Lock()
				g.calls = append(g.calls, tc)
				g.mutex.Unlock()
			}
		})
	}
	fx.t.Cleanup(func() { g.drain() })
	return g
}

// endedCount returns the number of calls that have ended with any outcome.
func (g *loadGenerator) endedCount() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.calls)
}

// drain stops the workers, waits for the calls in progress and returns all calls.
func (g *loadGenerator) drain() []testCall {
	g.stop()
	g.tasks.Wait()
	return g.calls
}

// awaitCalls waits until count more calls of the generator have ended.
func (fx *fixture) awaitCalls(g *loadGenerator, count int) {
	fx.t.Helper()
	target := g.endedCount() + count
	fx.eventually(fmt.Sprintf("%d more calls", count), func() bool { return g.endedCount() >= target })
}

// assertAtMostOnce checks that no non-idempotent call ran twice and that the outcomes agree with the runs that the plain services
// recorded.
func (fx *fixture) assertAtMostOnce(calls ...testCall) {
	fx.t.Helper()
	unknown := 0
	for _, tc := range calls {
		runs := fx.RunCount(tc.call.ID)
		require.LessOrEqual(fx.t, runs, 1, "%s ran twice", tc.call.ID)
		switch tc.answer.Outcome {
		case standin.Complete:
			assert.Equal(fx.t, 1, runs, "%s has an answer but did not run", tc.call.ID)
		case standin.NotRun:
			assert.Zero(fx.t, runs, "%s ran but its outcome is notrun: %s", tc.call.ID, tc.answer.Reason)
		case standin.Unknown:
			unknown++
		}
		assertValid(fx.t, tc)
	}
	fx.t.Logf("%d of %d calls ended with outcome unknown", unknown, len(calls))
}
