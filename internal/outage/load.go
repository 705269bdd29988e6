package outage

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"carawaypick/internal/standin"
	"carawaypick/pkg/clock"
)

// Phases of a run; phaseCount also marks calls of the warm-up, which aren't counted.
const (
	phaseBefore = iota
	phaseOut
	phaseBack
	phaseCount
)

// sample is the record of one call that has ended, with any outcome.
type sample struct {
	phase            int
	team             int // index in teams
	outcome          standin.Outcome
	reason           string
	timeToFirstEvent clock.Span // ms from the start of the call to its first event
	duration         clock.Span // ms from the start of the call to its end
	deadline         clock.Span // ms from the start of the call
}

// loadGenerator sends calls at a fixed rate, regardless of how many are in flight.
type loadGenerator struct {
	callers []*standin.Caller // by index in teams
	clock   clock.Clock

	mu       sync.Mutex
	phase    int
	samples  []sample
	calls    conc.WaitGroup
	lastCall int // number of the last call
}

// requestBody is the body of a model call.
type requestBody struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
}

// run sends rate calls per second for span ms, distributed over the teams by callsPerTen.
func (l *loadGenerator) run(ctx context.Context, phase int, rate float64, span clock.Span) {
	l.mu.Lock()
	l.phase = phase
	l.mu.Unlock()
	start := l.clock.Now()
	period := float64(clock.Second) / rate
	for n := 0; ; n++ {
		due := start.Add(clock.Span(float64(n) * period))
		if due.Sub(start) >= span || ctx.Err() != nil {
			return
		}
		time.Sleep(due.Sub(l.clock.Now()).Duration())
		l.lastCall++
		number := l.lastCall
		l.calls.Go(func() { l.sendCall(ctx, phase, number) })
	}
}

func (l *loadGenerator) sendCall(ctx context.Context, phase, number int) {
	team := pickTeam(number)
	content, err := json.Marshal(requestBody{
		Prompt: fmt.Sprintf("%s, Vorlage %d: bitte Satz %d prüfen", teams[team].name, number%promptCount, number),
		Tokens: callTokens,
	})
	if err != nil {
		return
	}
	result := l.callers[team].Do(ctx, standin.Call{
		ID:         fmt.Sprint("call-", number),
		Path:       "/generate",
		Body:       content,
		Priority:   teams[team].priority,
		Deadline:   callTimeout,
		Idempotent: true,
		MaxSends:   1,
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, sample{
		phase: phase, team: team, outcome: result.Outcome, reason: result.Reason,
		timeToFirstEvent: result.TimeToFirstEvent, duration: result.Duration, deadline: callTimeout,
	})
}

// team is one team of the load, with its share of the capacity and its part of the calls.
type team struct {
	name        string
	share       int
	priority    int
	callsPerTen int // calls that this team sends of every ten
}

// teams are ordered by share and priority, highest first; most calls come from the two lower ones.
var teams = []team{
	{name: "jury", share: 5, priority: 9, callsPerTen: 2},
	{name: "thurgau", share: 3, priority: 5, callsPerTen: 4},
	{name: "press", share: 1, priority: 1, callsPerTen: 4},
}

// pickTeam returns the index of the team that sends the call with the given number; the factor 7 interleaves the teams.
func pickTeam(number int) int {
	slot := (number * 7) % 10
	for i, t := range teams {
		if slot < t.callsPerTen {
			return i
		}
		slot -= t.callsPerTen
	}
	return 0
}
